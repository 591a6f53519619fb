/** Process of a gateway: forwards requests of callers to endpoints and watches a metadata store. */

import type { IncomingHttpHeaders } from 'node:http'
import type { Either } from 'purify-ts'
import { readDescriptorLimit } from '../edge/connections/descriptors.js'
import { Logger } from '../edge/log/logger.js'
import { Metrics } from '../edge/metrics/metrics.js'
import { Kernel } from '../kernel/kernel.js'
import type { ColdBounds } from '../plugins/gateway/limit-budgets.js'
import type { RetryBounds } from '../plugins/gateway/retries.js'
import '../plugins/gateway/index.js'
import type { RankEngine } from './agent.js'
import type { Place } from './boundary.js'
import { computeCallerBounds, computeDescriptorsMax } from './caller-limits.js'
import type { CallerBoundSettings, CallerBounds } from './caller-limits.js'
import { GatewayContext, processClock } from './context.js'
import { answerExplain } from './explain-answer.js'
import { EvidenceSync } from './evidence-sync.js'
import { EndpointProbe } from './endpoint-probe.js'
import { LineWriter } from './lines.js'
import { GatewayLink } from './link.js'
import { openListener } from './listening.js'
import type { Address, Dialect, EndpointRecord, GatewayConfiguration } from './model.js'
import { MapService } from './maps.js'
import { PlannedStop } from './planned-stop.js'
import { RankClient } from './rank-link.js'
import { explainRequest } from './request-explainer.js'
import { CallerServer } from './server.js'
import { FollowedStore } from './followed-store.js'
import { StateExchange } from './state-exchange.js'
import { StatusListener } from './status-listener.js'
import type { StatusAnswer, StatusListenerOptions } from './status-listener.js'
import type { FollowerBounds, StoreFailure, StoreKind } from './store.js'

/** Time in ms over which all gateways spread what they write again after the store has come back from an older copy. */
const REWRITE_SPREAD_MS = 1_000

/** Mean interval in ms at which the list of gateways is read again. */
const DISCOVERY_INTERVAL_MS = 10_000

/** Interval in ms of housekeeping: expiring table entries and probing endpoints. */
const TICK_INTERVAL_MS = 100

/** Timeout in ms for an agent that is asked about the group of its worker. */
const GROUP_TIMEOUT_MS = 100

/** Time in ms allowed for writing the last log lines. */
const FLUSH_MS = 50

/** A gateway as the store lists it. */
export interface GatewayEntry {
  readonly id: string
  readonly address: Address
}

/** Interface of the store to a gateway. */
export interface GatewayStore {
  readonly endpoints: StoreKind<EndpointRecord>
  readonly configuration: StoreKind<GatewayConfiguration>
  /** Failure domains that are out of service. */
  readonly evacuations: StoreKind<string>
  /** Lists the registered gateways; the list may be seconds out of date unless `mustBeCurrent`. */
  listGateways (mustBeCurrent: boolean): Promise<Either<StoreFailure, readonly GatewayEntry[]>>
  register (entry: GatewayEntry): Promise<Either<StoreFailure, void>>
  deregister (id: string): Promise<Either<StoreFailure, void>>
  close (): void
}

/** What the bytes of requests to agents are counted as. */
const TRAFFIC_PURPOSES = { read: 'reading', order: 'order', permit: 'permit' } as const

/** Settings of what operators may ask. */
export interface OperatorSettings {
  /** Key with which explanations are answered; undefined when none are. */
  readonly key: string | undefined
}

/** Settings of a gateway. */
export interface GatewaySettings {
  readonly host: string
  readonly domain: string
  readonly callerListener: Address
  readonly readyListener: Address
  readonly directoryListener: Address
  readonly linkListener: Address
  readonly rankListener: Address
  /** Port that agents listen on, on the hosts of the model workers. */
  readonly agentPort: number
  readonly metricsListener: Address
  readonly retries: RetryBounds
  readonly cold: ColdBounds
  /** What gateways decide by when to send requests to other failure domains. */
  readonly domains: {
    /** Waiting time in ms that is worth as much as a megabyte between failure domains; undefined when gateways do not decide. */
    readonly waitMsPerMb: number | undefined
  }
  readonly store: FollowerBounds
  /** Time from the stop signal to the kill, in ms. */
  readonly graceMs: number
  /** Memory of the process in MB; undefined when it is not known. */
  readonly memoryMb: number | undefined
  /** Bounds on what callers may take together. */
  readonly callers: CallerBoundSettings
  /** What operators may ask. */
  readonly operators: OperatorSettings
  /** How long callers may cache the addresses of the directory, in ms. */
  readonly addressHoldMs: number
}

