/** Idempotency records of one incarnation of a home, the endpoint process that may run a key. */

import type { HeaderList, RequestKey } from '../../protocol/messages.js'

/** Length in ms of a window. A home counts windows on its monotonic clock; a key carries the window in which its token was issued. */
export const WINDOW_MS = 30_000
/** A key may start while its window is at most this many windows old. */
export const START_LIMIT_WINDOWS = 3
/** Records are kept for this many windows. */
export const RETENTION_WINDOWS = 30
/** Larger responses are not stored. */
export const STORED_RESPONSE_MAX_BYTES = 64 * 1024

/** Separates the parts of a scope; no team, service or key contains it. */
const SCOPE_SEPARATOR = '\n'

/** A complete response, stored for repeats of its key. */
export interface StoredResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly chunks: readonly Uint8Array[]
}

/** State of a key. A `closed` key can never run. */
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

/** Age of a key that has no record: it may start, can no longer start, or is so old that it may have had a record. */
export type KeyAge = 'startable' | 'past-start' | 'expired'

/** Records by scope (team, service and key); they expire by window. */
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

  /** Total size of the stored responses in bytes. */
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
   * Removes records past their retention time. Records of waiting or running keys stay until the work ends.
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
   * Drops stored responses, those of the oldest records first; the records stay.
   *
   * @param maxBytes - total size of the responses to keep
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
