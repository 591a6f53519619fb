import { STATUS_CODES } from 'node:http'
import type { ServerResponse } from 'node:http'
import { ERROR_RESPONSES } from '../../kernel/errors.js'
import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import type { HeaderList } from '../../protocol/messages.js'

/** Unsent answer bytes above which a slow caller is cut off. */
const CALLER_BUFFER_MAX_BYTES = 4 * 1024 * 1024

/** What an error answer says. */
export interface ErrorReply {
  readonly error: ErrorKind
  readonly outcome: Outcome
  /** Whether this send of the request left the entry. */
  readonly forwarded: boolean
  readonly retryAfterMs?: number
}

/** The answer to one caller's request. */
export class CallerExchange {
  readonly requestId: string
  readonly #response: ServerResponse
  #eventStream = false

  private constructor (requestId: string, response: ServerResponse) {
    this.requestId = requestId
    this.#response = response
  }

  /**
   * @param requestId - sent back in each answer
   * @param response - the caller's response, taken over from the framework
   * @returns the exchange
   */
  static create (requestId: string, response: ServerResponse): CallerExchange {
    return new CallerExchange(requestId, response)
  }

  /** Whether the answer is an event stream; known once its head was written. */
  get isEventStream (): boolean {
    return this.#eventStream
  }

  /**
   * @param status - status of the endpoint's answer
   * @param headers - headers of the endpoint's answer; those named `heatherdoor-` are left out
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
    response.flushHeaders()
  }

  /**
   * @param data - next part of the body
   */
  writeChunk (data: Uint8Array): void {
    this.#response.write(data)
    // A caller that stops reading would otherwise hold the whole answer in memory.
    if (this.#response.writableLength > CALLER_BUFFER_MAX_BYTES) this.#response.destroy()
  }

  /**
   * Answers with a value of the entry itself.
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

  /** Ends a whole answer. */
  end (): void {
    this.#response.end()
  }

  /**
   * Refuses a request that the kernel never sees. With an idempotency key an
   * earlier send of the same key may have run, so the outcome is unknown.
   *
   * @param error - why
   * @param hasKey - whether the request bears an idempotency key
   * @returns the outcome that was told
   */
  refuse (error: ErrorKind, hasKey: boolean): Outcome {
    const outcome = hasKey ? 'unknown' : 'not-run'
    this.writeError({ error, outcome, forwarded: false })
    return outcome
  }

  /**
   * Answers with an error. After the head was sent an event stream gets the
   * error as its last event; any other answer is cut by closing the connection,
   * so that the caller cannot take it for a whole one.
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
 * Answer on a connection whose request could not be parsed; the connection ends after it.
 *
 * @param requestId - sent back in the answer
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