/** Answers to readiness checks and directory requests, in the format of the platform. */
export interface DirectoryDialect {
  /** Answers a directory request; undefined when the path is unknown or there are no addresses. */
  /** @returns status of the answer to a readiness check */
  answerReady (path: string, isReady: boolean): number
  answerDirectory (path: string, addresses: readonly string[], holdMs: number): string | undefined
}

/** Dependencies of a gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings
  readonly dialect: Dialect & DirectoryDialect
  readonly engine: RankEngine
  /** Opens the store, which reports skipped entries and calls to the logger and metrics. */
  readonly openStore: (logger: Logger, metrics: Metrics) => GatewayStore
}

/** Process of a gateway. */
export class GatewayProcess {
  readonly #settings: GatewaySettings
  readonly #dialect: Dialect & DirectoryDialect
  readonly #logger: Logger
  readonly #lines: LineWriter
  readonly #metrics: Metrics
  readonly #store: GatewayStore
  readonly #context: GatewayContext
  readonly #callers: CallerServer
  readonly #link: GatewayLink
  readonly #exchange: StateExchange
  readonly #evidenceSync: EvidenceSync
  readonly #ranks: RankClient
  readonly #maps: MapService
  readonly #probe: EndpointProbe
  readonly #followed: FollowedStore
  readonly #bounds: CallerBounds
  readonly #bornMs = Date.now()
  #isLeaving = false
  /** Ends the pause of the discovery; the own entry is then written again. */
  #restartDiscovery: (() => void) | undefined
  #isRegistered = false

