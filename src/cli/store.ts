/** Reads and conditional writes of platform objects, with retries. */

import type { PlatformResult } from '../kernel/events.js'

/** The platform's objects; `PlatformClient` is one. */
export interface ObjectStore {
  /**
   * @param key - object key
   * @returns `found`, `missing` or `unavailable`
   */
  read (key: string): Promise<PlatformResult>
  /**
   * @param key - object key
   * @param value - new value
   * @param revision - revision that the object must have; 0 when it must not exist
   * @returns `written`, `conflict`, `unavailable` or `unknown`
   */
  write (key: string, value: string, revision: number): Promise<PlatformResult>
  /**
   * @param key - object key
   * @param revision - revision that the object must have
   * @returns the same results as `write`
   */
  remove (key: string, revision: number): Promise<PlatformResult>
}

/** An object that was read; its revision is 0 when it does not exist. */
export interface ReadObject {
  readonly value: string | undefined
  readonly revision: number
}

/** The platform does not answer. */
export class PlatformUnavailableError extends Error {
  /** Whether a change was sent whose effect is not known. */
  readonly mayHaveTakenEffect: boolean

  /**
   * @param message - the call that failed
   * @param mayHaveTakenEffect - whether a change was sent whose effect is not known
   */
  constructor (message: string, mayHaveTakenEffect: boolean) {
    super(message)
    this.mayHaveTakenEffect = mayHaveTakenEffect
  }
}

/** Result of a write once its effect is known. */
export type SettledWrite =
  | { readonly kind: 'written', readonly revision: number }
  | { readonly kind: 'conflict' }

/** Largest number of tries of one call. */
const TRIES_MAX = 5

/** Base of the exponential backoff in ms: the wait before the second try is twice this, and doubles with each further try. */
const BACKOFF_BASE_MS = 100

/** Retries calls, and finds out whether a write whose response was lost took effect. */
export class RetryingStore {
  readonly #store: ObjectStore
  readonly #wait: (ms: number) => Promise<void>

  private constructor (store: ObjectStore, wait: (ms: number) => Promise<void>) {
    this.#store = store
    this.#wait = wait
  }

  /**
   * @param store - the platform
   * @param wait - waits for a time in ms
   * @returns a store that retries calls
   */
  static create (store: ObjectStore, wait: (ms: number) => Promise<void>): RetryingStore {
    return new RetryingStore(store, wait)
  }

  /**
   * @param key - object key
   * @returns the object
   * @throws PlatformUnavailableError when the platform answers no try
   */
  async read (key: string): Promise<ReadObject> {
    for (let attempt = 0; attempt < TRIES_MAX; attempt++) {
      if (attempt > 0) await this.#wait(BACKOFF_BASE_MS * 2 ** attempt)
      const result = await this.#store.read(key)
      if (result.kind === 'found') return { value: result.value, revision: result.revision }
      if (result.kind === 'missing') return { value: undefined, revision: 0 }
    }
    throw new PlatformUnavailableError(`reading ${key}`, false)
  }

  /**
   * Retries a write until its effect is known. A retry is safe, because at most
   * one of the writes that expect the same revision takes effect.
   *
   * @param key - object key
   * @param value - new value; either no other writer writes it, or all writers of the object write the same
   * @param revision - revision that the object must have; 0 when it must not exist
   * @returns `written` when the object has the value, `conflict` when it has another one
   * @throws PlatformUnavailableError when the platform stops answering
   */
  async write (key: string, value: string, revision: number): Promise<SettledWrite> {
    let mayHaveTakenEffect = false
    for (let attempt = 0; attempt < TRIES_MAX; attempt++) {
      if (attempt > 0) await this.#wait(BACKOFF_BASE_MS * 2 ** attempt)
      const result = await this.#store.write(key, value, revision)
      if (result.kind === 'written') return result
      if (result.kind === 'conflict') {
        if (!mayHaveTakenEffect) return { kind: 'conflict' }
        const current = await this.#readAfterConflict(key, revision)
        return current.value === value ? { kind: 'written', revision: current.revision } : { kind: 'conflict' }
      }
      if (result.kind === 'unknown') mayHaveTakenEffect = true
    }
    throw new PlatformUnavailableError(`writing ${key}`, mayHaveTakenEffect)
  }

  /**
   * Removes an object unless it was changed since it was read; does not retry.
   *
   * @param key - object key
   * @param revision - revision that was read
   */
  async remove (key: string, revision: number): Promise<void> {
    await this.#store.remove(key, revision)
  }

  /* After a conflict the object has a newer revision. A read that still returns
     the expected or an older revision is stale, so it does not tell whether the
     write took effect. */
  async #readAfterConflict (key: string, revision: number): Promise<ReadObject> {
    for (let attempt = 0; attempt < TRIES_MAX; attempt++) {
      if (attempt > 0) await this.#wait(BACKOFF_BASE_MS * 2 ** attempt)
      const result = await this.#store.read(key)
      if (result.kind === 'found' && result.revision > revision) return { value: result.value, revision: result.revision }
      if (result.kind === 'missing' && revision !== 0) return { value: undefined, revision: 0 }
    }
    throw new PlatformUnavailableError(`reading ${key} back`, true)
  }
}
