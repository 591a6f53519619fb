/** Agents of a simulated group, reached over a slow link on which datagrams get lost. */

import { pack } from 'msgpackr'
import { setTimeout as wait } from 'node:timers/promises'
import { CounterSnapshots } from '../../src/gateway/counter-deltas.js'
import { buildInitialMap, MapService } from '../../src/gateway/maps.js'
import type { EngineSpec } from '../../src/gateway/model.js'
import type { RankReply, RankRequest } from '../../src/gateway/rank-messages.js'
import type { GroupMap } from '../../src/plugins/lockstep/rank.js'
import { FakeGroup } from '../lockstep/group.js'
import { startHarness } from './harness.js'
import type { Harness } from './harness.js'

/** Link of the leader in bytes per ms: 28 Mbit/s, the slowest that gateways have. */
export const LINK_BYTES_PER_MS = 3_500

/** Time in ms after which a gateway with the lowest id acts as the leader. */
export const LEADER_DELAY_MS = 1_500

/** Round trip to an agent and its worker in ms. */
const ROUND_TRIP_MS = 6

/** Size of a group, and how many datagrams get lost. */
export interface FakeAgentsOptions {
  readonly ranks: number
  readonly engine: EngineSpec
  /** One in so many datagrams is lost. */
  readonly lostOneIn: number
}

/** Agents of a group behind the link of the leader, on which datagrams queue. */
export class FakeAgents {
  readonly group: FakeGroup
  /** Times that the experts in demand changed. */
  shifts = 0
  /** Tokens of the expert most in demand. */
  tokensPerMs = 5
  /** Hosts whose agents do not answer. */
  readonly silent = new Set<string>()
  /** Whether the leader is cut off from all agents. */
  isCut = false
  /** Reading that the last request for counters of each host refers to. */
  readonly requestedSince = new Map<string, number | undefined>()
  /** Bytes sent and received by the leader. */
  bytes = 0
  readonly #freeAtMs = { out: 0, in: 0 }
  #datagrams = 0
  readonly engine: EngineSpec
  readonly #lostOneIn: number
  /** Tokens so far by layer and expert, the same for all ranks. */
  readonly #counts: Float64Array
  #countedAtMs = performance.now()
  #latest: readonly number[]
  readonly #snapshots: readonly CounterSnapshots[]

  private constructor ({ ranks, engine, lostOneIn }: FakeAgentsOptions) {
    this.group = FakeGroup.create(ranks)
    this.engine = engine
    this.#lostOneIn = lostOneIn
    this.#counts = new Float64Array(engine.layers * engine.experts)
    this.#latest = Array.from(this.#counts)
    this.#snapshots = Array.from({ length: ranks }, () => CounterSnapshots.create(1))
  }

  static create (options: FakeAgentsOptions): FakeAgents {
    return new FakeAgents(options)
  }

  /** Map that the group uses. */
  getMap (): GroupMap {
    const version = this.group.ranks[0]!.map
    return this.group.maps.get(version) ?? buildInitialMap(this.group.ranks.length, this.engine)
  }

  /** Share of the tokens by expert. */
  getShares (layer: number): Float64Array {
    const weights = Float64Array.from({ length: this.engine.experts }, (_, expert) => this.#getWeight(layer, expert))
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    return weights.map(weight => weight / total)
  }

  async sendRequest (host: string, request: RankRequest, timeoutMs: number): Promise<RankReply | undefined> {
    const rank = Number(host.slice(1))
    if (this.isCut || this.silent.has(host)) {
      await wait(timeoutMs)
      return undefined
    }
    if (request.kind === 'read' && request.wantsCounts) this.requestedSince.set(host, request.countsSince)
    const sentAtMs = performance.now()
    const arrivesAtMs = this.#transmit('out', pack(request).length, sentAtMs)
    await wait(arrivesAtMs - sentAtMs + ROUND_TRIP_MS)
    if (request.kind === 'order' && request.order.kind === 'prepare') this.group.maps.set(request.order.version, request.order.map)
    const isApplied = request.kind === 'order' ? this.group.applyOrder({ rank, epoch: request.epoch, order: request.order }) : undefined
    const reply: RankReply = {
      state: this.group.read(rank, 0),
      ...(request.kind === 'read' && request.wantsMap ? { experts: this.getMap().map(layer => layer[rank]!) } : {}),
      ...(request.kind === 'read' && request.wantsCounts ? this.#snapshots[rank]!.encode(this.#readCounts(), request.countsSince) : {}),
      ...(isApplied === undefined ? {} : { result: isApplied ? 'done' as const : 'refused' as const })
    }
    const repliedAtMs = performance.now()
    const isLost = ++this.#datagrams % this.#lostOneIn === 0
    // The client sends a read again after half of its timeout, but no order.
    const resentMs = isLost ? request.kind === 'read' ? timeoutMs / 2 : Infinity : 0
    const elapsedMs = this.#transmit('in', countBytes(reply), repliedAtMs) - sentAtMs + resentMs
    await wait(Math.max(0, Math.min(elapsedMs, timeoutMs) - (repliedAtMs - sentAtMs)))
    return elapsedMs > timeoutMs ? undefined : reply
  }

  /** Adds the tokens since the last reading. */
  #readCounts (): readonly number[] {
    const nowMs = performance.now()
    if (nowMs - this.#countedAtMs < 50) return this.#latest
    for (let at = 0; at < this.#counts.length; at += 1) {
      const layer = Math.floor(at / this.engine.experts)
      this.#counts[at]! += (nowMs - this.#countedAtMs) * this.tokensPerMs * this.#getWeight(layer, at % this.engine.experts)
    }
    this.#countedAtMs = nowMs
    this.#latest = Array.from(this.#counts, Math.floor)
    return this.#latest
  }

  /** Weights change by a shift, so that other experts are in demand. */
  #getWeight (layer: number, expert: number): number {
    const at = layer * this.engine.experts + expert
    return 1 / (1 + (at * 37 + layer * 11 + 101 * this.shifts) % this.engine.experts) ** 0.9
  }

  #transmit (direction: 'out' | 'in', bytes: number, nowMs: number): number {
    this.bytes += bytes
    this.#freeAtMs[direction] = Math.max(nowMs, this.#freeAtMs[direction]) + bytes / LINK_BYTES_PER_MS
    return this.#freeAtMs[direction]
  }
}

/** Bytes of a packed reply; packing the counters of all ranks would take the time that the test measures. */
function countBytes ({ counts = [], ...others }: RankReply): number {
  return pack(others).length + counts.reduce((sum, count) => sum + (count < 128 ? 1 : count < 256 ? 2 : count < 65_536 ? 3 : 5), 0)
}

/** Starts the service of a gateway that becomes the leader after `LEADER_DELAY_MS`. */
export async function startService (agents: FakeAgents): Promise<{ readonly harness: Harness, readonly service: MapService }> {
  const harness = await startHarness('idempotent', {}, {}, agents.engine)
  for (let rank = 0; rank < agents.group.ranks.length; rank += 1) {
    harness.context.endpoints.upsert({ id: `e${rank}`, bornMs: 1, service: 's', address: { host: `h${rank}`, port: 1 }, domain: 'a', state: 'ready', slots: 4, coldRemainingMs: 0 }, 0)
  }
  const unused = async (): Promise<never> => { throw new Error('asked directly') }
  const service = MapService.create({ context: harness.context, client: agents, engine: { readState: async () => undefined, readCounts: unused, readMap: unused, send: async () => 'no-answer' }, id: 'g', isReady: () => true })
  return { harness, service }
}
