/** Tracks the requests at an endpoint, to find those in flight when it crashes. */

import type { Submit } from '../../protocol/messages.js'

/**
 * Time in ms for which a failed request still counts as in flight: the broken
 * connection is noticed before the failed health check that reveals the crash.
 */
const FAILED_RETENTION_MS = 5_000

interface TrackedWork {
  readonly fingerprint: string
  state: 'waiting' | 'running' | 'failed'
  /** Monotonic time in ms after which a request that does not run is removed. */
  expiresAtMs: number
}

/** Requests of one endpoint by work id. */
export class WorkTracker {
  readonly #byWorkId = new Map<string, TrackedWork>()

  private constructor () {}

  static create (): WorkTracker {
    return new WorkTracker()
  }

  /** Adds waiting work until its deadline: it may leave the queue without an event, and never starts after the deadline. */
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

  /** Removes failed requests that no crash followed, and work that never started. */
  removeExpired (nowMs: number): void {
    for (const [workId, { state, expiresAtMs }] of this.#byWorkId) {
      if (state !== 'running' && nowMs > expiresAtMs) this.#byWorkId.delete(workId)
    }
  }

  /** @returns fingerprints of requests that run, or that failed and may have crashed the endpoint */
  listInFlight (): readonly string[] {
    return [...this.#byWorkId.values()].filter(({ state }) => state !== 'waiting').map(({ fingerprint }) => fingerprint)
  }

  /** @returns the distinct fingerprints in flight; they are removed, so that each counts for one crash only */
  takeInFlight (nowMs: number): readonly string[] {
    this.removeExpired(nowMs)
    const inFlight = [...this.#byWorkId].filter(([, { state }]) => state !== 'waiting')
    for (const [workId] of inFlight) this.#byWorkId.delete(workId)
    return [...new Set(inFlight.map(([, { fingerprint }]) => fingerprint))]
  }
}
