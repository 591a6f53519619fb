/** Idempotency records of one home incarnation. */

import type { HeaderList, RequestKey } from '../../protocol/messages.js'

/** Length of a window on the home's monotonic clock. */
export const WINDOW_MS = 30_000
/** A key may start while its window is at most this many windows old. */
export const START_LIMIT_WINDOWS = 3
/** Records are kept for this many windows. */
export const RETENTION_WINDOWS = 30
/** Larger answers are not kept. */
export const STORED_RESPONSE_MAX_BYTES = 64 * 1024

/** Separates the parts of a scope; no team, service or key contains it. */
const SCOPE_SEPARATOR = '\n'

/** A complete answer. */
export interface StoredResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly chunks: readonly Uint8Array[]
}

/** What is known of a key. `closed` keys never run. */
export type RecordState =
  | { readonly kind: 'waiting', readonly executionId: string }
  | { readonly kind: 'running', readonly executionId: string }
  | { readonly kind: 'run', readonly response?: StoredResponse }
  | { readonly kind: 'closed' }
  | { readonly kind: 'unknown' }

/** Record of one key. */
export interface KeyRecord {
  readonly window: number
  readonly bodyHash: string
  readonly state: RecordState
}

/** Age of a key that has no record. */
export type KeyAge = 'startable' | 'past-start' | 'expired'

/** Records by scope, dropped by window. */
export class RecordTable {
  readonly home: string
  readonly incarnation: number
  readonly #startMs: number
  readonly #firstWindow: number
  readonly #records = new Map<string, KeyRecord>()
  readonly #scopesByWindow = new Map<number, Set<string>>()
  readonly #countByTeam = new Map<string, number>()
  #responseBytes = 0

  private constructor (home: string, incarnation: number, startMs: number, firstWindow: number) {
    this.home = home
    this.incarnation = incarnation
    this.#startMs = startMs
    this.#firstWindow = firstWindow
  }

  /**
   * @param home - id of the home
   * @param incarnation - its incarnation
   * @param startMs - monotonic time at which the first window starts here
   * @param firstWindow - number of that window
   * @returns an empty table
   */
  static create (home: string, incarnation: number, startMs: number, firstWindow: number): RecordTable {
    return new RecordTable(home, incarnation, startMs, firstWindow)
  }

  get size (): number { return this.#records.size }

  /** Bytes of the kept answers. */
  get responseBytes (): number { return this.#responseBytes }

  /**
   * @param nowMs - monotonic time in ms
   * @returns the current window
   */
  getWindow (nowMs: number): number {
    return this.#firstWindow + Math.floor((nowMs - this.#startMs) / WINDOW_MS)
  }

  /**
   * @param key - a key of this home
   * @param nowMs - monotonic time in ms
   * @returns whether a key without a record may start, can no longer start, or is too old to tell
   */
  getAge (key: Pick<RequestKey, 'window'>, nowMs: number): KeyAge {
    const age = this.getWindow(nowMs) - key.window
    if (age > RETENTION_WINDOWS) return 'expired'
    return age > START_LIMIT_WINDOWS ? 'past-start' : 'startable'
  }

  countByTeam (team: string): number {
    return this.#countByTeam.get(team) ?? 0
  }

  find (scope: string): KeyRecord | undefined {
    return this.#records.get(scope)
  }

  update (scope: string, record: KeyRecord): void {
    const previous = this.#records.get(scope)
    this.#responseBytes += countResponseBytes(record) - countResponseBytes(previous)
    if (previous === undefined) this.#updateTeamCount(scope, 1)
    this.#records.set(scope, record)
    const scopes = this.#scopesByWindow.get(record.window)
    if (scopes === undefined) this.#scopesByWindow.set(record.window, new Set([scope]))
    else scopes.add(scope)
  }

  remove (scope: string): void {
    const record = this.#records.get(scope)
    if (record === undefined) return
    this.#responseBytes -= countResponseBytes(record)
    this.#updateTeamCount(scope, -1)
    this.#records.delete(scope)
    this.#scopesByWindow.get(record.window)?.delete(scope)
  }

  /**
   * Removes records older than the record time. Keys in work stay until they end.
   *
   * @param nowMs - monotonic time in ms
   */
  removeExpired (nowMs: number): void {
    const oldestWindow = this.getWindow(nowMs) - RETENTION_WINDOWS
    for (const [window, scopes] of this.#scopesByWindow) {
      if (window >= oldestWindow) continue
      for (const scope of scopes) {
        const kind = this.#records.get(scope)?.state.kind
        if (kind !== 'waiting' && kind !== 'running') this.remove(scope)
      }
      if (scopes.size === 0) this.#scopesByWindow.delete(window)
    }
  }

  /**
   * Drops answers, first those of the oldest records; the records stay.
   *
   * @param maxBytes - bytes of answers to keep
   */
  removeResponses (maxBytes: number): void {
    for (const [scope, record] of this.#records) {
      if (this.#responseBytes <= maxBytes) return
      if (countResponseBytes(record) > 0) this.update(scope, { ...record, state: { kind: 'run' } })
    }
  }

  /** @returns every record with its scope */
  list (): readonly (readonly [scope: string, record: KeyRecord])[] {
    return [...this.#records]
  }

  #updateTeamCount (scope: string, change: number): void {
    const team = scope.slice(0, scope.indexOf(SCOPE_SEPARATOR))
    const count = this.countByTeam(team) + change
    if (count === 0) this.#countByTeam.delete(team)
    else this.#countByTeam.set(team, count)
  }
}

function countResponseBytes (record: KeyRecord | undefined): number {
  if (record?.state.kind !== 'run') return 0
  return record.state.response?.chunks.reduce((sum, chunk) => sum + chunk.byteLength, 0) ?? 0
}

/**
 * @param team - team name
 * @param service - service name
 * @param key - idempotency key
 * @returns the text under which the key is recorded
 */
export function formatScope (team: string, service: string, key: RequestKey): string {
  return [team, service, key.text].join(SCOPE_SEPARATOR)
}
