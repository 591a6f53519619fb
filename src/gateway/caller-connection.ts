/**
 * One connection of a caller. `node:http` raises a request for each head in what it has read,
 * so it is given small pieces and nothing more while requests wait for those before them: the
 * rest stays in the socket.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { closeResponses, takeParser } from '../edge/connections/parser.js'
import type { ConnectionState } from './caller-limits.js'

/** Bytes that are parsed at a time outside of a body of known length; it bounds the heads that one connection can have parsed, but not started. */
const PIECE_BYTES = 512

/** A request whose head was read. */
export interface ReceivedRequest {
  readonly connection: CallerConnection
  readonly message: IncomingMessage
  readonly response: ServerResponse
  /** Monotonic time in ms at which its head was read. */
  readonly receivedAtMs: number
  /** Bytes of its body that were taken from the message. */
  bodyBytes: number
  /** Monotonic time in ms until which its body must be complete; undefined until the request is started. */
  readUntilMs: number | undefined
}

/** How a connection uses its server. */
export interface ConnectionHandlers {
  readonly getNowMs: () => number
  /** Requests of a connection that run at a time. */
  readonly getRequestsAhead: () => number
  /** Whether more than one request of a connection may run now. */
  readonly mayRunAhead: () => boolean
  /** Starts a request. */
  readonly start: (request: ReceivedRequest) => void
  /** Calls `readOn` when the connection may read the next part of a body that is dropped. */
  readonly awaitTurn: (readOn: () => void) => void
  /** Records bytes that wait unread, or have stopped waiting. @returns whether there is room for them */
  readonly noteHeld: (change: number) => boolean
}

/** Connection of a caller. */
export class CallerConnection implements ConnectionState {
  readonly socket: Socket
  readonly #handlers: ConnectionHandlers
  readonly #parse: (piece: Buffer) => void
  readonly #open = new Set<ReceivedRequest>()
  /** Requests that were started, whose answers have not been sent completely. */
  readonly #started = new Set<ReceivedRequest>()
  readonly #waiting: ReceivedRequest[] = []
  readonly address: string
  idleSinceMs: number | undefined
  stalledSinceMs: number | undefined
  #sentBytes = 0
  #heldBytes = 0
  #hasPaused = false
  /** Message whose head was read last. */
  #lastRequest: ReceivedRequest | undefined
  /** Whether no further request is started, and the connection closes when the others are answered. */
  #isEnding = false
  /** Bytes to send before it closes. */
  #farewell = ''

