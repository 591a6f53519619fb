/** Requests that an endpoint had in hand when it crashed. */

import type { Submit } from '../../protocol/messages.js'

/**
 * Time in ms for which a failed request still counts as in flight: a broken
 * connection is seen before the failed health check that shows the crash.
 */
const FAILED_RETENTION_MS = 5_000

interface TrackedWork {
  readonly fingerprint: string
  state: 'waiting' | 'running' | 'failed'
  /** Time after which a request that does not run is forgotten. */
  expiresAtMs: number
}

/** Requests of one endpoint by work id. */
export class WorkTracker {
  readonly #byWorkId = new Map<string, TrackedWork>()

  private constructor () {}

  static create (): WorkTracker {
    return new WorkTracker()
  }

  /** Waiting work may be taken out without an event; nothing starts after its deadline. */
  addWaiting (work: Submit, nowMs: number): void {
    this.#byWorkId.set(work.workId, { fingerprint: work.fingerprint, state: 'waiting', expiresAtMs: nowMs + work.timeLeftMs })
  }

  noteStarted (workId: string): void {
    const tracked = this.#byWorkId.get(workId)
    if (tracked !== undefined) tracked.state = 'running'
  }

  noteFailed (workId: string, nowMs: number): void {
    const tracked = this.#byWorkId.get(workId)
    if (tracked === undefined) return
    tracked.state = 'failed'
    tracked.expiresAtMs = nowMs + FAILED_RETENTION_MS
  }

  /** @returns the fingerprint of the removed request */
  remove (workId: string): string | undefined {
    const fingerprint = this.#byWorkId.get(workId)?.fingerprint
    this.#byWorkId.delete(workId)
    return fingerprint
  }

  /** Forgets failures that no crash followed, and work that never started. */
  removeExpired (nowMs: number): void {
    for (const [workId, { state, expiresAtMs }] of this.#byWorkId) {
      if (state !== 'running' && nowMs > expiresAtMs) this.#byWorkId.delete(workId)
    }
  }

  /** @returns fingerprints that run, or failed and may have crashed the endpoint */
  listInFlight (): readonly string[] {
    return [...this.#byWorkId.values()].filter(({ state }) => state !== 'waiting').map(({ fingerprint }) => fingerprint)
  }

  /** @returns the distinct fingerprints in flight; they are not given out for another crash */
  takeInFlight (nowMs: number): readonly string[] {
    this.removeExpired(nowMs)
    const inFlight = [...this.#byWorkId].filter(([, { state }]) => state !== 'waiting')
    for (const [workId] of inFlight) this.#byWorkId.delete(workId)
    return [...new Set(inFlight.map(([, { fingerprint }]) => fingerprint))]
  }
}
