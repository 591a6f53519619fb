/**
 * Load of one model engine as the agent on its host knows it: what the engine reports,
 * and the requests that the agent has granted since, which are still on their way.
 */

/** What an engine reports of its load. */
export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  /** Tokens of memory that cannot be freed; undefined when the engine does not report it. */
  readonly memoryUsed: number | undefined
  /** Tokens of memory; undefined when the engine does not report it. */
  readonly memoryTotal: number | undefined
}

/** Room that a request needs at an endpoint. */
export interface RoomRequest {
  /** Most requests that the endpoint may hold before this one. */
  readonly loadMax: number
  /** Tokens of memory that the request is expected to take. */
  readonly tokens: number
}

/** Time in ms from a grant until the request shows in the report of the engine. */
const TRANSIT_MS = 30

/** Time in ms for which a report is used again, so that simultaneous questions share one. */
const REPORT_VALID_MS = 8

/** Time in ms after a report that failed in which the engine is not asked again. */
const FAILED_PAUSE_MS = 250

interface Grant {
  readonly atMs: number
  readonly tokens: number
}

/** Estimate of the requests that an engine holds. */
export class LoadMeter {
  #report: { readonly load: EngineLoad, readonly atMs: number } | undefined
  #failedAtMs = -Infinity
  #grants: Grant[] = []

  private constructor () {}

  /** @returns a meter without a report */
  static create (): LoadMeter {
    return new LoadMeter()
  }

  /** Whether the engine should be asked for a report before the next decision. */
  isReportDue (nowMs: number): boolean {
    return nowMs - this.#failedAtMs >= FAILED_PAUSE_MS && (this.#report === undefined || nowMs - this.#report.atMs > REPORT_VALID_MS)
  }

  /**
   * Records a report.
   *
   * @param load - the report; undefined when the engine did not send one
   * @param askedAtMs - monotonic time in ms at which it was asked for
   */
  noteReport (load: EngineLoad | undefined, askedAtMs: number): void {
    if (load === undefined) {
      this.#failedAtMs = askedAtMs
      this.#report = undefined
      return
    }
    this.#report = { load, atMs: askedAtMs }
    this.#grants = this.#grants.filter(({ atMs }) => atMs > askedAtMs - TRANSIT_MS)
  }

  /** Records a request that may be sent to the engine. */
  noteGranted (tokens: number, nowMs: number): void {
    if (this.#report === undefined) return
    this.#grants = [...this.#grants.filter(({ atMs }) => atMs > nowMs - TRANSIT_MS - REPORT_VALID_MS), { atMs: nowMs, tokens }]
  }

  /** @returns requests that the engine holds or will be sent shortly; undefined when it is not known */
  countRequests (): number | undefined {
    return this.#report === undefined ? undefined : this.#report.load.running + this.#report.load.waiting + this.#grants.length
  }

  /**
   * @param room - what the request needs
   * @returns whether the endpoint has that room; true when its load is not known
   */
  hasRoom ({ loadMax, tokens }: RoomRequest): boolean {
    const count = this.countRequests()
    if (this.#report === undefined || count === undefined) return true
    const { memoryUsed, memoryTotal } = this.#report.load
    const granted = this.#grants.reduce((sum, grant) => sum + grant.tokens, 0)
    const fits = memoryUsed === undefined || memoryTotal === undefined || memoryUsed + granted + tokens <= memoryTotal
    // A request that is too large for the memory is refused by the idle engine, not here.
    return count === 0 || (count < loadMax && fits)
  }
}
