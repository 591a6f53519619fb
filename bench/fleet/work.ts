/** Work of the drill: what callers ask for and how it ended. */

/** Kind of work: a streamed answer, a non-idempotent call, an idempotent call. */
export type WorkKind = 'stream' | 'write' | 'read'

/** One piece of work. */
export interface Work {
  readonly id: string
  readonly kind: WorkKind
  readonly team: string
  readonly startMs: number
}

/** How a piece of work ended, seen by its caller. */
export interface WorkResult {
  readonly work: Work
  readonly ok: boolean
  readonly endMs: number
}

/** A system under the drill. */
export interface SystemUnderTest {
  readonly name: string
  /**
   * @param work - begins now
   * @param done - called once
   */
  submit (work: Work, done: (result: WorkResult) => void): void
  /** Takes a failure domain out by an operator's order, or brings it back. */
  changeDomain (domain: string, state: 'in' | 'out'): void
  /** Every process and endpoint of a failure domain dies without notice. */
  loseDomain (domain: string): void
  /** Starts empty processes and cold endpoints in a lost failure domain. */
  restoreDomain (domain: string): void
  /** Stops or starts the endpoints of a failure domain. */
  setDomainUp (domain: string, isUp: boolean): void
  /** Runs of a piece of work at all endpoints. */
  countRuns (work: Work): number
  /** Time in ms of the last start of work in a domain since the order that took it out. */
  findLastStart (domain: string): number
  /** Crashes of endpoints. */
  countCrashes (): number
}
