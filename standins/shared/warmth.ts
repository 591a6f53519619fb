/** Cold start: the number of concurrent requests that a stand-in can handle as it warms up. */

/** Limits of a stand-in during a cold start. */
export interface WarmthOptions {
  /** Concurrent requests that can be handled when cold. */
  readonly coldCap: number
  /** Concurrent requests that can be handled at the end of a cold start. */
  readonly warmCap: number
  /** Time from cold to warm in ms. */
  readonly warmMs: number
}

/** Warmth, which rises linearly from 0 to 1 over `warmMs`. */
export class Warmth {
  readonly #options: WarmthOptions
  #coldAtMs: number

  private constructor (options: WarmthOptions, coldAtMs: number) {
    this.#options = options
    this.#coldAtMs = coldAtMs
  }

  /**
   * @param options - limits
   * @param nowMs - monotonic time in ms
   * @param startsWarm - whether to start warm
   * @returns warmth of a newly started stand-in
   */
  static create (options: WarmthOptions, nowMs: number, startsWarm: boolean): Warmth {
    return new Warmth(options, startsWarm ? -Infinity : nowMs)
  }

  /** @param nowMs - monotonic time in ms from which the stand-in is cold again */
  resetToCold (nowMs: number): void {
    this.#coldAtMs = nowMs
  }

  /**
   * @param nowMs - monotonic time in ms
   * @returns warmth from 0 (cold) to 1 (warm)
   */
  computeWarmth (nowMs: number): number {
    if (this.#options.warmMs <= 0) return 1
    return Math.min(1, Math.max(0, (nowMs - this.#coldAtMs) / this.#options.warmMs))
  }

  /**
   * @param nowMs - monotonic time in ms
   * @returns concurrent requests that can be handled without a crash; unlimited when warm
   */
  computeCap (nowMs: number): number {
    const warmth = this.computeWarmth(nowMs)
    if (warmth >= 1) return Infinity
    const { coldCap, warmCap } = this.#options
    return Math.floor(coldCap + (warmCap - coldCap) * warmth)
  }
}
