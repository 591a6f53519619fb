/** Interface to a metadata store, and a follower that watches one kind of entry. */

import type { Either } from 'purify-ts'
import { assertNever } from '../kernel/errors.js'
import { EraTracker } from './store-era.js'
import type { FollowProgress } from './watch-roles.js'

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
  /** The caller gave the call up. */
  | 'abandoned'
  /** The answer is of an older era of the store than one that is known. */
  | 'outdated'

/** All entries of a kind as of a revision. */
export interface Listing<T> {
  readonly items: readonly T[]
  readonly revision: number
  /** Era of the store; undefined when it names none. Revisions of different eras cannot be compared. */
  readonly era?: number | undefined
}

/** Changes to a kind of entry up to a revision. */
export interface ChangeBatch<T> {
  readonly changes: readonly Change<T>[]
  readonly revision: number
  /** Era of the store; undefined when it names none. */
  readonly era?: number | undefined
  /** Revision of the newest of the changes, or a later one; undefined when it is not known. */
  readonly changedRevision?: number | undefined
}

/** One entry that was written or removed. */
export type Change<T> =
  | { readonly kind: 'written', readonly item: T }
  | { readonly kind: 'removed', readonly name: string }

/** Access to the entries of one kind. */
export interface StoreKind<T> {
  list (): Promise<Either<StoreFailure, Listing<T>>>
  /**
   * Waits up to `waitMs` for changes after the revision; the batch is empty when there are none. Once the signal
   * aborts it, the next watch uses a new connection.
   */
  watch (revision: number, waitMs: number, signal: AbortSignal): Promise<Either<StoreFailure, ChangeBatch<T>>>
}

/** When a store could be reached again. */
export interface StoreReturn {
  /** Start of the last call that failed in monotonic ms; the store may have been back from then on. */
  readonly failedAtMs: number
  /** Time of the first answer in monotonic ms. */
  readonly answeredAtMs: number
}

/** Why a listing may contradict what the store acknowledged before. */
export type ListingCause =
  | { readonly kind: 'current' }
  /** The store was unavailable until shortly before; missing entries may have lapsed meanwhile. */
  | { readonly kind: 'after-outage', readonly returned: StoreReturn }
  /** The store has come back from an older copy: entries may be missing, or be older than what it acknowledged. */
  | { readonly kind: 'after-era-change', readonly returned: StoreReturn }

/** Callbacks of a follower. */
export interface FollowerHandlers<T> {
  handleList (items: readonly T[], cause: ListingCause): void
  /** `returned` is given shortly after an outage or a change of the era, when removed entries may have lapsed. */
  handleChanges (changes: readonly Change<T>[], returned: StoreReturn | undefined): void
  handleState (state: 'lost' | 'found', reason: string): void
  /** Called with the position that each answer leads to, after its entries or changes have been handled. */
  handleProgress? (progress: FollowProgress): void
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

/** Revision up to which the entries are known, and the era in which it holds. */
interface Position {
  readonly revision: number
  readonly era: number | undefined
}

/** Follows the entries of one kind: lists them, then watches for changes. */
export class StoreFollower<T> {
  readonly #kind: StoreKind<T>
  readonly #times: FollowerTimes
  readonly #handlers: FollowerHandlers<T>
  readonly #eras: EraTracker
  #isStopped = false
  /** Era of the last listing. */
  #era: number | undefined
  #failures = 0
  #isLost = false
  #hasChanges = false
  /** Start of the call in progress, and of the last one that failed, in monotonic ms. */
  #calledAtMs = 0
  #failedAtMs = 0
  #returned: StoreReturn | undefined
  #wake: (() => void) | undefined
  /** Longest wait of the following watches in ms. */
  #waitMs: number
  #pending: { readonly waitMs: number, readonly controller: AbortController } | undefined
  #mustRenew = false
  #wasListed = false

  private constructor (kind: StoreKind<T>, times: FollowerTimes, handlers: FollowerHandlers<T>, eras: EraTracker) {
    this.#kind = kind
    this.#times = times
    this.#handlers = handlers
    this.#eras = eras
    this.#waitMs = times.waitMs
  }

  /**
   * @param kind - access to the entries
   * @param times - how long it waits
   * @param handlers - called with entries, changes and outages
   * @param eras - eras of the store, shared by all followers of it
   * @returns a follower that has not started
   */
  static create<T> (kind: StoreKind<T>, times: FollowerTimes, handlers: FollowerHandlers<T>, eras: EraTracker = EraTracker.create()): StoreFollower<T> {
    return new StoreFollower(kind, times, handlers, eras)
  }

