/** How warm the endpoint is, and how much it may be given. */

import type { EndpointReport } from '../../kernel/events.js'

/** Weight of a new observation in the moving averages. */
const AVERAGE_WEIGHT = 0.1
/**
 * Weight of a first-byte time that shows a cold start. Small, so that a cold
 * start does not become the new average; not 0, so that a lasting change does.
 */
const SLOW_FIRST_BYTE_WEIGHT = 0.002
/** First-byte time above this multiple of its average shows a cold endpoint. */
const COLD_FACTOR = 4
/** Shorter first-byte times are not taken as a sign of a cold start. */
const COLD_MIN_MS = 200
/** Observations before the average counts. */
const OBSERVATIONS_MIN = 10
/** Slow first bytes in a row that show a cold start; single slow requests are common. */
const SLOW_FIRST_BYTES_MIN = 3
/** Time in ms from cold to warm without a slow first byte. */
const WARM_UP_MS = 30_000
/** Time in ms after a crash for which a report of the crashed start is taken as late. */
const LATE_REPORT_MS = 2_000

/** Warmth of one endpoint: the lower of its report and of what was observed here. */
export class Warmth {
  #startId: string | undefined
  #reported = 0
  #observed = 1
  #healthy = true
  #meanFirstByteMs = 0
  #observations = 0
  #consecutiveSlow = 0
  #lastTickMs: number | undefined
  #crashedAtMs = -Infinity

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
  noteReport (report: EndpointReport, nowMs: number): boolean {
    // A late report of the crashed start would call the endpoint healthy and warm again.
    if (report.startId === this.#startId && nowMs - this.#crashedAtMs < LATE_REPORT_MS) return false
    const isNewStart = this.#startId !== undefined && this.#startId !== report.startId
    // Reports lag: a warm report right after a new start may describe the old one.
    if (isNewStart) this.#observed = 0
    this.#startId = report.startId
    this.#reported = Math.min(1, Math.max(0, report.warmth))
    this.#healthy = report.healthy
    return isNewStart
  }

  noteCrash (nowMs: number): void {
    this.#crashedAtMs = nowMs
    this.#healthy = false
    this.#observed = 0
  }

  /** Warms over time while the endpoint shows no sign of a cold start. */
  noteTick (nowMs: number): void {
    if (this.#lastTickMs !== undefined && this.#healthy) this.#observed = Math.min(1, this.#observed + (nowMs - this.#lastTickMs) / WARM_UP_MS)
    this.#lastTickMs = nowMs
  }

  /** @returns whether waiting this long for the first byte shows a cold start */
  isSlowFirstByte (elapsedMs: number): boolean {
    return this.#observations >= OBSERVATIONS_MIN && elapsedMs > Math.max(COLD_MIN_MS, COLD_FACTOR * this.#meanFirstByteMs)
  }

  /**
   * @param elapsedMs - time to the first byte
   * @returns whether it shows a cold start of an endpoint that was taken for warmer
   */
  noteFirstByte (elapsedMs: number): boolean {
    const isSlowFirstByte = this.isSlowFirstByte(elapsedMs)
    this.#consecutiveSlow = isSlowFirstByte ? this.#consecutiveSlow + 1 : 0
    this.#meanFirstByteMs += (elapsedMs - this.#meanFirstByteMs) * (this.#observations === 0 ? 1 : isSlowFirstByte ? SLOW_FIRST_BYTE_WEIGHT : AVERAGE_WEIGHT)
    this.#observations += 1
    return this.#detectColdStart(this.#consecutiveSlow)
  }

  /**
   * @param elapsedMs - present waits for a first byte
   * @returns whether they show a cold start of an endpoint that was taken for warmer
   */
  noteFirstByteWaits (elapsedMs: readonly number[]): boolean {
    const slow = elapsedMs.filter(elapsed => this.isSlowFirstByte(elapsed)).length
    return slow > 0 && this.#detectColdStart(this.#consecutiveSlow + slow)
  }

  #detectColdStart (slow: number): boolean {
    if (slow < SLOW_FIRST_BYTES_MIN) return false
    this.#consecutiveSlow = 0
    const wasWarm = this.#observed > 0
    this.#observed = 0
    return wasWarm
  }
}
