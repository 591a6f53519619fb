/** Spreads work that may wait over the turns of the event loop, so that other work is done between them. */

/** Calls of functions in order, a bounded number in each turn. */
export class TurnQueue {
  readonly #runNextTurn: (run: () => void) => void
  readonly #callsPerTurn: number
  #waiting: (() => void)[] = []
  #isScheduled = false

  private constructor (runNextTurn: (run: () => void) => void, callsPerTurn: number) {
    this.#runNextTurn = runNextTurn
    this.#callsPerTurn = callsPerTurn
  }

  /**
   * @param runNextTurn - calls a function in the next turn of the event loop
   * @param callsPerTurn - most functions called in a turn, at least 1
   * @returns an empty queue
   */
  static create (runNextTurn: (run: () => void) => void, callsPerTurn: number): TurnQueue {
    return new TurnQueue(runNextTurn, callsPerTurn)
  }

  /** Calls `run` in one of the next turns. */
  add (run: () => void): void {
    this.#waiting.push(run)
    this.#schedule()
  }

  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    this.#runNextTurn(() => {
      this.#isScheduled = false
      const runs = this.#waiting.splice(0, this.#callsPerTurn)
      if (this.#waiting.length > 0) this.#schedule()
      for (const run of runs) run()
    })
  }
}
