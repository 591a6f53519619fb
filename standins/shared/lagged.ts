/** Reports that are served with a delay. */

/** Keeps recent reports and serves the latest one of a minimum age. */
export class LaggedReport<T> {
  readonly #lagMs: number
  #reports: { readonly atMs: number, readonly report: T }[] = []

  private constructor (lagMs: number) {
    this.#lagMs = lagMs
  }

  /**
   * @param lagMs - minimum age of the served report in ms
   * @returns an instance without reports
   */
  static create<T> (lagMs: number): LaggedReport<T> {
    return new LaggedReport<T>(lagMs)
  }

  /**
   * Stores the current state and gives the report to serve.
   *
   * @param report - current state
   * @param nowMs - monotonic time in ms
   * @returns the latest report that is at least `lagMs` old, or else the oldest one
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
