/** Holds back what a caller sends ahead on one connection of an HTTP server. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { closeResponses, takeParser } from './parser.js'

/** Size of the pieces in which received data is passed to the HTTP parser, in bytes. A piece with the ends of requests starts each of them. */
const PIECE_BYTES = 1024

/** Property by which the HTTP server of Node.js marks a connection that it has paused. */
interface ServerSocket {
  readonly _paused?: boolean
}

/**
 * Passes data of one connection to the HTTP parser while few of its requests are
 * unanswered. The rest stays in the socket, so that a caller who sends requests
 * ahead is slowed down by TCP. The parser itself would start every request of
 * a chunk of up to 64 KB at once.
 */
export class ConnectionGate {
  readonly #socket: Socket
  readonly #requestsMax: number
  readonly #deliver: (data: Buffer) => void
  #held: Buffer = Buffer.alloc(0)
  readonly #unanswered = new Set<ServerResponse>()
  #lastRequest: IncomingMessage | undefined
  #isDelivering = false
  #isHolding = false
  #requests = 0
  /** Since when the request that was held back too long may arrive, and the requests before it. */
  #overdue: { readonly sinceMs: number, readonly requests: number } | undefined
  #sentBytes = 0
  #progressAtMs = performance.now()

  private constructor (socket: Socket, requestsMax: number) {
    this.#socket = socket
    this.#requestsMax = requestsMax
    this.#deliver = takeParser(socket)
    socket.on('data', this.#handleData)
    socket.on('resume', this.#pass)
    socket.once('close', () => { setImmediate(() => { closeResponses(this.#unanswered) }) })
  }

  /**
   * @param socket - connection that an HTTP server has just accepted
   * @param requestsMax - count of unanswered requests below which more data is passed on, at least 2
   * @returns the gate, which from now on stands between the connection and the parser
   */
  static create (socket: Socket, requestsMax: number): ConnectionGate {
    return new ConnectionGate(socket, requestsMax)
  }

  /** Address of the caller. */
  get address (): string {
    return this.#socket.remoteAddress ?? ''
  }

  /** Whether no request is unanswered. */
  get isIdle (): boolean {
    return this.#unanswered.size === 0
  }

  /** Whether data was received that is held back. */
  get isHolding (): boolean {
    return this.#isHolding
  }

  /**
   * Counts a request of the connection until its response is closed.
   *
   * @param request - the request, its head received
   * @param response - its response
   */
  addRequest (request: IncomingMessage, response: ServerResponse): void {
    this.#requests += 1
    this.#unanswered.add(response)
    this.#lastRequest = request
    response.once('close', () => {
      this.#unanswered.delete(response)
      this.#pass()
    })
  }

  /** Notes that the server found a request overdue while the rest of it was held back. The server does not check that request again. */
  noteTimeout (): void {
    this.#overdue = { sinceMs: performance.now(), requests: this.#requests }
  }

  /**
   * @param timeoutMs - longest time for receiving a request
   * @returns whether a request that had been held back did not arrive in time afterwards
   */
  isOverdue (timeoutMs: number): boolean {
    const overdue = this.#overdue
    if (overdue === undefined) return false
    const hasArrived = this.#requests > overdue.requests && this.#lastRequest?.complete === true
    if (hasArrived) this.#overdue = undefined
    else if (this.#isHolding) this.#overdue = { ...overdue, sinceMs: performance.now() }
    return this.#overdue !== undefined && performance.now() - this.#overdue.sinceMs > timeoutMs
  }

  /**
   * @param timeoutMs - longest time for which a caller may read nothing
   * @returns whether a response was waiting for that long without a byte being taken
   */
  isUnread (timeoutMs: number): boolean {
    const sentBytes = this.#socket.bytesWritten - this.#socket.writableLength
    const nowMs = performance.now()
    if (this.#socket.writableLength === 0 || sentBytes !== this.#sentBytes) this.#progressAtMs = nowMs
    this.#sentBytes = sentBytes
    return nowMs - this.#progressAtMs > timeoutMs
  }

  /**
   * Ends the gate when the connection leaves HTTP, to be called from the server's `upgrade` event.
   *
   * @returns received data that follows what the server has passed on
   */
  release (): Buffer {
    const held = this.#held
    this.#held = Buffer.alloc(0)
    this.#socket.removeListener('data', this.#handleData)
    this.#socket.removeListener('resume', this.#pass)
    return held
  }

  /** Closes the connection at once. */
  destroy (): void {
    this.#socket.destroy()
  }

  readonly #handleData = (data: Buffer): void => {
    this.#held = this.#held.length === 0 ? data : Buffer.concat([this.#held, data])
    this.#pass()
  }

  readonly #pass = (): void => {
    if (this.#isDelivering) return
    this.#isDelivering = true
    while (this.#held.length > 0 && this.#mayDeliver()) {
      const piece = this.#held.subarray(0, PIECE_BYTES)
      this.#held = this.#held.subarray(PIECE_BYTES)
      this.#deliver(piece)
    }
    this.#isDelivering = false
    const wasHolding = this.#isHolding
    this.#isHolding = this.#held.length > 0
    if (this.#isHolding) this.#socket.pause()
    else if (wasHolding && !this.#isPausedByServer()) this.#socket.resume()
  }

  /** Only the last request may wait for the rest of its body; with two or more unanswered, another one ends without more data. */
  #mayDeliver (): boolean {
    if (this.#socket.destroyed || this.#isPausedByServer()) return false
    return this.#unanswered.size < this.#requestsMax
  }

  /** While it has paused the connection, the parser takes data for an error. */
  #isPausedByServer (): boolean {
    return (this.#socket as ServerSocket)._paused === true
  }
}
