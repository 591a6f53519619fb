/** Object store of the platform stand-in with conditional updates and an event log. */

/** Minimum number of past events available to watches. */
const EVENTS_KEPT = 10_000
/** Number of versions per object available to stale reads. */
const VERSIONS_KEPT = 16

/** One object at one revision. */
export interface StoredObject {
  readonly key: string
  readonly value: string
  /** Global revision of the write; never reused, not even after a removal. */
  readonly revision: number
}

/** One change; the value of a removal is null. */
export interface StoreEvent {
  readonly key: string
  readonly revision: number
  readonly value: string | null
}

export type StoreResult =
  | { readonly kind: 'done', readonly revision: number }
  | { readonly kind: 'conflict', readonly revision: number }

/** In-memory objects with a global revision. */
export class ObjectStore {
  readonly #objects = new Map<string, StoredObject>()
  readonly #history = new Map<string, StoredObject[]>()
  #events: StoreEvent[] = []
  #oldestEventRevision = 1
  readonly #onChange: () => void
  #revision = 0

  private constructor (onChange: () => void) {
    this.#onChange = onChange
  }

  /**
   * @param onChange - called after each change
   * @returns an empty store at revision 0
   */
  static create (onChange: () => void): ObjectStore {
    return new ObjectStore(onChange)
  }

  /** Global revision: that of the latest change. */
  get revision (): number {
    return this.#revision
  }

  /**
   * @param key - object key
   * @param changesBack - number of changes by which the result is out of date
   * @returns the object, if it exists
   */
  find (key: string, changesBack = 0): StoredObject | undefined {
    if (changesBack === 0) return this.#objects.get(key)
    const history = this.#history.get(key) ?? []
    return history[Math.max(0, history.length - 1 - changesBack)]
  }

  /**
   * @param prefix - start of the keys
   * @returns matching objects sorted by key
   */
  list (prefix: string): readonly StoredObject[] {
    return [...this.#objects.values()]
      .filter(object => object.key.startsWith(prefix))
      .sort((a, b) => a.key < b.key ? -1 : 1)
  }

  /**
   * @param key - object key
   * @param value - new value; null removes the object
   * @param expected - revision that the object must have; 0 when it must not exist
   * @returns the new revision, or the current one on a conflict
   */
  update (key: string, value: string | null, expected: number): StoreResult {
    const currentRevision = this.#objects.get(key)?.revision ?? 0
    if (currentRevision !== expected) return { kind: 'conflict', revision: currentRevision }
    this.#revision += 1
    const revision = this.#revision
    if (value === null) {
      this.#objects.delete(key)
      this.#history.delete(key)
    } else {
      const object = { key, value, revision }
      this.#objects.set(key, object)
      const history = this.#history.get(key) ?? []
      history.push(object)
      if (history.length > VERSIONS_KEPT) history.shift()
      this.#history.set(key, history)
    }
    this.#appendEvent({ key, revision, value })
    this.#onChange()
    return { kind: 'done', revision }
  }

  /**
   * @param prefix - start of the keys
   * @param since - latest global revision that the reader has seen
   * @returns later events in order; undefined when some are no longer kept
   */
  listEvents (prefix: string, since: number): readonly StoreEvent[] | undefined {
    if (since + 1 < this.#oldestEventRevision || since > this.#revision) return undefined
    return this.#events.filter(event => event.revision > since && event.key.startsWith(prefix))
  }

  #appendEvent (event: StoreEvent): void {
    this.#events.push(event)
    if (this.#events.length <= 2 * EVENTS_KEPT) return
    this.#events = this.#events.slice(-EVENTS_KEPT)
    this.#oldestEventRevision = this.#events[0]?.revision ?? 1
  }
}
