/** What the product needs of a metadata store, and how it follows one kind of entry. */

import type { Either } from 'purify-ts'

/** Why a call to the store has no result. */
export type StoreFailure =
  | 'not-found'
  | 'conflict'
  /** The history from the asked revision on is gone; list again. */
  | 'history-gone'
  /** Too many calls. */
  | 'busy'
  | 'unavailable'
  /** The call may have been carried out. */
  | 'no-answer'
  | 'malformed'

/** All entries of a kind at a revision. */
export interface Listing<T> {
  readonly items: readonly T[]
  readonly revision: number
}

/** Changes of a kind up to a revision. */
export interface ChangeBatch<T> {
  readonly changes: readonly Change<T>[]
  readonly revision: number
}

/** One entry that was written or removed. */
export type Change<T> =
  | { readonly kind: 'written', readonly item: T }
  | { readonly kind: 'removed', readonly name: string }

/** Reads one kind of entry. */
export interface StoreKind<T> {
  list (): Promise<Either<StoreFailure, Listing<T>>>
  /** Answers as soon as there is a change after the revision, or empty after `waitMs`. */
  watch (revision: number, waitMs: number): Promise<Either<StoreFailure, ChangeBatch<T>>>
}

/** What a follower tells. */
export interface FollowerHandlers<T> {
  /** `storeWasAway` is true when calls failed since the last answer. */
  handleList (items: readonly T[], wasStoreUnavailable: boolean): void
  handleChanges (changes: readonly Change<T>[], wasStoreUnavailable: boolean): void
  handleState (state: 'lost' | 'found', reason: string): void
}

/** First and longest pause in ms after a failed call. */
const RETRY_DELAY_FIRST_MS = 100
const RETRY_DELAY_MAX_MS = 400

/** Wait of a watch in ms after a failed call: a long one would notice the return of a silent store only when it ends. */
const LOST_WAIT_MS = 100

/** Pause in ms after changes were read: those that follow are read together. Changes must be in force after 2 s. */
const COLLECT_MS = 250

/** Time in ms after the store's return during which removals may be entries that lapsed while it was away. */
const RECOVERY_MS = 1_000

/** Follows one kind for the life of a process. */
export class StoreFollower<T> {
  readonly #kind: StoreKind<T>
  readonly #waitMs: number
  readonly #handlers: FollowerHandlers<T>
  #isStopped = false
  #failures = 0
  #isLost = false
  #hasChanges = false
  #recoveringUntilMs = 0
  #wake: (() => void) | undefined

  private constructor (kind: StoreKind<T>, waitMs: number, handlers: FollowerHandlers<T>) {
    this.#kind = kind
    this.#waitMs = waitMs
    this.#handlers = handlers
  }

  /**
   * @param kind - what to read
   * @param waitMs - longest wait of one watch in ms
   * @param handlers - told entries and changes
   * @returns a follower that has not started
   */
  static create<T> (kind: StoreKind<T>, waitMs: number, handlers: FollowerHandlers<T>): StoreFollower<T> {
    return new StoreFollower(kind, waitMs, handlers)
  }

  /** Lists and watches until stopped. */
  async run (): Promise<void> {
    let revision: number | undefined
    while (!this.#isStopped) {
      revision = revision === undefined ? await this.#list() : await this.#watch(revision)
      if (this.#failures > 0) await this.#pause(this.#getRetryDelayMs())
      else if (this.#hasChanges) await this.#pause(COLLECT_MS)
    }
  }

  stop (): void {
    this.#isStopped = true
    this.#wake?.()
  }

  async #list (): Promise<number | undefined> {
    const result = await this.#kind.list()
    return result.caseOf({
      Left: failure => {
        this.#noteFailure(failure)
        return undefined
      },
      Right: ({ items, revision }) => {
        this.#handlers.handleList(items, this.#noteAnswer())
        return revision
      }
    })
  }

  async #watch (revision: number): Promise<number | undefined> {
    const result = await this.#kind.watch(revision, this.#failures > 0 ? LOST_WAIT_MS : this.#waitMs)
    return result.caseOf({
      Left: failure => {
        if (failure === 'history-gone') return undefined
        this.#noteFailure(failure)
        return revision
      },
      Right: batch => {
        const wasUnavailable = this.#noteAnswer()
        this.#hasChanges = batch.changes.length > 0
        if (this.#hasChanges) this.#handlers.handleChanges(batch.changes, wasUnavailable)
        return batch.revision
      }
    })
  }

  #noteFailure (failure: StoreFailure): void {
    this.#failures += 1
    // One cut connection is no outage: the next call follows at once.
    if (this.#failures < 2 || this.#isLost) return
    this.#isLost = true
    this.#handlers.handleState('lost', failure)
  }

  /** @returns whether removals that are read now may have happened while the store was away */
  #noteAnswer (): boolean {
    const nowMs = performance.now()
    this.#failures = 0
    if (this.#isLost) {
      this.#isLost = false
      this.#recoveringUntilMs = nowMs + RECOVERY_MS
      this.#handlers.handleState('found', '')
    }
    return nowMs < this.#recoveringUntilMs
  }

  #getRetryDelayMs (): number {
    const limitMs = Math.min(RETRY_DELAY_MAX_MS, RETRY_DELAY_FIRST_MS * 2 ** (this.#failures - 1))
    return limitMs * (0.5 + 0.5 * Math.random())
  }

  async #pause (pauseMs: number): Promise<void> {
    if (this.#isStopped) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, pauseMs)
      this.#wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }
}
