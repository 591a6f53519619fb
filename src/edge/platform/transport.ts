/** HTTP calls to the platform and what a failed one means. */

import { errors } from 'undici'
import type { Agent } from 'undici'

/** What the transport is created with. */
export interface TransportOptions {
  readonly urls: readonly string[]
  readonly timeoutMs: number
  readonly credential?: string
  readonly agent: Agent
}

/** One call. */
export interface TransportCall {
  readonly method: 'GET' | 'PUT' | 'DELETE'
  /** Path with query. */
  readonly path: string
  /** Expected revision of a conditional update. */
  readonly revision?: number
  readonly body?: string
  /** Time that the platform may hold the call, added to the limit, in ms. */
  readonly heldMs?: number
  readonly signal?: AbortSignal
}

/** What came of a call. */
export type TransportAnswer =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  /** No byte of the request reached the platform. */
  | { readonly kind: 'unsent' }
  /** The request may have reached the platform; its answer is lost. */
  | { readonly kind: 'lost' }

/** Sends calls to the first URL that can be reached. */
export class PlatformTransport {
  readonly #options: TransportOptions
  #index = 0

  private constructor (options: TransportOptions) {
    this.#options = options
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
  async send (call: TransportCall): Promise<TransportAnswer> {
    let answer: TransportAnswer = { kind: 'unsent' }
    for (let tries = 0; tries < this.#options.urls.length; tries += 1) {
      answer = await this.#sendOnce(call)
      if (answer.kind === 'answered' && answer.status < 500) return answer
      this.#index = (this.#index + 1) % this.#options.urls.length
      const isRepeatable = call.method === 'GET' || answer.kind === 'unsent'
      if (!isRepeatable || call.signal?.aborted === true) return answer
    }
    return answer
  }

  /** Closes the connections; calls in flight fail. */
  async close (): Promise<void> {
    await this.#options.agent.destroy()
  }

  async #sendOnce (call: TransportCall): Promise<TransportAnswer> {
    const controller = new AbortController()
    const abort = (): void => { controller.abort() }
    const timer = setTimeout(abort, this.#options.timeoutMs + (call.heldMs ?? 0))
    if (call.signal?.aborted === true) abort()
    call.signal?.addEventListener('abort', abort)
    try {
      const answer = await this.#options.agent.request({
        origin: this.#options.urls[this.#index]!,
        path: call.path,
        method: call.method,
        headers: this.#buildHeaders(call),
        body: call.body ?? null,
        signal: controller.signal
      })
      const text = await answer.body.text()
      return { kind: 'answered', status: answer.statusCode, body: parseJson(text) }
    } catch (error) {
      return { kind: isUnsent(error) ? 'unsent' : 'lost' }
    } finally {
      clearTimeout(timer)
      call.signal?.removeEventListener('abort', abort)
    }
  }

  #buildHeaders (call: TransportCall): Record<string, string> {
    return {
      ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(call.revision === undefined ? {} : { 'if-match': String(call.revision) }),
      ...(this.#options.credential === undefined ? {} : { authorization: `Bearer ${this.#options.credential}` })
    }
  }
}

/** An answer that is not JSON has no usable body. */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

const CONNECT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

function isUnsent (error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true
  const code = (error as { readonly code?: unknown }).code
  return typeof code === 'string' && CONNECT_CODES.has(code)
}
