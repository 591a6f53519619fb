/** How fast a group begins passes, so that a time ahead can be told in passes. */

/** Least time in ms between two samples; ranks report steps of some moments ago. */
const SAMPLE_MS = 400

/** Longest time in ms that a sample may span; an idle group begins no passes. */
const SAMPLE_MAX_MS = 4_000

/** Passes of one group in a ms, from the steps that its ranks report. */
export class StepRate {
  #sample: { readonly step: number, readonly atMs: number } | undefined
  #stepsPerMs = 0

  private constructor () {}

  /** @returns a pace that is not known yet */
  static create (): StepRate {
    return new StepRate()
  }

  /**
   * @param step - last pass that was begun
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
   * @returns passes that the group begins in that time; 0 while its pace is not known
   */
  countSteps (spanMs: number): number {
    return Math.ceil(this.#stepsPerMs * spanMs)
  }
}
