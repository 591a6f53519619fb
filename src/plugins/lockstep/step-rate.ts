/** Rate at which a group begins steps, to convert a time span into a count of steps. */

/** Least time in ms between two samples: the steps that ranks report are slightly out of date. */
const SAMPLE_MS = 400

/** Longest time in ms that a sample may span: an idle group begins no steps, so a longer sample would understate the rate. */
const SAMPLE_MAX_MS = 4_000

/** Estimate of the steps per ms of one group, from the steps that its ranks report. */
export class StepRate {
  #sample: { readonly step: number, readonly atMs: number } | undefined
  #stepsPerMs = 0

  private constructor () {}

  /** @returns an estimate without samples */
  static create (): StepRate {
    return new StepRate()
  }

  /**
   * @param step - last step begun
   * @param atMs - monotonic time in ms of the report
   */
  noteStep (step: number, atMs: number): void {
    const sample = this.#sample
    if (sample !== undefined && step >= sample.step && atMs - sample.atMs < SAMPLE_MS) return
    if (sample !== undefined && step > sample.step && atMs - sample.atMs <= SAMPLE_MAX_MS) this.#stepsPerMs = (step - sample.step) / (atMs - sample.atMs)
    this.#sample = { step, atMs }
  }

  /**
   * @param spanMs - time in ms
   * @returns steps that the group begins in that time; 0 while the rate is not known
   */
  countSteps (spanMs: number): number {
    return Math.ceil(this.#stepsPerMs * spanMs)
  }
}
