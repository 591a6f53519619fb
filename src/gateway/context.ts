/** State and services shared by the parts of a gateway: plug-ins, logs, metrics and clock. */

import type { Kernel } from '../kernel/kernel.js'
import type { LogEvent } from '../kernel/log-events.js'
import type { Logger, LogFields } from '../edge/log/logger.js'
import type { Metrics } from '../edge/metrics/metrics.js'
import type { RetryAfterPort } from '../plugins/gateway/retry-after.js'
import type { CrashesPort } from '../plugins/gateway/crashes.js'
import type { ColdLimitsPort, EndpointAccess } from '../plugins/gateway/cold-limits.js'
import type { EndpointsPort, EndpointView } from '../plugins/gateway/endpoints.js'
import type { LimitStatement, NamedLimitsPort, SharedStatements } from '../plugins/gateway/named-limits.js'
import type { Announcement, NoticesPort } from '../plugins/gateway/notices.js'
import type { OutagesPort } from '../plugins/gateway/outages.js'
import type { PartCrashesPort } from '../plugins/gateway/part-crashes.js'
import type { PeersPort } from '../plugins/gateway/peers.js'
import type { ExplainedCandidate } from '../plugins/gateway/candidate-standing.js'
import type { ExplainedRequest, Reach, Selection, SelectionPort } from '../plugins/gateway/selection.js'
import type { RetriesPort } from '../plugins/gateway/retries.js'
import type { RoutesPort } from '../plugins/gateway/routes.js'
import type { DomainRoom, DomainSharesPort } from '../plugins/gateway/domain-shares.js'
import type { ServiceLoadPort } from '../plugins/gateway/service-load.js'
import type { LivenessPort } from '../plugins/gateway/liveness.js'
import type { AskPermit, AskShare, Lender, LimitedSelection } from './admission.js'
import type { Permit, PermitClocks } from './permit.js'
import { Boundary } from './boundary.js'
import { DomainTraffic } from './domain-traffic.js'
import { RequestRoom } from './caller-limits.js'
import { CrashMonitor } from './crash-monitor.js'
import type { SendEvidence } from './crash-monitor.js'
import { LateLane } from './late-lane.js'
import { MemoryBudget } from './memory.js'
import { RecoveryQueue } from './recovery.js'
import { RoomQueue } from './room-queue.js'
import type { AskGroup } from './recovery.js'
import type { Exchange } from './exchange.js'
import type { Dialect } from './model.js'

/** Load, in requests, added to an endpoint in another failure domain while all are compared. */
const DISTANCE_DEFAULT = 0.4

/** Expected wait in ms for a slot up to which requests stay in their failure domain: what leaving costs and a little more, but no wait that callers notice. */
const STAY_MARGIN_MS = 5
const STAY_WAIT_MAX_MS = 25

/** Share of requests that leave their failure domain above which an explained request counts as one of them. */
const LIKELY_SHARE = 0.5

/** Part of a share from one log line on it to the next. */
const SHARE_LOG_STEP = 0.1

/** Clocks, timers and random numbers of a gateway. */
export interface GatewayClock extends PermitClocks {
  /** @returns a random number from 0 to 1 */
  pickFloat (): number
  /** Calls `run` after `delayMs`. @returns cancels the call */
  schedule (delayMs: number, run: () => void): () => void
}

/** Clocks, timers and random numbers of the process. */
export const processClock: GatewayClock = {
  pickFloat: () => Math.random(),
  getNowMs: () => performance.now(),
  getWallMs: () => Date.now(),
  schedule (delayMs, run) {
    const timer = setTimeout(run, delayMs)
    return () => { clearTimeout(timer) }
  }
}

/** Dependencies of a context. */
export interface GatewayContextOptions {
  readonly kernel: Kernel
  readonly dialect: Dialect
  readonly logger: Logger
  readonly metrics: Metrics
  readonly askPermit: AskPermit
  readonly askShare: AskShare
  /** Absent for a gateway without others. */
  readonly sendEvidence?: SendEvidence
  /** Absent for a gateway without others. */
  readonly sendLimits?: (limits: SharedStatements) => void
  /** Absent when endpoints cannot be asked about their groups. */
  readonly askGroup?: AskGroup
  readonly clock: GatewayClock
}

