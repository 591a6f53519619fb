/** Token bucket that also charges calls that are held open. */

/** Rate limit in calls per second, with a burst of one second. */
export class TokenBucket {
  readonly #ratePerS: number
  #tokens: number
  #heldCalls = 0
  #atMs: number

  private constructor (ratePerS: number, nowMs: number) {
    this.#ratePerS = ratePerS
    this.#tokens = ratePerS
    this.#atMs = nowMs
  }

  /**
   * @param ratePerS - calls per second; also the burst size in calls
   * @param nowMs - monotonic time in ms
   * @returns a full bucket
   */
  static create (ratePerS: number, nowMs: number): TokenBucket {
    return new TokenBucket(ratePerS, nowMs)
  }

  /**
   * Takes one token.
   *
   * @param nowMs - monotonic time in ms
   * @returns whether the call is within the limit
   */
  takeToken (nowMs: number): boolean {
    this.#update(nowMs)
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  /**
   * Updates the number of held calls; each of them uses one token per second.
   *
   * @param change - 1 for a call that is held, -1 for one that ended
   * @param nowMs - monotonic time in ms
   */
  updateHeldCalls (change: 1 | -1, nowMs: number): void {
    this.#update(nowMs)
    this.#heldCalls += change
  }

  #update (nowMs: number): void {
    const elapsedS = (nowMs - this.#atMs) / 1000
    this.#atMs = nowMs
    const tokens = this.#tokens + (this.#ratePerS - this.#heldCalls) * elapsedS
    this.#tokens = Math.min(this.#ratePerS, Math.max(0, tokens))
  }
}
