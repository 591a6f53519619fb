import TinyQueue from 'tinyqueue'

interface Timer {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Simulated clock: runs scheduled callbacks in the order of their times, without waiting. */
export class VirtualClock {
  readonly #timers = new TinyQueue<Timer>([], (a, b) => a.atMs - b.atMs || a.order - b.order)
  #nowMs = 0
  #order = 0

  private constructor () {}

  /** @returns a clock at 0 ms */
  static create (): VirtualClock {
    return new VirtualClock()
  }

  /** Current simulated time in ms. */
  get nowMs (): number {
    return this.#nowMs
  }

  /**
   * @param delayMs - time from now in ms
   * @param run - called at that time
   */
  schedule (delayMs: number, run: () => void): void {
    this.#order += 1
    this.#timers.push({ atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order, run })
  }

  /**
   * Runs the callbacks due by a time, including those that other callbacks schedule.
   *
   * @param untilMs - simulated time at which to stop, in ms
   */
  run (untilMs: number): void {
    for (let next = this.#timers.peek(); next !== undefined && next.atMs <= untilMs; next = this.#timers.peek()) {
      this.#timers.pop()
      this.#nowMs = next.atMs
      next.run()
    }
    this.#nowMs = untilMs
  }
}
