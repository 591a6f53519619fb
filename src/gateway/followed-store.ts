/** Follows what the store holds for a gateway, and applies it to the gateway's tables. */

import type { Metrics } from '../edge/metrics/metrics.js'
import { LAPSE_GRACE_MS } from '../plugins/gateway/endpoints.js'
import type { EndpointChange } from '../plugins/gateway/endpoints.js'
import { assertNever } from '../kernel/errors.js'
import type { GatewayContext } from './context.js'
import { EvacuationTable } from './evacuations.js'
import type { EndpointRecord, GatewayConfiguration } from './model.js'
import type { GatewayStore } from './process.js'
import { StoreFollower, computeFollowerTimes } from './store.js'
import type { Change, FollowerBounds, FollowerTimes, ListingCause, StoreReturn } from './store.js'
import { EraTracker } from './store-era.js'
import { FOLLOWED_KINDS, LISTENER_WAIT_MS, RELAY_MARGIN_MS, WatchRoles } from './watch-roles.js'
import type { FollowedKind, FollowProgress, ReadyGateway, WatchNews, WatchRole } from './watch-roles.js'

/** Longest wait of the watch for evacuations in ms; these must be in force 5 s after they were written. */
const EVACUATION_WAIT_MS = 4_000

/** Time in ms after the end of a watch within which the next answer is expected: the timeout of the call, and a little more. */
const ANSWER_MARGIN_MS = 1_000

/** Longest time in ms from the end of a lapse until the entry is dropped. */
const EXPIRY_MARGIN_MS = 200

/** Dependencies of a followed store. */
export interface FollowedStoreOptions {
  readonly self: ReadyGateway
  readonly context: GatewayContext
  readonly store: GatewayStore
  readonly bounds: FollowerBounds
  readonly metrics: Metrics
  /** Called when a newer configuration is in force. */
  readonly handleConfiguration: () => void
  /** Called when the store has come back from an older copy; what this gateway wrote there may be gone. */
  readonly handleEraChange: () => void
  /** Whether this gateway can serve callers. */
  readonly isReady: () => boolean
  /** Sends a message of a watcher to gateways. */
  readonly sendNews: (news: WatchNews, ids: readonly string[]) => void
}

/** Followers of the endpoints, the configuration and the evacuations. */
export class FollowedStore {
  readonly #options: FollowedStoreOptions
  readonly #evacuations = EvacuationTable.create()
  readonly #followers: Readonly<Record<FollowedKind, StoreFollower<unknown>>>
  readonly #roles: WatchRoles
  readonly #times: FollowerTimes
  #hasEndpoints = false

  private constructor (options: FollowedStoreOptions) {
    this.#options = options
    this.#times = computeFollowerTimes(options.bounds)
    this.#roles = WatchRoles.create(options.self, performance.now(), options.bounds.noticeMs)
    this.#followers = this.#createFollowers()
  }

  /**
   * @param options - tables and callbacks of the gateway, and the store
   * @returns followers that have not started
   */
  static create (options: FollowedStoreOptions): FollowedStore {
    return new FollowedStore(options)
  }

  /** Whether the endpoints have been listed. */
  get hasEndpoints (): boolean {
    return this.#hasEndpoints
  }

  /** @returns the followers, each to be run */
  listFollowers (): ReadonlyArray<StoreFollower<unknown>> {
    return FOLLOWED_KINDS.map(kind => this.#followers[kind])
  }

  /** Ends what was held for a time: lapsed endpoints, and evacuations that the store lost. */
  runHousekeeping (nowMs: number): void {
    this.#noteChanges(this.#options.context.endpoints.expire(nowMs))
    if (this.#evacuations.expire(nowMs)) this.#applyEvacuations()
    this.#updateRole(nowMs)
    this.#sendNews(nowMs)
  }

  /** Records what another gateway has seen of the store. */
  noteNews (news: WatchNews): void {
    this.#roles.noteNews(news, performance.now())
  }

  #updateRole (nowMs: number): void {
    const { context, metrics, isReady } = this.#options
    const before = this.#roles.role
    const role = this.#roles.chooseRole(context.peers.listReady(), isReady(), nowMs)
    if (role !== before) {
      context.log('watch-role', { role })
      metrics.count('watch_roles', role)
    }
    for (const kind of FOLLOWED_KINDS) this.#followers[kind].updateWait(computeWaitMs(role, this.#getShortWaitMs(kind)))
    for (const kind of this.#roles.listOverdue(nowMs)) {
      metrics.count('watches_abandoned', kind)
      this.#followers[kind].renew()
    }
  }

  #sendNews (nowMs: number): void {
    const others = this.#options.context.peers.listReady()
    const computeLimitMs = (kind: FollowedKind): number => this.#getShortWaitMs(kind) + this.#times.collectMs + ANSWER_MARGIN_MS
    const news = this.#roles.takeNews({ endpoints: computeLimitMs('endpoints'), configuration: computeLimitMs('configuration'), evacuations: computeLimitMs('evacuations') }, nowMs)
    if (news !== undefined) this.#options.sendNews(news, this.#roles.listRecipients(others))
  }

