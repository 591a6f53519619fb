/** Cold start: how many concurrent requests a stand-in can handle. */

/** Limits of a stand-in in a cold start and when warm. */
export interface WarmthOptions {
  /** Concurrent requests that can be handled when cold. */
  readonly coldCap: number
  /** Concurrent requests that can be handled when warm. */
  readonly warmCap: number
  /** Time from cold to warm in ms. */
  readonly warmMs: number
}

/** Warmth that rises with time from a start. */
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
   * @param startsWarm - whether to begin warm
   * @returns warmth at its start
   */
  static create (options: WarmthOptions, nowMs: number, startsWarm: boolean): Warmth {
    return new Warmth(options, startsWarm ? -Infinity : nowMs)
  }

  /** @param nowMs - monotonic time in ms at which everything is cold again */
  resetToCold (nowMs: number): void {
    this.#coldAtMs = nowMs
  }

  /**
   * @param nowMs - monotonic time in ms
   * @returns 0 when cold to 1 when warm
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
