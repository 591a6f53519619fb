/**
 * Permits for requests to one endpoint, granted by the process on its host. There is
 * exactly one such process for each endpoint, so the limit needs no agreement between
 * gateways on how many they are or on whether the endpoint is cold.
 */

/** Rate and burst of the permits of an endpoint. */
export interface PermitRate {
  readonly perS: number
  /** Permits that may be granted at once; at least 1. */
  readonly burst: number
}

/** Answer to a request for a permit. */
export type PermitReply =
  /** The request may be sent after `delayMs`. */
  | { readonly kind: 'granted', readonly delayMs: number }
  /** Nothing was reserved; a permit is free in `retryMs` unless others take it. */
  | { readonly kind: 'denied', readonly retryMs: number }

/** Grants at most `burst + perS * t` permits in any period of `t` seconds, also across a restart of the process. */
export class PermitBucket {
  /** Time in ms at which every permit granted so far is paid for at the rate; undefined before the first request. */
  #paidAtMs: number | undefined
  readonly #createdAtMs: number

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
   * @param rate - limits of the endpoint
   * @param waitMaxMs - longest time in ms for which the request can wait
   * @param nowMs - monotonic time in ms
   */
  reserve ({ perS, burst }: PermitRate, waitMaxMs: number, nowMs: number): PermitReply {
    const intervalMs = 1_000 / perS
    const burstMs = (burst - 1) * intervalMs
    const paidAtMs = Math.max(nowMs, this.#paidAtMs ?? this.#createdAtMs + burstMs + intervalMs)
    const delayMs = Math.max(0, paidAtMs - burstMs - nowMs)
    if (delayMs > waitMaxMs) return { kind: 'denied', retryMs: delayMs }
    this.#paidAtMs = paidAtMs + intervalMs
    return { kind: 'granted', delayMs }
  }
}
