/** Tracks requests that crash the endpoints that run them, by fingerprint and across all gateways. */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Crashes after which a request is refused. */
const STRIKES_MAX = 2

/** Time in ms after its last crash until a fingerprint is forgotten. */
const STRIKES_TTL_MS = 60_000

/** Largest number of tracked fingerprints. */
const FINGERPRINTS_MAX = 2_000

/** Count of crashes attributed to the request with one fingerprint. */
export interface Strikes {
  readonly fingerprint: string
  readonly count: number
}

/** Strikes of requests; a request with too many is refused. */
export interface CrashesPort {
  isQuarantined (fingerprint: string, nowMs: number): boolean
  /** Adds a strike because an endpoint crashed while it ran the request. @returns strikes of the request */
  noteCrash (fingerprint: string, nowMs: number): number
  /** Removes the strikes of a request that got a complete answer, which shows that it is harmless. */
  clear (fingerprint: string): void
  /** Adopts the higher counts reported by another gateway. */
  merge (strikes: readonly Strikes[], nowMs: number): void
  /** Strikes to send to the other gateways, the most and then the latest first: a message has room for some of them only. */
  list (nowMs: number): readonly Strikes[]
}

/** Table of strikes by fingerprint. */
export class CrashesPlugin implements Plugin, CrashesPort {
  readonly name = 'crashes'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'crashes'> = { crashes: this }
  readonly #strikes = new Map<string, { count: number, atMs: number }>()

  private constructor () {}

  /** @returns an empty table */
  static create (): CrashesPlugin {
    return new CrashesPlugin()
  }

  handle (): void {}

  isQuarantined (fingerprint: string, nowMs: number): boolean {
    return (this.#find(fingerprint, nowMs)?.count ?? 0) >= STRIKES_MAX
  }

  noteCrash (fingerprint: string, nowMs: number): number {
    const count = (this.#find(fingerprint, nowMs)?.count ?? 0) + 1
    this.#set(fingerprint, count, nowMs)
    return count
  }

  clear (fingerprint: string): void {
    this.#strikes.delete(fingerprint)
  }

  merge (strikes: readonly Strikes[], nowMs: number): void {
    for (const { fingerprint, count } of strikes) {
      if (count > (this.#find(fingerprint, nowMs)?.count ?? 0)) this.#set(fingerprint, count, nowMs)
    }
  }

  list (nowMs: number): readonly Strikes[] {
    return [...this.#strikes.keys()].reverse().flatMap(fingerprint => {
      const found = this.#find(fingerprint, nowMs)
      return found === undefined ? [] : [{ fingerprint, count: found.count }]
    }).sort((a, b) => b.count - a.count)
  }

  #set (fingerprint: string, count: number, atMs: number): void {
    this.#strikes.delete(fingerprint)
    this.#strikes.set(fingerprint, { count, atMs })
    const oldest = this.#strikes.keys().next().value
    if (this.#strikes.size > FINGERPRINTS_MAX && oldest !== undefined) this.#strikes.delete(oldest)
  }

  #find (fingerprint: string, nowMs: number): { count: number, atMs: number } | undefined {
    const found = this.#strikes.get(fingerprint)
    if (found === undefined || nowMs - found.atMs <= STRIKES_TTL_MS) return found
    this.#strikes.delete(fingerprint)
    return undefined
  }
}

registerPlugin({ name: 'crashes', roles: ['gateway'], create: () => CrashesPlugin.create() })
