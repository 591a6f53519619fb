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

/** First delay in ms before a failed call is repeated. */
const RETRY_DELAY_FIRST_MS = 100

/** Wait of a watch in ms after a failed call: a long wait would delay noticing that the store is back. */
const LOST_WAIT_MS = 100

/** Time in ms after an outage of the store during which removed entries may have lapsed because of it. */
const RECOVERY_MS = 1_000

/** Time in ms that is left to notice a dead connection once a watch should have returned: the timeout of the call and a retry. */
const NOTICE_MARGIN_MS = 1_000

/** Shortest wait of a watch in ms. */
const WAIT_MIN_MS = 500

/** Parts of the time within which a change must be in force that may be spent on collecting changes, and on waiting for a store that fails. */
const COLLECT_SHARE = 1 / 8
const RETRY_SHARE = 1 / 5

/** What the operators' bounds demand of a follower. */
export interface FollowerBounds {
  /** Time in ms within which a dead connection must be noticed. */
  readonly noticeMs: number
  /** Time in ms within which a change must be in force. */
  readonly applyMs: number
}

/** Times of a follower in ms; the longer they are, the fewer calls it makes. */
export interface FollowerTimes {
  /** Longest wait of one watch. */
  readonly waitMs: number
  /** Pause after a batch of changes, so that the ones that follow are read together. */
  readonly collectMs: number
  /** Longest delay before a failed call is repeated. */
  readonly retryMaxMs: number
}

/** @returns the longest times that keep the bounds */
export function computeFollowerTimes ({ noticeMs, applyMs }: FollowerBounds): FollowerTimes {
  return { waitMs: Math.max(WAIT_MIN_MS, noticeMs - NOTICE_MARGIN_MS), collectMs: COLLECT_SHARE * applyMs, retryMaxMs: RETRY_SHARE * applyMs }
}

/** Follows the entries of one kind: lists them, then watches for changes. */
export class StoreFollower<T> {
  readonly #kind: StoreKind<T>
  readonly #times: FollowerTimes
  readonly #handlers: FollowerHandlers<T>
  #isStopped = false
  #failures = 0
  #isLost = false
  #hasChanges = false
  #recoveringUntilMs = 0
  #wake: (() => void) | undefined

  private constructor (kind: StoreKind<T>, times: FollowerTimes, handlers: FollowerHandlers<T>) {
    this.#kind = kind
    this.#times = times
    this.#handlers = handlers
  }

  /**
   * @param kind - access to the entries
   * @param times - how long it waits
   * @param handlers - called with entries, changes and outages
   * @returns a follower that has not started
   */
  static create<T> (kind: StoreKind<T>, times: FollowerTimes, handlers: FollowerHandlers<T>): StoreFollower<T> {
    return new StoreFollower(kind, times, handlers)
  }

  /** Lists the entries and watches for changes until stopped. */
  async run (): Promise<void> {
    let revision: number | undefined
    while (!this.#isStopped) {
      revision = revision === undefined ? await this.#list() : await this.#watch(revision)
      if (this.#failures > 0) await this.#pause(this.#getRetryDelayMs())
      else if (this.#hasChanges) await this.#pause(this.#times.collectMs)
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
    const result = await this.#kind.watch(revision, this.#failures > 0 ? LOST_WAIT_MS : this.#times.waitMs)
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
    const limitMs = Math.min(this.#times.retryMaxMs, RETRY_DELAY_FIRST_MS * 2 ** (this.#failures - 1))
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
