/**
 * Decides how long a gateway may wait for the store. In a large failure domain a few gateways, the
 * watchers, renew their watches often enough to notice a silent connection, and tell the others what
 * they have seen; the others wait long, and watch anew when they are told of more than they know.
 */

import { hashRendezvous } from '../kernel/hash.js'

/** Kinds of entries that a gateway follows. */
export const FOLLOWED_KINDS = ['endpoints', 'configuration', 'evacuations'] as const

/** A kind of entries that a gateway follows. */
export type FollowedKind = typeof FOLLOWED_KINDS[number]

/** Number of watchers in a failure domain. */
export const WATCHERS = 2

/** Least number of other ready gateways in a failure domain for which watchers are worth their messages. */
export const LISTENERS_MIN = 3

/** Longest wait of a watch in ms that the store allows. */
export const LISTENER_WAIT_MS = 30_000

/** Time in ms by which watchers wait less than others, so that passing a change on keeps the bounds. */
export const RELAY_MARGIN_MS = 300

/** Time in ms after the start, in which little has been heard of others, with short waits. */
export const START_MS = 3_000

/** Longest and shortest time in ms after the last message of a watcher for which others rely on it; shorter ones would end between two messages. */
const UNHEARD_MAX_MS = 2_500
const UNHEARD_MIN_MS = 1_300

/** Time in ms that is left to notice a silent connection once no watcher is relied on: the next housekeeping and a call. */
const UNHEARD_MARGIN_MS = 500

/** Interval in ms of a watcher's messages, and the delay of the one that follows a change, in case the first one is lost. */
export const NEWS_INTERVAL_MS = 1_000
export const NEWS_REPEAT_MS = 200

/** Time in ms for which a gateway that is told of a change waits for its own watch. */
export const RELAY_GRACE_MS = 200

/** Least time in ms between two watches that are given up because of what others told. */
const RENEW_INTERVAL_MS = 500

/** Time in ms for which a watcher may lie behind another one before the others rely on neither. */
export const DISAGREE_MS = 1_000

/** What a watcher tells others. */
export interface WatchNews {
  /** Name of the sender. */
  readonly id: string
  /** Era of the store; absent when the store names none. */
  readonly era?: number | undefined
  /** Whether the store answers the sender. */
  readonly isHearing: boolean
  /** Revision of the newest change, in the order of `FOLLOWED_KINDS`. */
  readonly changed: readonly number[]
  /** Revision up to which the sender knows everything, in the same order. */
  readonly seen: readonly number[]
}

/** How a gateway follows the store. */
export type WatchRole =
  /** Little has been heard of others since the start. */
  | 'starting'
  /** The failure domain has few gateways; each follows the store for itself. */
  | 'alone'
  /** Tells others what it sees. */
  | 'watcher'
  /** Relies on watchers. */
  | 'listener'
  /** Would rely on watchers, but hears none, or they disagree. */
  | 'unheard'

/** A gateway that is ready. */
export interface ReadyGateway {
  readonly id: string
  readonly domain: string
}

/** Progress of the follower of one kind. */
export interface FollowProgress {
  readonly era: number | undefined
  /** Revision up to which everything is known. */
  readonly seen: number
  /** Revision of the newest change in the answer, or a later one; undefined when there was none, and for the first list of a process. */
  readonly changed: number | undefined
}

/** What this gateway knows of one kind. */
interface KindState {
  readonly era: number | undefined
  readonly seen: number
  readonly changed: number
  readonly answeredAtMs: number
  /** Newest change that others told of. */
  readonly told: { readonly era: number | undefined, readonly revision: number, readonly atMs: number } | undefined
  readonly renewedAtMs: number
}

const INITIAL_KIND: KindState = { era: undefined, seen: -1, changed: 0, answeredAtMs: -Infinity, told: undefined, renewedAtMs: -Infinity }

/** Last message of a watcher. */
interface HeardNews {
  readonly news: WatchNews
  readonly atMs: number
  /** Since when the watcher has been behind another one; undefined when it is not. */
  readonly behindSinceMs: number | undefined
}

