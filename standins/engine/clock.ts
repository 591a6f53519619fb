/** Step clock: ranks that share a clock run their steps in lock-step. */

/** A rank whose steps are driven by the clock. */
export interface StepMember {
  /** @returns whether the rank can start the next step */
  isReady (): boolean
  /** @returns duration of the rank's next step in ms */
  computeStepMs (): number
  /** Runs one step. */
  runStep (): void
}

/** Runs a step of all members once all of them are ready; the slowest member sets its duration. */
export class StepClock {
  readonly #members = new Set<StepMember>()
  #timer: NodeJS.Timeout | undefined

  private constructor () {}

  /** @returns a clock that starts when its first member is added */
  static create (): StepClock {
    return new StepClock()
  }

  /** @param member - rank that takes part in every step from now on */
  add (member: StepMember): void {
    this.#members.add(member)
    if (this.#timer === undefined) this.#schedule()
  }

  /** @param member - rank to remove; the clock stops when none is left */
  remove (member: StepMember): void {
    this.#members.delete(member)
    if (this.#members.size > 0) return
    clearTimeout(this.#timer)
    this.#timer = undefined
  }

  #schedule (): void {
    const stepMs = Math.max(...[...this.#members].map(member => member.computeStepMs()))
    this.#timer = setTimeout(() => {
      const members = [...this.#members]
      if (members.every(member => member.isReady())) {
        for (const member of members) member.runStep()
      }
      if (this.#members.size > 0) this.#schedule()
    }, stepMs)
  }
}
