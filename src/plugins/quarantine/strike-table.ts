/** Strikes against requests: sets of crash ids that can be merged in any order. */

import type { Strikes } from '../../protocol/messages.js'

/** Count of strikes at which a request is quarantined. */
const QUARANTINE_STRIKES = 2
/** Time in ms without a change after which the strikes of a request expire. */
const EXPIRY_MS = 3_600_000
/** Largest count of requests with strikes; the least recently changed one is evicted first. */
const REQUESTS_MAX = 10_000
/** Largest count of crashes kept per request. */
const CRASHES_MAX = 8

/** Strikes of one or more requests, as sent between processes. */
export type StrikeList = Strikes['strikes']

interface RequestStrikes {
  /** Crashes during which the request was in flight. */
  readonly crashIds: Set<string>
  /** Crashes for which a later completion cleared the request. */
  readonly cleared: Set<string>
  changedAtMs: number
}

/** Strikes by fingerprint. */
export class StrikeTable {
  readonly #byFingerprint = new Map<string, RequestStrikes>()

  private constructor () {}

  static create (): StrikeTable {
    return new StrikeTable()
  }

  get size (): number { return this.#byFingerprint.size }

  /** @returns count of strikes that no completion cleared */
  countStrikes (fingerprint: string): number {
    const requestStrikes = this.#byFingerprint.get(fingerprint)
    if (requestStrikes === undefined) return 0
    return [...requestStrikes.crashIds].filter(crash => !requestStrikes.cleared.has(crash)).length
  }

  isSuspect (fingerprint: string): boolean { return this.countStrikes(fingerprint) > 0 }
  isQuarantined (fingerprint: string): boolean { return this.countStrikes(fingerprint) >= QUARANTINE_STRIKES }

  /**
   * Merges strikes. The sets of crash ids only grow, so order and repeats do not matter.
   *
   * @param strikes - strikes from this process or a peer
   * @param nowMs - monotonic time in ms
   * @returns the strikes that changed the table
   */
  add (strikes: StrikeList, nowMs: number): StrikeList {
    const added = strikes.filter(({ fingerprint, crashes, cleared }) => {
      const requestStrikes = this.#byFingerprint.get(fingerprint) ?? { crashIds: new Set(), cleared: new Set(), changedAtMs: nowMs }
      const set = cleared ? requestStrikes.cleared : requestStrikes.crashIds
      const sizeBefore = set.size
      for (const crash of crashes) if (set.size < CRASHES_MAX) set.add(crash)
      if (set.size === sizeBefore) return false
      requestStrikes.changedAtMs = nowMs
      this.#byFingerprint.delete(fingerprint)
      this.#byFingerprint.set(fingerprint, requestStrikes)
      return true
    })
    for (const oldest of this.#byFingerprint.keys()) {
      if (this.#byFingerprint.size <= REQUESTS_MAX) break
      this.#byFingerprint.delete(oldest)
    }
    return added
  }

  /**
   * @param fingerprint - a request that completed
   * @returns the strikes that its completion clears; empty unless it has exactly one strike
   */
  listClearedStrikes (fingerprint: string): StrikeList {
    if (this.countStrikes(fingerprint) !== 1) return []
    return [{ fingerprint, crashes: [...this.#byFingerprint.get(fingerprint)!.crashIds], cleared: true }]
  }

  /**
   * @param max - largest count of requests
   * @returns the strikes of the most recently changed requests
   */
  listLatest (max: number): StrikeList {
    return [...this.#byFingerprint].slice(-max).flatMap(([fingerprint, { crashIds, cleared }]) => [
      ...(crashIds.size > 0 ? [{ fingerprint, crashes: [...crashIds], cleared: false }] : []),
      ...(cleared.size > 0 ? [{ fingerprint, crashes: [...cleared], cleared: true }] : [])
    ])
  }

  removeExpired (nowMs: number): void {
    for (const [fingerprint, { changedAtMs }] of this.#byFingerprint) {
      if (nowMs - changedAtMs < EXPIRY_MS) return
      this.#byFingerprint.delete(fingerprint)
    }
  }
}