/** Role of a gateway, and what it knows of the store's revisions. */
export class WatchRoles {
  readonly #self: ReadyGateway
  readonly #startedAtMs: number
  readonly #unheardMs: number
  readonly #kinds = new Map<FollowedKind, KindState>()
  readonly #heard = new Map<string, HeardNews>()
  #role: WatchRole = 'starting'
  /** Watchers of the own domain, and the ready gateways that they were chosen from. */
  #watchers: { readonly key: string, readonly ids: readonly string[] } = { key: '', ids: [] }
  #nextNewsMs = 0
  #hasNews = false
  #wasHearing = true

  private constructor (self: ReadyGateway, startedAtMs: number, noticeMs: number) {
    this.#self = self
    this.#startedAtMs = startedAtMs
    this.#unheardMs = Math.max(UNHEARD_MIN_MS, Math.min(UNHEARD_MAX_MS, noticeMs - UNHEARD_MARGIN_MS))
  }

  /**
   * @param self - this gateway
   * @param startedAtMs - monotonic time in ms at which it started
   * @param noticeMs - time in ms within which a silent connection must be noticed; kept from 1,800 on
   * @returns roles of a gateway that knows no others
   */
  static create (self: ReadyGateway, startedAtMs: number, noticeMs: number): WatchRoles {
    return new WatchRoles(self, startedAtMs, noticeMs)
  }

  get role (): WatchRole {
    return this.#role
  }

  /** Records an answer of the store to this gateway. */
  noteProgress (kind: FollowedKind, { era, seen, changed }: FollowProgress, nowMs: number): void {
    const known = this.#getKind(kind)
    const isNewEra = known.era !== era
    this.#kinds.set(kind, { ...known, era, seen, changed: isNewEra ? changed ?? 0 : Math.max(known.changed, changed ?? 0), answeredAtMs: nowMs })
    if (changed !== undefined) this.#hasNews = true
  }

