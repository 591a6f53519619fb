/** Simulates gateways that send requests to cold endpoints: the code of the gateways in virtual time, with agents, connections and faults. */

import { platformDialect } from '../platform/dialect.js'
import { Logger } from '../src/edge/log/logger.js'
import { Metrics } from '../src/edge/metrics/metrics.js'
import { Admission } from '../src/gateway/admission.js'
import type { AdmissionResult } from '../src/gateway/admission.js'
import { GatewayContext } from '../src/gateway/context.js'
import type { EngineSpec, ServiceSpec } from '../src/gateway/model.js'
import type { Permit } from '../src/gateway/permit.js'
import { Kernel } from '../src/kernel/kernel.js'
import { Random } from '../src/kernel/random.js'
import '../src/plugins/gateway/index.js'
import { computeColdBudget } from '../src/plugins/gateway/limit-budgets.js'
import type { ColdBounds } from '../src/plugins/gateway/limit-budgets.js'
import type { LimitStatement, SharedStatements } from '../src/plugins/gateway/named-limits.js'
import { PermitBucket } from '../src/plugins/gateway/permits.js'
import type { PermitReply } from '../src/plugins/gateway/permits.js'
import { EventScheduler } from './admission-model.js'

/** Bounds of the users' platform. */
export const BOUNDS: ColdBounds = { overshoot: 1.5, slack: 5 }

const SERVICE = 's'
const REQUEST_MS = 1_000
const LATENCY_TARGET_MS = 400
const DATAGRAM_MS = 1
/** Time in ms from the start of a request to the head of its answer. */
const HEAD_MS = 150
/** Period of a named limit, and time after it was first named from which it is in force, in ms. */
const PERIOD_MS = 4_000
const SETTLE_MS = 3_000
const HEARTBEAT_MS = 200
const HEARTBEAT_PER_PEER_MS = 12
const CONNECT_MS = 2
/** Share of the connections that take up to `SLOW_CONNECT_MS`. */
const SLOW_SHARE = 0.05
const SLOW_CONNECT_MS = 290
/** Most attempts of one request whose connection did not stand in time. */
const ATTEMPTS_MAX = 3
/** Interval in ms at which agents restart, or at which gateways start. */
const RESTART_INTERVAL_MS = 500
/** Time in ms at which gateways are suspended, and for how long. */
const SUSPENDED_AT_MS = 1_500
const SUSPENDED_MS = 1_500
const LOSS_SHARE = 0.2

/** Which gateways each gateway knows. */
export type View = 'all' | 'half' | 'itself'

/** What goes wrong. */
export type Fault = 'none' | 'late-news' | 'agents-down' | 'agents-restart' | 'gateways-restart' | 'gateways-suspended' | 'datagrams-lost'

/** One simulation. */
export interface ColdScenario {
  readonly gateways: number
  readonly endpoints: number
  /** Requests per second that a cold endpoint tolerates. */
  readonly coldPerS: number
  /** Requests per second that the endpoints name in their answers; undefined when they name none. */
  readonly namedPerS?: number
  /** Requests per second of all callers. */
  readonly requestsPerS: number
  readonly hasAgents: boolean
  readonly view: View
  readonly fault: Fault
  readonly durationMs: number
  readonly seed: number
}

/** Figures of one simulation. */
export interface ColdResult {
  readonly requests: number
  /** Most requests that any endpoint got in one second. */
  readonly mostInSecond: number
  /** Most requests that any endpoint got in four seconds, from when its limit is in force. */
  readonly mostInPeriod: number
  /** Requests that an endpoint got per second, on average. */
  readonly meanPerS: number
  readonly refused: number
  /** Requests that were refused although an agent would have granted a permit that applies at once. */
  readonly refusedWhileFree: number
}

/** Engine of the endpoints; only whether there is one matters. */
const ENGINE: EngineSpec = {
  slots: 10, stride: 6, stepMs: 6, perRequestMs: 0.4, readPerS: 61_200, promptTokens: 800, answerTokens: 140, layers: 0, experts: 0, slotsPerRank: 0, spare: 0, expertMb: 0, linkMbps: 0, expertShare: 0
}

/** A gateway whose host may be suspended, during which its steady clock stands still. */
class SimulatedGateway {
  readonly context: GatewayContext
  readonly #fleet: SimulatedFleet
  #suspendedUntilMs = 0
  #suspendedMs = 0

