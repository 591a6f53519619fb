/**
 * One attempt to send a request to an endpoint, on a new connection. Connecting
 * first shows whether the endpoint is reachable before anything is sent, so that
 * a request that may run only once can still go to another endpoint. As no
 * connection is reused, bytes after an answer cannot be taken for the answer to
 * another request.
 */

import { Agent, request as openRequest } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Address, RawHeaders } from './model.js'

/** Connect timeout in ms; TCP would retransmit the first packet only after 1 s. */
const CONNECT_TIMEOUT_MS = 300

/** Largest head of an answer in bytes; also the limit for its trailers and chunk extensions. */
const HEAD_BYTES_MAX = 64 * 1024

/** Most informational answers (1xx) before the answer itself. */
const INFORMATIONAL_MAX = 8

/** Why an attempt ended without a complete answer. */
export type AttemptFailure =
  /** No byte of the request was sent. */
  | { readonly kind: 'unreachable', readonly reason: string }
  /** The request may have run. */
  | { readonly kind: 'broken', readonly reason: string }

/** Callbacks of an attempt; none is called after an abort. */
export interface AttemptHandlers {
  handleHead (status: number, headers: RawHeaders): void
  handleData (chunk: Buffer): void
  handleEnd (): void
  handleFailure (failure: AttemptFailure): void
}

/** Request to send. */
export interface AttemptOptions {
  readonly address: Address
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
  /** Why the request may no longer be sent, asked once the connection stands. */
  readonly findObstacle?: () => string | undefined
}

const agent = new Agent({ keepAlive: false, noDelay: true })

/** One request to one endpoint. */
export class Attempt {
  readonly #handlers: AttemptHandlers
  readonly #request: ClientRequest
  #timer: NodeJS.Timeout | undefined
  #isConnected = false
  #isDone = false
  #response: IncomingMessage | undefined

  private constructor (options: AttemptOptions, handlers: AttemptHandlers) {
    const { address, method, path, headers, body, findObstacle } = options
    this.#handlers = handlers
    this.#request = openRequest({ host: address.host, port: address.port, method, path, headers, agent, setHost: false, maxHeaderSize: HEAD_BYTES_MAX })
    this.#timer = setTimeout(() => { this.#fail('connect timeout') }, CONNECT_TIMEOUT_MS)
    this.#request.on('socket', socket => {
      socket.once('connect', () => {
        clearTimeout(this.#timer)
        const obstacle = findObstacle?.()
        if (obstacle !== undefined) {
          this.#fail(obstacle)
          return
        }
        this.#isConnected = true
        this.#request.end(body)
      })
      // Node.js reports a reset that arrives together with data as a normal end; only the
      // missing peer address shows the difference. An answer without a length ends when its
      // connection closes, so after a reset a truncated answer would look complete.
      socket.prependOnceListener('end', () => { if (socket.remoteAddress === undefined) this.#failUnlessComplete('connection reset') })
    })
    let informational = 0
    this.#request.on('information', () => {
      informational += 1
      if (informational > INFORMATIONAL_MAX) this.#fail('too many informational answers')
    })
    this.#request.on('response', response => { this.#handleResponse(response) })
    this.#request.on('error', error => { this.#failUnlessComplete(error.message) })
    this.#request.on('close', () => { this.#failUnlessComplete('connection closed') })
  }

  /**
   * Connects to the endpoint and sends the request.
   *
   * @param options - address and request
   * @param handlers - called with the answer or failure
   * @returns the attempt
   * @throws TypeError when the path or headers contain characters that HTTP does not allow
   */
  static create (options: AttemptOptions, handlers: AttemptHandlers): Attempt {
    return new Attempt(options, handlers)
  }

  /** Whether bytes of the request may have reached the endpoint. */
  get isSent (): boolean {
    return this.#isConnected
  }

  /** Bytes sent and received so far. */
  get bytes (): number {
    const { socket } = this.#request
    return socket === null ? 0 : socket.bytesWritten + socket.bytesRead
  }

  /** Closes the connection; no handler is called afterwards. */
  abort (): void {
    if (this.#isDone) return
    this.#isDone = true
    clearTimeout(this.#timer)
    this.#request.destroy()
  }

  pause (): void {
    this.#response?.pause()
  }

  resume (): void {
    this.#response?.resume()
  }

  #handleResponse (response: IncomingMessage): void {
    if (this.#isDone) return
    this.#response = response
    response.on('data', (chunk: Buffer) => { if (!this.#isDone) this.#handlers.handleData(chunk) })
    response.on('end', () => {
      if (!response.complete) this.#fail('answer truncated')
      else this.#finish()
    })
    response.on('error', error => { this.#fail(error.message) })
    response.on('aborted', () => { this.#fail('answer truncated') })
    this.#handlers.handleHead(response.statusCode ?? 0, response.rawHeaders)
  }

  #finish (): void {
    if (this.#isDone) return
    this.#isDone = true
    this.#handlers.handleEnd()
    // The endpoint may still be reading the request after its answer; the connection is not reused.
    this.#request.destroy()
  }

  /** Ignores what follows a complete answer, which may be reported before the end of the answer is. */
  #failUnlessComplete (reason: string): void {
    if (this.#response?.complete !== true) this.#fail(reason)
  }

  #fail (reason: string): void {
    if (this.#isDone) return
    this.#isDone = true
    clearTimeout(this.#timer)
    this.#request.destroy()
    this.#handlers.handleFailure({ kind: this.#isConnected ? 'broken' : 'unreachable', reason })
  }
}
