/** Simulates gateways that share endpoints with agents, in virtual time: who finds a free slot, and who waits behind a full endpoint. */

import { platformDialect } from '../platform/dialect.js'
import { Logger } from '../src/edge/log/logger.js'
import { Metrics } from '../src/edge/metrics/metrics.js'
import { GatewayContext } from '../src/gateway/context.js'
import type { EngineSpec } from '../src/gateway/model.js'
import { buildRoomWait } from '../src/gateway/request-work.js'
import { RoomAdmission } from '../src/gateway/room-admission.js'
import { computeUrgency } from '../src/gateway/urgency.js'
import { Kernel } from '../src/kernel/kernel.js'
import { Random } from '../src/kernel/random.js'
import '../src/plugins/gateway/index.js'
import { LoadMeter } from '../src/plugins/gateway/engine-load.js'
import { PermitBucket } from '../src/plugins/gateway/permits.js'
import type { PermitReply } from '../src/plugins/gateway/permits.js'
import { EventScheduler } from './admission-model.js'

const SERVICE = 's'
const DOMAINS = ['a', 'b', 'c']
const SLOTS = 7
const DATAGRAM_MS = 1
const CONNECT_MS = 3
/** Mean duration of a request in ms, which varies by half of it, and the time to its first event. */
const DURATION_MS = 1_600
const FIRST_EVENT_MS = 100
const TIMEOUT_MS = 8_000
/** Share of the time that a caller has left for which it waits before it comes back. */
const RETURN_SHARE = 1 / 3
/** Shortest time in ms after which callers leave without an event, and the number of latency targets when that is longer. */
const PATIENCE_MS = 2_000
const PATIENCE_TARGETS = 4
const COLD_PER_S = 26
const HEARTBEAT_MS = 200
const HEARTBEAT_PER_PEER_MS = 12
/** Bytes of a request with its answer. */
const REQUEST_BYTES = 8_000
/** Time in ms until the number of requests in flight is steady. */
const WARM_UP_MS = 4_000

/** Engine of the endpoints; only whether there is one matters. */
const ENGINE: EngineSpec = {
  slots: SLOTS, stride: 6, stepMs: 6, perRequestMs: 0.4, readPerS: 61_200, promptTokens: 800, answerTokens: 140, layers: 0, experts: 0, slotsPerRank: 0, spare: 0, expertMb: 0, linkMbps: 0, expertShare: 0
}

/** Requests of one route. */
export interface LoadKind {
  readonly name: string
  readonly share: number
  readonly priority: number
  readonly latencyTargetMs: number
}

/** Time in which every request takes longer. */
export interface Slowdown {
  readonly fromMs: number
  readonly toMs: number
  readonly factor: number
}

/** How failure domains differ, and what is known of the traffic between them. */
export interface DomainScenario {
  /** Relative number of endpoints by failure domain. */
  readonly endpoints: readonly number[]
  /** Relative demand by failure domain at a time. */
  readonly demand: (nowMs: number) => readonly number[]
  /** Time in ms that a datagram or connection takes longer to another failure domain. */
  readonly linkMs: number
  /** Undefined when gateways do not decide on leaving. */
  readonly waitMsPerMb: number | undefined
  /** Failure domain of which gateways hear nothing new from a time in ms on. */
  readonly frozen?: { readonly domain: string, readonly fromMs: number }
}

/** One simulation. */
export interface LoadScenario {
  readonly domains?: DomainScenario
  readonly gateways: number
  readonly endpoints: number
  /** Requests in flight per slot, were none to wait. */
  readonly usage: number
  /** Whether gateways take the age of each other's counts into account. */
  readonly knowsAge: boolean
  /** Whether requests wait in the gateways while no endpoint has a free slot, instead of at endpoints. */
  readonly waitsForRoom: boolean
  readonly kinds: readonly LoadKind[]
  /** Relative load of the teams. */
  readonly teams: readonly number[]
  readonly slowdown?: Slowdown
  /** Failure domain whose agents do not answer; undefined when all do. */
  readonly silentDomain?: string
  readonly durationMs: number
  readonly seed: number
}