/** Shared context of one gateway. */
export class GatewayContext {
  readonly dialect: Dialect
  readonly metrics: Metrics
  readonly routes: RoutesPort
  readonly endpoints: EndpointsPort
  readonly peers: PeersPort
  readonly retries: RetriesPort
  readonly crashes: CrashesPort
  readonly partCrashes: PartCrashesPort
  readonly selection: SelectionPort
  readonly coldLimits: ColdLimitsPort
  readonly namedLimits: NamedLimitsPort
  readonly notices: NoticesPort
  readonly retryAfter: RetryAfterPort
  readonly serviceLoad: ServiceLoadPort
  readonly domainShares: DomainSharesPort
  readonly domainTraffic: DomainTraffic
  readonly liveness: LivenessPort
  readonly crashMonitor: CrashMonitor
  readonly outages: OutagesPort
  readonly recovery: RecoveryQueue
  readonly lateLane: LateLane
  readonly roomQueue: RoomQueue
  readonly memory = MemoryBudget.create()
  readonly requestRoom = RequestRoom.create({ requestsMax: Infinity, aheadMax: Infinity })
  readonly boundary: Boundary
  readonly askPermit: AskPermit
  readonly askShare: AskShare
  readonly clock: GatewayClock
  /** Slowdown factors of slow endpoints; empty unless this gateway is the leader, which changes the expert maps. */
  paces: Readonly<Record<string, number>> = {}
  /** Whether the gateway knows what crashed endpoints before it started; until then it sends no requests. */
  isInformed = true
  readonly #logger: Logger
  readonly #sendLimits: (limits: SharedStatements) => void
  readonly #exchanges = new Set<Exchange>()
  readonly #admittedByAgents = new Set<string>()

  private constructor ({ kernel, dialect, logger, metrics, askPermit, askShare, sendLimits, sendEvidence, askGroup, clock }: GatewayContextOptions) {
    this.askShare = askShare
    this.#sendLimits = sendLimits ?? (() => {})
    this.askPermit = askPermit
    this.clock = clock
    this.dialect = dialect
    this.metrics = metrics
    this.#logger = logger
    this.boundary = Boundary.create({ metrics, log: (event, fields) => { this.log(event, fields) } })
    this.routes = kernel.getPort('routes')
    this.endpoints = kernel.getPort('endpoints')
    this.peers = kernel.getPort('peers')
    this.retries = kernel.getPort('retries')
    this.crashes = kernel.getPort('crashes')
    this.partCrashes = kernel.getPort('partCrashes')
    this.selection = kernel.getPort('selection')
    this.coldLimits = kernel.getPort('coldLimits')
    this.namedLimits = kernel.getPort('namedLimits')
    this.notices = kernel.getPort('notices')
    this.retryAfter = kernel.getPort('retryAfter')
    this.serviceLoad = kernel.getPort('serviceLoad')
    this.domainShares = kernel.getPort('domainShares')
    this.domainTraffic = DomainTraffic.create(kernel.self.domain, metrics)
    this.liveness = kernel.getPort('liveness')
    this.outages = kernel.getPort('outages')
    this.recovery = RecoveryQueue.create(this, askGroup ?? (async () => undefined))
    this.lateLane = LateLane.create(this)
    this.roomQueue = RoomQueue.create(this)
    this.crashMonitor = CrashMonitor.create({
      self: kernel.self.id,
      crashes: this.crashes,
      partCrashes: this.partCrashes,
      endpoints: this.endpoints,
      liveness: this.liveness,
      noteCrash: (endpoint, atMs) => { this.recovery.noteCrash(endpoint, atMs) },
      peers: this.peers,
      metrics,
      sendEvidence: sendEvidence ?? (() => {}),
      getNowMs: () => this.getNowMs(),
      log: (event, fields) => { this.log(event, fields) }
    })
  }

