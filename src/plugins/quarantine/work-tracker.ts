/** Requests that an endpoint had in hand when it crashed. */

import type { Submit } from '../../protocol/messages.js'

/**
 * Time in ms for which a failed request still counts as in flight: a broken
 * connection is seen before the failed health check that shows the crash.
 */
const FAILED_MS = 5_000

interface Flight {
  readonly fingerprint: string
  state: 'waiting' | 'running' | 'failed'
  /** Time after which a request that does not run is forgotten. */
  forgetAtMs: number
}

/** Requests of one endpoint by work id. */
export class WorkTracker {
  readonly #flights = new Map<string, Flight>()

  private constructor () {}

  static create (): WorkTracker {
    return new WorkTracker()
  }

  /** Waiting work may be taken out without an event; nothing starts after its deadline. */
  addWaiting (work: Submit, nowMs: number): void {
    this.#flights.set(work.workId, { fingerprint: work.fingerprint, state: 'waiting', forgetAtMs: nowMs + work.timeLeftMs })
  }

  noteStarted (workId: string): void {
    const flight = this.#flights.get(workId)
    if (flight !== undefined) flight.state = 'running'
  }

  noteFailed (workId: string, nowMs: number): void {
    const flight = this.#flights.get(workId)
    if (flight === undefined) return
    flight.state = 'failed'
    flight.forgetAtMs = nowMs + FAILED_MS
  }

  /** @returns the fingerprint of the removed request */
  remove (workId: string): string | undefined {
    const fingerprint = this.#flights.get(workId)?.fingerprint
    this.#flights.delete(workId)
    return fingerprint
  }

  /** Forgets failures that no crash followed, and work that never started. */
  removeExpired (nowMs: number): void {
    for (const [workId, { state, forgetAtMs }] of this.#flights) {
      if (state !== 'running' && nowMs > forgetAtMs) this.#flights.delete(workId)
    }
  }

  /** @returns fingerprints that run, or failed and may have crashed the endpoint */
  listInFlight (): readonly string[] {
    return [...this.#flights.values()].filter(({ state }) => state !== 'waiting').map(({ fingerprint }) => fingerprint)
  }

  /** @returns the distinct fingerprints in flight; they are not given out for another crash */
  takeInFlight (nowMs: number): readonly string[] {
    this.removeExpired(nowMs)
    const crashed = [...this.#flights].filter(([, { state }]) => state !== 'waiting')
    for (const [workId] of crashed) this.#flights.delete(workId)
    return [...new Set(crashed.map(([, { fingerprint }]) => fingerprint))]
  }
}
