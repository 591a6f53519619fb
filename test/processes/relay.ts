import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { createServer as createTlsServer } from 'node:tls'
import type { TLSSocket, TlsOptions } from 'node:tls'

/** TCP relay that can stop passing data on open connections while new ones work; optionally terminates TLS. */
export class Relay {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  /** Common names of the client certificates seen so far. */
  readonly subjects = new Set<string>()

  private constructor (targetPort: number, tls: TlsOptions | undefined) {
    const accept = (inbound: Socket): void => {
      const outbound = connect(targetPort, '127.0.0.1')
      for (const socket of [inbound, outbound]) {
        this.#sockets.add(socket)
        socket.on('error', () => { socket.destroy() })
        socket.on('close', () => { this.#sockets.delete(socket) })
      }
      inbound.pipe(outbound)
      outbound.pipe(inbound)
    }
    this.#server = tls === undefined
      ? createServer(accept)
      : createTlsServer(tls, (inbound: TLSSocket) => {
        this.subjects.add(String(inbound.getPeerCertificate().subject.CN))
        accept(inbound)
      })
  }

  static async start (port: number, targetPort: number, tls?: TlsOptions): Promise<Relay> {
    const relay = new Relay(targetPort, tls)
    await new Promise<void>((resolve, reject) => { relay.#server.once('error', reject).listen(port, '127.0.0.1', resolve) })
    return relay
  }

  /** Stops passing data on open connections without closing them. */
  silenceConnections (): void {
    for (const socket of this.#sockets) {
      socket.unpipe()
      socket.pause()
    }
  }

  /** Destroys open connections. */
  destroyConnections (): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  stop (): void {
    this.destroyConnections()
    this.#server.close()
  }
}
