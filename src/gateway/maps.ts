/** Adapts the expert maps of the groups to demand; runs at the gateway that is the leader. */

import { MapCoordinator } from '../plugins/lockstep/coordinator.js'
import type { CoordinatorDecision, CoordinatorPhase } from '../plugins/lockstep/coordinator.js'
import { planLayer, SLOW_PACE } from '../plugins/lockstep/planner.js'
import type { LayerPlan } from '../plugins/lockstep/planner.js'
import { RecentPopularity } from '../plugins/lockstep/popularity.js'
import type { GroupMap, RankReading } from '../plugins/lockstep/rank.js'
import { answerRankRequest } from './agent.js'
import type { RankEngine } from './agent.js'
import type { GatewayContext } from './context.js'
import { CounterSums } from './counter-deltas.js'
import type { Address, EngineSpec } from './model.js'
import type { RankClient } from './rank-link.js'
import type { RankReply, RankRequest } from './rank-messages.js'

/** Interval in ms at which the ranks are read while no change is in progress. */
const READ_INTERVAL_MS = 250

/** Interval in ms at which the ranks are read during a change. */
const CHANGE_READ_INTERVAL_MS = 10

/** Interval in ms once a change only waits for its step to pass; an unanswered release is sent again after the same time. */
const RELEASE_READ_INTERVAL_MS = 45

/** Timeout in ms for a reply of an agent. */
const REPLY_TIMEOUT_MS = 80

/**
 * Most counters that are read at a time, which take about a byte each, 3 at the first reading of a
 * rank. Large groups report in turn: all replies at once would fill the link of the leader, and a
 * counter misses nothing by being read later.
 */
const COUNTERS_PER_READING_MAX = 120_000
const FIRST_READING_WEIGHT = 3

/** Counters for which a reading gets one more ms: a fifth of what the slowest links carry. */
const COUNTERS_PER_MS = 700

/** Timeout in ms for the reply to a prepare order, which carries the whole map; no rank waits for it. */
const PREPARE_REPLY_TIMEOUT_MS = 250

/** Most numbers of maps in prepare orders that are sent at a time; they take about 3 bytes each. */
const PREPARE_NUMBERS_MAX = 40_000

/** Shortest interval in ms, for each rank, at which the ranks are read while they copy experts. */
const PREPARE_READ_INTERVAL_PER_RANK_MS = 0.3

/** Timeout in ms for the reply to an order; the answer of the engine to the agent may be lost. */
const ORDER_TIMEOUT_MS = 60

/** Most rounds of orders sent after one reading of the ranks; then they are read again. */
const TURNS_MAX = 6

/** Consecutive requests without a reply of the agent after which the rank is contacted directly; few, because the group may be holding a step. */
const MISSED_READS_MAX = 3

/** Time in ms for which this gateway must have the lowest id before it acts as the leader. */
const LEADER_DELAY_MS = 1_500

/** Time in ms after a change within which the next one has to bring more than `GAIN_MIN`; after an aborted one there is none. */
const CHANGE_PAUSE_MS = 300

/**
 * Smallest reduction of the largest load of a layer, in mean loads, that justifies one copy at each
 * rank. Ranks copy at the same time, so that the copies of a change cost the group as much as those of one rank.
 */
const GAIN_PER_COPIES_MIN = 0.32

/** Smallest such reduction for a single copy: planning takes time for each, in which the leader serves no requests. */
const GAIN_PER_COPY_MIN = 0.005

/** Smallest reduction of the skew, as a mean over all layers, that justifies the orders of a change. */
const GAIN_MIN = 0.05

/** The same right after a change; it falls to `GAIN_MIN` within `CHANGE_PAUSE_MS`. */
const GAIN_MIN_AT_ONCE = 0.15

/** Smallest reduction after a change whose orders were lost: resending them holds up the group. */
const GAIN_MIN_LOSSY = 0.4

/** Interval in ms at which counters are read while a change only waits for its step to pass. */
const RELEASE_COUNTS_INTERVAL_MS = 120

/** Tokens that must have been counted in a layer before its demand counts as known. */
const TOKENS_MIN = 2_000

