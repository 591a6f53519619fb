/**
 * Computes when a refused caller should retry. Covers two cases: overload, where
 * retries should not arrive while requests are still being refused, and a group
 * that has lost a rank, which runs nothing for several seconds.
 */

import { assertNever } from '../../kernel/errors.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { NamedWindows } from './window.js'

/** Window in ms over which the share of refused requests is measured. */
const REFUSAL_WINDOW_MS = 1_000

/** Shortest wait in ms: a slot becomes free within about a tenth of the duration of a request. */
const BASE_WAIT_MS = 200

/** Additional wait in ms when every request is refused: about the duration of a request. */
const LOAD_WAIT_MS = 2_000

/** Wait in ms while a service has lost endpoints: restarting one and forming its group again take seconds. */
const RECOVERY_WAIT_MS = 2_000

/** Largest random extension of a wait, as a share of it, so that callers do not retry all at once. */
const JITTER = 0.5

/** Time in ms after the expected end of an outage at which the first callers come back. */
const RETURN_MARGIN_MS = 200

/** Why a request that did not run is refused. */
export type RefusalCause =
  /** No endpoint has a free slot. */
  | { readonly kind: 'full' }
  /** No endpoint is usable, or the group of the endpoint has lost a rank; `remainingMs` is the time until one is expected to be, and `longestMs` the longest wait that callers honour. */
  | { readonly kind: 'lost', readonly remainingMs: number | undefined, readonly longestMs: number }
  /** Every endpoint has named a pause or leaves; the first pause ends after `remainingMs`. */
  | { readonly kind: 'paused', readonly remainingMs: number }

/** Retry delays for refused callers. */
export interface RetryAfterPort {
  noteServed (service: string, nowMs: number): void
  /**
   * Counts a refusal and computes how long its caller should wait.
   *
   * @param fraction - random number from 0 to 1 for the jitter
   * @returns wait before the retry in ms
   */
  computeRetryAfterMs (service: string, cause: RefusalCause, fraction: number, nowMs: number): number
  /** Says between which times in ms the wait of a caller that is refused now would be; counts nothing. */
  explain (service: string, cause: RefusalCause, nowMs: number): RetryRange
}

/** Times in ms between which callers come back at random. */
export interface RetryRange {
  readonly minMs: number
  readonly maxMs: number
}

/** Derives retry delays from the share of refused requests of each service. */
export class RetryAfterPlugin implements Plugin, RetryAfterPort {
  readonly name = 'retryAfter'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'retryAfter'> = { retryAfter: this }
  readonly #served = NamedWindows.create(REFUSAL_WINDOW_MS)
  readonly #refused = NamedWindows.create(REFUSAL_WINDOW_MS)

  private constructor () {}

  /** @returns a plug-in without counts */
  static create (): RetryAfterPlugin {
    return new RetryAfterPlugin()
  }

  handle (): void {}

  noteServed (service: string, nowMs: number): void {
    this.#served.get(service).add(nowMs)
  }

  computeRetryAfterMs (service: string, cause: RefusalCause, fraction: number, nowMs: number): number {
    this.#refused.get(service).add(nowMs)
    return computeWaitMs(cause, this.#computeRefusedShare(service, this.#refused.count(service, nowMs), nowMs), fraction)
  }

  explain (service: string, cause: RefusalCause, nowMs: number): RetryRange {
    const share = this.#computeRefusedShare(service, this.#refused.count(service, nowMs) + 1, nowMs)
    return { minMs: computeWaitMs(cause, share, 0), maxMs: computeWaitMs(cause, share, 1) }
  }

  #computeRefusedShare (service: string, refused: number, nowMs: number): number {
    return refused / (refused + this.#served.count(service, nowMs))
  }
}

function computeWaitMs (cause: RefusalCause, share: number, fraction: number): number {
  switch (cause.kind) {
    case 'full': return (BASE_WAIT_MS + LOAD_WAIT_MS * share) * (1 + JITTER * fraction)
    case 'lost': return cause.remainingMs === undefined ? Math.min(cause.longestMs, RECOVERY_WAIT_MS * (1 + JITTER * fraction)) : Math.min(cause.longestMs, Math.max(cause.remainingMs + RETURN_MARGIN_MS, RECOVERY_WAIT_MS * (1 + JITTER * fraction)))
    case 'paused': return cause.remainingMs + BASE_WAIT_MS * (1 + JITTER * fraction)
    default: return assertNever(cause)
  }
}

registerPlugin({ name: 'retryAfter', roles: ['gateway'], create: () => RetryAfterPlugin.create() })
