/** Tracks which endpoints may receive requests: listed, ready and in a failure domain that is in service. */

import type { EndpointRecord } from '../../gateway/model.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { formatIncarnation } from './notices.js'

/** Time in ms after the return of the store during which entries that lapsed before are expected to be written again. */
export const LAPSE_GRACE_MS = 2_000

/**
 * Time in ms after the store has come back from an older copy during which entries that contradict
 * what it had acknowledged are not used; workers that live write theirs again sooner.
 */
export const CONTRADICTION_HOLD_MS = 5_000

/** Largest number of replaced, and of removed, incarnations that are remembered. */
const REPLACED_MAX = 1_000

/** A change to the table of endpoints. */
export interface EndpointChange {
  readonly id: string
  readonly change: 'added' | 'updated' | 'restarted' | 'lapsed' | 'gone'
}

/** One endpoint: its record and the state that the gateway adds. */
export interface EndpointView {
  readonly record: EndpointRecord
  /** Monotonic time in ms until which the endpoint is cold. */
  readonly coldUntilMs: number
  /** Monotonic time in ms at which the record was last updated. */
  readonly updatedAtMs: number
}

/** Table of endpoints at a gateway. */
export interface EndpointsPort {
  /**
   * Replaces the whole table. Missing entries are dropped, or, when they may have lapsed while the store was
   * unavailable, kept until `lapsesAtMs`, in monotonic ms.
   */
  replaceAll (records: readonly EndpointRecord[], lapsesAtMs: number | undefined, nowMs: number): readonly EndpointChange[]
  /**
   * Replaces the table with what a store lists that has come back from an older copy. Missing entries are kept
   * as after an outage. Entries that the store had removed, or listed as draining or of a later start, are not
   * taken back for `CONTRADICTION_HOLD_MS`, unless they are written in the meantime.
   */
  restoreAll (records: readonly EndpointRecord[], lapsesAtMs: number, nowMs: number): readonly EndpointChange[]
  /** Adds or updates an entry and drops any older incarnation at the same address. */
  upsert (record: EndpointRecord, nowMs: number): readonly EndpointChange[]
  remove (id: string): EndpointChange | undefined
  /** Drops the incarnation of an endpoint whose address another one now has; later listings that still contain it are stale. */
  noteReplaced (id: string): EndpointChange | undefined
  /** Drops lapsed entries whose grace period is over, and takes back those that were held back. */
  expire (nowMs: number): readonly EndpointChange[]
  setEvacuated (domains: ReadonlySet<string>): void
  listEvacuated (): readonly string[]
  find (id: string): EndpointView | undefined
  listUsable (service: string): readonly EndpointView[]
  listAll (): readonly EndpointView[]
}

interface Entry extends EndpointView {
  /** End of the grace period in monotonic ms; undefined while the store lists the entry. */
  readonly lapsesAtMs?: number
}

/** Table of the endpoints that the store lists. */
export class EndpointsPlugin implements Plugin, EndpointsPort {
  readonly name = 'endpoints'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'endpoints'> = { endpoints: this }
  readonly #entries = new Map<string, Entry>()
  /** Replaced incarnations, as `formatIncarnation` writes them; bounded by `REPLACED_MAX`. */
  readonly #replacedIncarnations = new Set<string>()
  /** Incarnations that the store has removed, as `formatIncarnation` writes them; bounded by `REPLACED_MAX`. */
  readonly #removedIncarnations = new Set<string>()
  /** Listed records that contradict what the store had acknowledged, until a monotonic time in ms. */
  readonly #heldBack = new Map<string, { readonly record: EndpointRecord, readonly untilMs: number }>()
  #byService: Map<string, Entry[]> | undefined
  #evacuated: ReadonlySet<string> = new Set()

  private constructor () {}

  /** @returns an empty table */
  static create (): EndpointsPlugin {
    return new EndpointsPlugin()
  }

  handle (): void {}