  private constructor (socket: Socket, handlers: ConnectionHandlers) {
    this.socket = socket
    this.#handlers = handlers
    this.address = socket.remoteAddress ?? ''
    this.idleSinceMs = handlers.getNowMs()
    this.#parse = takeParser(socket)
    socket.on('data', (chunk: Buffer) => { this.#read(chunk) })
    socket.once('close', () => { process.nextTick(() => { this.#handleClose() }) })
  }

  /**
   * Takes over the reading of a connection.
   *
   * @param socket - connection for which the server has just raised `connection`
   * @param handlers - parts of the server
   */
  static create (socket: Socket, handlers: ConnectionHandlers): CallerConnection {
    return new CallerConnection(socket, handlers)
  }

  /** Number of requests whose head was read and whose answer has not been sent completely. */
  get openRequests (): number {
    return this.#open.size
  }

  /** Starts a request, or holds it until those before it are answered. */
  add (message: IncomingMessage, response: ServerResponse): void {
    const request: ReceivedRequest = { connection: this, message, response, receivedAtMs: this.#handlers.getNowMs(), bodyBytes: 0, readUntilMs: undefined }
    this.#open.add(request)
    this.#lastRequest = request
    this.idleSinceMs = undefined
    response.once('close', () => { this.#handleAnswered(request) })
    if (this.#isEnding) return
    this.#waiting.push(request)
    this.#startWaiting()
  }

  /** Starts no further request, and closes the connection when those that were started are answered. */
  end (): void {
    this.#isEnding = true
    this.#waiting.length = 0
    if (this.#started.size === 0) this.#close()
  }

  /**
   * Ends the connection after bytes that cannot be parsed. A request whose body they were part of is given up.
   *
   * @param farewell - bytes to send before it closes
   */
  endBroken (farewell: string): void {
    this.#farewell = farewell
    for (const request of this.#started) if (!request.message.complete) this.#started.delete(request)
    this.end()
  }

  /** Closes the connection at once. */
  destroy (): void {
    this.socket.destroy()
  }

  /**
   * Notes how much the caller has read.
   *
   * @param nowMs - monotonic time in ms
   */
  checkProgress (nowMs: number): void {
    const { bytesWritten, writableLength } = this.socket
    const sentBytes = bytesWritten - writableLength
    if (writableLength === 0) this.stalledSinceMs = undefined
    else if (sentBytes !== this.#sentBytes || this.stalledSinceMs === undefined) this.stalledSinceMs = nowMs
    this.#sentBytes = sentBytes
  }

  /** Whether the caller has left a body incomplete for longer than it waits for the answer. */
  isBodyOverdue (nowMs: number): boolean {
    const request = this.#lastRequest
    return request?.readUntilMs !== undefined && !request.message.complete && nowMs > request.readUntilMs
  }

  /** Whether further requests stay unread. */
  get #isHolding (): boolean {
    return this.#waiting.length > 0 || (this.#isEnding && !this.#isReadingBody)
  }

  /** Whether the body of a started request is incomplete. */
  get #isReadingBody (): boolean {
    const request = this.#lastRequest
    return request !== undefined && this.#started.has(request) && !request.message.complete
  }

  #read (chunk: Buffer): void {
    this.#noteHeld(0)
    let start = 0
    while (start < chunk.length) {
      if (this.socket.destroyed) return
      // A message that nobody reads yet, or answers that wait to be sent, also pause the socket; what paused it resumes it.
      const isPaused = this.socket.isPaused()
      if (isPaused || this.#isHolding) {
        this.#hold(start === 0 ? chunk : chunk.subarray(start), isPaused)
        return
      }
      const end = start + this.#computePieceBytes()
      this.#parse(chunk.subarray(start, end))
      start = end
    }
    this.#paceDropping()
  }

  /** Reads the next part of a body whose request has its answer when it is this connection's turn. */
  #paceDropping (): void {
    const request = this.#lastRequest
    if (request === undefined || request.message.complete || !request.response.writableEnded || request.message.isPaused()) return
    // `node:http` reads from the socket whenever the message is read.
    request.message.pause()
    this.#handlers.awaitTurn(() => { request.message.resume() })
  }

  #computePieceBytes (): number {
    const request = this.#lastRequest
    if (request === undefined || request.message.complete) return PIECE_BYTES
    const declared = Number(request.message.headers['content-length'] ?? 0)
    return Math.max(PIECE_BYTES, declared - request.bodyBytes - request.message.readableLength)
  }

  #hold (rest: Buffer, isPaused: boolean): void {
    if (!isPaused) {
      this.#hasPaused = true
      this.socket.pause()
    }
    if (this.#isEnding) return
    if (this.#noteHeld(rest.length)) {
      this.socket.unshift(rest)
    } else {
      this.#noteHeld(0)
      this.end()
    }
  }

  /** Records the bytes that wait in the socket. */
  #noteHeld (bytes: number): boolean {
    const change = bytes - this.#heldBytes
    this.#heldBytes = bytes
    return change === 0 || this.#handlers.noteHeld(change)
  }

  #startWaiting (): void {
    while (this.#waiting.length > 0 && this.#hasRoom()) {
      const request = this.#waiting.shift()!
      this.#started.add(request)
      this.#handlers.start(request)
    }
  }

  #hasRoom (): boolean {
    return this.#started.size === 0 || (this.#started.size < this.#handlers.getRequestsAhead() && this.#handlers.mayRunAhead())
  }

  #handleAnswered (request: ReceivedRequest): void {
    if (!this.#open.delete(request)) return
    this.#started.delete(request)
    if (this.socket.destroyed) return
    if (this.#open.size === 0) this.idleSinceMs = this.#handlers.getNowMs()
    if (!this.#isEnding) this.#startWaiting()
    else if (this.#started.size === 0) this.#close()
    if (!this.#isHolding && this.#hasPaused) {
      this.#hasPaused = false
      this.socket.resume()
    }
  }

  #close (): void {
    if (this.#farewell !== '' && this.socket.writable) this.socket.write(this.#farewell)
    this.socket.destroySoon()
  }

  #handleClose (): void {
    this.#noteHeld(0)
    this.#waiting.length = 0
    closeResponses([...this.#open].map(({ response }) => response))
  }
}
