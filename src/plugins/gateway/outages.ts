/**
 * Tracks groups of endpoints that stand still because one of them crashed, and
 * estimates when they work again, so that requests neither go to them in vain nor
 * come back too early.
 */

import type { EndpointView } from './endpoints.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import type { RankState } from '../lockstep/rank.js'

/** Time in ms from a crash until the group works again while no earlier one was measured: both platforms need 3.8 to 4.0 s. */
const OUTAGE_MS = 4_000

/** Limits in ms of a measured outage; anything else is another fault. */
const OUTAGE_MIN_MS = 500
const OUTAGE_MAX_MS = 20_000

/** Time in ms after its expected end, or after the latest report that it lasts, for which an outage is believed. */
const OVERDUE_MAX_MS = 1_000

/** Time in ms before the first report of an outage in which a crash counts as its cause. */
const CRASH_BEFORE_MS = 5_000

/** A service of which no endpoint works. */
export interface Outage {
  /** Monotonic time in ms at which one is expected to work again. */
  readonly expectedAtMs: number
}

/** What an endpoint reports of its group. */
export type GroupState = Pick<RankState, 'group' | 'size' | 'isOpen'>

/** How a report changed what is known of a group. */
export type GroupChange =
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'lost', readonly expectedAtMs: number }
  | { readonly kind: 'found', readonly lostMs: number }

/** Groups that stand still. */
export interface OutagesPort {
  /** Records that an endpoint of a service crashed. */
  noteCrash (service: string, atMs: number): void
  /**
   * Records what an endpoint reports of its group.
   *
   * @param usable - all usable endpoints of its service
   */
  noteState (endpoint: EndpointView, state: GroupState, usable: readonly EndpointView[], nowMs: number): GroupChange
  /** Records that an endpoint answers requests, so that its group works. */
  noteWorking (endpoint: EndpointView, nowMs: number): GroupChange
  /** @returns the outage; undefined while any of the usable endpoints of a service may work */
  find (usable: readonly EndpointView[], nowMs: number): Outage | undefined
  isLost (endpoint: EndpointView, nowMs: number): boolean
}

interface GroupOutage {
  readonly service: string
  readonly sinceMs: number
  /** Whether the time of the crash is known. */
  readonly isCrashKnown: boolean
  expectedAtMs: number
  reportedAtMs: number
  /** Endpoints that reported the outage; all of the service when they form one group. */
  readonly endpoints: Set<string> | 'all'
}

/** Outages by group. */
export class OutagesPlugin implements Plugin, OutagesPort {
  readonly name = 'outages'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'outages'> = { outages: this }
  readonly #groups = new Map<string, GroupOutage>()
  /** Monotonic time in ms of the last crash by service. */
  readonly #crashesAtMs = new Map<string, number>()
  /** Length of the last outage in ms by service. */
  readonly #lengthsMs = new Map<string, number>()

  private constructor () {}

  /** @returns a table without outages */
  static create (): OutagesPlugin {
    return new OutagesPlugin()
  }

  handle (): void {}

  noteCrash (service: string, atMs: number): void {
    this.#crashesAtMs.set(service, Math.max(atMs, this.#crashesAtMs.get(service) ?? -Infinity))
  }

  noteState (endpoint: EndpointView, { group, size, isOpen }: GroupState, usable: readonly EndpointView[], nowMs: number): GroupChange {
    const { id, service } = endpoint.record
    const key = `${service} ${group}`
    const known = this.#groups.get(key)
    if (isOpen) return known === undefined ? { kind: 'unchanged' } : this.#end(key, known, nowMs)
    if (known !== undefined) {
      if (known.endpoints !== 'all') known.endpoints.add(id)
      known.reportedAtMs = nowMs
      known.expectedAtMs = Math.max(known.expectedAtMs, nowMs)
      return { kind: 'unchanged' }
    }
    const crashAtMs = this.#crashesAtMs.get(service)
    const isCrashKnown = crashAtMs !== undefined && nowMs - crashAtMs <= CRASH_BEFORE_MS
    const sinceMs = isCrashKnown ? crashAtMs : nowMs
    const expectedAtMs = Math.max(nowMs, sinceMs + (this.#lengthsMs.get(service) ?? OUTAGE_MS))
    this.#groups.set(key, { service, sinceMs, isCrashKnown, expectedAtMs, reportedAtMs: nowMs, endpoints: usable.length <= size ? 'all' : new Set([id]) })
    return { kind: 'lost', expectedAtMs }
  }

  noteWorking (endpoint: EndpointView, nowMs: number): GroupChange {
    for (const [key, outage] of this.#groups) if (hasEndpoint(outage, endpoint)) return this.#end(key, outage, nowMs)
    return { kind: 'unchanged' }
  }

  find (usable: readonly EndpointView[], nowMs: number): Outage | undefined {
    if (this.#groups.size === 0 || usable.length === 0 || !usable.every(endpoint => this.isLost(endpoint, nowMs))) return undefined
    const outages = [...this.#groups.values()].filter(outage => usable.some(endpoint => hasEndpoint(outage, endpoint)))
    return { expectedAtMs: Math.min(...outages.map(({ expectedAtMs }) => expectedAtMs)) }
  }

  isLost (endpoint: EndpointView, nowMs: number): boolean {
    for (const [key, outage] of this.#groups) {
      if (nowMs > Math.max(outage.expectedAtMs, outage.reportedAtMs) + OVERDUE_MAX_MS) this.#groups.delete(key)
      else if (hasEndpoint(outage, endpoint)) return true
    }
    return false
  }

  #end (key: string, { service, sinceMs, isCrashKnown }: GroupOutage, nowMs: number): GroupChange {
    this.#groups.delete(key)
    const lostMs = nowMs - sinceMs
    if (isCrashKnown && lostMs >= OUTAGE_MIN_MS && lostMs <= OUTAGE_MAX_MS) this.#lengthsMs.set(service, lostMs)
    return { kind: 'found', lostMs }
  }
}

function hasEndpoint ({ service, endpoints }: GroupOutage, { record }: EndpointView): boolean {
  return endpoints === 'all' ? record.service === service : endpoints.has(record.id)
}

registerPlugin({ name: 'outages', roles: ['gateway'], create: () => OutagesPlugin.create() })
