import { STATUS_CODES } from 'node:http'
import type { ServerResponse } from 'node:http'
import { ERROR_RESPONSES } from '../../kernel/errors.js'
import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import type { HeaderList } from '../../protocol/messages.js'
import type { HeldAnswer, HeldBytes } from './held-bytes.js'

/** Maximum number of unsent response bytes; a slow caller is disconnected above it. */
const CALLER_BUFFER_MAX_BYTES = 4 * 1024 * 1024

/** Content of an error response. */
export interface ErrorReply {
  readonly error: ErrorKind
  readonly outcome: Outcome
  /** Whether the entry forwarded this request; it says nothing about an earlier one with the same idempotency key. */
  readonly forwarded: boolean
  readonly retryAfterMs?: number
}

/** Writes the response to one caller's request. */
export class CallerExchange implements HeldAnswer {
  readonly requestId: string
  readonly #response: ServerResponse
  readonly #held: HeldBytes | undefined
  #eventStream = false

  private constructor (requestId: string, response: ServerResponse, held: HeldBytes | undefined) {
    this.requestId = requestId
    this.#response = response
    this.#held = held
  }

  /**
   * @param requestId - sent back in every response
   * @param response - the caller's response, taken over from the framework
   * @param held - counts what the response has not sent; not counted when absent
   * @returns the exchange
   */
  static create (requestId: string, response: ServerResponse, held?: HeldBytes): CallerExchange {
    return new CallerExchange(requestId, response, held)
  }

  /** Whether the response is an event stream; known once its head was written. */
  get isEventStream (): boolean {
    return this.#eventStream
  }

  /**
   * Writes the head of the endpoint's response.
   *
   * @param status - status code
   * @param headers - headers; those that start with `heatherdoor-` are left out
   */
  writeHead (status: number, headers: HeaderList): void {
    const response = this.#response
    response.statusCode = status
    for (const [name, value] of headers) {
      if (!name.startsWith('heatherdoor-')) response.appendHeader(name, value)
    }
    this.#eventStream = String(response.getHeader('content-type') ?? '').startsWith('text/event-stream')
    response.setHeader('heatherdoor-request-id', this.requestId)
    response.setHeader('heatherdoor-outcome', 'run')
    if (this.#held !== undefined) response.once('close', () => { this.#held?.removeAnswer(this) })
    response.flushHeaders()
  }

  /**
   * Writes the next part of the endpoint's response.
   *
   * @param data - part of the body
   */
  writeChunk (data: Uint8Array): void {
    this.#response.write(data)
    // Otherwise the whole response would be buffered for a caller that stops reading.
    if (this.#response.writableLength > CALLER_BUFFER_MAX_BYTES) this.#response.destroy()
    else if (!this.#response.destroyed) this.#held?.noteAnswer(this)
  }

  countUnsent (): number {
    return this.#response.writableLength
  }

  abandon (): void {
    // A response that waits for an earlier one has no connection yet, so that it could not be broken off.
    this.#response.req.socket.destroy()
  }

  /**
   * Responds with a value that the entry itself provides.
   *
   * @param value - sent as JSON
   */
  writeJson (value: unknown): void {
    const response = this.#response
    response.setHeader('content-type', 'application/json')
    response.setHeader('cache-control', 'no-store')
    response.setHeader('heatherdoor-request-id', this.requestId)
    response.end(JSON.stringify(value))
  }

  /** Ends a complete response. */
  end (): void {
    this.#response.end()
  }

  /**
   * Refuses a request that is not passed to the kernel. With an idempotency key
   * the outcome is `unknown`, since an earlier request with the same key may have run.
   *
   * @param error - reason of the refusal
   * @param hasKey - whether the request has an idempotency key
   * @returns the outcome sent to the caller
   */
  refuse (error: ErrorKind, hasKey: boolean): Outcome {
    const outcome = hasKey ? 'unknown' : 'not-run'
    this.writeError({ error, outcome, forwarded: false })
    return outcome
  }

  /**
   * Sends an error response. If the head was already sent, an event stream gets
   * the error as its last event; for any other response the connection is closed,
   * so that the caller cannot take the truncated response for a complete one.
   *
   * @param reply - kind, outcome and whether the request was forwarded
   */
  writeError (reply: ErrorReply): void {
    const body = JSON.stringify({ error: describeError(this.requestId, reply) })
    const response = this.#response
    if (response.headersSent) {
      if (this.#eventStream) response.end(`event: error\ndata: ${body}\n\n`)
      else response.destroy()
      return
    }
    response.statusCode = ERROR_RESPONSES[reply.error].status
    response.setHeader('content-type', 'application/json')
    response.setHeader('heatherdoor-request-id', this.requestId)
    response.setHeader('heatherdoor-outcome', reply.outcome)
    response.setHeader('heatherdoor-send', reply.forwarded ? 'forwarded' : 'not-forwarded')
    if (reply.retryAfterMs !== undefined) response.setHeader('retry-after', String(Math.ceil(reply.retryAfterMs / 1000)))
    response.end(body)
  }
}

/**
 * Formats the error response for a request that could not be parsed; the connection is closed after it.
 *
 * @param requestId - sent back in the response
 * @param reply - kind, outcome and whether the request was forwarded
 * @returns head and body as HTTP text
 */
export function formatRawError (requestId: string, reply: ErrorReply): string {
  const { status } = ERROR_RESPONSES[reply.error]
  const body = JSON.stringify({ error: describeError(requestId, reply) })
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    `heatherdoor-request-id: ${requestId}`,
    `heatherdoor-outcome: ${reply.outcome}`,
    `heatherdoor-send: ${reply.forwarded ? 'forwarded' : 'not-forwarded'}`,
    '',
    body
  ].join('\r\n')
}

function describeError (requestId: string, reply: ErrorReply): Record<string, string> {
  return {
    kind: reply.error,
    message: ERROR_RESPONSES[reply.error].message,
    request_id: requestId,
    outcome: reply.outcome,
    send: reply.forwarded ? 'forwarded' : 'not-forwarded'
  }
}