  private constructor (fleet: SimulatedFleet, id: string, metrics: Metrics) {
    this.#fleet = fleet
    const kernel = Kernel.create({ self: { id, role: 'gateway', domain: 'a', host: id, address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } })
    this.context = GatewayContext.create({
      kernel,
      dialect: platformDialect,
      logger: Logger.create({ processId: id, write: () => {} }),
      metrics,
      sendLimits: limits => { fleet.broadcastLimits(this, limits) },
      askPermit: async ({ endpoint }, rate, waitMaxMs, timeoutMs) => await new Promise<PermitReply | undefined>(resolve => {
        const settle = (reply: PermitReply | undefined): void => { this.run(() => { resolve(reply) }) }
        fleet.askAgent(endpoint.record.id, rate, waitMaxMs, settle)
        fleet.scheduler.scheduleAt(fleet.scheduler.nowMs + timeoutMs, () => { settle(undefined) })
      }),
      askShare: async (owner, endpoint, timeoutMs) => await new Promise<boolean | undefined>(resolve => {
        const settle = (isLent: boolean | undefined): void => { this.run(() => { resolve(isLent) }) }
        fleet.askGateway(owner, endpoint, settle)
        fleet.scheduler.scheduleAt(fleet.scheduler.nowMs + timeoutMs, () => { settle(undefined) })
      }),
      clock: {
        pickFloat: () => fleet.pickFloat(),
        getNowMs: () => fleet.scheduler.nowMs - this.#suspendedMs,
        getWallMs: () => fleet.scheduler.nowMs,
        schedule: (delayMs, run) => {
          let isCancelled = false
          fleet.scheduler.scheduleAt(fleet.scheduler.nowMs + delayMs, () => { this.run(() => { if (!isCancelled) run() }) })
          return () => { isCancelled = true }
        }
      }
    })
  }

  static create (fleet: SimulatedFleet, id: string, metrics: Metrics): SimulatedGateway {
    return new SimulatedGateway(fleet, id, metrics)
  }

  suspend (durationMs: number): void {
    this.#suspendedUntilMs = this.#fleet.scheduler.nowMs + durationMs
    this.#fleet.scheduler.scheduleAt(this.#suspendedUntilMs, () => { this.#suspendedMs += durationMs })
  }