  /**
   * @param options - parts of the process
   * @returns the shared context
   */
  static create (options: GatewayContextOptions): GatewayContext {
    return new GatewayContext(options)
  }

  /** @returns monotonic time in ms */
  getNowMs (): number {
    return this.clock.getNowMs()
  }

  /** @returns a random number from 0 to 1 */
  pickFloat (): number {
    return this.clock.pickFloat()
  }

  log (event: LogEvent, fields: LogFields): void {
    this.#logger.write(event, fields)
  }

  /**
   * Chooses an endpoint of a service.
   *
   * @param service - name of the service
   * @param exclude - endpoints already tried
   * @param avoidedDomains - failure domains that are used only when there are no others
   * @param nowMs - monotonic time in ms
   * @param isHomeFull - whether endpoints in the own failure domain had no room
   * @returns the choice; undefined when no endpoint can take a request now
   */
  choose (service: string, exclude: ReadonlySet<string>, avoidedDomains: ReadonlySet<string>, nowMs: number, isHomeFull = false): Selection | undefined {
    const candidates = this.#listWorking(service, nowMs)
    if (this.domainShares.isDue(service, nowMs)) this.#adjustShare(service, candidates, nowMs)
    const reach = this.#chooseReach(service, isHomeFull)
    const request = this.#buildSelectionRequest(service, { candidates, reach, distance: this.#computeDistance(service, reach, candidates), exclude, avoidedDomains }, nowMs)
    const selection = this.selection.choose({ ...request, fraction: this.pickFloat(), pickFloat: () => this.pickFloat() }, nowMs)
    if (selection?.isSampled === true && selection.access.kind === 'permit') this.#admittedByAgents.add(service)
    else if (selection?.isSampled === false) this.#admittedByAgents.delete(service)
    return selection
  }