  #noteProgress (kind: FollowedKind, progress: FollowProgress): void {
    const nowMs = performance.now()
    this.#roles.noteProgress(kind, progress, nowMs)
    this.#sendNews(nowMs)
  }

  #getShortWaitMs (kind: FollowedKind): number {
    return kind === 'evacuations' ? EVACUATION_WAIT_MS : this.#times.waitMs
  }

  #createFollowers (): Readonly<Record<FollowedKind, StoreFollower<unknown>>> {
    const { context, store } = this.#options
    const times = this.#times
    const handleState = (kind: string) => (state: 'lost' | 'found', reason: string): void => {
      context.log(state === 'lost' ? 'store-lost' : 'store-found', { kind, reason })
    }
    const eras = EraTracker.create(era => { this.#noteEraChange(era) })
    const endpoints = StoreFollower.create(store.endpoints, times, {
      handleList: (items, cause) => {
        this.#hasEndpoints = true
        this.#noteChanges(this.#replaceEndpoints(items, cause))
      },
      handleChanges: (changes, returned) => { this.#applyEndpointChanges(changes, returned) },
      handleState: handleState('endpoints'),
      handleProgress: progress => { this.#noteProgress('endpoints', progress) }
    }, eras)
    const configuration = StoreFollower.create(store.configuration, times, {
      handleList: items => { for (const item of items) this.#applyConfiguration(item) },
      handleChanges: changes => { for (const change of changes) if (change.kind === 'written') this.#applyConfiguration(change.item) },
      handleState: handleState('configuration'),
      handleProgress: progress => { this.#noteProgress('configuration', progress) }
    }, eras)
    const evacuations = StoreFollower.create(store.evacuations, { ...times, waitMs: EVACUATION_WAIT_MS }, {
      handleList: (items, cause) => {
        this.#evacuations.replaceAll(items, cause.kind === 'after-era-change', performance.now())
        this.#applyEvacuations()
      },
      handleChanges: changes => {
        this.#evacuations.merge(changes)
        this.#applyEvacuations()
      },
      handleState: handleState('evacuations'),
      handleProgress: progress => { this.#noteProgress('evacuations', progress) }
    }, eras)
    return { endpoints, configuration, evacuations }
  }

  #noteEraChange (era: number): void {
    this.#options.context.log('store-era-changed', { era })
    this.#options.metrics.count('store_era_changes')
    this.#options.handleEraChange()
  }

  #replaceEndpoints (records: readonly EndpointRecord[], cause: ListingCause): readonly EndpointChange[] {
    const { endpoints } = this.#options.context
    const nowMs = performance.now()
    const { noticeMs } = this.#options.bounds
    switch (cause.kind) {
      case 'current': return endpoints.replaceAll(records, undefined, nowMs)
      case 'after-outage': return endpoints.replaceAll(records, computeLapseEndMs(cause.returned, noticeMs), nowMs)
      case 'after-era-change': return endpoints.restoreAll(records, computeLapseEndMs(cause.returned, noticeMs), nowMs)
      default: return assertNever(cause)
    }
  }

  #applyEndpointChanges (changes: ReadonlyArray<Change<EndpointRecord>>, returned: StoreReturn | undefined): void {
    const { endpoints } = this.#options.context
    const nowMs = performance.now()
    if (returned !== undefined) {
      const items = new Map(endpoints.listAll().map(({ record }) => [record.id, record]))
      for (const change of changes) {
        if (change.kind === 'written') items.set(change.item.id, change.item)
        else items.delete(change.name)
      }
      this.#noteChanges(endpoints.replaceAll([...items.values()], computeLapseEndMs(returned, this.#options.bounds.noticeMs), nowMs))
      return
    }
    this.#noteChanges(changes.flatMap(change => {
      if (change.kind === 'written') return endpoints.upsert(change.item, nowMs)
      return endpoints.remove(change.name) ?? []
    }))
  }

  #noteChanges (changes: readonly EndpointChange[]): void {
    const { context } = this.#options
    for (const { id, change } of changes) {
      if (change === 'gone' || change === 'restarted') context.forget(id)
      const record = context.endpoints.find(id)?.record
      if (record !== undefined) context.domainTraffic.noteHost(record.address.host, record.domain)
      context.log('endpoint-changed', { endpoint: id, change, state: record?.state ?? '', domain: record?.domain ?? '', coldMs: record?.coldRemainingMs ?? 0 })
    }
  }

  #applyConfiguration (configuration: GatewayConfiguration): void {
    const { context, metrics, handleConfiguration } = this.#options
    const isAccepted = context.routes.accept(configuration)
    context.log(isAccepted ? 'configuration-accepted' : 'configuration-ignored', { version: configuration.version })
    if (!isAccepted) return
    metrics.observe('configuration_version', configuration.version)
    handleConfiguration()
  }

  #applyEvacuations (): void {
    const domains = this.#evacuations.list()
    this.#options.context.endpoints.setEvacuated(domains)
    this.#options.context.log('domains-evacuated', { domains: [...domains].join(',') })
  }
}

/**
 * Computes until when entries are kept that may have lapsed while the store could not be reached. They are
 * written again soon after its return, and the time counts from there however late a removal is
 * read. An entry that was removed for good is dropped before the gateway counts as connected again.
 *
 * @param returned - when the store could be reached again
 * @param noticeMs - time in ms after the return from which the gateway counts as connected
 * @returns a time in monotonic ms
 */
export function computeLapseEndMs ({ failedAtMs, answeredAtMs }: StoreReturn, noticeMs: number): number {
  return Math.min(answeredAtMs + LAPSE_GRACE_MS, failedAtMs + noticeMs - EXPIRY_MARGIN_MS)
}

/** @returns longest wait of a watch in ms, given the one of a gateway that follows the store for itself */
function computeWaitMs (role: WatchRole, shortMs: number): number {
  switch (role) {
    case 'starting':
    case 'alone':
    case 'unheard':
      return shortMs
    case 'watcher':
      return Math.max(shortMs / 2, shortMs - RELAY_MARGIN_MS)
    case 'listener':
      return LISTENER_WAIT_MS
    default:
      return assertNever(role)
  }
}