/** Figures of one simulation after its warm-up. */
export interface LoadResult {
  readonly requests: number
  /** Requests that were sent to an endpoint without a free slot while another one had some. */
  readonly waitedInVain: number
  readonly refused: number
  /** Longest wait in ms for a slot of 99 in 100 requests. */
  readonly waitP99Ms: number
  /** Mean of the largest number of requests that an endpoint holds over the mean number. */
  readonly spread: number
  /** Questions to agents per request. */
  readonly asks: number
  /** What callers got, by kind, team, failure domain of the gateway and size. */
  readonly served: ReadonlyMap<string, ServedCounts>
  /** What requests waited for a slot and where they went, by failure domain of the gateway. */
  readonly domains: ReadonlyMap<string, DomainFigures>
}

/** Figures of the requests that came in at one failure domain. */
export interface DomainFigures {
  readonly requests: number
  /** Part that was sent to another failure domain. */
  readonly left: number
  /** Time in ms from receipt to a slot: mean, and that of 99 in 100. */
  readonly waitMs: number
  readonly waitP99Ms: number
}

/** What the callers of a part of the requests got. */
export interface ServedCounts {
  requests: number
  onTime: number
  late: number
  /** Callers that left, or were refused for good. */
  lost: number
  /** Refusals, of which callers come back once. */
  refusals: number
}

/** One request of a caller. */
interface Call {
  readonly kind: LoadKind
  readonly team: string
  readonly isLarge: boolean
  readonly gateway: GatewayContext
  readonly domain: string
  /** Time of the first attempt in ms. */
  readonly atMs: number
  readonly isReturned: boolean
}

interface Waiting {
  readonly atMs: number
  readonly urgency: number
  readonly leavesAtMs: number
  start (waitedMs: number): void
  leave (): void
}

/** Engine with slots, and its agent. */
class SimulatedEndpoint {
  readonly meter = LoadMeter.create()
  readonly permits = PermitBucket.create(0)
  running = 0
  #waiting: Waiting[] = []

  static create (): SimulatedEndpoint {
    return new SimulatedEndpoint()
  }

  get held (): number {
    return this.running + this.#waiting.length
  }

  accept (waiting: Waiting): void {
    this.#waiting.push(waiting)
    this.advance(waiting.atMs)
  }

  advance (nowMs: number): void {
    for (const waiting of this.#waiting) if (waiting.leavesAtMs <= nowMs) waiting.leave()
    this.#waiting = this.#waiting.filter(({ leavesAtMs }) => leavesAtMs > nowMs).sort((a, b) => a.urgency - b.urgency || a.atMs - b.atMs)
    while (this.running < SLOTS && this.#waiting.length > 0) {
      const { atMs, start } = this.#waiting.shift()!
      this.running += 1
      start(nowMs - atMs)
    }
  }
}

/** Gateways and endpoints of one simulation. */
class SimulatedFleet {
  readonly #scenario: LoadScenario
  readonly #scheduler = EventScheduler.create()
  readonly #random: Random
  readonly #endpoints: ReadonlyMap<string, SimulatedEndpoint>
  readonly #gateways: readonly GatewayContext[]
  readonly #waits: number[] = []
  readonly #spreads: number[] = []
  readonly #served = new Map<string, ServedCounts>()
  readonly #starts = new Map<string, { waitMs: number, hasLeft: boolean }[]>()
  #requests = 0
  #waitedInVain = 0
  #refused = 0
  #asks = 0

  private constructor (scenario: LoadScenario) {
    this.#scenario = scenario
    this.#random = Random.create(scenario.seed)
    this.#endpoints = new Map(Array.from({ length: scenario.endpoints }, (_value, index) => [`e${index}`, SimulatedEndpoint.create()]))
    const metrics = Metrics.create({ role: 'gateway' })
    this.#gateways = Array.from({ length: scenario.gateways }, (_value, index) => this.#createGateway(index, metrics))
  }

  static create (scenario: LoadScenario): SimulatedFleet {
    return new SimulatedFleet(scenario)
  }