  /**
   * Lists the endpoints of a service that may work, the one that `choose` would take for a new request first; changes nothing.
   *
   * @param service - name of the service
   * @param nowMs - monotonic time in ms
   */
  explainChoice (service: string, nowMs: number): readonly ExplainedCandidate[] {
    const candidates = this.#listWorking(service, nowMs)
    const reach = this.domainShares.getDecision(service).share > LIKELY_SHARE ? 'far' : this.#staysHome(service) ? 'near' : 'any'
    return this.selection.explain(this.#buildSelectionRequest(service, { candidates, reach, distance: this.#computeDistance(service, reach, candidates), exclude: new Set(), avoidedDomains: new Set() }, nowMs), nowMs)
  }

  /** Whether agents decide which requests of a service start, as the counts of other gateways are old. */
  isAdmittedByAgents (service: string): boolean {
    return this.#admittedByAgents.has(service)
  }

  /**
   * Chooses the endpoint whose agent expects to have the next permit; one that did not
   * answer is asked again when there is no other.
   *
   * @param service - name of the service
   * @param nowMs - monotonic time in ms
   * @returns the choice; undefined when no endpoint has an agent
   */
  chooseSoonest (service: string, nowMs: number): LimitedSelection | undefined {
    const getAccess = this.#buildAccess(service, nowMs)
    let soonest: LimitedSelection | undefined
    let soonestMs = Infinity
    for (const endpoint of this.#listWorking(service, nowMs)) {
      const access = getAccess(endpoint)
      if ((access.kind !== 'denied' && access.kind !== 'borrow') || access.rate === undefined) continue
      const untilMs = access.kind === 'denied' ? access.untilMs : Number.MAX_VALUE
      if (untilMs >= soonestMs) continue
      soonest = { endpoint, inFlight: 0, access, rate: access.rate, isSampled: false }
      soonestMs = untilMs
    }
    return soonest
  }

  /**
   * Picks an endpoint of which another gateway that is alive may have a share left.
   *
   * @param service - name of the service
   * @param nowMs - monotonic time in ms
   * @returns the endpoint and the owner to ask; undefined when there is none
   */
  chooseLender (service: string, nowMs: number): Lender | undefined {
    const lenders = this.listLenders(service, nowMs)
    const lender = lenders[Math.floor(this.pickFloat() * lenders.length)]
    if (lender === undefined) return undefined
    const owner = lender.owners[Math.floor(this.pickFloat() * lender.owners.length)]!
    return { selection: { endpoint: lender.endpoint, inFlight: 0, access: lender.access, isSampled: false }, owner }
  }

  /** Lists the endpoints of which other gateways that are alive may have a share left. */
  listLenders (service: string, nowMs: number): readonly { readonly endpoint: EndpointView, readonly access: EndpointAccess, readonly owners: readonly string[] }[] {
    const getAccess = this.#buildAccess(service, nowMs)
    return this.#listWorking(service, nowMs).flatMap(endpoint => {
      const access = getAccess(endpoint)
      const owners = access.kind === 'borrow' ? access.owners.filter(owner => this.peers.isAlive(owner)) : []
      return owners.length === 0 ? [] : [{ endpoint, access, owners }]
    })
  }

  /** Spends a share of this gateway for another one. @returns false when there is none */
  lendShare (endpointId: string): boolean {
    const endpoint = this.endpoints.find(endpointId)
    if (endpoint === undefined) return false
    const service = this.routes.findService(endpoint.record.service)
    const nowMs = this.getNowMs()
    return this.coldLimits.lendShare({ endpoint, service, gateways: this.peers.listKnown(), named: this.namedLimits.describe(endpointId, nowMs) }, nowMs)
  }

  /** Lists the endpoints that the store lists as usable and that have not said that they take no requests. */
  listAvailable (service: string): readonly EndpointView[] {
    return this.endpoints.listUsable(service).filter(endpoint => this.isAvailable(endpoint))
  }

  /** Whether an endpoint takes requests, as far as it has said. */
  isAvailable ({ record }: EndpointView): boolean {
    return this.notices.describe(record, this.getNowMs()).kind === 'open'
  }

  /** Why a request may not be sent any more, although its endpoint was chosen. */
  findObstacle (endpoint: EndpointView, permit: Permit | undefined): string | undefined {
    if (permit?.isValid() === false) return 'permit expired'
    return this.isAvailable(endpoint) ? undefined : 'endpoint takes no requests'
  }

  /** @returns time in ms until the first endpoint of a service ends its pause; undefined unless none takes requests and one pauses */
  findPauseMs (service: string): number | undefined {
    const nowMs = this.getNowMs()
    let untilMs = Infinity
    for (const { record } of this.endpoints.listUsable(service)) {
      const availability = this.notices.describe(record, nowMs)
      if (availability.kind === 'open') return undefined
      if (availability.kind === 'paused') untilMs = Math.min(untilMs, availability.untilMs)
    }
    return untilMs === Infinity ? undefined : untilMs - nowMs
  }

  /** Whether a usable endpoint is left that was not tried and is not unresponsive. */
  hasAlternative (service: string, tried: ReadonlySet<string>): boolean {
    return this.#listWorking(service, this.getNowMs()).some(({ record: { id } }) => !tried.has(id) && !this.liveness.isUnresponsive(id))
  }

  /** Records that an endpoint sent data or answered a probe. */
  noteActivity ({ record: { id, service } }: EndpointView): void {
    if (this.liveness.noteActivity(id, service, this.getNowMs())) this.log('endpoint-heard', { endpoint: id })
  }

  /** Records what an answer announces about its endpoint. */
  noteAnnouncement ({ record }: EndpointView, announcement: Announcement): void {
    const { pause } = announcement
    for (const change of this.notices.noteAnswer(record, announcement, this.getNowMs())) {
      this.log('endpoint-announced', {
        endpoint: record.id, change, born: record.bornMs, state: this.endpoints.find(record.id)?.record.state ?? 'unlisted', ...(pause.kind === 'time' ? { pauseMs: Math.round(pause.ms) } : pause.kind === 'ignored' ? { text: pause.text } : {})
      })
    }
  }

  /**
   * Records what an answer says about the rate that its endpoint takes.
   *
   * @param sentAtMs - monotonic time in ms at which the attempt started
   */
  noteLimit ({ record: { id } }: EndpointView, limit: LimitStatement, sentAtMs: number): void {
    const nowMs = this.getNowMs()
    const change = this.namedLimits.noteAnswer(id, limit, sentAtMs, nowMs)
    if (change === 'none') return
    const statement = this.namedLimits.describe(id, nowMs)
    if (change !== 'unreadable' && statement !== undefined) this.#sendLimits({ [id]: statement })
    this.log('endpoint-limited', { endpoint: id, change, ...(limit.kind === 'rate' ? { perS: limit.perS } : limit.kind === 'unreadable' ? { text: limit.text } : {}) })
  }

  /** Adopts what another gateway was told about the rates that endpoints take. */
  mergeLimits (limits: SharedStatements): void {
    const nowMs = this.getNowMs()
    for (const [endpoint, statement] of Object.entries(limits)) {
      if (this.namedLimits.merge(endpoint, statement, nowMs)) this.log('endpoint-limited', { endpoint, change: 'told', perS: statement.perS ?? 'none', ageMs: Math.round(statement.ageMs) })
    }
  }

  /** Spends one retry of the budget shared by all gateways. @returns false when the budget does not allow it */
  acceptRetry (service: string, nowMs: number): boolean {
    return this.retries.acceptRetry(service, this.peers.listKnown(), nowMs)
  }

  /** What the gateway knows of an endpoint, for the log. */
  describeEndpoint ({ record: { id, domain }, coldUntilMs, updatedAtMs }: EndpointView): LogFields {
    const nowMs = this.getNowMs()
    return { endpoint: id, domain, coldMs: Math.max(0, Math.round(coldUntilMs - nowMs)), recordAgeMs: Math.round(nowMs - updatedAtMs), gateways: this.peers.countKnown() }
  }

  /** How many endpoints of a service the store lists as usable and how many of them take requests, for the log. */
  describeService (service: string): LogFields {
    const pauseMs = this.findPauseMs(service)
    return { usable: this.endpoints.listUsable(service).length, available: this.listAvailable(service).length, ...(pauseMs === undefined ? {} : { pauseMs: Math.round(pauseMs) }) }
  }

  /** Drops an endpoint whose address another one now has. */
  noteMisdirected ({ record }: EndpointView): void {
    this.endpoints.noteReplaced(record.id)
    this.forget(record.id)
    this.log('endpoint-changed', { endpoint: record.id, change: 'gone', reason: 'misdirected' })
  }

  /** Forgets the measurements of an endpoint that is gone or was restarted. */
  forget (endpoint: string): void {
    this.selection.forget(endpoint)
    this.liveness.forget(endpoint)
    this.coldLimits.forget(endpoint)
    this.namedLimits.forget(endpoint)
    this.notices.forgetUndated(endpoint)
  }

  addExchange (exchange: Exchange): void {
    this.#exchanges.add(exchange)
    this.metrics.observe('requests_in_flight', this.#exchanges.size)
  }

  removeExchange (exchange: Exchange): void {
    this.#exchanges.delete(exchange)
    this.metrics.observe('requests_in_flight', this.#exchanges.size)
  }

  /** @returns requests in flight */
  listExchanges (): readonly Exchange[] {
    return [...this.#exchanges]
  }

  #chooseReach (service: string, isHomeFull: boolean): Reach {
    const { share } = this.domainShares.getDecision(service)
    if (this.domainShares.isActive && share > 0 && this.pickFloat() < share) return 'far'
    if (!this.#staysHome(service)) return 'any'
    return isHomeFull ? 'far' : 'near'
  }

  /** Whether requests stay that do not leave at once. Where a slot may be long in coming, all failure domains are compared: a request is not kept waiting for the sake of bytes. */
  #staysHome (service: string): boolean {
    const { ownWaitMs, costMs } = this.domainShares.getDecision(service)
    return this.domainShares.isActive && ownWaitMs !== undefined && ownWaitMs <= Math.min(STAY_WAIT_MAX_MS, costMs + STAY_MARGIN_MS)
  }

  /** What an endpoint in another failure domain counts as holding besides, as load in requests. */
  #computeDistance (service: string, reach: Reach, candidates: readonly EndpointView[]): number {
    if (reach === 'far') return 0
    const durationMs = this.lateLane.findDurationMs(service) ?? Infinity
    return Math.max(DISTANCE_DEFAULT, Math.min(1, this.domainShares.getDecision(service).costMs / durationMs) * (candidates[0]?.record.slots ?? 1))
  }

  #adjustShare (service: string, candidates: readonly EndpointView[], nowMs: number): void {
    const before = this.domainShares.getDecision(service).share
    const { share, ownWaitMs, otherWaitMs, costMs } = this.domainShares.adjust(service, this.#listRooms(service, candidates, nowMs), this.lateLane.findDurationMs(service), nowMs)
    this.metrics.observe('domain_share', share, service)
    if (Math.ceil(before / SHARE_LOG_STEP) === Math.ceil(share / SHARE_LOG_STEP)) return
    this.log('domain-share', { service, share, ownWaitMs: Math.round(ownWaitMs ?? -1), otherWaitMs: Math.round(otherWaitMs ?? -1), costMs: Math.round(costMs) })
  }

  /** Describes the room of a service by failure domain, by what agents said, else by the counts of gateways. */
  #listRooms (service: string, candidates: readonly EndpointView[], nowMs: number): readonly DomainRoom[] {
    const getAccess = this.#buildAccess(service, nowMs)
    const own = this.selection.listInFlight()
    const durationMs = this.lateLane.findDurationMs(service) ?? Infinity
    const areCountsKnown = this.peers.getCountsAgeMs(nowMs) <= durationMs
    const rooms = new Map<string, { endpoints: number, slots: number, requests: number }>()
    for (const endpoint of candidates) {
      const { id, domain, slots } = endpoint.record
      const { kind } = getAccess(endpoint)
      if (kind === 'denied' || kind === 'borrow' || this.liveness.isUnresponsive(id)) continue
      const room = rooms.get(domain) ?? { endpoints: 0, slots, requests: 0 }
      rooms.set(domain, room)
      room.endpoints += 1
      room.requests += (own[id] ?? 0) + this.peers.countInFlight(id)
    }
    return [...rooms].map(([domain, { endpoints, slots, requests }]) => ({ domain, endpoints, slots, load: this.serviceLoad.findMeanLoad(service, nowMs, domain) ?? (areCountsKnown ? requests / endpoints : undefined) }))
  }

  /** Lists the available endpoints without those whose group has lost a rank. */
  #listWorking (service: string, nowMs: number): readonly EndpointView[] {
    return this.listAvailable(service).filter(endpoint => !this.outages.isLost(endpoint, nowMs))
  }

  #buildSelectionRequest (service: string, { candidates, reach, distance, exclude, avoidedDomains }: Pick<ExplainedRequest, 'candidates' | 'reach' | 'distance' | 'exclude' | 'avoidedDomains'>, nowMs: number): ExplainedRequest {
    return {
      candidates,
      reach,
      distance,
      exclude,
      avoidedDomains: new Set([...avoidedDomains, ...this.serviceLoad.listSilentDomains(service, nowMs)]),
      getAccess: this.#buildAccess(service, nowMs),
      countsAgeMs: this.peers.getCountsAgeMs(nowMs),
      durationMs: this.lateLane.findDurationMs(service),
      inFlightElsewhere: this.peers.countInFlightOf(service, this.endpoints.listUsable(service)),
      countElsewhere: endpoint => this.peers.countInFlight(endpoint),
      isUnresponsive: endpoint => this.liveness.isUnresponsive(endpoint),
      getPace: endpoint => this.paces[endpoint] ?? this.peers.getPace(endpoint)
    }
  }

  #buildAccess (service: string, nowMs: number): (endpoint: EndpointView) => EndpointAccess {
    const spec = this.routes.findService(service)
    const gateways = this.peers.listKnown()
    return endpoint => this.coldLimits.decide({ endpoint, service: spec, gateways, named: this.namedLimits.describe(endpoint.record.id, nowMs) }, nowMs)
  }
}
