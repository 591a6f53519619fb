/** Interface to a metadata store, and a follower that watches one kind of entry. */

import type { Either } from 'purify-ts'

/** Why a call to the store failed. */
export type StoreFailure =
  | 'not-found'
  | 'conflict'
  /** Changes since the requested revision are no longer available; the entries must be listed again. */
  | 'history-gone'
  /** The store rejected the call because of too many calls. */
  | 'busy'
  | 'unavailable'
  /** No answer was received; the call may have been carried out. */
  | 'no-answer'
  | 'malformed'

/** All entries of a kind as of a revision. */
export interface Listing<T> {
  readonly items: readonly T[]
  readonly revision: number
}

/** Changes to a kind of entry up to a revision. */
export interface ChangeBatch<T> {
  readonly changes: readonly Change<T>[]
  readonly revision: number
}

/** One entry that was written or removed. */
export type Change<T> =
  | { readonly kind: 'written', readonly item: T }
  | { readonly kind: 'removed', readonly name: string }

/** Access to the entries of one kind. */
export interface StoreKind<T> {
  list (): Promise<Either<StoreFailure, Listing<T>>>
  /** Waits up to `waitMs` for changes after the revision; the batch is empty when there are none. */
  watch (revision: number, waitMs: number): Promise<Either<StoreFailure, ChangeBatch<T>>>
}

/** Callbacks of a follower. */
export interface FollowerHandlers<T> {
  /** `wasStoreUnavailable` is true shortly after an outage, when missing entries may have lapsed during it. */
  handleList (items: readonly T[], wasStoreUnavailable: boolean): void
  handleChanges (changes: readonly Change<T>[], wasStoreUnavailable: boolean): void
  handleState (state: 'lost' | 'found', reason: string): void
}

/** First and longest delay in ms before a failed call is repeated. */
const RETRY_DELAY_FIRST_MS = 100
const RETRY_DELAY_MAX_MS = 400

/** Wait of a watch in ms after a failed call: a long wait would delay noticing that the store is back. */
const LOST_WAIT_MS = 100

/** Pause in ms after a batch of changes, so that the ones that follow are read together. Changes must be in force within 2 s. */
const COLLECT_MS = 250

/** Time in ms after an outage of the store during which removed entries may have lapsed because of it. */
const RECOVERY_MS = 1_000

/** Follows the entries of one kind: lists them, then watches for changes. */
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
   * @param kind - access to the entries
   * @param waitMs - longest wait of one watch in ms
   * @param handlers - called with entries, changes and outages
   * @returns a follower that has not started
   */
  static create<T> (kind: StoreKind<T>, waitMs: number, handlers: FollowerHandlers<T>): StoreFollower<T> {
    return new StoreFollower(kind, waitMs, handlers)
  }

  /** Lists the entries and watches for changes until stopped. */
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
    // A single failed call may be a closed connection rather than an outage; the next call follows soon.
    if (this.#failures < 2 || this.#isLost) return
    this.#isLost = true
    this.#handlers.handleState('lost', failure)
  }

  /** Records an answer of the store. @returns whether removals in it may be entries that lapsed during an outage */
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