  async run (): Promise<LoadResult> {
    this.#gateways.forEach((_gateway, index) => { this.#scheduleHeartbeat(index, this.#random.pickFloat()) })
    this.#scheduleRequest()
    this.#scheduleSample()
    await this.#scheduler.runAsync(this.#scenario.durationMs)
    const waits = [...this.#waits].sort((a, b) => a - b)
    return {
      requests: this.#requests,
      waitedInVain: this.#waitedInVain,
      refused: this.#refused,
      waitP99Ms: Math.round(waits[Math.floor(0.99 * waits.length)] ?? 0),
      spread: this.#spreads.reduce((sum, spread) => sum + spread, 0) / this.#spreads.length,
      asks: this.#asks / this.#requests,
      served: this.#served,
      domains: new Map([...this.#starts].sort().map(([domain, starts]) => [domain, summarizeStarts(starts)]))
    }
  }

  get #isWarm (): boolean {
    return this.#scheduler.nowMs >= WARM_UP_MS
  }

  #createGateway (index: number, metrics: Metrics): GatewayContext {
    const id = `g${index}`
    const { knowsAge } = this.#scenario
    const kernel = Kernel.create({ self: { id, role: 'gateway', domain: pickDomain(index), host: id, address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } })
    const context = GatewayContext.create({
      kernel,
      dialect: platformDialect,
      logger: Logger.create({ processId: id, write: () => {} }),
      metrics,
      askPermit: async ({ endpoint: { record } }, rate, waitMaxMs, timeoutMs, room) => await new Promise<PermitReply | undefined>(resolve => {
        this.#scheduleAfter(timeoutMs, () => { resolve(undefined) })
        if (record.domain === this.#scenario.silentDomain) return
        if (this.#isWarm) this.#asks += 1
        const datagramMs = DATAGRAM_MS + this.#getLinkMs(record.domain, pickDomain(index))
        this.#scheduleAfter(datagramMs, () => {
          const nowMs = this.#scheduler.nowMs
          const endpoint = this.#endpoints.get(record.id)!
          endpoint.meter.noteReport({ running: endpoint.running, waiting: endpoint.held - endpoint.running, memoryUsed: undefined, memoryTotal: undefined }, nowMs)
          const load = endpoint.meter.countRequests()!
          const reply: PermitReply = room !== undefined && !endpoint.meter.hasRoom(room) ? { kind: 'busy', load } : endpoint.permits.reserve(rate, waitMaxMs, nowMs)
          if (reply.kind === 'granted') endpoint.meter.noteGranted(0, nowMs)
          this.#scheduleAfter(datagramMs, () => { resolve(reply.kind === 'granted' && room !== undefined ? { ...reply, load } : reply) })
        })
      }),
      askShare: async () => undefined,
      clock: {
        pickFloat: () => this.#random.pickFloat(),
        getNowMs: () => this.#scheduler.nowMs,
        getWallMs: () => this.#scheduler.nowMs,
        schedule: (delayMs, run) => {
          let isCancelled = false
          this.#scheduleAfter(delayMs, () => { if (!isCancelled) run() })
          return () => { isCancelled = true }
        }
      }
    })
    context.coldLimits.setBounds({ overshoot: 1.5, slack: 5 })
    context.coldLimits.noteListed(-10_000)
    context.routes.accept({ version: 1, routes: new Map(), services: new Map([[SERVICE, { name: SERVICE, coldPerS: COLD_PER_S, engine: ENGINE }]]), limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    const records = [...this.#endpoints.keys()].map((endpoint, at) => ({ id: endpoint, bornMs: 1, service: SERVICE, address: { host: endpoint, port: 1 }, domain: this.#locate(at), state: 'ready' as const, slots: SLOTS, coldRemainingMs: 0 }))
    context.endpoints.replaceAll(records, undefined, 0)
    context.domainShares.setPrice(this.#scenario.domains?.waitMsPerMb)
    if (!knowsAge) context.peers.getCountsAgeMs = () => 0
    return context
  }

  #scheduleAfter (delayMs: number, run: () => void): void {
    this.#scheduler.scheduleAt(this.#scheduler.nowMs + delayMs, run)
  }

  #scheduleHeartbeat (index: number, share: number): void {
    const { gateways } = this.#scenario
    this.#scheduleAfter(share * (HEARTBEAT_MS + HEARTBEAT_PER_PEER_MS * (gateways - 1)), () => {
      const state = { id: `g${index}`, bornMs: 1, callerAddress: '', domain: pickDomain(index), isReady: true, inFlight: this.#gateways[index]!.selection.listInFlight() }
      const frozen = this.#scenario.domains?.frozen
      const isFrozen = frozen !== undefined && frozen.domain === state.domain && this.#scheduler.nowMs >= frozen.fromMs
      if (!isFrozen) for (const [at, gateway] of this.#gateways.entries()) if (at !== index) gateway.peers.noteHeartbeat(state, this.#scheduler.nowMs)
      this.#scheduleHeartbeat(index, 1)
    })
  }

  #scheduleSample (): void {
    this.#scheduleAfter(100, () => {
      const held = [...this.#endpoints.values()].map(endpoint => endpoint.held)
      if (this.#isWarm) this.#spreads.push(Math.max(...held) * held.length / Math.max(1, held.reduce((sum, count) => sum + count, 0)))
      this.#scheduleSample()
    })
  }

  #scheduleRequest (): void {
    const { endpoints, usage, gateways } = this.#scenario
    const meanMs = DURATION_MS / (usage * SLOTS * endpoints)
    this.#scheduleAfter(-meanMs * Math.log(1 - this.#random.pickFloat()), () => {
      if (this.#isWarm) this.#requests += 1
      const index = this.#pickGateway(gateways)
      const call: Call = { kind: this.#pickKind(), team: this.#pickTeam(), isLarge: this.#random.pickFloat() < 0.1, gateway: this.#gateways[index]!, domain: pickDomain(index), atMs: this.#scheduler.nowMs, isReturned: false }
      this.#count(call, counts => { counts.requests += 1 })
      this.#send(call)
      this.#scheduleRequest()
    })
  }

  #pickGateway (gateways: number): number {
    const { domains } = this.#scenario
    if (domains === undefined) return this.#random.pickInt(gateways)
    const domain = pickWeighted(domains.demand(this.#scheduler.nowMs), this.#random.pickFloat())
    return domain + DOMAINS.length * this.#random.pickInt(Math.floor((gateways - 1 - domain) / DOMAINS.length) + 1)
  }

  /** Failure domain of an endpoint. */
  #locate (at: number): string {
    const { domains, endpoints } = this.#scenario
    return domains === undefined ? pickDomain(at) : DOMAINS[pickWeighted(domains.endpoints, (at + 0.5) / endpoints)]!
  }

  #getLinkMs (from: string, to: string): number {
    return from === to ? 0 : this.#scenario.domains?.linkMs ?? 0
  }