  /** Lists the entries and watches for changes until stopped. */
  async run (): Promise<void> {
    let position: Position | undefined
    while (!this.#isStopped) {
      if (position !== undefined && this.#eras.newest !== position.era) position = undefined
      // All followers learn of a new era at about the same time; their lists are spread.
      if (position === undefined && this.#isEraChanged()) await this.#pause(this.#times.retryMaxMs * Math.random())
      position = position === undefined ? await this.#list() : await this.#watch(position)
      if (this.#failures > 0) await this.#pause(this.#getRetryDelayMs())
      else if (this.#hasChanges) await this.#pause(this.#times.collectMs)
    }
  }

  stop (): void {
    this.#isStopped = true
    this.#pending?.controller.abort()
    this.#wake?.()
  }

  /** Changes the longest wait of a watch in ms; a watch in progress that would wait much longer is given up. */
  updateWait (waitMs: number): void {
    this.#waitMs = waitMs
    if (this.#pending !== undefined && this.#pending.waitMs > waitMs + NOTICE_MARGIN_MS) this.renew()
  }

  /** Gives up a watch in progress, whose connection may be silent, and asks again soon. */
  renew (): void {
    this.#mustRenew = true
    this.#pending?.controller.abort()
  }

  #isEraChanged (): boolean {
    return this.#era !== undefined && this.#eras.newest !== this.#era
  }

  async #list (): Promise<Position | undefined> {
    this.#calledAtMs = performance.now()
    const result = await this.#kind.list()
    return result.caseOf<Position | undefined>({
      Left: failure => {
        this.#noteFailure(failure)
        return undefined
      },
      Right: ({ items, revision, era }) => {
        if (this.#eras.noteEra(era, era) === 'outdated') {
          this.#noteFailure('outdated')
          return undefined
        }
        const returned = this.#noteAnswer()
        const isFirst = !this.#wasListed
        this.#wasListed = true
        const cause: ListingCause = this.#isEraChanged() ? this.#noteEraChange() : returned === undefined ? { kind: 'current' } : { kind: 'after-outage', returned }
        this.#era = this.#eras.newest
        this.#handlers.handleList(items, cause)
        this.#handlers.handleProgress?.({ era: this.#era, seen: revision, changed: isFirst ? undefined : revision })
        return { revision, era: this.#era }
      }
    })
  }

  #noteEraChange (): ListingCause {
    const nowMs = performance.now()
    this.#returned = { failedAtMs: nowMs, answeredAtMs: nowMs }
    return { kind: 'after-era-change', returned: this.#returned }
  }

  async #watch (position: Position): Promise<Position | undefined> {
    const pending = { waitMs: this.#failures > 0 || this.#mustRenew ? LOST_WAIT_MS : this.#waitMs, controller: new AbortController() }
    this.#pending = pending
    this.#mustRenew = false
    this.#hasChanges = false
    this.#calledAtMs = performance.now()
    const result = await this.#kind.watch(position.revision, pending.waitMs, pending.controller.signal)
    this.#pending = undefined
    return result.caseOf<Position | undefined>({
      Left: failure => {
        if (failure === 'history-gone') return undefined
        if (failure === 'abandoned') return position
        this.#noteFailure(failure)
        return position
      },
      Right: batch => this.#applyBatch(batch, position)
    })
  }

  #applyBatch ({ changes, revision, era, changedRevision = revision }: ChangeBatch<T>, position: Position): Position | undefined {
    const relation = this.#eras.noteEra(era, position.era)
    switch (relation) {
      case 'same': {
        const returned = this.#noteAnswer()
        this.#hasChanges = changes.length > 0
        if (this.#hasChanges) this.#handlers.handleChanges(changes, returned)
        this.#handlers.handleProgress?.({ era: position.era, seen: revision, changed: this.#hasChanges ? changedRevision : undefined })
        return { revision, era: position.era }
      }
      case 'changed':
        // The changes continue from a revision that may have been given out again: only a listing is complete.
        this.#noteAnswer()
        return undefined
      case 'outdated':
        return undefined
      default:
        return assertNever(relation)
    }
  }

  #noteFailure (failure: StoreFailure): void {
    this.#failures += 1
    this.#failedAtMs = this.#calledAtMs
    // A single failed call may be a closed connection rather than an outage; the next call follows soon.
    if (this.#failures < 2 || this.#isLost) return
    this.#isLost = true
    this.#handlers.handleState('lost', failure)
  }

  /** Records an answer of the store. @returns when it came back, if removals in the answer may be entries that lapsed before */
  #noteAnswer (): StoreReturn | undefined {
    const nowMs = performance.now()
    this.#failures = 0
    if (this.#isLost) {
      this.#isLost = false
      this.#returned = { failedAtMs: this.#failedAtMs, answeredAtMs: nowMs }
      this.#handlers.handleState('found', '')
    }
    return this.#returned !== undefined && nowMs < this.#returned.answeredAtMs + RECOVERY_MS ? this.#returned : undefined
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
