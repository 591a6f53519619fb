import type { VirtualClock } from './clock.js'

/** Behaviour of a fake endpoint. */
export interface FakeEndpointOptions {
  readonly warmCap: number
  readonly coldCap: number
  /** Time from cold to warm in ms. */
  readonly warmUpMs: number
  /** Time to the first byte of a response in ms. */
  readonly firstByteMs: number
  /** Time between chunks in ms. */
  readonly chunkMs: number
  readonly chunks: number
  /** Time down after a crash in ms. */
  readonly downMs: number
}

/** Callbacks through which a fake endpoint reports the response of one run. */
export interface RunListener {
  handleHead (): void
  handleChunk (): void
  handleEnd (): void
  handleFailure (): void
}

/**
 * Fake endpoint that crashes when it gets more requests than its cap. The cap is
 * `coldCap` after a start and rises linearly to `warmCap`.
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
   * @param clock - simulated time
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
  /** Largest number of running requests above the cap. */
  get peakOverCap (): number { return this.#peakOverCap }
  /** Simulated time at which the last run started, in ms. */
  get lastStartMs (): number { return this.#lastStartMs }
  get runsByKey (): ReadonlyMap<string, number> { return this.#runsByKey }

  /** @returns 0 (cold) to 1 (warm) */
  computeWarmth (): number {
    return Math.min(1, (this.#clock.nowMs - this.#startedAtMs) / this.#options.warmUpMs)
  }

  /**
   * @param id - id of the run
   * @param key - key by which runs are counted
   * @param listener - receives the response
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
   * @param id - id of the run to cancel
   */
  abort (id: string): void {
    this.#running.delete(id)
  }

  /** Makes the endpoint cold without ending its runs or changing its start id. */
  applyCold (): void {
    this.#startedAtMs = this.#clock.nowMs
  }

  /** Fails all runs; the endpoint restarts cold after its down time. */
  crash (): void {
    this.#crashes += 1
    this.stop()
    this.#clock.schedule(this.#options.downMs, () => { this.start() })
  }

  /** Fails all runs and stays down until `start`. */
  stop (): void {
    if (!this.#up) return
    this.#up = false
    const listeners = [...this.#running.values()]
    this.#running.clear()
    for (const listener of listeners) listener.handleFailure()
  }

  /** Starts the endpoint cold if it is down. */
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
