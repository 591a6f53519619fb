import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** TCP relay whose open connections can go silent while new ones work. */
export class Relay {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  private constructor (targetPort: number) {
    this.#server = createServer(inbound => {
      const outbound = connect(targetPort, '127.0.0.1')
      for (const socket of [inbound, outbound]) {
        this.#sockets.add(socket)
        socket.on('error', () => { socket.destroy() })
        socket.on('close', () => { this.#sockets.delete(socket) })
      }
      inbound.pipe(outbound)
      outbound.pipe(inbound)
    })
  }

  static async start (port: number, targetPort: number): Promise<Relay> {
    const relay = new Relay(targetPort)
    await new Promise<void>((resolve, reject) => { relay.#server.once('error', reject).listen(port, '127.0.0.1', resolve) })
    return relay
  }

  /** Open connections pass nothing more and stay open. */
  silence (): void {
    for (const socket of this.#sockets) {
      socket.unpipe()
      socket.pause()
    }
  }

  stop (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}
