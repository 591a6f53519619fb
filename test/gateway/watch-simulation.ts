/** Simulates gateways that follow a store in roles, without a network and in virtual time. */

import { Random } from '../../src/kernel/random.js'
import { computeFollowerTimes } from '../../src/gateway/store.js'
import type { FollowerBounds, FollowerTimes } from '../../src/gateway/store.js'
import { FOLLOWED_KINDS, LISTENER_WAIT_MS, RELAY_MARGIN_MS, WatchRoles } from '../../src/gateway/watch-roles.js'
import type { WatchNews } from '../../src/gateway/watch-roles.js'

const STEP_MS = 10
const TICK_MS = 100
const HEARTBEAT_TIMEOUT_MS = 1_500
const READ_TIMEOUT_MS = 700
const RETRY_MS = 100
const SHORT_ANSWER_MS = 100

/** Bounds of the smallest fleets in ms. */
export const BOUNDS = { noticeMs: 3_000, applyMs: 2_000 }

/** What may go wrong with one gateway. */
export interface GatewayFaults {
  /** Does not run; neither sends nor receives. */
  isFrozen: boolean
  /** Is not reached by the store, and does not reach it; open connections stay silent for good. */
  isCutFromStore: boolean
  /** Exchanges no datagrams with others. */
  isCutFromPeers: boolean
  /** Receives heartbeats, but no messages of watchers. */
  losesNews: boolean
}

/** Options of a simulation. */
export interface SimulationOptions {
  readonly seed: number
  readonly domains: number
  readonly perDomain: number
  /** Share of datagrams that are lost. */
  readonly loss?: number
  /** Whether gateways take roles; otherwise each follows the store for itself. */
  readonly hasRoles?: boolean
  /** `BOUNDS` when absent. */
  readonly bounds?: FollowerBounds
  /** Time in ms after which a gateway that is silent is not ready; that of heartbeats when absent. */
  readonly goneMs?: number
}

interface SimulatedGateway {
  readonly id: string
  readonly domain: string
  readonly phaseMs: number
  readonly faults: GatewayFaults
  readonly appliedAtMs: Map<number, number>
  /** End of the last disturbance of this gateway in virtual ms. */
  disturbedUntilMs: number
  roles: WatchRoles
  isRunning: boolean
  waitMs: number
  seen: number
  failures: number
  mustRenew: boolean
  isConnectionSilent: boolean
  nextCallAtMs: number
  pending: { readonly sinceMs: number, readonly waitMs: number } | undefined
  /** When other gateways were last heard. */
  readonly heardAtMs: Map<string, number>
}

/** Time from the acknowledgement of a change to its being in force. */
export interface Delays {
  /** Longest one at gateways without a disturbance of their own. */
  readonly calmMs: number
  /** Longest one beyond the bound, or beyond the end of the stability window after a disturbance; negative when all were kept. */
  readonly latestMs: number
  /** Calls to the store a second and gateway, for one kind of entry. */
  readonly callsPerS: number
  readonly datagramsPerS: number
}

/** Gateways in virtual time; faults are set from outside between steps. */
export class WatchSimulation {
  readonly gateways: readonly SimulatedGateway[]
  readonly #random: Random
  readonly #options: SimulationOptions
  readonly #bounds: FollowerBounds
  readonly #times: FollowerTimes
  readonly #changes: Array<{ readonly revision: number, readonly ackedAtMs: number }> = []
  #datagrams: Array<{ readonly atMs: number, readonly to: SimulatedGateway, readonly news: WatchNews }> = []
  #calls = 0
  #sent = 0
  nowMs = 0

