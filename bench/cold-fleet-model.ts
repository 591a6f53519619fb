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
import { computeColdBudget } from '../src/plugins/gateway/cold-limits.js'
import type { ColdBounds } from '../src/plugins/gateway/cold-limits.js'
import { PermitBucket } from '../src/plugins/gateway/permits.js'
import type { PermitReply } from '../src/plugins/gateway/permits.js'
import { EventScheduler } from './admission-model.js'

/** Bounds of the users' platform. */
export const BOUNDS: ColdBounds = { overshoot: 1.5, slack: 5 }

const SERVICE = 's'
const REQUEST_MS = 1_000
const LATENCY_TARGET_MS = 400
const DATAGRAM_MS = 1
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
    const options = { requestId: 'r', service: SERVICE, tried: new Set<string>(), waitMaxMs: LATENCY_TARGET_MS / 2 }
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
    await this.scheduler.runAsync(durationMs)
    const all = [...this.#starts.values()]
    return {
      requests: this.#requests,
      mostInSecond: Math.max(...all.map(countMostInSecond)),
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
    const { permits } = computeColdBudget(coldPerS, BOUNDS, hasAgents)
    this.#refused += 1
    const isFree = permits !== undefined && [...this.#agents.values()].some(agent => {
      // A negative wait is always denied, so nothing is reserved.
      const reply = agent.reserve(permits, -1, this.scheduler.nowMs)
      return reply.kind === 'denied' && reply.retryMs === 0
    })
    if (isFree) this.#refusedWhileFree += 1
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

  #scheduleFaults (): void {
    const { fault, durationMs, gateways } = this.#scenario
    if (fault === 'gateways-suspended') {
      this.scheduler.scheduleAt(SUSPENDED_AT_MS, () => { this.#gateways.forEach((gateway, index) => { if (index % 2 === 0) gateway.suspend(SUSPENDED_MS) }) })
    }
    for (let atMs = RESTART_INTERVAL_MS; atMs < durationMs; atMs += RESTART_INTERVAL_MS) {
      this.scheduler.scheduleAt(atMs, () => {
        if (fault === 'agents-restart') for (const id of this.#agents.keys()) this.#agents.set(id, PermitBucket.create(atMs))
        if (fault === 'gateways-restart') for (let index = 0; index < gateways; index += 2) this.#gateways[index] = this.#startGateway(index, 'all', atMs)
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

/** @returns the largest number of times within one second */
function countMostInSecond (times: readonly number[]): number {
  let most = 0
  let first = 0
  times.forEach((atMs, index) => {
    while (times[first]! <= atMs - 1_000) first += 1
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

/** @returns the number of requests that may reach an endpoint of a scenario in one second */
export function computeBound ({ coldPerS }: ColdScenario): number {
  return coldPerS * BOUNDS.overshoot + BOUNDS.slack
}