  replaceAll (records: readonly EndpointRecord[], lapsesAtMs: number | undefined, nowMs: number): readonly EndpointChange[] {
    const listed = new Set(records.map(record => record.id))
    // A record that is only passed on again says nothing new: its lapse and its cold time go on.
    const changes = records.flatMap(record => this.#entries.get(record.id)?.record === record ? [] : this.upsert(record, nowMs))
    for (const id of this.#heldBack.keys()) if (!listed.has(id) && !this.#entries.has(id)) this.#heldBack.delete(id)
    for (const [id, entry] of this.#entries) {
      if (listed.has(id)) continue
      if (lapsesAtMs === undefined) {
        this.#noteRemoved(entry.record)
        changes.push(this.#drop(id))
      } else if (entry.lapsesAtMs === undefined) {
        this.#entries.set(id, { ...entry, lapsesAtMs })
        changes.push({ id, change: 'lapsed' })
      }
    }
    return changes
  }

  restoreAll (records: readonly EndpointRecord[], lapsesAtMs: number, nowMs: number): readonly EndpointChange[] {
    this.#heldBack.clear()
    const contradicting = records.filter(record => this.#isContradicted(record))
    const kept = contradicting.flatMap(({ id }) => this.#entries.get(id)?.record ?? [])
    const ids = new Set(contradicting.map(({ id }) => id))
    const changes = this.replaceAll([...records.filter(({ id }) => !ids.has(id)), ...kept], lapsesAtMs, nowMs)
    for (const record of contradicting) this.#heldBack.set(record.id, { record, untilMs: nowMs + CONTRADICTION_HOLD_MS })
    return changes
  }

  upsert (record: EndpointRecord, nowMs: number): readonly EndpointChange[] {
    if (this.#entries.get(record.id)?.record !== record) this.#heldBack.delete(record.id)
    if (this.#replacedIncarnations.has(formatIncarnation(record))) return []
    const sameAddress = [...this.#entries.values()].map(entry => entry.record)
      .filter(({ id, address }) => id !== record.id && address.host === record.address.host && address.port === record.address.port)
    if (sameAddress.some(({ bornMs }) => bornMs > record.bornMs)) return []
    const replaced = sameAddress.map(({ id }) => this.#drop(id))
    const known = this.#entries.get(record.id)
    this.#entries.set(record.id, { record, coldUntilMs: nowMs + record.coldRemainingMs, updatedAtMs: nowMs })
    this.#byService = undefined
    const change = known === undefined ? 'added' : known.record.bornMs === record.bornMs ? 'updated' : 'restarted'
    return [...replaced, { id: record.id, change }]
  }

  noteReplaced (id: string): EndpointChange | undefined {
    const entry = this.#entries.get(id)
    if (entry === undefined) return undefined
    addBounded(this.#replacedIncarnations, formatIncarnation(entry.record))
    return this.#drop(id)
  }

  remove (id: string): EndpointChange | undefined {
    this.#heldBack.delete(id)
    const entry = this.#entries.get(id)
    if (entry === undefined) return undefined
    this.#noteRemoved(entry.record)
    return this.#drop(id)
  }

  expire (nowMs: number): readonly EndpointChange[] {
    const due = [...this.#heldBack.values()].filter(({ untilMs }) => untilMs <= nowMs)
    const lapsed = [...this.#entries.entries()].filter(([, entry]) => entry.lapsesAtMs !== undefined && entry.lapsesAtMs <= nowMs)
    return [...lapsed.map(([id]) => this.#drop(id)), ...due.flatMap(({ record }) => this.upsert(record, nowMs))]
  }

  setEvacuated (domains: ReadonlySet<string>): void {
    this.#evacuated = domains
    this.#byService = undefined
  }

  listEvacuated (): readonly string[] {
    return [...this.#evacuated]
  }

  find (id: string): EndpointView | undefined {
    return this.#entries.get(id)
  }

  listUsable (service: string): readonly EndpointView[] {
    this.#byService ??= this.#indexUsable()
    return this.#byService.get(service) ?? []
  }

  listAll (): readonly EndpointView[] {
    return [...this.#entries.values()]
  }

  /** Whether the store had acknowledged something later of the endpoint than the record says. */
  #isContradicted (record: EndpointRecord): boolean {
    const known = this.#entries.get(record.id)?.record
    if (known === undefined) return this.#removedIncarnations.has(formatIncarnation(record))
    return known.bornMs > record.bornMs || (known.bornMs === record.bornMs && known.state === 'draining' && record.state === 'ready')
  }

  #noteRemoved (record: EndpointRecord): void {
    addBounded(this.#removedIncarnations, formatIncarnation(record))
  }

  #drop (id: string): EndpointChange {
    this.#entries.delete(id)
    this.#byService = undefined
    return { id, change: 'gone' }
  }

  #indexUsable (): Map<string, Entry[]> {
    const index = new Map<string, Entry[]>()
    for (const entry of this.#entries.values()) {
      const { service, state, domain } = entry.record
      if (state !== 'ready' || this.#evacuated.has(domain)) continue
      const list = index.get(service)
      if (list === undefined) index.set(service, [entry])
      else list.push(entry)
    }
    return index
  }
}

/** Adds an incarnation, and forgets the oldest one beyond `REPLACED_MAX`. */
function addBounded (incarnations: Set<string>, incarnation: string): void {
  incarnations.add(incarnation)
  const oldest = incarnations.values().next().value
  if (incarnations.size > REPLACED_MAX && oldest !== undefined) incarnations.delete(oldest)
}

registerPlugin({ name: 'endpoints', roles: ['gateway'], create: () => EndpointsPlugin.create() })
