/**
 * Simulates gateways whose callers send requests with a part that crashes endpoints: the
 * code of the gateways in virtual time, with a group of endpoints, datagrams and faults.
 */

import { Metrics } from '../src/edge/metrics/metrics.js'
import { CrashMonitor } from '../src/gateway/crash-monitor.js'
import type { MonitoredRequest } from '../src/gateway/crash-monitor.js'
import { EvidenceSync } from '../src/gateway/evidence-sync.js'
import { createRunningAttempt } from '../src/gateway/running-attempt.js'
import type { RunningAttempt } from '../src/gateway/running-attempt.js'
import { Kernel } from '../src/kernel/kernel.js'
import { Random } from '../src/kernel/random.js'
import type { EndpointView, EndpointsPort } from '../src/plugins/gateway/endpoints.js'
import '../src/plugins/gateway/index.js'
import type { CrashEvidence, PartCrashesPort, Suspect } from '../src/plugins/gateway/part-crashes.js'
import { EventScheduler } from './admission-model.js'

const SERVICE = 's'
const DEADLY_PART = 'dead'
const DATAGRAM_MS = 1
const LOSS_SHARE = 0.2
/** Time in ms from the start of a request to its second event, and to its end; requests vary by up to half. */
const BEGIN_MS = 200
const REQUEST_MS = 1_500
/** Time in ms for which a crash stops the group, and for which the other ranks stall before requests fail. */
const OUTAGE_MS = 4_000
const VERDICT_MS = 60
const ENDPOINTS = 16
const SOUND_PARTS = 60
const TEAMS = 10
/** Time in ms at which the first deadly request arrives. */
const DEADLY_FROM_MS = 4_000
const RESTART_INTERVAL_MS = 500
const SPONTANEOUS_INTERVAL_MS = 6_000
const HEARTBEAT_MS = 200
const HEARTBEAT_PER_PEER_MS = 12

/** What goes wrong beside the deadly part. */
export type PartsFault = 'none' | 'datagrams-lost' | 'half-cut' | 'gateways-restart' | 'spontaneous-crashes'

/** One simulation. */
export interface PartsScenario {
  readonly gateways: number
  readonly requestsPerS: number
  /** Share of the requests with the deadly part. */
  readonly deadlyShare: number
  /** Number of shared parts of each prompt. */
  readonly depth: number
  /** Position of the deadly part among them. */
  readonly deadlyDepth: number
  readonly fault: PartsFault
  readonly durationMs: number
  readonly seed: number
}

/** Figures of one simulation. */
export interface PartsResult {
  readonly requests: number
  /** Crashes caused by the part, in all and before it was first refused. */
  readonly crashes: number
  readonly crashesUntilRefused: number
  /** Deadly requests that reached endpoints after all connected gateways knew the part. */
  readonly reachedAfterwards: number
  /** Sound requests refused for a part. */
  readonly soundRefused: number
  /** Time in ms from the first crash until all connected gateways refuse the part; undefined when they never did. */
  readonly allKnowMs: number | undefined
}

interface Started extends MonitoredRequest {
  readonly isDeadly: boolean
}

class SimulatedGateway {
  readonly isCut: boolean
  readonly context
  readonly monitor: CrashMonitor
  readonly sync: EvidenceSync
  readonly parts: PartCrashesPort
  readonly endpoints: EndpointsPort
  readonly #fleet: SimulatedFleet
  readonly #checks = new Map<string, Suspect[]>()

