/** Simulates gateways that share endpoints with agents, in virtual time: who finds a free slot, and who waits behind a full endpoint. */

import { platformDialect } from '../platform/dialect.js'
import { Logger } from '../src/edge/log/logger.js'
import { Metrics } from '../src/edge/metrics/metrics.js'
import { Admission } from '../src/gateway/admission.js'
import { GatewayContext } from '../src/gateway/context.js'
import type { EngineSpec } from '../src/gateway/model.js'
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
/** Mean duration of a request in ms; it varies by half of it. */
const DURATION_MS = 1_600
const COLD_PER_S = 26
const HEARTBEAT_MS = 200
const HEARTBEAT_PER_PEER_MS = 12
/** Time in ms until the number of requests in flight is steady. */
const WARM_UP_MS = 4_000

/** Engine of the endpoints; only whether there is one matters. */
const ENGINE: EngineSpec = {
  slots: SLOTS, stride: 6, stepMs: 6, perRequestMs: 0.4, readPerS: 61_200, promptTokens: 800, answerTokens: 140, layers: 0, experts: 0, slotsPerRank: 0, spare: 0, expertMb: 0, linkMbps: 0, expertShare: 0
}

/** One simulation. */
export interface LoadScenario {
  readonly gateways: number
  readonly endpoints: number
  /** Requests in flight per slot, were none to wait. */
  readonly usage: number
  /** Whether gateways take the age of each other's counts into account. */
  readonly knowsAge: boolean
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
}

/** Engine with slots, and its agent. */
class SimulatedEndpoint {
  readonly meter = LoadMeter.create()
  readonly permits = PermitBucket.create(0)
  running = 0
  readonly #waiting: { readonly atMs: number, start (waitedMs: number): void }[] = []

  static create (): SimulatedEndpoint {
    return new SimulatedEndpoint()
  }

  get held (): number {
    return this.running + this.#waiting.length
  }

  accept (nowMs: number, start: (waitedMs: number) => void): void {
    this.#waiting.push({ atMs: nowMs, start })
    this.advance(nowMs)
  }

  advance (nowMs: number): void {
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
      asks: this.#asks / this.#requests
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
        this.#scheduleAfter(DATAGRAM_MS, () => {
          const nowMs = this.#scheduler.nowMs
          const endpoint = this.#endpoints.get(record.id)!
          endpoint.meter.noteReport({ running: endpoint.running, waiting: endpoint.held - endpoint.running, memoryUsed: undefined, memoryTotal: undefined }, nowMs)
          const load = endpoint.meter.countRequests()!
          const reply: PermitReply = room !== undefined && !endpoint.meter.hasRoom(room) ? { kind: 'busy', load } : endpoint.permits.reserve(rate, waitMaxMs, nowMs)
          if (reply.kind === 'granted') endpoint.meter.noteGranted(0, nowMs)
          this.#scheduleAfter(DATAGRAM_MS, () => { resolve(reply.kind === 'granted' && room !== undefined ? { ...reply, load } : reply) })
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
    const records = [...this.#endpoints.keys()].map((endpoint, at) => ({ id: endpoint, bornMs: 1, service: SERVICE, address: { host: endpoint, port: 1 }, domain: pickDomain(at), state: 'ready' as const, slots: SLOTS, coldRemainingMs: 0 }))
    context.endpoints.replaceAll(records, false, 0)
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
      for (const [at, gateway] of this.#gateways.entries()) if (at !== index) gateway.peers.noteHeartbeat(state, this.#scheduler.nowMs)
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
      this.#send(this.#gateways[this.#random.pickInt(gateways)]!)
      this.#scheduleRequest()
    })
  }

  #send (context: GatewayContext): void {
    Admission.create({ requestId: 'r', service: SERVICE, tried: new Set(), tokens: 0, waitMaxMs: 200 }, context, result => {
      if (result.kind !== 'admitted') {
        if (this.#isWarm) this.#refused += 1
        return
      }
      const { id } = result.selection.endpoint.record
      this.#scheduleAfter(CONNECT_MS, () => { this.#arrive(context, id) })
    }).start()
  }

  #arrive (context: GatewayContext, id: string): void {
    const endpoint = this.#endpoints.get(id)!
    const isFull = endpoint.held >= SLOTS
    if (this.#isWarm && isFull && [...this.#endpoints.values()].some(({ held }) => held < SLOTS)) this.#waitedInVain += 1
    endpoint.accept(this.#scheduler.nowMs, waitedMs => {
      if (this.#isWarm) this.#waits.push(waitedMs)
      const durationMs = DURATION_MS * (0.5 + this.#random.pickFloat())
      this.#scheduleAfter(durationMs, () => {
        endpoint.running -= 1
        endpoint.advance(this.#scheduler.nowMs)
        context.selection.noteEnd(id, 'ok', durationMs, context.getNowMs())
        context.lateLane.noteAnswered(SERVICE, durationMs)
      })
    })
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