  #pickKind (): LoadKind {
    const { kinds } = this.#scenario
    return kinds[pickWeighted(kinds.map(({ share }) => share), this.#random.pickFloat())]!
  }

  #pickTeam (): string {
    return `t${pickWeighted(this.#scenario.teams, this.#random.pickFloat())}`
  }

  #send (call: Call): void {
    const { gateway, kind, team, isLarge, isReturned } = call
    const nowMs = this.#scheduler.nowMs
    const deadlineMs = TIMEOUT_MS - (nowMs - call.atMs)
    const route = { name: kind.name, host: 'h', pathPrefix: '/', repeat: 'resumable-stream' as const, timeoutMs: TIMEOUT_MS, latencyTargetMs: kind.latencyTargetMs, priority: kind.priority, shares: [], attemptsMax: 2, isPublic: true }
    const request = { requestId: 'r', host: 'h', path: '/', headers: [] as never, deadlineMs, promptTokens: isLarge ? 3_000 : 600, answerTokensMax: 140 }
    const wait = buildRoomWait({ request, team: { name: team }, route, service: SERVICE, receivedAtMs: nowMs }, nowMs + deadlineMs, gateway.roomQueue.getFirstEventMs(SERVICE))
    RoomAdmission.create({ wait, mustStart: !this.#scenario.waitsForRoom, tried: new Set(), waitMaxMs: 200 }, gateway, result => {
      switch (result.kind) {
        case 'admitted': {
          const { id, domain } = result.selection.endpoint.record
          this.#scheduleAfter(CONNECT_MS + 3 * this.#getLinkMs(domain, call.domain), () => { this.#arrive(call, id, domain, nowMs) })
          break
        }
        case 'limited':
        case 'no-endpoint':
          if (this.#isWarm) this.#refused += 1
          this.#count(call, counts => { counts.refusals += 1 })
          if (isReturned) this.#count(call, counts => { counts.lost += 1 })
          else this.#scheduleReturn(call, deadlineMs)
          break
      }
    }).start()
  }

