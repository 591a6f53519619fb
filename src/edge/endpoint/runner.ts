/**
 * Sends work to the endpoint over HTTP and turns the response into kernel events.
 */

import { Agent, buildConnector, request } from 'undici'
import type { Dispatcher } from 'undici'
import type { KernelEvent } from '../../kernel/events.js'
import type { HeaderList, Submit } from '../../protocol/messages.js'
import { parseServerEvents } from './server-events.js'
import type { Connector } from '../security/tls.js'
import { watchResets } from './resets.js'

/** Maximum number of connections to the endpoint. It is above any cap, because admission limits the concurrency. */
const CONNECTIONS_MAX = 512

/** Server-sent event that ends a complete model stream. */
const STREAM_END = 'data: [DONE]'

/** Hop-by-hop headers, and headers that the HTTP client sets itself. They are not forwarded, except `content-length` of a response. */
const HOP_BY_HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host', 'content-length', 'expect', 'proxy-connection'])

/** What a runner is created with. */
export interface RunnerOptions {
  /** Base URL of the endpoint. */
  readonly url: string
  /** Fencing number sent with each request. */
  readonly fence: number
  readonly dispatch: (event: KernelEvent) => void
  /** Opens TLS connections; plain HTTP when absent. */
  readonly connector?: Connector
}

/** Runs requests on one endpoint. */
export class Runner {
  readonly #options: RunnerOptions
  readonly #agent: Agent
  readonly #aborts = new Map<string, AbortController>()
  /** Number of connections that the endpoint has reset. */
  #resets = 0

  private constructor (options: RunnerOptions) {
    this.#options = options
    this.#agent = new Agent({ connections: CONNECTIONS_MAX, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: watchResets(options.connector ?? buildConnector({}), () => { this.#resets += 1 }) })
  }

  /**
   * @param options - endpoint and event dispatch
   * @returns a runner with no work
   */
  static create (options: RunnerOptions): Runner {
    return new Runner(options)
  }

  /** @returns number of requests running at the endpoint */
  countRunning (): number {
    return this.#aborts.size
  }

  /**
   * Sends work to the endpoint; the response is dispatched as kernel events.
   *
   * @param work - admitted work
   */
  run (work: Submit): void {
    const abort = new AbortController()
    this.#aborts.set(work.workId, abort)
    this.#send(work, abort.signal).finally(() => { this.#aborts.delete(work.workId) })
  }

  /**
   * Closes the connection on which work runs at the endpoint.
   *
   * @param workId - work to abort
   */
  abort (workId: string): void {
    this.#aborts.get(workId)?.abort()
  }

  /** Closes all connections to the endpoint. */
  async stop (): Promise<void> {
    await this.#agent.destroy()
  }

  async #send (work: Submit, signal: AbortSignal): Promise<void> {
    const { dispatch, url } = this.#options
    const { workId } = work
    try {
      const hasBody = work.body.length > 0
      const resetsBefore = this.#resets
      const response = await request(new URL(work.path, url), {
        dispatcher: this.#agent,
        method: work.method as Dispatcher.HttpMethod,
        headers: this.#buildHeaders(work),
        ...(hasBody ? { body: work.body } : {}),
        signal
      })
      if (!isFinalStatus(response.statusCode)) {
        response.body.on('error', () => undefined).destroy()
        throw new Error(`the status ${response.statusCode} is none of HTTP`)
      }
      const headers = listHeaders(response.headers)
      dispatch({ kind: 'endpoint-head', workId, status: response.statusCode, headers })
      if (isEventStream(headers)) await this.#sendEvents(workId, response.body)
      else await this.#sendBody(workId, response.body)
      // Any reset may have cut a body that ends with its connection; a stream has an end of its own.
      if (!isEventStream(headers) && !isFramed(response.headers) && this.#resets !== resetsBefore) throw new Error('connection reset')
      dispatch({ kind: 'endpoint-ended', workId })
    } catch (error) {
      dispatch({ kind: 'endpoint-failed', workId, sent: !isRefusedConnection(error) })
    }
  }

  async #sendBody (workId: string, body: AsyncIterable<Buffer>): Promise<void> {
    for await (const data of body) this.#options.dispatch({ kind: 'endpoint-chunk', workId, data })
  }

  /** Treats a stream without its end event as truncated, even when the connection closed cleanly. */
  async #sendEvents (workId: string, body: AsyncIterable<Buffer>): Promise<void> {
    let last = ''
    for await (const event of parseServerEvents(body)) {
      last = event.toString('utf8').trim()
      this.#options.dispatch({ kind: 'endpoint-chunk', workId, data: event })
    }
    if (last !== STREAM_END) throw new Error('the stream ended without its end event')
  }

  #buildHeaders (work: Submit): Record<string, string> {
    const headers: Record<string, string> = {}
    for (const [name, value] of work.headers) {
      if (!HOP_BY_HOP_HEADERS.has(name)) headers[name] = value
    }
    headers['heatherdoor-fence'] = String(this.#options.fence)
    headers['heatherdoor-priority'] = work.terms.priority
    headers['heatherdoor-request-id'] = work.requestId
    if (work.key !== undefined) headers['idempotency-key'] = work.key.text
    if (work.resumeFrom !== undefined) headers['heatherdoor-resume-from'] = String(work.resumeFrom)
    return headers
  }
}

function listHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): HeaderList {
  return Object.entries(headers)
    .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name) || name === 'content-length')
    .flatMap(([name, value]) => [value ?? []].flat().map(item => [name, item] as const))
}

/** Whether a status ends a request; others show an endpoint in trouble, whose answer is none. */
function isFinalStatus (status: number): boolean {
  return status >= 200 && status <= 599
}

/** Whether the end of the body is known from its length or its chunks. */
function isFramed (headers: Readonly<Record<string, unknown>>): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

function isEventStream (headers: HeaderList): boolean {
  return headers.some(([name, value]) => name === 'content-type' && value.startsWith('text/event-stream'))
}

function isRefusedConnection (error: unknown): boolean {
  const code = (error as { code?: unknown }).code
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH'
}