  private constructor ({ settings, dialect, engine, openStore }: GatewayOptions) {
    this.#settings = settings
    this.#dialect = dialect
    this.#lines = LineWriter.create(count => {
      this.#logger.write('log-lines-dropped', { count })
      for (let line = 0; line < count; line += 1) this.#metrics.count('log_lines_dropped')
    })
    this.#logger = Logger.create({ processId: settings.host, write: line => { this.#lines.add(line, performance.now()) } })
    this.#metrics = Metrics.create({ role: 'gateway' })
    this.#store = openStore(this.#logger, this.#metrics)
    const { host, domain, linkListener } = settings
    const kernel = Kernel.create({
      self: { id: host, role: 'gateway', domain, host, address: `${linkListener.host}:${linkListener.port}`, incarnation: this.#bornMs },
      seed: Math.floor(Math.random() * 2 ** 31),
      settings: { clusterSecret: '', seeds: [] }
    })
    this.#ranks = RankClient.create(settings.agentPort, reason => { this.#context.boundary.noteFailure('message', reason) }, (kind, address, bytes) => { this.#context.domainTraffic.note(TRAFFIC_PURPOSES[kind], address, bytes) })
    this.#context = GatewayContext.create({
      kernel,
      dialect,
      logger: this.#logger,
      metrics: this.#metrics,
      clock: processClock,
      askPermit: async ({ endpoint }, rate, waitMaxMs, timeoutMs, room) => await this.#ranks.requestPermit(endpoint.record.address.host, { kind: 'permit', rate, waitMaxMs, ...(room === undefined ? {} : { room }) }, timeoutMs),
      askShare: async (owner, endpoint, timeoutMs) => await this.#link.requestShare(owner, endpoint, timeoutMs),
      askGroup: async ({ record: { address } }) => (await this.#ranks.sendRequest(address.host, { kind: 'read', wantsCounts: false, wantsMap: false }, GROUP_TIMEOUT_MS))?.state,
      sendLimits: limits => { this.#link.sendLimits(limits) },
      sendEvidence: evidence => { this.#link.sendEvidence(evidence) }
    })
    this.#context.retries.setBounds(settings.retries)
    this.#context.domainShares.setPrice(settings.domains.waitMsPerMb)
    if (settings.memoryMb !== undefined) this.#context.memory.updateMemory(settings.memoryMb)
    this.#bounds = computeCallerBounds(computeDescriptorsMax(settings.callers.descriptorsMax, readDescriptorLimit()), this.#context.memory.memoryBytes, settings.callers)
    this.#context.coldLimits.setBounds(settings.cold)
    this.#callers = CallerServer.create(this.#context, this.#bounds)
    this.#link = this.#createLink(linkListener)
    this.#exchange = this.#createExchange()
    this.#evidenceSync = EvidenceSync.create({ context: this.#context, link: this.#link })
    this.#maps = MapService.create({ context: this.#context, client: this.#ranks, engine, id: host, isReady: () => this.isReady && this.#context.boundary.isSound })
    this.#probe = EndpointProbe.create(this.#context, this.#ranks, engine)
    this.#followed = FollowedStore.create({
      context: this.#context,
      store: this.#store,
      bounds: settings.store,
      metrics: this.#metrics,
      handleConfiguration: () => { this.#callers.updateLimits() },
      handleEraChange: () => { this.#scheduleRewrite() },
      self: { id: host, domain },
      isReady: () => this.isReady,
      sendNews: (news, ids) => { this.#link.sendNews(news, ids) }
    })
  }

  /**
   * @param options - settings, adapter and store
   * @returns a process that has not started
   */
  static create (options: GatewayOptions): GatewayProcess {
    return new GatewayProcess(options)
  }

  /** @throws Error when an address is already in use */
  async start (): Promise<void> {
    const { settings } = this
    await this.#open(settings.linkListener, async () => { await this.#link.start() })
    await this.#open(settings.rankListener, async () => { await this.#ranks.start(settings.rankListener) })
    this.#runLoop('maps', async () => { await this.#maps.run() })
    await this.#open(settings.callerListener, async () => { await this.#callers.start(settings.callerListener) })
    await this.#listen(settings.readyListener, path => ({ status: this.#dialect.answerReady(path, this.isReady) }))
    await this.#listen(settings.directoryListener, path => this.#answerDirectory(path))
    await this.#listen(settings.metricsListener, async (path, headers) => this.#answerExplain(path, headers) ?? ({ status: 200, type: 'text/plain; version=0.0.4', body: await this.#metrics.format() }))
    for (const follower of this.#followed.listFollowers()) this.#runLoop('follower', async () => { await follower.run() })
    this.#runLoop('discovery', async () => { await this.#discover() })
    setInterval(() => { this.#runHousekeeping() }, TICK_INTERVAL_MS)
    this.#exchange.start()
    this.#logger.write('process-started', { role: 'gateway', id: settings.host, incarnation: this.#bornMs })
  }

  /** Whether the gateway can serve callers. */
  get isReady (): boolean {
    return !this.#isLeaving && this.#followed.hasEndpoints && this.#context.isInformed && this.#context.routes.getVersion() !== undefined
  }

  get settings (): GatewaySettings {
    return this.#settings
  }

  /** Starts a planned stop; `handleLeaveEnd` is called when nothing is in flight or the grace period is over. */
  leave (handleLeaveEnd: () => void): void {
    if (this.#isLeaving) return
    this.#isLeaving = true
    const { graceMs } = this.#settings
    this.#logger.write('process-leaving', { deadlineMs: graceMs, inFlight: this.#context.listExchanges().length })
    this.#exchange.announce()
    this.#deregister()
    PlannedStop.create({ context: this.#context, callers: this.#callers, graceMs }).start(() => {
      this.#logger.write('process-stopped', {})
      this.#lines.flush()
      setTimeout(handleLeaveEnd, FLUSH_MS)
    })
  }

  /** Logs that the settings file changed; addresses and retry bounds stay the same for the life of the process. */
  reload (): void {
    this.#logger.write('settings-reloaded', {})
  }

  #createLink (listener: Address): GatewayLink {
    return GatewayLink.create(listener, {
      handleHeartbeat: heartbeat => { this.#exchange.handleHeartbeat(heartbeat) },
      handleMember: (message, reply) => { this.#exchange.handleMember(message, reply) },
      handleSent: (purpose, bytes, host) => {
        this.#metrics.count('link_datagrams', purpose)
        this.#metrics.count('link_bytes', purpose, bytes)
        this.#context.domainTraffic.note('gateway', host, bytes)
      },
      lendShare: endpoint => this.#context.lendShare(endpoint),
      handleEvidence: ({ purpose, evidence }, reply) => {
        if (purpose === 'addition') this.#context.crashMonitor.mergeReply(evidence)
        else this.#context.crashMonitor.merge(evidence, reply)
        if (purpose === 'table') this.#evidenceSync.noteTable(evidence.length)
      },
      handleLimits: limits => { this.#context.mergeLimits(limits) },
      listLimits: () => this.#context.namedLimits.list('all', performance.now()),
      // A gateway that has just started knows nothing that it could tell.
      listEvidence: () => this.#context.isInformed ? this.#context.partCrashes.list(-Infinity, performance.now()) : undefined,
      handleNews: news => { this.#followed.noteNews(news) },
      handleError: reason => { this.#context.boundary.noteFailure('message', reason) }
    })
  }

  #createExchange (): StateExchange {
    const { host, domain, linkListener } = this.#settings
    return StateExchange.create({
      context: this.#context,
      link: this.#link,
      identity: { id: host, bornMs: this.#bornMs, domain, callerAddress: this.#callerAddress },
      address: linkListener,
      isReady: () => this.isReady,
      handleJoined: id => { this.#evidenceSync.noteJoined(id) }
    })
  }

  #runHousekeeping (): void {
    const nowMs = performance.now()
    const steps = [
      () => { this.#followed.runHousekeeping(nowMs) },
      () => { this.#exchange.runHousekeeping() },
      () => { this.#probe.checkAll(nowMs) },
      () => { this.#evidenceSync.runHousekeeping() }
    ]
    for (const step of steps) this.#context.boundary.run('housekeeping', step)
  }

  get #callerAddress (): string {
    const { callerListener } = this.#settings
    return `${callerListener.host}:${callerListener.port}`
  }

  /** Registers this gateway and reads the list of the others periodically, since a machine may return with another address. */
  async #discover (): Promise<void> {
    const { host, linkListener } = this.#settings
    let wasListed = false
    for (;;) {
      const mustRegister = !this.#isRegistered
      if (mustRegister && !this.#isLeaving) this.#isRegistered = (await this.#store.register({ id: host, address: linkListener })).isRight()
      // A current list, read after the own entry was written, has every gateway that does not find this one in its list.
      const listed = await this.#store.listGateways(!wasListed || mustRegister)
      listed.ifRight(entries => { for (const { id, address } of entries) this.#noteGateway(id, address) })
      const isComplete = this.#isRegistered && listed.isRight()
      if (isComplete && !wasListed) {
        wasListed = true
        this.#context.coldLimits.noteListed(performance.now())
        this.#context.retries.noteListed(performance.now())
        this.#evidenceSync.noteListed()
      }
      await this.#waitForDiscovery(isComplete ? DISCOVERY_INTERVAL_MS * (0.8 + 0.4 * Math.random()) : TICK_INTERVAL_MS * 5)
    }
  }

  async #waitForDiscovery (pauseMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, pauseMs)
      this.#restartDiscovery = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Writes again, spread over the gateways, what a store that has come back from an older copy may have lost: the own entry, or its removal. */
  #scheduleRewrite (): void {
    setTimeout(() => {
      if (this.#isLeaving) {
        this.#deregister()
        return
      }
      this.#isRegistered = false
      this.#restartDiscovery?.()
    }, REWRITE_SPREAD_MS * Math.random())
  }

  #deregister (): void {
    this.#store.deregister(this.#settings.host).catch((error: unknown) => { this.#logger.write('internal-error', { reason: String(error) }) })
  }

  #runLoop (place: Place, run: () => Promise<void>): void {
    this.#context.boundary.runLoop(place, run).catch((error: unknown) => { this.#context.boundary.noteFailure(place, error) })
  }

  #noteGateway (id: string, address: Address): void {
    this.#link.addTarget(id, address)
    this.#context.peers.noteListed(id)
  }

  #answerDirectory (path: string): { status: number, type?: string, body?: string } {
    const others = this.#context.peers.listReady().map(({ callerAddress }) => callerAddress)
    const own = this.isReady ? [this.#callerAddress] : []
    const body = this.#dialect.answerDirectory(path, [...own, ...others], this.#settings.addressHoldMs)
    return body === undefined ? { status: 404 } : { status: 200, type: 'application/json', body }
  }

  #answerExplain (path: string, headers: IncomingHttpHeaders): StatusAnswer | undefined {
    const { host, domain, operators } = this.#settings
    return answerExplain({ path, headers }, operators.key, question => explainRequest(question, { context: this.#context, gateway: host, domain, isTooLate: deadlineAtMs => this.#callers.isTooLate(deadlineAtMs) }))
  }

  async #listen (address: Address, answer: StatusListenerOptions['answer']): Promise<void> {
    const listener = StatusListener.create({
      bounds: this.#bounds,
      answer,
      noteBound: bound => { this.#metrics.count('bounds_met', bound) },
      handleError: reason => { this.#logger.write('internal-error', { reason }) }
    })
    await this.#open(address, async () => { await listener.start(address) })
  }

  async #open ({ host, port }: Address, listen: () => Promise<void>): Promise<void> {
    await openListener(listen, () => { this.#logger.write('address-in-use', { address: `${host}:${port}` }) })
  }
}
