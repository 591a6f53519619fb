/** How warm the endpoint is, and how much it may be given. */

import type { EndpointReport } from '../../kernel/events.js'

/** Weight of a new observation in the moving averages. */
const AVERAGE_WEIGHT = 0.1
/** First-byte time above this multiple of its average shows a cold endpoint. */
const COLD_FACTOR = 4
/** Shorter first-byte times are not taken as a sign of a cold start. */
const COLD_FLOOR_MS = 200
/** Observations before the average counts. */
const OBSERVATIONS_MIN = 10
/** Time in ms from cold to warm without traffic. */
const RAMP_MS = 60_000
/** Warmth gained by each first byte in normal time. */
const RAMP_STEP = 0.1

/** Warmth of one endpoint: the lower of its report and of what was observed here. */
export class Warmth {
  #startId: string | undefined
  #reported = 0
  #observed = 1
  #healthy = true
  #firstByteMs = 0
  #observations = 0
  #tickMs: number | undefined

  private constructor () {}

  /** @returns the warmth of an endpoint that has not reported yet: cold */
  static create (): Warmth {
    return new Warmth()
  }

  get value (): number { return Math.min(this.#reported, this.#observed) }
  get healthy (): boolean { return this.#healthy }

  /**
   * @param caps - caps of the endpoint when warm and in a cold start
   * @returns the largest count of concurrent requests now
   */
  computeCap (caps: { readonly warmCap: number, readonly coldCap: number }): number {
    return caps.coldCap + Math.floor((caps.warmCap - caps.coldCap) * this.value)
  }

  /** @returns whether the endpoint was started anew since the last report */
  noteReport (report: EndpointReport): boolean {
    const isNewStart = this.#startId !== undefined && this.#startId !== report.startId
    // Reports lag: a warm report right after a new start may describe the old one.
    if (isNewStart) this.#observed = 0
    this.#startId = report.startId
    this.#reported = Math.min(1, Math.max(0, report.warmth))
    this.#healthy = report.healthy
    return isNewStart
  }

  noteCrash (): void {
    this.#healthy = false
    this.#observed = 0
  }

  /** Warms over time while the endpoint shows no sign of a cold start. */
  noteTick (nowMs: number): void {
    if (this.#tickMs !== undefined && this.#healthy) this.#observed = Math.min(1, this.#observed + (nowMs - this.#tickMs) / RAMP_MS)
    this.#tickMs = nowMs
  }

  /** @returns whether waiting this long for the first byte shows a cold start */
  isSlow (elapsedMs: number): boolean {
    return this.#observations >= OBSERVATIONS_MIN && elapsedMs > Math.max(COLD_FLOOR_MS, COLD_FACTOR * this.#firstByteMs)
  }

  /** @returns whether the endpoint was taken for warmer before */
  noteSlow (): boolean {
    const wasWarm = this.#observed > 0
    this.#observed = 0
    return wasWarm
  }

  noteFirstByte (elapsedMs: number): void {
    if (this.isSlow(elapsedMs)) this.noteSlow()
    else this.#observed = Math.min(1, this.#observed + RAMP_STEP)
    // Bounded, so that one cold start does not raise the average enough to hide the next.
    const bounded = this.#observations >= OBSERVATIONS_MIN ? Math.min(elapsedMs, Math.max(COLD_FLOOR_MS, COLD_FACTOR * this.#firstByteMs)) : elapsedMs
    this.#firstByteMs += (bounded - this.#firstByteMs) * (this.#observations === 0 ? 1 : AVERAGE_WEIGHT)
    this.#observations += 1
  }
}