  private constructor (fleet: SimulatedFleet, readonly id: string, isCut: boolean, metrics: Metrics) {
    this.#fleet = fleet
    this.isCut = isCut
    const kernel = Kernel.create({ self: { id, role: 'gateway', domain: 'a', host: id, address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } })
    this.parts = kernel.getPort('partCrashes')
    this.endpoints = kernel.getPort('endpoints')
    for (const record of fleet.listRecords()) this.endpoints.upsert(record, 0)
    this.context = { getNowMs: () => fleet.scheduler.nowMs, pickFloat: () => fleet.random.pickFloat(), log: () => {}, isInformed: true }
    this.monitor = CrashMonitor.create({
      self: id,
      crashes: kernel.getPort('crashes'),
      partCrashes: this.parts,
      endpoints: this.endpoints,
      liveness: kernel.getPort('liveness'),
      peers: { ...kernel.getPort('peers'), listReady: () => fleet.listReachable(this).map(gateway => ({ id: gateway.id, bornMs: 1, callerAddress: id, domain: 'a', isReady: true, inFlight: {} })) },
      metrics,
      sendEvidence: evidence => { fleet.broadcast(this, evidence) },
      noteCrash: () => {},
      getNowMs: () => fleet.scheduler.nowMs,
      log: () => {},
      createProbe: handleCrash => ({ check: (endpoint, suspect, handleVerdict) => { this.#check(endpoint, suspect, handleCrash, handleVerdict) } })
    })
    this.sync = EvidenceSync.create({ context: this.context, link: { listTargets: () => fleet.listReachable(this).map(gateway => gateway.id), requestEvidence: ids => { fleet.requestEvidence(this, ids) } } })
  }

  static create (fleet: SimulatedFleet, id: string, isCut: boolean, metrics: Metrics): SimulatedGateway {
    return new SimulatedGateway(fleet, id, isCut, metrics)
  }

  /** A verdict arrives later than the failures, so that requests broken by the same crash are collected. */
  #check (endpoint: EndpointView, suspect: Suspect | undefined, handleCrash: (endpoint: EndpointView, suspects: readonly Suspect[]) => void, handleVerdict: () => void): void {
    const { id } = endpoint.record
    const known = this.#checks.get(id)
    const suspects = known ?? []
    if (suspect !== undefined) suspects.push(suspect)
    if (known !== undefined) return
    this.#checks.set(id, suspects)
    this.#fleet.scheduler.scheduleAt(this.#fleet.scheduler.nowMs + VERDICT_MS, () => {
      this.#checks.delete(id)
      handleCrash(endpoint, suspects)
      handleVerdict()
    })
  }
}

class SimulatedFleet {
  readonly scheduler = EventScheduler.create()
  readonly random: Random
  readonly #scenario: PartsScenario
  readonly #metrics = Metrics.create({ role: 'gateway' })
  readonly #gateways: SimulatedGateway[] = []
  readonly #running = new Map<string, Set<{ readonly gateway: SimulatedGateway, readonly request: Started, readonly attempt: RunningAttempt }>>()
  readonly #bornMs = new Map<string, number>()
  #downUntilMs = 0
  #nextRequest = 1
  #firstCrashMs: number | undefined
  #allKnowMs: number | undefined
  readonly #result = { requests: 0, crashes: 0, crashesUntilRefused: 0, reachedAfterwards: 0, soundRefused: 0 }
  #hasRefused = false