  /** Records a message of another gateway. */
  noteNews (news: WatchNews, nowMs: number): void {
    if (news.id === this.#self.id) return
    this.#heard.set(news.id, { news, atMs: nowMs, behindSinceMs: this.#heard.get(news.id)?.behindSinceMs })
    for (const [at, kind] of FOLLOWED_KINDS.entries()) {
      const known = this.#getKind(kind)
      const revision = news.changed[at] ?? 0
      if (known.told !== undefined && !isLater(news.era, revision, known.told.era, known.told.revision)) continue
      this.#kinds.set(kind, { ...known, told: { era: news.era, revision, atMs: nowMs } })
    }
  }

  /**
   * Decides the role from who is ready and who has been heard.
   *
   * @param others - other gateways that are ready
   * @param isReady - whether this gateway is ready
   * @param nowMs - monotonic time in ms
   * @returns the role
   */
  chooseRole (others: readonly ReadyGateway[], isReady: boolean, nowMs: number): WatchRole {
    for (const [id, { atMs }] of this.#heard) if (nowMs - atMs > this.#unheardMs) this.#heard.delete(id)
    this.#role = this.#findRole(others.filter(({ domain }) => domain === this.#self.domain), isReady, nowMs)
    return this.#role
  }

  /** @returns kinds whose watches are to be given up, because others have told of changes that did not arrive in time */
  listOverdue (nowMs: number): readonly FollowedKind[] {
    return FOLLOWED_KINDS.filter(kind => {
      const known = this.#getKind(kind)
      const { told, era, seen, renewedAtMs } = known
      if (told === undefined || seen < 0 || nowMs - told.atMs < RELAY_GRACE_MS || renewedAtMs >= told.atMs || nowMs - renewedAtMs < RENEW_INTERVAL_MS) return false
      if (!isLater(told.era, told.revision, era, seen)) return false
      this.#kinds.set(kind, { ...known, renewedAtMs: nowMs })
      return true
    })
  }

  /**
   * Takes the message that is to be sent now, if there is one.
   *
   * @param waitsMs - longest time in ms between two answers of the store to this gateway, by kind
   * @param nowMs - monotonic time in ms
   * @returns the message; undefined when none is due
   */
  takeNews (waitsMs: Readonly<Record<FollowedKind, number>>, nowMs: number): WatchNews | undefined {
    if (this.#role !== 'watcher') return undefined
    const isHearing = FOLLOWED_KINDS.every(kind => nowMs - this.#getKind(kind).answeredAtMs <= waitsMs[kind])
    const hasNews = this.#hasNews || isHearing !== this.#wasHearing
    if (!hasNews && nowMs < this.#nextNewsMs) return undefined
    this.#nextNewsMs = nowMs + (hasNews ? NEWS_REPEAT_MS : NEWS_INTERVAL_MS)
    this.#hasNews = false
    this.#wasHearing = isHearing
    const states = FOLLOWED_KINDS.map(kind => this.#getKind(kind))
    // Kinds are listed one after the other in a new era; revisions of the one before would be taken for later ones.
    const era = states.reduce<number | undefined>((newest, state) => state.era !== undefined && state.era > (newest ?? -1) ? state.era : newest, undefined)
    const isCurrent = (state: KindState): boolean => state.era === era
    return { id: this.#self.id, era, isHearing, changed: states.map(state => isCurrent(state) ? state.changed : 0), seen: states.map(state => isCurrent(state) ? Math.max(0, state.seen) : 0) }
  }

  /** @returns gateways that messages go to: those of the own failure domain, and one watcher of each other one */
  listRecipients (others: readonly ReadyGateway[]): readonly string[] {
    const domains = new Set(others.map(({ domain }) => domain))
    return [...domains].flatMap(domain => {
      const ids = others.filter(other => other.domain === domain).map(({ id }) => id)
      return domain === this.#self.domain ? ids : chooseWatchers(domain, ids).slice(this.#getRank(others)).slice(0, 1)
    })
  }

  #findRole (neighbours: readonly ReadyGateway[], isReady: boolean, nowMs: number): WatchRole {
    if (nowMs - this.#startedAtMs < START_MS) return 'starting'
    const ids = [...neighbours.map(({ id }) => id), ...(isReady ? [this.#self.id] : [])]
    if (ids.length < WATCHERS + LISTENERS_MIN) return 'alone'
    const key = ids.join(' ')
    if (this.#watchers.key !== key) this.#watchers = { key, ids: chooseWatchers(this.#self.domain, ids) }
    if (this.#watchers.ids.includes(this.#self.id)) return 'watcher'
    const heard = neighbours.flatMap(({ id }) => this.#heard.get(id) ?? []).filter(({ news }) => news.isHearing)
    return heard.length === 0 || this.#isDisagreeing(heard, nowMs) ? 'unheard' : 'listener'
  }

  /** Whether one of the watchers has been behind what another one tells for a while. */
  #isDisagreeing (heard: readonly HeardNews[], nowMs: number): boolean {
    return heard.map(entry => {
      const isBehind = heard.some(({ news }) => news.changed.some((revision, at) => isLater(news.era, revision, entry.news.era, entry.news.seen[at] ?? 0)))
      const behindSinceMs = isBehind ? entry.behindSinceMs ?? nowMs : undefined
      this.#heard.set(entry.news.id, { ...entry, behindSinceMs })
      return behindSinceMs !== undefined && nowMs - behindSinceMs >= DISAGREE_MS
    }).includes(true)
  }

  /** Place of this gateway among the watchers of its domain, so that each tells another watcher elsewhere. */
  #getRank (others: readonly ReadyGateway[]): number {
    const ids = [this.#self, ...others].filter(({ domain }) => domain === this.#self.domain).map(({ id }) => id)
    return Math.max(0, chooseWatchers(this.#self.domain, ids).indexOf(this.#self.id))
  }

  #getKind (kind: FollowedKind): KindState {
    return this.#kinds.get(kind) ?? INITIAL_KIND
  }
}

/**
 * Chooses the watchers of a failure domain; when one is gone, only its place moves.
 *
 * @param domain - failure domain
 * @param ids - ready gateways of the domain
 * @returns the watchers
 */
export function chooseWatchers (domain: string, ids: readonly string[]): readonly string[] {
  return ids.map(id => ({ id, score: hashRendezvous(`watch ${domain}`, id) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .slice(0, WATCHERS).map(({ id }) => id)
}

/** Whether a revision is later than another one; eras count only where both are known. */
function isLater (era: number | undefined, revision: number, thanEra: number | undefined, thanRevision: number): boolean {
  if (era !== undefined && thanEra !== undefined && era !== thanEra) return era > thanEra
  return revision > thanRevision
}
