/** Work that the endpoint has in hand. */

import type { Submit } from '../../protocol/messages.js'

/** Weight of a new observation in the moving average. */
const AVERAGE_WEIGHT = 0.1

/** Work in hand. */
export interface RunningWork {
  readonly work: Submit
  readonly startedAtMs: number
  hasFirstByte: boolean
}

/** The running set; work leaves it only when the edge reports its end. */
export class RunningSet {
  readonly #runs = new Map<string, RunningWork>()
  #meanServiceMs: number | undefined

  private constructor () {}

  static create (): RunningSet {
    return new RunningSet()
  }

  get size (): number { return this.#runs.size }

  /** Mean service time in ms; 0 before the first end. */
  get meanServiceMs (): number { return this.#meanServiceMs ?? 0 }

  list (): readonly Submit[] { return [...this.#runs.values()].map(run => run.work) }

  countByTeam (team: string): number {
    return this.list().filter(work => work.team === team).length
  }

  add (work: Submit, nowMs: number): void {
    this.#runs.set(work.workId, { work, startedAtMs: nowMs, hasFirstByte: false })
  }

  /** @returns the time to the first byte in ms; undefined for work that is not known or had it before */
  noteFirstByte (workId: string, nowMs: number): number | undefined {
    const run = this.#runs.get(workId)
    if (run === undefined || run.hasFirstByte) return undefined
    run.hasFirstByte = true
    return nowMs - run.startedAtMs
  }

  /** @returns the present waits for a first byte in ms */
  listFirstByteWaitsMs (nowMs: number): readonly number[] {
    return [...this.#runs.values()].filter(run => !run.hasFirstByte).map(run => nowMs - run.startedAtMs)
  }

  /** Takes out work that ended; only whole answers count for the service time. */
  remove (workId: string, isComplete: boolean, nowMs: number): RunningWork | undefined {
    const run = this.#runs.get(workId)
    this.#runs.delete(workId)
    if (run === undefined || !isComplete) return run
    const elapsedMs = nowMs - run.startedAtMs
    this.#meanServiceMs = this.#meanServiceMs === undefined ? elapsedMs : this.#meanServiceMs + (elapsedMs - this.#meanServiceMs) * AVERAGE_WEIGHT
    return run
  }
}