  private constructor (options: SimulationOptions) {
    this.#options = options
    this.#bounds = options.bounds ?? BOUNDS
    this.#times = computeFollowerTimes(this.#bounds)
    this.#random = Random.create(options.seed)
    this.gateways = Array.from({ length: options.domains * options.perDomain }, (_value, at) => this.#createGateway(`g${at}`, `d${at % options.domains}`))
  }

  static create (options: SimulationOptions): WatchSimulation {
    return new WatchSimulation(options)
  }

  /** Acknowledges a change. */
  write (): void {
    this.#changes.push({ revision: this.#revision + 1, ackedAtMs: this.nowMs })
  }

  listWatchers (domain: string): readonly SimulatedGateway[] {
    return this.gateways.filter(gateway => gateway.domain === domain && gateway.isRunning && gateway.roles.role === 'watcher')
  }

  listListeners (domain: string): readonly SimulatedGateway[] {
    return this.gateways.filter(gateway => gateway.domain === domain && gateway.isRunning && gateway.roles.role === 'listener')
  }

  /** Stops all connections of a gateway to the store from passing data on; new ones work. */
  silence (gateway: SimulatedGateway): void {
    gateway.isConnectionSilent = true
    gateway.disturbedUntilMs = this.nowMs
  }

  /** Changes the faults of a gateway. */
  disturb (gateway: SimulatedGateway, faults: Partial<GatewayFaults>): void {
    Object.assign(gateway.faults, faults)
    if (faults.isCutFromStore === true) gateway.isConnectionSilent = true
    gateway.disturbedUntilMs = Object.values(gateway.faults).includes(true) ? Infinity : this.nowMs
  }

  /** Ends the process of a gateway. */
  kill (gateway: SimulatedGateway): void {
    gateway.isRunning = false
    gateway.disturbedUntilMs = Infinity
  }

  /** Starts the process of a gateway again; it knows what the store lists. */
  restart (gateway: SimulatedGateway): void {
    Object.assign(gateway, { isRunning: true, pending: undefined, failures: 0, isConnectionSilent: false, nextCallAtMs: this.nowMs, seen: this.#revision, disturbedUntilMs: this.nowMs })
    gateway.heardAtMs.clear()
    gateway.roles = WatchRoles.create(gateway, this.nowMs, this.#bounds.noticeMs)
    for (const { revision } of this.#changes) if (!gateway.appliedAtMs.has(revision)) gateway.appliedAtMs.set(revision, this.nowMs)
  }

  run (untilMs: number): void {
    for (; this.nowMs < untilMs; this.nowMs += STEP_MS) {
      this.#deliver()
      for (const gateway of this.gateways) {
        if (!gateway.isRunning || gateway.faults.isFrozen) continue
        this.#follow(gateway)
        if ((this.nowMs + gateway.phaseMs) % TICK_MS === 0) this.#tick(gateway)
      }
    }
  }

  /** Measures all changes so far; those that are in force nowhere count until now. */
  measure (): Delays {
    const delays = this.gateways.filter(({ isRunning }) => isRunning).flatMap(gateway => this.#changes.map(({ revision, ackedAtMs }) => {
      const appliedAtMs = gateway.appliedAtMs.get(revision) ?? this.nowMs
      return { isCalm: gateway.disturbedUntilMs === -Infinity, delayMs: appliedAtMs - ackedAtMs, lateMs: appliedAtMs - Math.max(ackedAtMs + this.#bounds.applyMs, gateway.disturbedUntilMs + this.#bounds.noticeMs) }
    }))
    const perS = (count: number): number => Math.round(count / this.gateways.length / (this.nowMs / 1_000) * 100) / 100
    return {
      calmMs: Math.max(0, ...delays.filter(({ isCalm }) => isCalm).map(({ delayMs }) => delayMs)),
      latestMs: Math.max(...delays.map(({ lateMs }) => lateMs)),
      callsPerS: perS(this.#calls),
      datagramsPerS: perS(this.#sent)
    }
  }

  get #revision (): number {
    return this.#changes.length
  }

  #createGateway (id: string, domain: string): SimulatedGateway {
    return {
      id,
      domain,
      phaseMs: Math.floor(this.#random.pickFloat() * TICK_MS / STEP_MS) * STEP_MS,
      faults: { isFrozen: false, isCutFromStore: false, isCutFromPeers: false, losesNews: false },
      appliedAtMs: new Map(),
      disturbedUntilMs: -Infinity,
      roles: WatchRoles.create({ id, domain }, 0, this.#bounds.noticeMs),
      isRunning: true,
      waitMs: this.#times.waitMs,
      seen: 0,
      failures: 0,
      mustRenew: false,
      isConnectionSilent: false,
      nextCallAtMs: Math.floor(this.#random.pickFloat() * this.#times.waitMs),
      pending: undefined,
      heardAtMs: new Map()
    }
  }

  #follow (gateway: SimulatedGateway): void {
    const { pending, faults } = gateway
    if (pending === undefined) {
      if (this.nowMs < gateway.nextCallAtMs) return
      this.#calls += 1
      gateway.pending = { sinceMs: this.nowMs, waitMs: gateway.failures > 0 || gateway.mustRenew ? SHORT_ANSWER_MS : gateway.waitMs }
      gateway.mustRenew = false
      return
    }
    const isSilent = gateway.isConnectionSilent || faults.isCutFromStore
    const endsAtMs = pending.sinceMs + pending.waitMs
    if (isSilent) {
      if (this.nowMs >= endsAtMs + READ_TIMEOUT_MS) this.#fail(gateway)
      return
    }
    const hasChanged = this.#revision > gateway.seen
    if (!hasChanged && this.nowMs < endsAtMs) return
    for (let revision = gateway.seen + 1; revision <= this.#revision; revision += 1) gateway.appliedAtMs.set(revision, this.nowMs)
    gateway.seen = this.#revision
    gateway.failures = 0
    gateway.pending = undefined
    gateway.nextCallAtMs = this.nowMs + (hasChanged ? this.#times.collectMs : 0)
    for (const kind of FOLLOWED_KINDS) gateway.roles.noteProgress(kind, { era: 1, seen: this.#revision, changed: hasChanged ? this.#revision : undefined }, this.nowMs)
    if (hasChanged) this.#sendNews(gateway)
  }

  #fail (gateway: SimulatedGateway): void {
    gateway.failures += 1
    gateway.pending = undefined
    gateway.isConnectionSilent = false
    gateway.nextCallAtMs = this.nowMs + RETRY_MS
  }

  #renew (gateway: SimulatedGateway): void {
    gateway.mustRenew = true
    if (gateway.pending === undefined) return
    gateway.pending = undefined
    gateway.isConnectionSilent = false
    gateway.nextCallAtMs = this.nowMs
  }

  #tick (gateway: SimulatedGateway): void {
    if (this.#options.hasRoles === false) return
    for (const other of this.gateways) {
      if (other !== gateway && other.isRunning && !other.faults.isFrozen && !other.faults.isCutFromPeers && !gateway.faults.isCutFromPeers) gateway.heardAtMs.set(other.id, this.nowMs)
    }
    const role = gateway.roles.chooseRole(this.#listReady(gateway), true, this.nowMs)
    gateway.waitMs = role === 'listener' ? LISTENER_WAIT_MS : role === 'watcher' ? this.#times.waitMs - RELAY_MARGIN_MS : this.#times.waitMs
    if (gateway.pending !== undefined && gateway.pending.waitMs > gateway.waitMs + 1_000) this.#renew(gateway)
    if (gateway.roles.listOverdue(this.nowMs).length > 0) this.#renew(gateway)
    this.#sendNews(gateway)
  }

  #listReady (gateway: SimulatedGateway): readonly SimulatedGateway[] {
    return this.gateways.filter(other => other !== gateway && this.nowMs - (gateway.heardAtMs.get(other.id) ?? -Infinity) <= (this.#options.goneMs ?? HEARTBEAT_TIMEOUT_MS))
  }

  #sendNews (gateway: SimulatedGateway): void {
    const limitMs = this.#times.waitMs + this.#times.collectMs + 1_000
    const news = gateway.roles.takeNews({ endpoints: limitMs, configuration: limitMs, evacuations: limitMs }, this.nowMs)
    if (news === undefined) return
    const recipients = new Set(gateway.roles.listRecipients(this.#listReady(gateway)))
    for (const to of this.gateways) {
      if (!recipients.has(to.id)) continue
      this.#sent += 1
      if (gateway.faults.isCutFromPeers || this.#random.pickFloat() < (this.#options.loss ?? 0)) continue
      this.#datagrams.push({ atMs: this.nowMs + STEP_MS, to, news })
    }
  }

  #deliver (): void {
    const due = this.#datagrams.filter(({ atMs }) => atMs <= this.nowMs)
    this.#datagrams = this.#datagrams.filter(({ atMs }) => atMs > this.nowMs)
    for (const { to, news } of due) {
      if (to.isRunning && !to.faults.isFrozen && !to.faults.isCutFromPeers && !to.faults.losesNews) to.roles.noteNews(news, this.nowMs)
    }
  }
}