  /** Runs an action, after the host has woken if it is suspended. */
  run (action: () => void): void {
    const { scheduler } = this.#fleet
    if (scheduler.nowMs < this.#suspendedUntilMs) scheduler.scheduleAt(this.#suspendedUntilMs, action)
    else action()
  }

  /** Sends a request to an endpoint, again when its connection did not stand in time. */
  send (attempts = 1): void {
    const options = { requestId: 'r', service: SERVICE, tried: new Set<string>(), tokens: 0, reserved: undefined, waitMaxMs: LATENCY_TARGET_MS / 2 }
    Admission.create(options, this.context, result => { this.#handleAdmission(result, attempts) }).start()
  }

  #handleAdmission (result: AdmissionResult, attempts: number): void {
    if (result.kind !== 'admitted') {
      this.#fleet.noteRefused()
      return
    }
    const { scheduler } = this.#fleet
    const { id } = result.selection.endpoint.record
    scheduler.scheduleAt(scheduler.nowMs + this.#fleet.pickConnectMs(), () => { this.run(() => { this.#handleConnected(id, result.permit, attempts) }) })
  }

  #handleConnected (endpoint: string, permit: Permit | undefined, attempts: number): void {
    const { scheduler } = this.#fleet
    if (permit?.isValid() === false) {
      this.context.selection.noteEnd(endpoint, 'not-sent', 0, this.context.getNowMs())
      if (attempts < ATTEMPTS_MAX) this.send(attempts + 1)
      else this.#fleet.noteRefused()
      return
    }
    this.#fleet.noteStart(endpoint)
    const sentAtMs = this.context.getNowMs()
    scheduler.scheduleAt(scheduler.nowMs + HEAD_MS, () => { this.run(() => { this.context.noteLimit(this.context.endpoints.find(endpoint)!, this.#fleet.nameLimit(), sentAtMs) }) })
    scheduler.scheduleAt(scheduler.nowMs + REQUEST_MS, () => { this.run(() => { this.context.selection.noteEnd(endpoint, 'ok', REQUEST_MS, this.context.getNowMs()) }) })
  }
}

/** Gateways, endpoints and agents of one simulation. */
class SimulatedFleet {
  readonly scheduler = EventScheduler.create()
  #refused = 0
  #refusedWhileFree = 0
  #requests = 0
  readonly #scenario: ColdScenario
  readonly #random: Random
  readonly #gateways: SimulatedGateway[] = []
  readonly #agents = new Map<string, PermitBucket>()
  readonly #starts = new Map<string, number[]>()
  readonly #metrics = Metrics.create({ role: 'gateway' })

  private constructor (scenario: ColdScenario) {
    this.#scenario = scenario
    this.#random = Random.create(scenario.seed)
    for (let index = 0; index < scenario.endpoints; index += 1) {
      this.#agents.set(`e${index}`, PermitBucket.create(0))
      this.#starts.set(`e${index}`, [])
    }
    for (let index = 0; index < scenario.gateways; index += 1) this.#gateways.push(this.#startGateway(index, scenario.view, -RESTART_INTERVAL_MS * 10))
    this.#scheduleFaults()
  }

  static create (scenario: ColdScenario): SimulatedFleet {
    return new SimulatedFleet(scenario)
  }

  async run (): Promise<ColdResult> {
    const { durationMs, endpoints } = this.#scenario
    this.#scheduleRequest()
    this.#scheduleHeartbeat()
    await this.scheduler.runAsync(durationMs)
    const all = [...this.#starts.values()]
    return {
      requests: this.#requests,
      mostInSecond: Math.max(...all.map(starts => countMostWithin(starts, 1_000))),
      mostInPeriod: Math.max(...all.map(starts => countMostWithin(starts.filter(atMs => atMs >= (starts[0] ?? 0) + HEAD_MS + SETTLE_MS), PERIOD_MS))),
      meanPerS: all.reduce((sum, starts) => sum + starts.length, 0) / endpoints / (durationMs / 1_000),
      refused: this.#refused,
      refusedWhileFree: this.#refusedWhileFree
    }
  }

  pickConnectMs (): number {
    return this.#random.pickFloat() < SLOW_SHARE ? SLOW_CONNECT_MS * this.#random.pickFloat() : CONNECT_MS
  }

  pickFloat (): number {
    return this.#random.pickFloat()
  }

  askGateway (owner: string, endpoint: string, handle: (isLent: boolean) => void): void {
    const gateway = this.#gateways[Number(owner.slice(1))]!
    if (this.#isDatagramLost()) return
    this.scheduler.scheduleAt(this.scheduler.nowMs + DATAGRAM_MS, () => {
      gateway.run(() => {
        const isLent = gateway.context.lendShare(endpoint)
        if (!this.#isDatagramLost()) this.scheduler.scheduleAt(this.scheduler.nowMs + DATAGRAM_MS, () => { handle(isLent) })
      })
    })
  }

  noteRefused (): void {
    const { coldPerS, hasAgents } = this.#scenario
    const { permits } = coldPerS === 0 ? { permits: undefined } : computeColdBudget(coldPerS, BOUNDS, hasAgents)
    this.#refused += 1
    const isFree = permits !== undefined && [...this.#agents.values()].some(agent => {
      // A negative wait is always denied, so nothing is reserved.
      const reply = agent.reserve(permits, -1, this.scheduler.nowMs)
      return reply.kind === 'denied' && reply.retryMs === 0
    })
    if (isFree) this.#refusedWhileFree += 1
  }

  nameLimit (): LimitStatement {
    const { namedPerS } = this.#scenario
    return namedPerS === undefined ? { kind: 'none' } : { kind: 'rate', perS: namedPerS }
  }

  noteStart (endpoint: string): void {
    this.#starts.get(endpoint)!.push(this.scheduler.nowMs)
  }

  askAgent (endpoint: string, rate: Parameters<PermitBucket['reserve']>[0], waitMaxMs: number, handle: (reply: PermitReply) => void): void {
    if (this.#scenario.fault === 'agents-down' || this.#isDatagramLost()) return
    this.scheduler.scheduleAt(this.scheduler.nowMs + DATAGRAM_MS, () => {
      const reply = this.#agents.get(endpoint)!.reserve(rate, waitMaxMs, this.scheduler.nowMs)
      if (!this.#isDatagramLost()) this.scheduler.scheduleAt(this.scheduler.nowMs + DATAGRAM_MS, () => { handle(reply) })
    })
  }

  #isDatagramLost (): boolean {
    return this.#scenario.fault === 'datagrams-lost' && this.#random.pickFloat() < LOSS_SHARE
  }

  #startGateway (index: number, view: View, listedAtMs: number): SimulatedGateway {
    const { gateways, coldPerS, hasAgents, fault } = this.#scenario
    const gateway = SimulatedGateway.create(this, `g${index}`, this.#metrics)
    const { context } = gateway
    const service: ServiceSpec = { name: SERVICE, coldPerS, ...(hasAgents ? { engine: ENGINE } : {}) }
    context.coldLimits.setBounds(BOUNDS)
    context.routes.accept({ version: 1, routes: new Map(), services: new Map([[SERVICE, service]]), limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    for (const id of this.#agents.keys()) {
      const coldRemainingMs = fault === 'late-news' ? 0 : this.#scenario.durationMs
      context.endpoints.upsert({ id, bornMs: 1, service: SERVICE, address: { host: id, port: 1 }, domain: 'a', state: 'ready', slots: 10, coldRemainingMs }, 0)
    }
    for (let other = 0; other < gateways; other += 1) {
      if (other === index || view === 'itself' || (view === 'half' && this.#random.pickInt(2) === 0)) continue
      context.peers.noteListed(`g${other}`)
      context.peers.noteHeartbeat({ id: `g${other}`, bornMs: 1, callerAddress: '', domain: 'a', isReady: true, inFlight: {} }, 0)
    }
    if (view !== 'itself') context.coldLimits.noteListed(listedAtMs)
    return gateway
  }

  broadcastLimits (sender: SimulatedGateway, limits: SharedStatements): void {
    if (this.#scenario.view === 'itself') return
    for (const receiver of this.#gateways) if (receiver !== sender) this.#sendLimits(receiver, limits)
  }

  #sendLimits (receiver: SimulatedGateway, limits: SharedStatements): void {
    if (this.#isDatagramLost()) return
    this.scheduler.scheduleAt(this.scheduler.nowMs + DATAGRAM_MS, () => {
      receiver.run(() => { receiver.context.mergeLimits(limits) })
    })
  }

  /** Gateways tell those that know them what endpoints said. */
  #scheduleHeartbeat (): void {
    const { gateways, view, namedPerS } = this.#scenario
    if (namedPerS === undefined || view === 'itself') return
    this.scheduler.scheduleAt(this.scheduler.nowMs + HEARTBEAT_MS + HEARTBEAT_PER_PEER_MS * gateways, () => {
      for (const sender of this.#gateways) {
        const limits = Object.entries(sender.context.namedLimits.list('own', sender.context.getNowMs()))
        for (const receiver of limits.length === 0 ? [] : this.#gateways) {
          if (receiver !== sender) this.#sendLimits(receiver, Object.fromEntries(limits))
        }
      }
      this.#scheduleHeartbeat()
    })
  }

  /** A gateway that starts sends nothing before another one has told it the limits. */
  #restartGateway (index: number, atMs: number): void {
    const started = this.#startGateway(index, 'all', atMs)
    this.#gateways[index] = started
    const teller = this.#gateways[(index + 1) % this.#gateways.length]!
    started.suspend(2 * DATAGRAM_MS)
    if (teller !== started) this.#sendLimits(started, teller.context.namedLimits.list('all', teller.context.getNowMs()))
  }

  #scheduleFaults (): void {
    const { fault, durationMs, gateways } = this.#scenario
    if (fault === 'gateways-suspended') {
      this.scheduler.scheduleAt(SUSPENDED_AT_MS, () => { this.#gateways.forEach((gateway, index) => { if (index % 2 === 0) gateway.suspend(SUSPENDED_MS) }) })
    }
    for (let atMs = RESTART_INTERVAL_MS; atMs < durationMs; atMs += RESTART_INTERVAL_MS) {
      this.scheduler.scheduleAt(atMs, () => {
        if (fault === 'agents-restart') for (const id of this.#agents.keys()) this.#agents.set(id, PermitBucket.create(atMs))
        if (fault === 'gateways-restart') for (let index = 0; index < gateways; index += 2) this.#restartGateway(index, atMs)
      })
    }
  }

  #scheduleRequest (): void {
    const atMs = this.scheduler.nowMs - 1_000 / this.#scenario.requestsPerS * Math.log(1 - this.#random.pickFloat())
    this.scheduler.scheduleAt(atMs, () => {
      this.#requests += 1
      const gateway = this.#gateways[this.#random.pickInt(this.#gateways.length)]!
      gateway.run(() => { gateway.send() })
      this.#scheduleRequest()
    })
  }
}

/** @returns the largest number of times within a period in ms */
function countMostWithin (times: readonly number[], periodMs: number): number {
  let most = 0
  let first = 0
  times.forEach((atMs, index) => {
    while (times[first]! <= atMs - periodMs) first += 1
    most = Math.max(most, index - first + 1)
  })
  return most
}

/**
 * @param scenario - gateways, load and fault
 * @returns requests in a second and refusals
 */
export async function simulateColdFleet (scenario: ColdScenario): Promise<ColdResult> {
  return await SimulatedFleet.create(scenario).run()
}

/** @returns the number of requests that may reach an endpoint that names its limit in four seconds */
export function computeNamedBound (namedPerS: number): number {
  return 1.5 * namedPerS * PERIOD_MS / 1_000 + 5
}

/** @returns the number of requests that may reach an endpoint of a scenario in one second */
export function computeBound ({ coldPerS }: ColdScenario): number {
  return coldPerS * BOUNDS.overshoot + BOUNDS.slack
}
