/**
 * Permits for requests to one endpoint, granted by the process on its host. There is
 * exactly one such process for each endpoint, so the limits need no agreement between
 * gateways on how many they are, on whether the endpoint is cold, or on what it said.
 */

import { computeNamedBudget } from './limit-budgets.js'
import { STATEMENT_TTL_MS } from './named-limits.js'
import type { SharedStatement } from './named-limits.js'

/** Rate and burst of the permits of an endpoint. */
export interface PermitRate {
  readonly perS: number
  /** Permits that may be granted at once; at least 1. */
  readonly burst: number
  /** What the endpoint last said about the rate that it takes; absent when it said nothing. */
  readonly named?: SharedStatement
}

/** Answer to a request for a permit. */
export type PermitReply =
  /** The request may be sent after `delayMs`; `load` is the number of requests that the endpoint held before, when it was asked for and is known. */
  | { readonly kind: 'granted', readonly delayMs: number, readonly load?: number }
  /** Nothing was reserved; a permit is free in `retryMs` unless others take it. */
  | { readonly kind: 'denied', readonly retryMs: number }
  /** Nothing was reserved: the endpoint holds more requests than the asking gateway accepts, or has no memory for the request. */
  | { readonly kind: 'busy', readonly load: number }

/** Grants at most `burst + perS * t` permits in any period of `t` seconds, also across a restart of the process. */
export class PermitBucket {
  /** Time in ms at which every permit granted so far is paid for at the rate; undefined before the first request. */
  #paidAtMs: number | undefined
  readonly #createdAtMs: number
  /** Newest statement of the endpoint that a gateway passed on. */
  #named: { readonly perS: number | null, readonly atMs: number } | undefined

  private constructor (nowMs: number) {
    this.#createdAtMs = nowMs
  }

  /**
   * @param nowMs - monotonic time in ms
   * @returns a bucket without a burst, as it is unknown what was granted before
   */
  static create (nowMs: number): PermitBucket {
    return new PermitBucket(nowMs)
  }

  /**
   * Reserves the next permit.
   *
   * @param rate - limits of the endpoint as the gateway knows them; a lower one that another gateway passed on counts as well
   * @param waitMaxMs - longest time in ms for which the request can wait
   * @param nowMs - monotonic time in ms
   */
  reserve (rate: PermitRate, waitMaxMs: number, nowMs: number): PermitReply {
    const { perS, burst } = this.#applyNamed(rate, nowMs)
    const intervalMs = 1_000 / perS
    const burstMs = (burst - 1) * intervalMs
    const paidAtMs = Math.max(nowMs, this.#paidAtMs ?? this.#createdAtMs + burstMs + intervalMs)
    const delayMs = Math.max(0, paidAtMs - burstMs - nowMs)
    if (delayMs > waitMaxMs) return { kind: 'denied', retryMs: delayMs }
    this.#paidAtMs = paidAtMs + intervalMs
    return { kind: 'granted', delayMs }
  }

  #applyNamed ({ perS, burst, named }: PermitRate, nowMs: number): PermitRate {
    if (named !== undefined) this.#noteNamed(named, nowMs)
    if (this.#named === undefined || this.#named.perS === null || nowMs - this.#named.atMs > STATEMENT_TTL_MS) return { perS, burst }
    const { permits } = computeNamedBudget(this.#named.perS, true)
    return { perS: Math.min(perS, permits.perS), burst: Math.min(burst, permits.burst) }
  }

  #noteNamed ({ perS, ageMs }: SharedStatement, nowMs: number): void {
    const atMs = nowMs - ageMs
    if (this.#named !== undefined && this.#named.atMs >= atMs) return
    // What was owed at a lower rate would keep requests away after the limit has risen or ended.
    if (this.#paidAtMs !== undefined && (perS ?? Infinity) > (this.#named?.perS ?? Infinity)) this.#paidAtMs = Math.min(this.#paidAtMs, nowMs)
    this.#named = { perS, atMs }
  }
}
