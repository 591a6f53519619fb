/**
 * One attempt at an endpoint, on a connection of its own. A fresh connection
 * shows before anything is sent whether the endpoint can be reached, so that a
 * request that may run only once can still go elsewhere; and bytes that follow
 * an answer can never meet another request.
 */

import { Agent, request as openRequest } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Address, RawHeaders } from './model.js'

/** Longest time to connect in ms; a first retransmission would come after 1 s. */
const CONNECT_TIMEOUT_MS = 300

/** Why an attempt ended without a whole answer. */
export type AttemptFailure =
  /** No byte of the request was sent. */
  | { readonly kind: 'unreachable', readonly reason: string }
  /** The request may have run. */
  | { readonly kind: 'broken', readonly reason: string }

/** Receives what becomes of an attempt; nothing after an abort. */
export interface AttemptHandlers {
  handleHead (status: number, headers: RawHeaders): void
  handleData (chunk: Buffer): void
  handleEnd (): void
  handleFailure (failure: AttemptFailure): void
}

/** What is sent. */
export interface AttemptOptions {
  readonly address: Address
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
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
    const { address, method, path, headers, body } = options
    this.#handlers = handlers
    this.#request = openRequest({ host: address.host, port: address.port, method, path, headers, agent, setHost: false })
    this.#timer = setTimeout(() => { this.#fail('connect timeout') }, CONNECT_TIMEOUT_MS)
    this.#request.on('socket', socket => {
      socket.once('connect', () => {
        this.#isConnected = true
        clearTimeout(this.#timer)
      })
      // A reset that arrives together with data is reported as a plain end; only the
      // missing peer address tells them apart. An answer without a length ends with its
      // connection, so a reset would make a part of it look whole.
      socket.prependOnceListener('end', () => { if (socket.remoteAddress === undefined) this.#fail('connection reset') })
    })
    this.#request.on('response', response => { this.#handleResponse(response) })
    this.#request.on('error', error => { this.#fail(error.message) })
    this.#request.on('close', () => { this.#fail('connection closed') })
    this.#request.end(body)
  }

  /**
   * Connects and sends.
   *
   * @param options - where to and what
   * @param handlers - told what becomes of it
   * @returns the attempt
   * @throws TypeError when path or headers hold characters that HTTP does not allow
   */
  static create (options: AttemptOptions, handlers: AttemptHandlers): Attempt {
    return new Attempt(options, handlers)
  }

  /** Whether bytes of the request may have reached the endpoint. */
  get isSent (): boolean {
    return this.#isConnected
  }

  /** Closes the connection; handlers hear nothing more. */
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
      if (!response.complete) this.#fail('answer cut')
      else this.#finish()
    })
    response.on('error', error => { this.#fail(error.message) })
    response.on('aborted', () => { this.#fail('answer cut') })
    this.#handlers.handleHead(response.statusCode ?? 0, response.rawHeaders)
  }

  #finish (): void {
    if (this.#isDone) return
    this.#isDone = true
    this.#handlers.handleEnd()
    // An endpoint may go on reading the request after its answer; the connection serves nothing else.
    this.#request.destroy()
  }

  #fail (reason: string): void {
    if (this.#isDone) return
    this.#isDone = true
    clearTimeout(this.#timer)
    this.#request.destroy()
    this.#handlers.handleFailure({ kind: this.#isConnected ? 'broken' : 'unreachable', reason })
  }
}
