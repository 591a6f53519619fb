/** Work that is running at the endpoint. */

import type { Submit } from '../../protocol/messages.js'

/** Weight of a new sample in the moving average of the service time. */
const AVERAGE_WEIGHT = 0.1

/** Work that has started and not ended. */
export interface RunningWork {
  readonly work: Submit
  readonly startedAtMs: number
  hasFirstByte: boolean
}

/** Set of running work; work is removed only when the edge reports its end. */
export class RunningSet {
  readonly #runs = new Map<string, RunningWork>()
  #meanServiceMs: number | undefined

  private constructor () {}

  static create (): RunningSet {
    return new RunningSet()
  }

  get size (): number { return this.#runs.size }

  /** Moving average of the service time in ms; 0 before any work has completed. */
  get meanServiceMs (): number { return this.#meanServiceMs ?? 0 }

  list (): readonly Submit[] { return [...this.#runs.values()].map(run => run.work) }

  countByTeam (team: string): number {
    return this.list().filter(work => work.team === team).length
  }

  add (work: Submit, nowMs: number): void {
    this.#runs.set(work.workId, { work, startedAtMs: nowMs, hasFirstByte: false })
  }

  /** @returns time to the first byte in ms; undefined when the work is not running or its first byte was already recorded */
  noteFirstByte (workId: string, nowMs: number): number | undefined {
    const run = this.#runs.get(workId)
    if (run === undefined || run.hasFirstByte) return undefined
    run.hasFirstByte = true
    return nowMs - run.startedAtMs
  }

  /** @returns for all work without a first byte, the time since its start in ms */
  listFirstByteWaitsMs (nowMs: number): readonly number[] {
    return [...this.#runs.values()].filter(run => !run.hasFirstByte).map(run => nowMs - run.startedAtMs)
  }

  /** Removes work that ended; only complete responses count towards the service time. */
  remove (workId: string, isComplete: boolean, nowMs: number): RunningWork | undefined {
    const run = this.#runs.get(workId)
    this.#runs.delete(workId)
    if (run === undefined || !isComplete) return run
    const elapsedMs = nowMs - run.startedAtMs
    this.#meanServiceMs = this.#meanServiceMs === undefined ? elapsedMs : this.#meanServiceMs + (elapsedMs - this.#meanServiceMs) * AVERAGE_WEIGHT
    return run
  }
}