  private constructor (scenario: PartsScenario) {
    this.#scenario = scenario
    this.random = Random.create(scenario.seed)
    for (let index = 0; index < ENDPOINTS; index += 1) {
      this.#running.set(`e${index}`, new Set())
      this.#bornMs.set(`e${index}`, 1)
    }
    for (let index = 0; index < scenario.gateways; index += 1) this.#gateways.push(SimulatedGateway.create(this, `g${index}`, scenario.fault === 'half-cut' && index % 2 === 1, this.#metrics))
    for (const gateway of this.#gateways) gateway.sync.noteListed()
    this.#scheduleHeartbeat()
    this.#scheduleFaults()
  }

  static create (scenario: PartsScenario): SimulatedFleet {
    return new SimulatedFleet(scenario)
  }

  async run (): Promise<PartsResult> {
    this.#scheduleRequest()
    await this.scheduler.runAsync(this.#scenario.durationMs)
    return { ...this.#result, allKnowMs: this.#allKnowMs }
  }

  listRecords (): readonly EndpointView['record'][] {
    return [...this.#bornMs].map(([id, bornMs]) => ({ id, bornMs, service: SERVICE, address: { host: id, port: 1 }, domain: 'a', state: 'ready', slots: 12, coldRemainingMs: 0 }))
  }

  /** Lists the other gateways that a gateway can reach. */
  listReachable (from: SimulatedGateway): readonly SimulatedGateway[] {
    return this.#gateways.filter(gateway => gateway.id !== from.id && gateway.isCut === from.isCut)
  }

  broadcast (from: SimulatedGateway, evidence: readonly CrashEvidence[]): void {
    for (const gateway of this.listReachable(from)) this.#send(() => { gateway.monitor.merge(evidence, added => { this.#send(() => { from.monitor.mergeReply(added) }) }) })
    this.scheduler.scheduleAt(this.scheduler.nowMs + DATAGRAM_MS, () => { this.#noteKnowledge() })
  }

  requestEvidence (from: SimulatedGateway, ids: readonly string[]): void {
    for (const gateway of this.listReachable(from).filter(({ id }) => ids.includes(id))) {
      this.#send(() => {
        if (!gateway.context.isInformed) return
        const evidence = gateway.parts.list(-Infinity, this.scheduler.nowMs)
        this.#send(() => {
          from.monitor.merge(evidence, added => { this.#send(() => { gateway.monitor.mergeReply(added) }) })
          from.sync.noteTable(evidence.length)
        })
      })
    }
  }

  #send (deliver: () => void): void {
    if (this.#scenario.fault === 'datagrams-lost' && this.random.pickFloat() < LOSS_SHARE) return
    this.scheduler.scheduleAt(this.scheduler.nowMs + DATAGRAM_MS, deliver)
  }

  #scheduleHeartbeat (): void {
    const { gateways } = this.#scenario
    const intervalMs = HEARTBEAT_MS + HEARTBEAT_PER_PEER_MS * gateways
    this.scheduler.scheduleAt(this.scheduler.nowMs + intervalMs, () => {
      for (const gateway of this.#gateways) {
        gateway.sync.runHousekeeping()
        const recent = gateway.parts.list(this.scheduler.nowMs - Math.max(3_000, 3 * intervalMs), this.scheduler.nowMs)
        if (recent.length > 0) this.broadcast(gateway, recent)
      }
      this.#scheduleHeartbeat()
    })
  }

  #scheduleFaults (): void {
    const { fault, durationMs } = this.#scenario
    for (let atMs = RESTART_INTERVAL_MS; atMs < durationMs; atMs += RESTART_INTERVAL_MS) {
      if (fault !== 'gateways-restart') break
      this.scheduler.scheduleAt(atMs, () => {
        const index = (atMs / RESTART_INTERVAL_MS) % this.#gateways.length
        this.#gateways[index] = SimulatedGateway.create(this, `g${index}`, false, this.#metrics)
        this.#gateways[index].sync.noteListed()
      })
    }
    for (let atMs = SPONTANEOUS_INTERVAL_MS / 2; atMs < durationMs; atMs += SPONTANEOUS_INTERVAL_MS) {
      if (fault !== 'spontaneous-crashes') break
      this.scheduler.scheduleAt(atMs, () => { this.#crash(`e${this.random.pickInt(ENDPOINTS)}`) })
    }
  }

  #scheduleRequest (): void {
    const atMs = this.scheduler.nowMs - 1_000 / this.#scenario.requestsPerS * Math.log(1 - this.random.pickFloat())
    this.scheduler.scheduleAt(atMs, () => {
      this.#startRequest(this.#gateways[this.random.pickInt(this.#gateways.length)]!)
      this.#scheduleRequest()
    })
  }

  #startRequest (gateway: SimulatedGateway): void {
    const { nowMs } = this.scheduler
    const { deadlyShare, depth, deadlyDepth } = this.#scenario
    const isDeadly = nowMs >= DEADLY_FROM_MS && this.random.pickFloat() < deadlyShare
    const topic = Math.floor(SOUND_PARTS * this.random.pickFloat() ** 2)
    const parts = Array.from({ length: depth }, (_value, level) => `p${topic % Math.ceil(SOUND_PARTS / (depth - level))}.${level}`)
    if (isDeadly) parts.splice(deadlyDepth, 0, DEADLY_PART)
    const requestId = `r${this.#nextRequest++}`
    const request: Started = { requestId, fingerprint: requestId, team: `t${this.random.pickInt(TEAMS)}`, parts, isDeadly }
    this.#result.requests += 1
    if (!gateway.context.isInformed || nowMs < this.#downUntilMs) return
    if (!gateway.monitor.accept(request)) {
      if (isDeadly) this.#hasRefused = true
      else this.#result.soundRefused += 1
      return
    }
    if (isDeadly && this.#allKnowMs !== undefined && !gateway.isCut) this.#result.reachedAfterwards += 1
    this.#run(gateway, request)
  }

  #run (gateway: SimulatedGateway, request: Started): void {
    const { nowMs } = this.scheduler
    const id = `e${this.random.pickInt(ENDPOINTS)}`
    const record = this.listRecords().find(other => other.id === id)!
    const attempt = createRunningAttempt(undefined as never, { record, coldUntilMs: 0, updatedAtMs: 0 }, nowMs)
    const running = this.#running.get(id)!
    const entry = { gateway, request, attempt }
    running.add(entry)
    this.scheduler.scheduleAt(nowMs + BEGIN_MS * (0.5 + this.random.pickFloat()), () => {
      if (!running.has(entry)) return
      if (request.isDeadly) {
        this.#noteDeadlyCrash()
        this.#crash(id)
        return
      }
      attempt.events = 2
      gateway.monitor.noteBegun(request, attempt.startedAtMs)
    })
    this.scheduler.scheduleAt(nowMs + REQUEST_MS, () => { running.delete(entry) })
  }

  #noteDeadlyCrash (): void {
    this.#result.crashes += 1
    if (!this.#hasRefused) this.#result.crashesUntilRefused += 1
    this.#firstCrashMs ??= this.scheduler.nowMs
  }

  /** Stops the group: the requests at the crashed endpoint break, those at the other ranks stall and fail without accusing anything. */
  #crash (id: string): void {
    const { nowMs } = this.scheduler
    this.#downUntilMs = nowMs + OUTAGE_MS
    const broken = [...this.#running.get(id)!]
    for (const running of this.#running.values()) running.clear()
    for (const { gateway, request, attempt } of broken) if (this.#gateways.includes(gateway)) gateway.monitor.checkBroken(attempt, request, () => {})
    this.scheduler.scheduleAt(nowMs + OUTAGE_MS, () => {
      this.#bornMs.set(id, nowMs + OUTAGE_MS)
      const record = this.listRecords().find(other => other.id === id)!
      for (const gateway of this.#gateways) gateway.endpoints.upsert(record, this.scheduler.nowMs)
    })
  }

  #noteKnowledge (): void {
    if (this.#allKnowMs !== undefined || this.#firstCrashMs === undefined) return
    const nowMs = this.scheduler.nowMs
    if (this.#gateways.every(({ isCut, parts }) => isCut || parts.listBlocked(nowMs).includes(DEADLY_PART))) this.#allKnowMs = nowMs - this.#firstCrashMs
  }
}

/**
 * @param scenario - gateways, requests and fault
 * @returns crashes, refusals and how fast the gateways learn
 */
export async function simulateParts (scenario: PartsScenario): Promise<PartsResult> {
  return await SimulatedFleet.create(scenario).run()
}