interface Group {
  readonly coordinator: MapCoordinator
  readonly popularity: RecentPopularity
  readonly missedReads: Map<string, number>
  epoch: number
  /** End of the latest change, and its result. */
  changedAtMs: number
  ended: CoordinatorDecision['ended']
  /** Latest reading of counters. */
  countedAtMs: number
  /** Plan for the map that the change in progress puts into use. */
  next: MapPlan | undefined
}

/** Plan of a change of all layers. */
interface MapPlan {
  /** Map that the plan changes. */
  readonly base: GroupMap
  readonly map: GroupMap
  readonly skewBefore: number
  readonly skewAfter: number
  readonly copies: number
  /** Time in ms that planning took, other work of the process included. */
  readonly planMs: number
}

interface RankAnswer {
  readonly address: Address
  readonly reply: RankReply
  /** Tokens counted since the rank started, by layer and expert; undefined when they were not read. */
  readonly counts: readonly number[] | undefined
  /** When the request was sent, in monotonic ms. */
  readonly sentAtMs: number
}

/** Dependencies of a map service. */
export interface MapServiceOptions {
  readonly context: GatewayContext
  readonly client: Pick<RankClient, 'sendRequest'>
  readonly engine: RankEngine
  /** Id of this gateway; the ready gateway with the lowest id is the leader. */
  readonly id: string
  isReady (): boolean
}

/** Reads the ranks of the groups and sends the orders that their map coordinators decide on. */
export class MapService {
  readonly #options: MapServiceOptions
  readonly #groups = new Map<string, Group>()
  /** Last known addresses of ranks by service, kept because the store may stop listing a rank while its group holds a step. */
  readonly #addresses = new Map<string, Map<string, Address>>()
  readonly #sums = CounterSums.create()
  /** Position of the next rank whose counters are read, by service. */
  readonly #nextCounters = new Map<string, number>()
  #leaderSinceMs: number | undefined

  private constructor (options: MapServiceOptions) {
    this.#options = options
  }

  /**
   * @param options - context, clients and id of the gateway
   * @returns a service that has not started
   */
  static create (options: MapServiceOptions): MapService {
    return new MapService(options)
  }

  /** Runs for the life of the process. */
  async run (): Promise<void> {
    for (;;) {
      const pauseMs = await this.update()
      await new Promise(resolve => { setTimeout(resolve, pauseMs) })
    }
  }

