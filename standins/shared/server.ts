/** HTTP server of the stand-ins with simulated connection faults and crashes, and JSON helpers. */

import { createServer } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { SecureContextOptions } from 'node:tls'

/** Default listen address. */
const DEFAULT_HOST = '127.0.0.1'
/** Interval between attempts to listen again after a crash, in ms. */
const RELISTEN_INTERVAL_MS = 20

/** One call to a stand-in. */
export interface Call {
  readonly method: string
  readonly url: URL
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Whole request body. */
  readonly body: string
}

/** Options of a stand-in's server. */
export interface ServerOptions {
  /** Port; 0 picks a free one. */
  readonly port?: number
  readonly host?: string
  /** Certificate and key; without them the server takes plain HTTP. */
  readonly tls?: SecureContextOptions
  /** Handles one call; an error is answered with 400. */
  readonly handle: (call: Call) => void | Promise<void>
}

/** An HTTP server that can simulate crashes with a restart on the same port, and silent connections. */
export class StandinServer {
  readonly #handle: ServerOptions['handle']
  readonly #host: string
  readonly #tls: SecureContextOptions | undefined
  readonly #sockets = new Set<Socket>()
  readonly #silencedSockets = new WeakSet<Socket>()
  #server: Server
  #port: number
  #restartTimer: NodeJS.Timeout | undefined
  #isStopped = false

  private constructor (options: ServerOptions) {
    this.#handle = options.handle
    this.#host = options.host ?? DEFAULT_HOST
    this.#tls = options.tls
    this.#port = options.port ?? 0
    this.#server = this.#build()
  }

  /**
   * @param options - port and handler
   * @returns a listening server
   * @throws Error when the port is taken
   */
  static async start (options: ServerOptions): Promise<StandinServer> {
    const server = new StandinServer(options)
    await server.#open()
    return server
  }

  /** Port on which the server listens. */
  get port (): number {
    return this.#port
  }

  /** Base URL without a trailing slash. */
  get url (): string {
    return `${this.#tls === undefined ? 'http' : 'https'}://${this.#host}:${this.#port}`
  }

  /** Destroys every open connection. */
  destroyConnections (): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  /** Stops sending on every open connection without closing it; new connections work. */
  silenceConnections (): void {
    for (const socket of this.#sockets) this.#silencedSockets.add(socket)
  }

  /** @returns whether the connection of the call was silenced */
  isSilenced (call: Call): boolean {
    return this.#silencedSockets.has(call.request.socket)
  }

  /**
   * Behaves like a crashed process: connections break and new ones are refused.
   *
   * @param downMs - time until the port accepts connections again, in ms
   * @param onRestart - called before the port accepts connections again
   */
  simulateCrash (downMs: number, onRestart: () => void): void {
    if (this.#restartTimer !== undefined || this.#isStopped) return
    this.#server.close()
    this.destroyConnections()
    const start = (): void => {
      this.#server = this.#build()
      this.#open().then(() => { this.#restartTimer = undefined }, () => { this.#restartTimer = setTimeout(start, RELISTEN_INTERVAL_MS) })
    }
    this.#restartTimer = setTimeout(() => {
      onRestart()
      start()
    }, downMs)
  }

  /** @returns whether the server is down after a crash */
  isDown (): boolean {
    return this.#restartTimer !== undefined
  }

  /** Stops the server permanently and breaks every connection. */
  async stop (): Promise<void> {
    this.#isStopped = true
    clearTimeout(this.#restartTimer)
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    this.destroyConnections()
    await closed
  }

  async #open (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, this.#host, resolve)
    })
    this.#port = (this.#server.address() as AddressInfo).port
    if (this.#isStopped) this.#server.close()
  }

  #build (): Server {
    const handle = (request: IncomingMessage, response: ServerResponse): void => { this.#dispatch(request, response) }
    const server = this.#tls === undefined ? createServer(handle) : createTlsServer(this.#tls, handle)
    server.keepAliveTimeout = 0
    const track = (socket: Socket): void => {
      this.#sockets.add(socket)
      socket.on('error', () => { socket.destroy() })
      socket.on('close', () => { this.#sockets.delete(socket) })
    }
    server.on('connection', track)
    // With TLS, `request.socket` is the TLS socket, not the TCP socket below it.
    if (this.#tls !== undefined) server.on('secureConnection', track)
    return server
  }

  #dispatch (request: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => { parts.push(part) })
    request.on('error', () => { response.destroy() })
    request.on('end', () => {
      if (this.#silencedSockets.has(request.socket)) return
      const url = new URL(request.url ?? '/', this.url)
      const call: Call = { method: request.method ?? 'GET', url, request, response, body: Buffer.concat(parts).toString('utf8') }
      Promise.resolve().then(async () => { await this.#handle(call) }).catch((error: unknown) => {
        if (!response.headersSent) sendJson(call, 400, { error: String(error) })
      })
    })
  }
}

/**
 * Sends a JSON response.
 *
 * @param call - the call
 * @param status - HTTP status code
 * @param value - body to serialise as JSON
 */
export function sendJson (call: Call, status: number, value: unknown): void {
  if (call.response.destroyed) return
  call.response.writeHead(status, { 'content-type': 'application/json' })
  call.response.end(JSON.stringify(value))
}

/**
 * @param call - the call
 * @param name - header name in lower case
 * @returns the header's value; undefined when it is absent or repeated
 */
export function findHeader (call: Call, name: string): string | undefined {
  const value = call.request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/**
 * @param ms - time to wait in ms
 * @returns a promise that resolves after that time
 */
export async function waitMs (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}