  #scheduleReturn (call: Call, deadlineMs: number): void {
    const nowMs = this.#scheduler.nowMs
    const retryAfterMs = call.gateway.retryAfter.computeRetryAfterMs(SERVICE, { kind: 'full' }, this.#random.pickFloat(), nowMs)
    this.#scheduleAfter(Math.min(retryAfterMs, RETURN_SHARE * deadlineMs), () => {
      const index = this.#random.pickInt(this.#gateways.length)
      this.#send({ ...call, gateway: this.#gateways[index]!, domain: pickDomain(index), isReturned: true })
    })
  }

  #arrive (call: Call, id: string, domain: string, sentAtMs: number): void {
    const { gateway, kind, isReturned } = call
    const endpoint = this.#endpoints.get(id)!
    const nowMs = this.#scheduler.nowMs
    const isFull = endpoint.held >= SLOTS
    if (this.#isWarm && isFull && [...this.#endpoints.values()].some(({ held }) => held < SLOTS)) this.#waitedInVain += 1
    const leavesAtMs = sentAtMs + Math.max(PATIENCE_MS, PATIENCE_TARGETS * kind.latencyTargetMs)
    const isLate = isReturned || nowMs - sentAtMs > kind.latencyTargetMs
    const end = (): void => { gateway.selection.noteEnd(id, 'cancelled', 0, gateway.getNowMs()) }
    const leave = (): void => {
      this.#count(call, counts => { counts.lost += 1 })
      end()
    }
    const start = (waitedMs: number): void => {
      if (this.#isWarm) {
        this.#waits.push(waitedMs)
        this.#noteStart(call, domain)
      }
      const factor = this.#getSlowdown()
      const firstEventAtMs = this.#scheduler.nowMs + factor * FIRST_EVENT_MS
      const durationMs = factor * DURATION_MS * (0.5 + this.#random.pickFloat())
      const hasLeft = firstEventAtMs > leavesAtMs
      gateway.roomQueue.noteFirstEvent(SERVICE, factor * FIRST_EVENT_MS)
      this.#count(call, counts => {
        if (hasLeft) counts.lost += 1
        else if (firstEventAtMs <= call.atMs + kind.latencyTargetMs) counts.onTime += 1
        else counts.late += 1
      })
      this.#scheduleAfter(hasLeft ? 0 : durationMs, () => {
        endpoint.running -= 1
        endpoint.advance(this.#scheduler.nowMs)
        if (hasLeft) {
          end()
          return
        }
        gateway.selection.noteEnd(id, 'ok', durationMs, gateway.getNowMs())
        gateway.retryAfter.noteServed(SERVICE, gateway.getNowMs())
        gateway.lateLane.noteAnswered(SERVICE, durationMs)
        gateway.domainShares.noteRequest(SERVICE, REQUEST_BYTES)
      })
    }
    endpoint.accept({ atMs: nowMs, urgency: computeUrgency(kind.priority, isLate), leavesAtMs, start, leave })
  }

  #noteStart (call: Call, domain: string): void {
    const starts = this.#starts.get(call.domain) ?? []
    this.#starts.set(call.domain, starts)
    starts.push({ waitMs: this.#scheduler.nowMs - call.atMs, hasLeft: domain !== call.domain })
  }

  #getSlowdown (): number {
    const { slowdown } = this.#scenario
    const { nowMs } = this.#scheduler
    return slowdown !== undefined && nowMs >= slowdown.fromMs && nowMs < slowdown.toMs ? slowdown.factor : 1
  }

  /** Counts a request by kind, team, failure domain and size, unless it began in the warm-up. */
  #count ({ kind, team, domain, isLarge, atMs }: Call, add: (counts: ServedCounts) => void): void {
    if (atMs < WARM_UP_MS) return
    for (const part of [kind.name, team, domain, isLarge ? 'large' : 'small']) {
      const counts = this.#served.get(part) ?? { requests: 0, onTime: 0, late: 0, lost: 0, refusals: 0 }
      this.#served.set(part, counts)
      add(counts)
    }
  }
}

function pickWeighted (weights: readonly number[], fraction: number): number {
  let left = fraction * weights.reduce((sum, weight) => sum + weight, 0)
  const found = weights.findIndex(weight => {
    left -= weight
    return left < 0
  })
  return found === -1 ? weights.length - 1 : found
}

function summarizeStarts (starts: readonly { readonly waitMs: number, readonly hasLeft: boolean }[]): DomainFigures {
  const waits = starts.map(({ waitMs }) => waitMs).sort((a, b) => a - b)
  return {
    requests: starts.length,
    left: starts.filter(({ hasLeft }) => hasLeft).length / starts.length,
    waitMs: Math.round(waits.reduce((sum, waitMs) => sum + waitMs, 0) / waits.length),
    waitP99Ms: Math.round(waits[Math.floor(0.99 * waits.length)] ?? 0)
  }
}

function pickDomain (index: number): string {
  return DOMAINS[index % DOMAINS.length]!
}

/**
 * @param scenario - sizes and load
 * @returns waits and spread of the load
 */
export async function simulateLoadFleet (scenario: LoadScenario): Promise<LoadResult> {
  return await SimulatedFleet.create(scenario).run()
}
