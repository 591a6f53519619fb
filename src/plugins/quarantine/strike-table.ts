/** Strikes against requests, as sets of crash ids that merge in any order. */

import type { Strikes } from '../../protocol/messages.js'

/** Strikes at which a request is refused. */
const REFUSED_STRIKES = 2
/** Time in ms without news after which a request's strikes are forgotten. */
const EXPIRY_MS = 3_600_000
/** Requests that are remembered; the one without news for longest goes first. */
const REQUESTS_MAX = 10_000
/** Crashes that are remembered per request. */
const CRASHES_MAX = 8

/** Strikes of one or more requests as they travel. */
export type StrikeList = Strikes['strikes']

interface Suspicion {
  /** Crashes with the request in flight. */
  readonly struck: Set<string>
  /** Crashes that a later completion clears the request of. */
  readonly cleared: Set<string>
  changedAtMs: number
}

/** Strikes by fingerprint. */
export class StrikeTable {
  readonly #suspicions = new Map<string, Suspicion>()

  private constructor () {}

  static create (): StrikeTable {
    return new StrikeTable()
  }

  get size (): number { return this.#suspicions.size }

  /** @returns strikes that no completion cleared */
  countStrikes (fingerprint: string): number {
    const suspicion = this.#suspicions.get(fingerprint)
    if (suspicion === undefined) return 0
    return [...suspicion.struck].filter(crash => !suspicion.cleared.has(crash)).length
  }

  isSuspect (fingerprint: string): boolean { return this.countStrikes(fingerprint) > 0 }
  isQuarantined (fingerprint: string): boolean { return this.countStrikes(fingerprint) >= REFUSED_STRIKES }

  /**
   * Merges strikes; a set of crashes is never made smaller, so order and repeats do not matter.
   *
   * @param strikes - own or received strikes
   * @param nowMs - monotonic time in ms
   * @returns the strikes that were news
   */
  add (strikes: StrikeList, nowMs: number): StrikeList {
    const news = strikes.filter(({ fingerprint, crashes, cleared }) => {
      const suspicion = this.#suspicions.get(fingerprint) ?? { struck: new Set(), cleared: new Set(), changedAtMs: nowMs }
      const set = cleared ? suspicion.cleared : suspicion.struck
      const before = set.size
      for (const crash of crashes) if (set.size < CRASHES_MAX) set.add(crash)
      if (set.size === before) return false
      suspicion.changedAtMs = nowMs
      this.#suspicions.delete(fingerprint)
      this.#suspicions.set(fingerprint, suspicion)
      return true
    })
    for (const oldest of this.#suspicions.keys()) {
      if (this.#suspicions.size <= REQUESTS_MAX) break
      this.#suspicions.delete(oldest)
    }
    return news
  }

  /**
   * @param fingerprint - a request that completed
   * @returns the strikes that its completion clears; empty unless it is a suspect
   */
  listClearedStrikes (fingerprint: string): StrikeList {
    if (this.countStrikes(fingerprint) !== 1) return []
    return [{ fingerprint, crashes: [...this.#suspicions.get(fingerprint)!.struck], cleared: true }]
  }

  /**
   * @param max - largest count of requests
   * @returns the strikes with the latest news
   */
  listLatest (max: number): StrikeList {
    return [...this.#suspicions].slice(-max).flatMap(([fingerprint, { struck, cleared }]) => [
      ...(struck.size > 0 ? [{ fingerprint, crashes: [...struck], cleared: false }] : []),
      ...(cleared.size > 0 ? [{ fingerprint, crashes: [...cleared], cleared: true }] : [])
    ])
  }

  removeExpired (nowMs: number): void {
    for (const [fingerprint, { changedAtMs }] of this.#suspicions) {
      if (nowMs - changedAtMs < EXPIRY_MS) return
      this.#suspicions.delete(fingerprint)
    }
  }
}