  /** Reads the groups and carries out their next orders while this gateway is the leader. @returns time in ms until the next update */
  async update (): Promise<number> {
    let pauseMs = READ_INTERVAL_MS
    if (this.#isLeader()) {
      for (const service of this.#options.context.routes.listServices()) {
        if (service.engine === undefined || service.engine.layers === 0) continue
        pauseMs = Math.min(pauseMs, await this.#updateService(service.name, service.engine))
      }
    } else {
      this.#groups.clear()
      this.#options.context.paces = {}
    }
    return pauseMs
  }

  /** Whether this gateway has had the lowest id of the ready ones for `LEADER_DELAY_MS`. */
  #isLeader (): boolean {
    const { context, id } = this.#options
    const isFirst = this.#options.isReady() && context.peers.listReady().every(peer => peer.id > id)
    const nowMs = context.getNowMs()
    if (!isFirst) {
      if (this.#leaderSinceMs !== undefined) context.log('lease-lost', { holder: id })
      this.#leaderSinceMs = undefined
      return false
    }
    if (this.#leaderSinceMs === undefined) context.log('lease-acquired', { holder: id })
    this.#leaderSinceMs ??= nowMs
    return nowMs - this.#leaderSinceMs >= LEADER_DELAY_MS
  }

  /** Reads the ranks of a service and updates its groups. @returns time in ms until the next reading */
  async #updateService (service: string, engine: EngineSpec): Promise<number> {
    const readings = await this.#readRanks(service, this.#mayReadCounts() ? engine.layers * engine.experts : 0)
    const byGroup = new Map<string, RankAnswer[]>()
    for (const reading of readings) {
      const name = reading.reply.state?.group
      if (name !== undefined) byGroup.set(name, [...byGroup.get(name) ?? [], reading])
    }
    this.#notePaces(readings)
    for (const [name, ranks] of byGroup) await this.#updateGroup(name, ranks, engine)
    return Math.min(...[...this.#groups.values()].map(({ coordinator }) => getReadIntervalMs(coordinator.phase, readings.length)), READ_INTERVAL_MS)
  }

  /** Records slow ranks, which get fewer experts, and fewer requests from all gateways. */
  #notePaces (readings: readonly RankAnswer[]): void {
    const { context } = this.#options
    const paces = new Map(readings.flatMap(({ address, reply: { state } }) => state === undefined || state.pace < SLOW_PACE ? [] : [[`${address.host}:${address.port}`, state.pace]]))
    context.paces = Object.fromEntries(context.endpoints.listAll().flatMap(({ record: { id, address } }) => {
      const pace = paces.get(`${address.host}:${address.port}`)
      return pace === undefined ? [] : [[id, pace]]
    }))
  }

  /** Whether no rank waits for the next orders, which a reading with counters would delay. */
  #mayReadCounts (): boolean {
    const nowMs = this.#options.context.getNowMs()
    return [...this.#groups.values()].every(({ coordinator, countedAtMs }) =>
      coordinator.phase.kind === 'idle' || (coordinator.isReleased && nowMs - countedAtMs >= RELEASE_COUNTS_INTERVAL_MS))
  }

  async #updateGroup (name: string, readings: readonly RankAnswer[], engine: EngineSpec): Promise<void> {
    const { context } = this.#options
    const group = this.#getGroup(name, engine)
    const states = listCompleteGroup(readings)
    if (states === undefined) return
    const epoch = states[0]!.epoch
    if (epoch !== group.epoch) {
      group.epoch = epoch
      context.log('group-changed', { group: name, epoch, size: states.length })
    }
    const nowMs = context.getNowMs()
    this.#noteCounts(name, group, readings, nowMs)
    const decision = group.coordinator.decide(states, nowMs)
    if (group.coordinator.map === undefined) await this.#readMap(group, states, readings, engine)
    await this.#sendOrders(name, group, decision, readings)
    const { phase } = group.coordinator
    if (phase.kind === 'releasing' && group.coordinator.isReleased && group.countedAtMs === nowMs) group.next = await this.#plan(group, phase.map, states, engine)
    if (phase.kind !== 'idle' || (group.ended === 'aborted' && context.getNowMs() - group.changedAtMs < CHANGE_PAUSE_MS)) return
    if (await this.#propose(name, group, states, engine)) await this.#sendOrders(name, group, group.coordinator.decide(states, context.getNowMs()), readings)
  }

  /** Adds the counters of a reading to the demand. */
  #noteCounts (name: string, group: Group, readings: readonly RankAnswer[], nowMs: number): void {
    const reports = readings.flatMap(({ reply: { state }, counts }) =>
      state === undefined || counts === undefined ? [] : [{ rank: state.rank, incarnation: `${state.bornMs} ${state.epoch}`, counts }])
    if (reports.length === 0) return
    const sinceMs = nowMs - group.countedAtMs
    group.countedAtMs = nowMs
    const shift = group.popularity.noteCounts(reports, nowMs)
    if (shift === undefined) return
    const { context } = this.#options
    context.metrics.count('demand_shifts')
    context.log('demand-shifted', { group: name, difference: round(shift.difference), usual: round(shift.usual), kept: round(shift.kept), ranks: reports.length, sinceMs: round(sinceMs), readMs: round(nowMs - Math.min(...readings.map(({ sentAtMs }) => sentAtMs))) })
  }

