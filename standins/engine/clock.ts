/** Step clock: ranks on one clock run in lock-step. */

/** One rank on the clock. */
export interface StepMember {
  /** @returns whether the rank can begin the next step */
  isReady (): boolean
  /** @returns time of the rank's next step in ms */
  computeStepMs (): number
  /** Runs one step. */
  runStep (): void
}

/** Runs a step of all members when each of them is ready; the slowest one sets its time. */
export class StepClock {
  readonly #members = new Set<StepMember>()
  #timer: NodeJS.Timeout | undefined

  private constructor () {}

  /** @returns a clock that starts with its first member */
  static create (): StepClock {
    return new StepClock()
  }

  /** @param member - takes part in each step from now */
  add (member: StepMember): void {
    this.#members.add(member)
    if (this.#timer === undefined) this.#schedule()
  }

  /** @param member - leaves the clock, which stops with its last member */
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
