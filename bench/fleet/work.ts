/** Work of callers in the drill benchmark, its results, and the interface of the systems compared. */

/** Kind of work: a request with a streamed response, a non-idempotent call, an idempotent call. */
export type WorkKind = 'stream' | 'write' | 'read'

/** One piece of work. */
export interface Work {
  readonly id: string
  readonly kind: WorkKind
  readonly team: string
  readonly startMs: number
}

/** Result of a piece of work as its caller sees it. */
export interface WorkResult {
  readonly work: Work
  readonly ok: boolean
  readonly endMs: number
}

/** A system that the drill benchmark measures. */
export interface SystemUnderTest {
  readonly name: string
  /**
   * @param work - work that its caller sends now
   * @param done - called once with the result
   */
  submit (work: Work, done: (result: WorkResult) => void): void
  /** Takes a failure domain out of service, or back into service, as an operator's command does. */
  changeDomain (domain: string, state: 'in' | 'out'): void
  /** Ends every process and endpoint of a failure domain without notice. */
  loseDomain (domain: string): void
  /** Starts processes without state and cold endpoints in a lost failure domain. */
  restoreDomain (domain: string): void
  /** Stops or starts the endpoints of a failure domain. */
  setDomainUp (domain: string, isUp: boolean): void
  /** Counts the runs of a piece of work at all endpoints. */
  countRuns (work: Work): number
  /** Finds the simulated time in ms at which work was last started in a failure domain. */
  findLastStart (domain: string): number
  /** Counts the crashes of all endpoints. */
  countCrashes (): number
}
