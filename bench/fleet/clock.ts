import TinyQueue from 'tinyqueue'

interface Timer {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Virtual time: runs what was scheduled in order, without waiting. */
export class VirtualClock {
  readonly #timers = new TinyQueue<Timer>([], (a, b) => a.atMs - b.atMs || a.order - b.order)
  #nowMs = 0
  #order = 0

  private constructor () {}

  /** @returns a clock at 0 ms */
  static create (): VirtualClock {
    return new VirtualClock()
  }

  /** Present virtual time in ms. */
  get nowMs (): number {
    return this.#nowMs
  }

  /**
   * @param delayMs - time from now in ms
   * @param run - called then
   */
  schedule (delayMs: number, run: () => void): void {
    this.#order += 1
    this.#timers.push({ atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order, run })
  }

  /**
   * @param untilMs - virtual time at which to stop
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