  /** Sends the orders of a decision, and those of the decisions that the replies lead to. */
  async #sendOrders (name: string, group: Group, initial: CoordinatorDecision, readings: readonly RankAnswer[]): Promise<void> {
    const { context } = this.#options
    const states = new Map(readings.flatMap(({ address, reply: { state }, sentAtMs }) => state === undefined ? [] : [[state.rank, { address, state: { ...state, readAtMs: sentAtMs } }] as const]))
    let decision = initial
    for (let turn = 0; turn < TURNS_MAX; turn += 1) {
      this.#noteEnded(name, group, decision)
      if (decision.orders.length === 0) return
      const before = group.coordinator.phase.kind
      const replies = await runInLanes(decision.orders, countOrderLanes(decision.orders), async ({ rank, epoch, order }) => {
        const found = states.get(rank)
        if (found === undefined) return undefined
        const sentAtMs = context.getNowMs()
        const reply = await this.#sendRequest(found.address, { kind: 'order', epoch, order }, order.kind === 'prepare' ? PREPARE_REPLY_TIMEOUT_MS : ORDER_TIMEOUT_MS, group)
        if (reply?.result === undefined || reply.result === 'no-answer') group.coordinator.noteUnanswered({ rank, order })
        if (order.kind === 'prepare' && reply?.result === 'refused') group.coordinator.noteRefusedVersion(order.version)
        return reply === undefined ? undefined : { address: found.address, reply, counts: undefined, sentAtMs }
      })
      for (const answered of replies) {
        if (answered?.reply.state !== undefined) states.set(answered.reply.state.rank, { address: answered.address, state: { ...answered.reply.state, readAtMs: answered.sentAtMs } })
      }
      context.log('map-step', { group: name, phase: before, orders: decision.orders.length, order: decision.orders[0]?.order.kind ?? '', answered: replies.filter(reply => reply !== undefined).length })
      decision = group.coordinator.decide([...states.values()].map(({ state }) => state), context.getNowMs())
    }
    this.#noteEnded(name, group, decision)
  }

  #noteEnded (name: string, group: Group, { ended }: CoordinatorDecision): void {
    if (ended === undefined) return
    const { context } = this.#options
    context.log('map-decided', { group: name, result: ended, epoch: group.epoch })
    context.metrics.count('map_changes', ended)
    group.changedAtMs = context.getNowMs()
    group.ended = ended
  }

  /** Starts a change when it brings enough. @returns whether it did */
  async #propose (name: string, group: Group, states: readonly RankReading[], engine: EngineSpec): Promise<boolean> {
    const { context } = this.#options
    const { map } = group.coordinator
    if (map === undefined) return false
    const next = group.next
    group.next = undefined
    // Another coordinator may have changed the map meanwhile.
    const plan = next?.base === map ? next : await this.#plan(group, map, states, engine)
    if (plan === undefined) return false
    const nowMs = context.getNowMs()
    const gainMin = group.coordinator.isLossy ? GAIN_MIN_LOSSY : computeGainMin(nowMs - group.changedAtMs)
    if (plan.skewBefore - plan.skewAfter < gainMin) return false
    const version = group.coordinator.propose(plan.map, nowMs)
    if (version === undefined) return false
    context.log('map-planned', {
      group: name, version, slowest: round(Math.max(...states.map(({ pace }) => pace))), skewBefore: round(plan.skewBefore), skewAfter: round(plan.skewAfter), copies: plan.copies, planMs: round(plan.planMs), countsAgeMs: round(nowMs - group.countedAtMs), pauseMs: round(nowMs - group.changedAtMs), tokens: Math.round(group.popularity.getTotal())
    })
    return true
  }

  /** Plans a change of a map for the present demand; undefined while the demand is not known. */
  async #plan (group: Group, base: GroupMap, states: readonly RankReading[], engine: EngineSpec): Promise<MapPlan | undefined> {
    const { context } = this.#options
    const startedAtMs = context.getNowMs()
    if (group.popularity.getTotal() < TOKENS_MIN) return undefined
    const limits = { slots: engine.slotsPerRank, spare: engine.spare, gainMin: Math.max(GAIN_PER_COPY_MIN, GAIN_PER_COPIES_MIN / states.length), paces: states.map(({ pace }) => pace) }
    const plans: LayerPlan[] = []
    for (const [index, layer] of base.entries()) {
      plans.push(planLayer(layer, group.popularity.getShares(index), limits))
      // Planning a large layer takes milliseconds, in which no request is served.
      await new Promise(resolve => { setImmediate(resolve) })
    }
    return {
      base,
      map: plans.map(plan => plan.map),
      skewBefore: computeMean(plans.map(plan => plan.skewBefore)),
      skewAfter: computeMean(plans.map(plan => plan.skewAfter)),
      copies: plans.reduce((sum, { copies }) => sum + copies, 0),
      planMs: context.getNowMs() - startedAtMs
    }
  }

  /** Determines the map in use: the initial one of an epoch is computed, any later one is read from the ranks. */
  async #readMap (group: Group, states: readonly RankReading[], readings: readonly RankAnswer[], engine: EngineSpec): Promise<void> {
    if (states.every(({ map }) => map === 0)) {
      group.coordinator.noteMap(buildInitialMap(states.length, engine), 0)
      return
    }
    const listed = await Promise.all(readings.map(({ address }) => this.#sendRequest(address, { kind: 'read', wantsCounts: false, wantsMap: true }, REPLY_TIMEOUT_MS, group)))
    const versions = new Set(listed.map(reply => reply?.state?.map))
    if (versions.size !== 1 || listed.some(reply => reply?.experts === undefined)) return
    const byRank = new Map(listed.map(reply => [reply!.state!.rank, reply!.experts!]))
    group.coordinator.noteMap(Array.from({ length: engine.layers }, (_, layer) => states.map(({ rank }) => byRank.get(rank)?.[layer] ?? [])), [...versions][0] ?? 0)
  }

  /** Reads the states of all ranks, and from some of them their `counters`, unless that is 0. */
  async #readRanks (service: string, counters: number): Promise<readonly RankAnswer[]> {
    const addresses = this.#addresses.get(service) ?? new Map<string, Address>()
    this.#addresses.set(service, addresses)
    const listed = new Set<string>()
    for (const { record } of this.#options.context.endpoints.listAll()) {
      if (record.service !== service) continue
      const key = `${record.address.host}:${record.address.port}`
      addresses.set(key, record.address)
      listed.add(key)
    }
    const group = [...this.#groups.values()][0]
    const sentAtMs = this.#options.context.getNowMs()
    // No rank waits for a reading with counters, which take a while on a slow link.
    const counted = counters === 0 ? new Set<string>() : this.#pickCounted(service, [...addresses.keys()], counters)
    const replies = await Promise.all([...addresses].map(async ([key, address]) => {
      const wantsCounts = counted.has(key)
      const countsSince = wantsCounts ? this.#sums.findId(key) : undefined
      const reply = await this.#sendRequest(address, { kind: 'read', wantsCounts, wantsMap: false, ...(countsSince === undefined ? {} : { countsSince }) }, REPLY_TIMEOUT_MS + counters * counted.size / COUNTERS_PER_MS, group)
      if (reply === undefined && !listed.has(key)) this.#sums.forget(key)
      const counts = reply?.counts === undefined ? undefined : this.#sums.decode(key, { ...reply, counts: reply.counts })
      return { address, reply, counts }
    }))
    return replies.flatMap(({ address, reply, counts }) => reply?.state === undefined ? [] : [{ address, reply, counts, sentAtMs }])
  }

  /** Picks the ranks whose counters are read next, in turn. */
  #pickCounted (service: string, keys: readonly string[], counters: number): ReadonlySet<string> {
    const from = this.#nextCounters.get(service) ?? 0
    const picked = new Set<string>()
    for (let cost = 0; cost < COUNTERS_PER_READING_MAX && picked.size < keys.length;) {
      const key = keys[(from + picked.size) % keys.length]!
      picked.add(key)
      cost += counters * (this.#sums.findId(key) === undefined ? FIRST_READING_WEIGHT : 1)
    }
    this.#nextCounters.set(service, from + picked.size)
    return picked
  }

  /** Sends a request to a rank through its agent, or directly when the agent is unresponsive; counters are then left out, as reading them remotely is expensive. */
  async #sendRequest (address: Address, request: RankRequest, timeoutMs: number, group: Group | undefined): Promise<RankReply | undefined> {
    const reply = await this.#options.client.sendRequest(address.host, request, timeoutMs)
    const key = `${address.host}:${address.port}`
    const before = group?.missedReads.get(key) ?? 0
    const missed = reply === undefined ? before + 1 : 0
    group?.missedReads.set(key, missed)
    if (before >= MISSED_READS_MAX && missed === 0) this.#options.context.log('peer-connected', { agent: key })
    if (reply !== undefined || missed < MISSED_READS_MAX) return reply
    const direct = await answerRankRequest(this.#options.engine, address, { ...request, ...(request.kind === 'read' ? { wantsCounts: false } : {}) })
    if (missed === MISSED_READS_MAX) this.#options.context.log('peer-silent', { agent: key, isWorkerHeard: direct.state !== undefined })
    return direct
  }

  #getGroup (name: string, engine: EngineSpec): Group {
    let group = this.#groups.get(name)
    if (group === undefined) {
      group = { coordinator: MapCoordinator.create(Math.floor(this.#options.context.pickFloat() * 1e9)), popularity: RecentPopularity.create(engine.layers, engine.experts), missedReads: new Map(), epoch: 0, changedAtMs: 0, ended: undefined, countedAtMs: 0, next: undefined }
      this.#groups.set(name, group)
    }
    return group
  }
}

/** Number of orders that are sent at a time. */
function countOrderLanes (orders: CoordinatorDecision['orders']): number {
  const numbers = Math.max(...orders.map(({ order }) => order.kind === 'prepare' ? order.map.reduce((sum, ranks) => sum + ranks.reduce((count, experts) => count + experts.length, 0), 0) : 0))
  return numbers === 0 ? orders.length : Math.max(1, Math.floor(PREPARE_NUMBERS_MAX / numbers))
}

/** Runs a call for each item, at most `lanes` at a time; results are in the order of the items. */
async function runInLanes<T, R> (items: readonly T[], lanes: number, run: (item: T) => Promise<R>): Promise<readonly R[]> {
  const results: R[] = []
  const remaining = items.entries()
  await Promise.all(Array.from({ length: Math.min(lanes, items.length) }, async () => {
    for (const [index, item] of remaining) results[index] = await run(item)
  }))
  return results
}

function getReadIntervalMs ({ kind }: CoordinatorPhase, ranks: number): number {
  switch (kind) {
    case 'idle': return READ_INTERVAL_MS
    case 'preparing': return Math.max(CHANGE_READ_INTERVAL_MS, PREPARE_READ_INTERVAL_PER_RANK_MS * ranks)
    case 'holding':
    case 'undoing': return CHANGE_READ_INTERVAL_MS
    case 'releasing': return RELEASE_READ_INTERVAL_MS
  }
}

/** @returns states by rank when every rank of the group answered, is open and in the newest epoch; otherwise undefined */
function listCompleteGroup (readings: readonly RankAnswer[]): readonly RankReading[] | undefined {
  const states = readings.flatMap(({ reply: { state }, sentAtMs }) => state === undefined ? [] : [{ ...state, readAtMs: sentAtMs }])
  const newest = Math.max(...states.map(({ epoch }) => epoch))
  const current = states.filter(({ epoch, isOpen }) => epoch === newest && isOpen).sort((a, b) => a.rank - b.rank)
  const isComplete = current.length === current[0]?.size && current.every(({ rank }, index) => rank === index)
  return isComplete ? current : undefined
}

/**
 * @param ranks - number of ranks
 * @param engine - numbers of layers and experts
 * @returns the map that a group starts with: experts assigned to ranks round-robin
 */
export function buildInitialMap (ranks: number, { layers, experts }: Pick<EngineSpec, 'layers' | 'experts'>): GroupMap {
  const layer = Array.from({ length: ranks }, (_, rank) => Array.from({ length: Math.ceil((experts - rank) / ranks) }, (_, turn) => rank + turn * ranks))
  return Array.from({ length: layers }, () => layer)
}

/** Computes the reduction of the skew that a change has to bring so long after the one before. */
function computeGainMin (pauseMs: number): number {
  return GAIN_MIN + (GAIN_MIN_AT_ONCE - GAIN_MIN) * Math.max(0, 1 - pauseMs / CHANGE_PAUSE_MS)
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
