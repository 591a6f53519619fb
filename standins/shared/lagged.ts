/** Reports that are answered some time after they were true. */

/** Keeps recent reports and answers with one that is old enough. */
export class LaggedReport<T> {
  readonly #lagMs: number
  #reports: { readonly atMs: number, readonly report: T }[] = []

  private constructor (lagMs: number) {
    this.#lagMs = lagMs
  }

  /**
   * @param lagMs - age of the answers in ms
   * @returns no reports yet
   */
  static create<T> (lagMs: number): LaggedReport<T> {
    return new LaggedReport<T>(lagMs)
  }

  /**
   * Notes the present state and gives the one that is reported.
   *
   * @param report - present state
   * @param nowMs - monotonic time in ms
   * @returns the latest report of at least the lag's age, or the oldest one
   */
  update (report: T, nowMs: number): T {
    this.#reports.push({ atMs: nowMs, report })
    const index = this.#reports.findLastIndex(({ atMs }) => nowMs - atMs >= this.#lagMs)
    if (index > 0) this.#reports = this.#reports.slice(index)
    return this.#reports[0]!.report
  }

  /** Forgets all reports. */
  removeAll (): void {
    this.#reports = []
  }
}
