/** HTTP calls to the platform and what a failed one means. */

import type { SecureContextOptions } from 'node:tls'
import { Agent, buildConnector } from 'undici'

/** What the transport is created with. */
export interface TransportOptions {
  readonly urls: readonly string[]
  readonly timeoutMs: number
  readonly credential?: string
  /** Gives the TLS options for each new connection; may give renewed ones. */
  readonly tls?: () => SecureContextOptions
}

/** Connections to each platform URL, the watches' included. */
const CONNECTIONS_MAX = 16

/** One call. */
export interface TransportCall {
  readonly method: 'GET' | 'PUT' | 'DELETE'
  /** Path with query. */
  readonly path: string
  /** Expected revision of a conditional update. */
  readonly revision?: number
  readonly body?: string
  /** Time that the platform may hold the call, added to the limit, in ms. */
  readonly longPollMs?: number
  readonly signal?: AbortSignal
}

/** What came of a call. */
export type TransportResult =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  /** No byte of the request reached the platform. */
  | { readonly kind: 'unsent' }
  /** The request may have reached the platform; its answer is lost. */
  | { readonly kind: 'lost' }

/** No connection was made or its TLS handshake failed, so nothing was sent. */
class ConnectError extends Error {}

/** Sends calls to the first URL that can be reached. */
export class PlatformTransport {
  readonly #options: TransportOptions
  /** Former agents whose calls have not ended yet. */
  readonly #closingAgents = new Set<Agent>()
  #agent: Agent
  #urlIndex = 0

  private constructor (options: TransportOptions) {
    this.#options = options
    this.#agent = buildAgent(options)
  }

  /**
   * @param options - URLs, time limit and connections
   * @returns a transport
   * @throws RangeError when there is no URL
   */
  static create (options: TransportOptions): PlatformTransport {
    if (options.urls.length === 0) throw new RangeError('the platform has no URL')
    return new PlatformTransport(options)
  }

  /**
   * Sends a call; a read or an unsent call is tried once at each URL.
   *
   * @param call - method, path and body
   * @returns what came of it
   */
  async send (call: TransportCall): Promise<TransportResult> {
    let result: TransportResult = { kind: 'unsent' }
    for (let tries = 0; tries < this.#options.urls.length; tries += 1) {
      result = await this.#sendOnce(call)
      if (result.kind === 'answered' && result.status < 500) return result
      this.#urlIndex = (this.#urlIndex + 1) % this.#options.urls.length
      const isRepeatable = call.method === 'GET' || result.kind === 'unsent'
      if (!isRepeatable || call.signal?.aborted === true) return result
    }
    return result
  }

  /** Closes the connections; calls in flight fail. */
  async close (): Promise<void> {
    await Promise.all([this.#agent, ...this.#closingAgents].map(async agent => { await agent.destroy() }))
  }

  async #sendOnce (call: TransportCall): Promise<TransportResult> {
    const agent = this.#agent
    const controller = new AbortController()
    const abort = (): void => { controller.abort() }
    const timer = setTimeout(() => {
      this.#replaceAgent(agent)
      abort()
    }, this.#options.timeoutMs + (call.longPollMs ?? 0))
    if (call.signal?.aborted === true) abort()
    call.signal?.addEventListener('abort', abort)
    try {
      const result = await agent.request({
        origin: this.#options.urls[this.#urlIndex]!,
        path: call.path,
        method: call.method,
        headers: this.#buildHeaders(call),
        body: call.body ?? null,
        signal: controller.signal
      })
      const text = await result.body.text()
      return { kind: 'answered', status: result.statusCode, body: parseJson(text) }
    } catch (error) {
      return { kind: error instanceof ConnectError ? 'unsent' : 'lost' }
    } finally {
      clearTimeout(timer)
      call.signal?.removeEventListener('abort', abort)
    }
  }

  /**
   * Takes new connections for later calls. After a call without an answer all
   * open connections may be silent for good while new ones work, and each of
   * them would cost one time limit.
   */
  #replaceAgent (agent: Agent): void {
    if (agent !== this.#agent) return
    this.#agent = buildAgent(this.#options)
    this.#closingAgents.add(agent)
    const removeClosed = (): void => { this.#closingAgents.delete(agent) }
    agent.close().then(removeClosed, removeClosed)
  }

  #buildHeaders (call: TransportCall): Record<string, string> {
    return {
      ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(call.revision === undefined ? {} : { 'if-match': String(call.revision) }),
      ...(this.#options.credential === undefined ? {} : { authorization: `Bearer ${this.#options.credential}` })
    }
  }
}

function buildAgent ({ timeoutMs, tls }: TransportOptions): Agent {
  const connect: buildConnector.connector = (options, callback) => {
    buildConnector({ timeout: timeoutMs, ...tls?.() })(options, (...[error, socket]) => {
      if (error === null) callback(null, socket)
      else callback(new ConnectError(error.message), null)
    })
  }
  return new Agent({ connections: CONNECTIONS_MAX, connect })
}

/** An answer that is not JSON has no usable body. */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
