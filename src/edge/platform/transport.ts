/** HTTP calls to the platform, with failures classified by whether the request may have been received. */

import type { SecureContextOptions } from 'node:tls'
import { Agent, buildConnector } from 'undici'

/** What the transport is created with. */
export interface TransportOptions {
  readonly urls: readonly string[]
  readonly timeoutMs: number
  readonly credential?: string
  /** Returns the TLS options for a new connection, which may have been renewed. */
  readonly tls?: () => SecureContextOptions
}

/** Largest body of a response in bytes; a value has 1 MB at most, and a list several. */
const RESPONSE_BYTES_MAX = 64 * 1024 * 1024

/** Maximum number of connections to each platform URL, including those of watches. */
const CONNECTIONS_MAX = 16

/** One call. */
export interface TransportCall {
  readonly method: 'GET' | 'PUT' | 'DELETE'
  /** Path with query. */
  readonly path: string
  /** Expected revision of a conditional update. */
  readonly revision?: number
  readonly body?: string
  /** Time for which the platform may hold a long poll, in ms; it is added to the timeout. */
  readonly longPollMs?: number
  readonly signal?: AbortSignal
}

/** Result of a call. */
export type TransportResult =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  /** No byte of the request reached the platform. */
  | { readonly kind: 'unsent' }
  /** The request may have reached the platform; the response is lost. */
  | { readonly kind: 'lost' }

/** The connection could not be opened or its TLS handshake failed, so nothing was sent. */
class ConnectError extends Error {}

/** Sends calls to the first URL that can be reached. */
export class PlatformTransport {
  readonly #options: TransportOptions
  /** Replaced agents whose calls have not ended yet. */
  readonly #closingAgents = new Set<Agent>()
  #agent: Agent
  #urlIndex = 0

  private constructor (options: TransportOptions) {
    this.#options = options
    this.#agent = buildAgent(options)
  }

  /**
   * @param options - URLs, timeout, credential and TLS options
   * @returns a transport
   * @throws RangeError when there is no URL
   */
  static create (options: TransportOptions): PlatformTransport {
    if (options.urls.length === 0) throw new RangeError('urls of the platform must not be empty')
    return new PlatformTransport(options)
  }

  /**
   * Sends a call. A read, or a call that was not sent, is tried once at each URL.
   *
   * @param call - method, path and body
   * @returns the last result
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

  /** Closes all connections; calls in progress fail. */
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
      const response = await agent.request({
        origin: this.#options.urls[this.#urlIndex]!,
        path: call.path,
        method: call.method,
        headers: this.#buildHeaders(call),
        body: call.body ?? null,
        signal: controller.signal
      })
      const text = await response.body.text()
      return { kind: 'answered', status: response.statusCode, body: parseJson(text) }
    } catch (error) {
      return { kind: error instanceof ConnectError ? 'unsent' : 'lost' }
    } finally {
      clearTimeout(timer)
      call.signal?.removeEventListener('abort', abort)
    }
  }

  /**
   * Makes later calls use new connections. After a call timed out, all open
   * connections may be dead while new ones work, and each dead connection would
   * cost one more timeout.
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
  return new Agent({ connections: CONNECTIONS_MAX, connect, maxResponseSize: RESPONSE_BYTES_MAX })
}

/** Returns undefined for a body that is not JSON. */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
