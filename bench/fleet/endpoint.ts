import type { VirtualClock } from './clock.js'

/** How a fake endpoint behaves. */
export interface FakeEndpointOptions {
  readonly warmCap: number
  readonly coldCap: number
  /** Time from cold to warm in ms. */
  readonly warmUpMs: number
  /** Time to the first byte of an answer in ms. */
  readonly firstByteMs: number
  /** Time between chunks in ms. */
  readonly chunkMs: number
  readonly chunks: number
  /** Time down after a crash in ms. */
  readonly downMs: number
}

/** What a fake endpoint tells its process. */
export interface RunListener {
  handleHead (): void
  handleChunk (): void
  handleEnd (): void
  handleFailure (): void
}

/**
 * An endpoint that can run `coldCap` requests after a start and falls over when
 * it gets more than it can handle. The cap rises in a straight line to `warmCap`.
 */
export class FakeEndpoint {
  readonly #clock: VirtualClock
  readonly #options: FakeEndpointOptions
  readonly #running = new Map<string, RunListener>()
  readonly #runsByKey = new Map<string, number>()
  #startedAtMs: number
  #startCount = 1
  #up = true
  #crashes = 0
  #peakOverCap = 0
  #lastStartMs = 0

  private constructor (clock: VirtualClock, options: FakeEndpointOptions, startsWarm: boolean) {
    this.#clock = clock
    this.#options = options
    this.#startedAtMs = startsWarm ? -options.warmUpMs : clock.nowMs
  }

  /**
   * @param clock - virtual time
   * @param options - behaviour
   * @param startsWarm - whether it starts warm
   * @returns a running endpoint
   */
  static create (clock: VirtualClock, options: FakeEndpointOptions, startsWarm: boolean): FakeEndpoint {
    return new FakeEndpoint(clock, options, startsWarm)
  }

  get crashes (): number { return this.#crashes }
  get isUp (): boolean { return this.#up }
  get startId (): string { return String(this.#startCount) }
  /** Largest excess of running requests over the cap. */
  get peakOverCap (): number { return this.#peakOverCap }
  /** Virtual time of the last start of a run in ms. */
  get lastStartMs (): number { return this.#lastStartMs }
  get runsByKey (): ReadonlyMap<string, number> { return this.#runsByKey }

  /** @returns 0 (cold) to 1 (warm) */
  computeWarmth (): number {
    return Math.min(1, (this.#clock.nowMs - this.#startedAtMs) / this.#options.warmUpMs)
  }

  /**
   * @param id - id of the run
   * @param key - what runs are counted by
   * @param listener - told of the answer
   */
  run (id: string, key: string, listener: RunListener): void {
    if (!this.#up) {
      listener.handleFailure()
      return
    }
    this.#running.set(id, listener)
    this.#lastStartMs = this.#clock.nowMs
    this.#runsByKey.set(key, (this.#runsByKey.get(key) ?? 0) + 1)
    const over = this.#running.size - this.#computeCap()
    this.#peakOverCap = Math.max(this.#peakOverCap, over)
    if (over > 0) {
      this.crash()
      return
    }
    const { firstByteMs, chunkMs, chunks } = this.#options
    this.#schedule(id, firstByteMs, () => { listener.handleHead() })
    for (let index = 0; index < chunks; index += 1) this.#schedule(id, firstByteMs + chunkMs * (index + 1), () => { listener.handleChunk() })
    this.#schedule(id, firstByteMs + chunkMs * chunks, () => {
      this.#running.delete(id)
      listener.handleEnd()
    })
  }

  /**
   * @param id - run that is cancelled
   */
  abort (id: string): void {
    this.#running.delete(id)
  }

  /** Makes it cold without telling anybody. */
  applyCold (): void {
    this.#startedAtMs = this.#clock.nowMs
  }

  /** Ends all runs; it comes back cold after its down time. */
  crash (): void {
    this.#crashes += 1
    this.stop()
    this.#clock.schedule(this.#options.downMs, () => { this.start() })
  }

  /** Ends all runs and stays down. */
  stop (): void {
    if (!this.#up) return
    this.#up = false
    const listeners = [...this.#running.values()]
    this.#running.clear()
    for (const listener of listeners) listener.handleFailure()
  }

  /** Starts cold. */
  start (): void {
    if (this.#up) return
    this.#up = true
    this.#startCount += 1
    this.#startedAtMs = this.#clock.nowMs
  }

  #computeCap (): number {
    const { coldCap, warmCap } = this.#options
    return Math.floor(coldCap + (warmCap - coldCap) * this.computeWarmth())
  }

  #schedule (id: string, delayMs: number, run: () => void): void {
    const start = this.#startCount
    this.#clock.schedule(delayMs, () => {
      if (this.#up && this.#startCount === start && this.#running.has(id)) run()
    })
  }
}
