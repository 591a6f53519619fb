/** Tracks which endpoints may receive requests: listed, ready and in a failure domain that is in service. */

import type { EndpointRecord } from '../../gateway/model.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { formatIncarnation } from './notices.js'

/** Time in ms after a store outage during which entries that lapsed in the outage are expected to be written again. */
export const LAPSE_GRACE_MS = 2_000

/** Largest number of replaced incarnations that are remembered. */
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
  /** Replaces the whole table; entries that lapsed while the store was unavailable are kept for `LAPSE_GRACE_MS`. */
  replaceAll (records: readonly EndpointRecord[], wasStoreUnavailable: boolean, nowMs: number): readonly EndpointChange[]
  /** Adds or updates an entry and drops any older incarnation at the same address. */
  upsert (record: EndpointRecord, nowMs: number): readonly EndpointChange[]
  remove (id: string): EndpointChange | undefined
  /** Drops the incarnation of an endpoint whose address another one now has; later listings that still contain it are stale. */
  noteReplaced (id: string): EndpointChange | undefined
  /** Drops lapsed entries whose grace period is over. */
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
  #byService: Map<string, Entry[]> | undefined
  #evacuated: ReadonlySet<string> = new Set()

  private constructor () {}

  /** @returns an empty table */
  static create (): EndpointsPlugin {
    return new EndpointsPlugin()
  }

  handle (): void {}

  replaceAll (records: readonly EndpointRecord[], wasStoreUnavailable: boolean, nowMs: number): readonly EndpointChange[] {
    const listed = new Set(records.map(record => record.id))
    const changes = records.flatMap(record => this.upsert(record, nowMs))
    for (const [id, entry] of this.#entries) {
      if (listed.has(id)) continue
      if (!wasStoreUnavailable) {
        changes.push(this.#drop(id))
      } else if (entry.lapsesAtMs === undefined) {
        this.#entries.set(id, { ...entry, lapsesAtMs: nowMs + LAPSE_GRACE_MS })
        changes.push({ id, change: 'lapsed' })
      }
    }
    return changes
  }

  upsert (record: EndpointRecord, nowMs: number): readonly EndpointChange[] {
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
    this.#replacedIncarnations.add(formatIncarnation(entry.record))
    const oldest = this.#replacedIncarnations.values().next().value
    if (this.#replacedIncarnations.size > REPLACED_MAX && oldest !== undefined) this.#replacedIncarnations.delete(oldest)
    return this.#drop(id)
  }

  remove (id: string): EndpointChange | undefined {
    return this.#entries.has(id) ? this.#drop(id) : undefined
  }

  expire (nowMs: number): readonly EndpointChange[] {
    return [...this.#entries.entries()]
      .filter(([, entry]) => entry.lapsesAtMs !== undefined && entry.lapsesAtMs <= nowMs)
      .map(([id]) => this.#drop(id))
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

registerPlugin({ name: 'endpoints', roles: ['gateway'], create: () => EndpointsPlugin.create() })
