/** Estimates how warm the endpoint is, and derives its cap on concurrent requests. */

import type { EndpointReport } from '../../kernel/events.js'

/** Weight of a new first-byte time in the moving average. */
const AVERAGE_WEIGHT = 0.1
/**
 * Weight of a first-byte time that indicates a cold start. Small, so that a cold
 * start does not raise the average; not 0, so that the average follows a lasting
 * change.
 */
const SLOW_FIRST_BYTE_WEIGHT = 0.002
/** A first-byte time above this multiple of the average indicates a cold endpoint. */
const COLD_FACTOR = 4
/** First-byte times up to this length in ms never indicate a cold start. */
const COLD_MIN_MS = 200
/** Samples needed before the average is used. */
const OBSERVATIONS_MIN = 10
/** Consecutive slow first bytes that indicate a cold start; single slow requests are common. */
const SLOW_FIRST_BYTES_MIN = 3
/** Time in ms in which a cold endpoint becomes warm if no slow first bytes are observed. */
const WARM_UP_MS = 30_000
/** Time in ms after a crash during which reports with the start id of the crashed endpoint are ignored as late. */
const LATE_REPORT_MS = 2_000

/** Warmth of one endpoint, from 0 (cold) to 1 (warm): the lower of the reported and the observed value. */
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

  /** @returns the state of an endpoint that has not reported yet; it is considered cold */
  static create (): Warmth {
    return new Warmth()
  }

  get value (): number { return Math.min(this.#reported, this.#observed) }
  get healthy (): boolean { return this.#healthy }

  /**
   * @param caps - caps of the endpoint when warm and when cold
   * @returns the current cap on concurrent requests
   */
  computeCap (caps: { readonly warmCap: number, readonly coldCap: number }): number {
    return caps.coldCap + Math.floor((caps.warmCap - caps.coldCap) * this.value)
  }

  /** @returns whether the endpoint has restarted since the last report */
  noteReport (report: EndpointReport, nowMs: number): boolean {
    // A late report from before the crash would mark the endpoint healthy and warm again.
    if (report.startId === this.#startId && nowMs - this.#crashedAtMs < LATE_REPORT_MS) return false
    const isNewStart = this.#startId !== undefined && this.#startId !== report.startId
    // Reports lag: a warm report right after a restart may describe the endpoint before it.
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

  /** Raises the observed warmth with the time since the last tick while the endpoint is healthy. */
  noteTick (nowMs: number): void {
    if (this.#lastTickMs !== undefined && this.#healthy) this.#observed = Math.min(1, this.#observed + (nowMs - this.#lastTickMs) / WARM_UP_MS)
    this.#lastTickMs = nowMs
  }

  /** @returns whether a first-byte time of this length in ms indicates a cold start */
  isSlowFirstByte (elapsedMs: number): boolean {
    return this.#observations >= OBSERVATIONS_MIN && elapsedMs > Math.max(COLD_MIN_MS, COLD_FACTOR * this.#meanFirstByteMs)
  }

  /**
   * @param elapsedMs - time to the first byte in ms
   * @returns whether a cold start was detected at an endpoint that was not considered fully cold
   */
  noteFirstByte (elapsedMs: number): boolean {
    const isSlowFirstByte = this.isSlowFirstByte(elapsedMs)
    this.#consecutiveSlow = isSlowFirstByte ? this.#consecutiveSlow + 1 : 0
    this.#meanFirstByteMs += (elapsedMs - this.#meanFirstByteMs) * (this.#observations === 0 ? 1 : isSlowFirstByte ? SLOW_FIRST_BYTE_WEIGHT : AVERAGE_WEIGHT)
    this.#observations += 1
    return this.#detectColdStart(this.#consecutiveSlow)
  }

  /**
   * @param elapsedMs - times in ms for which running work has waited for its first byte
   * @returns whether a cold start was detected at an endpoint that was not considered fully cold
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
