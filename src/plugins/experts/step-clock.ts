/** Initial and least time between a proposal and its step, for ranks to load weights, in ms. */
const LEAD_MIN_MS = 1_000
/** Longest time between a proposal and its step, in ms. */
const LEAD_MAX_MS = 20_000
/** Step time assumed until a rank reports one, in ms. */
const STEP_DEFAULT_MS = 50

/**
 * Estimates a group's current step and chooses the step of the next change, late
 * enough that ranks load weights while they still step, so that they rarely wait.
 */
export class StepClock {
  #step = 0
  #notedAtMs = 0
  #stepMs = STEP_DEFAULT_MS
  #leadMs = LEAD_MIN_MS

  private constructor () {}

  /** @returns a clock at step 0 */
  static create (): StepClock {
    return new StepClock()
  }

  /**
   * @param step - step that a rank reported; older ones are ignored
   * @param stepMs - mean step time in ms; 0 when not known
   * @param nowMs - monotonic time in ms
   */
  noteStep (step: number, stepMs: number, nowMs: number): void {
    if (stepMs > 0) this.#stepMs = stepMs
    if (step < this.#step) return
    this.#step = step
    this.#notedAtMs = nowMs
  }

  /**
   * @param committed - whether the last change was committed
   * @param elapsedMs - time from its proposal to its decision in ms
   */
  noteChange (committed: boolean, elapsedMs: number): void {
    // The next change may take half as long again as a committed one; an aborted one needed more time.
    const wantedMs = committed ? elapsedMs * 1.5 : this.#leadMs * 2
    this.#leadMs = Math.min(LEAD_MAX_MS, Math.max(LEAD_MIN_MS, wantedMs))
  }

  /**
   * @param step - first step of the map in force
   * @returns whether the group has reported that step or a later one
   */
  isReached (step: number): boolean {
    return this.#step >= step
  }

  /**
   * @param nowMs - monotonic time in ms
   * @returns the step from which a map proposed now should be used
   */
  chooseStep (nowMs: number): number {
    const currentStep = this.#step + (nowMs - this.#notedAtMs) / this.#stepMs
    return Math.ceil(currentStep + this.#leadMs / this.#stepMs) + 1
  }
}
