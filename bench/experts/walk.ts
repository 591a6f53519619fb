/**
 * Walks all interleavings of the real rank and holder code at small size: every
 * order of messages, platform calls, orders, steps and timers, with bounded
 * losses, restarts and take-overs. Two kinds of event are carried out at once,
 * because the hold, the release or the write next to them covers what may happen
 * meanwhile: loading and using a map, and reading the record. A state is visited once; ranks are
 * interchangeable, so states that differ only in their numbering count as one.
 */

import type { Effect, PlatformOperation } from '../../src/kernel/effects.js'
import type { PlatformResult } from '../../src/kernel/events.js'
import { Random } from '../../src/kernel/random.js'
import type { Message } from '../../src/protocol/messages.js'
import { CHANGE_RULES, ChangeCoordinator, INITIAL_CHANGE } from '../../src/plugins/experts/change-coordinator.js'
import type { ChangeRules, ChangeState } from '../../src/plugins/experts/change-coordinator.js'
import type { FencedOrder } from '../../src/plugins/experts/order-queue.js'
import { EMPTY_ORDER_QUEUE, isIdle } from '../../src/plugins/experts/order-queue.js'
import { RankParticipant } from '../../src/plugins/experts/rank-participant.js'
import { INITIAL_RANK, RANK_RULES } from '../../src/plugins/experts/rank-state.js'
import type { RankRules, RankState } from '../../src/plugins/experts/rank-state.js'
import type { MapRecord } from '../../src/plugins/experts/record.js'
import { FRESH_ENGINE, applyOrder, buildRestarted, findUsedVersion } from './engine.js'
import type { EngineState } from './engine.js'

/** Faults and events that one walk may use, each at most this many times. */
export interface Budget {
  readonly takeOvers?: number
  readonly losses?: number
  readonly duplicates?: number
  readonly lostAnswers?: number
  readonly processRestarts?: number
  readonly engineRestarts?: number
  /** Changes proposed by the holders together. */
  readonly proposals?: number
  /** Times at which a rank's or holder's longest limit passes. */
  readonly limits?: number
  /** Repeated proposals of a holder and questions of a promised rank. */
  readonly repeats?: number
}

/** What is walked. */
export interface WalkOptions {
  readonly ranks: number
  readonly checksFencing: boolean
  readonly budget: Budget
  readonly rankRules?: Partial<RankRules>
  readonly changeRules?: Partial<ChangeRules>
  /** False lets the platform ignore the revision of a write. */
  readonly conditionalWrites?: boolean
  /** The order that a replaced process had sent may reach the engine at any later time. */
  readonly strayOrders?: boolean
  /** Ranks ask each other; their numbering then counts. */
  readonly asksRanks?: boolean
  /** States after which the walk ends unfinished. */
  readonly statesMax: number
}

/** Result of a walk. */
export interface WalkResult {
  readonly states: number
  readonly transitions: number
  readonly finished: boolean
  readonly commits: number
  /** Actions that lead to two maps in one step; undefined when none do. */
  readonly violation?: readonly string[]
}

interface Call { readonly id: string, readonly operation: PlatformOperation }
interface Sent { readonly from: string, readonly to: string, readonly message: Message }

interface State {
  readonly ranks: readonly { readonly rank: RankState, readonly engine: EngineState, readonly stray?: FencedOrder | undefined, readonly calls: readonly Call[], readonly answer?: readonly [string, PlatformResult] }[]
  readonly holders: readonly { readonly change: ChangeState, readonly calls: readonly Call[], readonly answer?: readonly [string, PlatformResult] }[]
  readonly record: MapRecord
  readonly revision: number
  readonly fence: number
  readonly messages: readonly Sent[]
  /** Version by step. */
  readonly executed: readonly number[]
  readonly left: Required<Budget>
}

type Action = readonly [name: string, next: State]

const NO_BUDGET: Required<Budget> = {
  takeOvers: 0, losses: 0, duplicates: 0, lostAnswers: 0, processRestarts: 0, engineRestarts: 0, proposals: 0, limits: 0, repeats: 0
}
/** Longer than every limit of the protocol, in ms. */
const LIMIT_MS = 100_000
/** Ranks start at the step from which maps are proposed, and stop after it. */
const STEPS = 2
/** Orders that the engine answers at once. */
const ORDERS_AT_ONCE: ReadonlySet<string> = new Set(['load-map', 'use-map'])
/** First step of each proposed change. */
const PROPOSED_STEP = 1

/**
 * @param options - sizes, budget and safeguards
 * @returns counts and the first violation found
 */
export function runWalk (options: WalkOptions): WalkResult {
  const walk = Walk.create(options)
  const first = walk.buildFirst()
  const seen = new Set<string>([walk.formatKey(first)])
  const stack: { state: State, path: Path | undefined }[] = [{ state: first, path: undefined }]
  let transitions = 0
  let commits = 0
  for (let item = stack.pop(); item !== undefined; item = stack.pop()) {
    if (item.state.record.decision === 'commit' && item.state.record.version > 1) commits += 1
    for (const [name, next] of walk.listActions(item.state)) {
      transitions += 1
      const path = { name, before: item.path }
      if (next.executed.includes(-1)) return { states: seen.size, transitions, finished: false, commits, violation: listPath(path) }
      const key = walk.formatKey(next)
      if (seen.has(key)) continue
      if (seen.size >= options.statesMax) return { states: seen.size, transitions, finished: false, commits }
      seen.add(key)
      stack.push({ state: next, path })
    }
  }
  return { states: seen.size, transitions, finished: true, commits }
}

interface Path { readonly name: string, readonly before: Path | undefined }

function listPath (path: Path): readonly string[] {
  const names: string[] = []
  for (let at: Path | undefined = path; at !== undefined; at = at.before) names.unshift(at.name)
  return names
}

class Walk {
  readonly #options: WalkOptions
  readonly #rankRules: RankRules
  readonly #changeRules: ChangeRules
  readonly #peers: readonly string[]
  readonly #random = Random.create(1)

  private constructor (options: WalkOptions) {
    this.#options = options
    this.#rankRules = { ...RANK_RULES, ...options.rankRules }
    this.#changeRules = { ...CHANGE_RULES, ...options.changeRules }
    this.#peers = Array.from({ length: options.ranks }, (_, rank) => `r${rank}`)
  }

  static create (options: WalkOptions): Walk {
    return new Walk(options)
  }

  /** All ranks have joined and use map 1; the first holder has the lease. */
  buildFirst (): State {
    const record: MapRecord = { version: 1, decision: 'commit', fence: 1, map: { version: 1, step: 0, fence: 1, ranks: [] } }
    const rank: RankState = { ...INITIAL_RANK, joined: true, fence: 1, decidedVersion: 1, base: { version: 1, step: 0, layers: [] }, synced: true, startId: '1', orderQueue: { ...EMPTY_ORDER_QUEUE, fence: 1 } }
    const engine: EngineState = { ...FRESH_ENGINE, step: PROPOSED_STEP, loaded: [1], uses: [[1, 0]], fence: 1 }
    return {
      ranks: this.#peers.map(() => ({ rank, engine, calls: [] })),
      holders: [
        { change: { ...INITIAL_CHANGE, fence: 1, closed: true, stored: { revision: 1, record } }, calls: [] },
        { change: INITIAL_CHANGE, calls: [] }
      ],
      record,
      revision: 1,
      fence: 1,
      messages: [],
      executed: [],
      left: { ...NO_BUDGET, proposals: 1, ...this.#options.budget }
    }
  }

  * listActions (state: State): Generator<Action> {
    yield * this.#listDeliveries(state)
    for (let rank = 0; rank < state.ranks.length; rank += 1) yield * this.#listRankActions(state, rank)
    for (let holder = 0; holder < state.holders.length; holder += 1) yield * this.#listHolderActions(state, holder)
  }

  /** Messages form a set, so that repeats of an undelivered message make no new state. */
  * #listDeliveries (state: State): Generator<Action> {
    for (const sent of state.messages) {
      const without = { ...state, messages: state.messages.filter(other => other !== sent) }
      const name = `${sent.from} to ${sent.to}: ${sent.message.kind} ${'version' in sent.message ? sent.message.version : ''}`
      yield [name, this.#deliver(without, sent)]
      if (state.left.losses > 0) yield [`lose ${name}`, spend(without, 'losses')]
      if (state.left.duplicates > 0) yield [`double ${name}`, this.#deliver(spend(state, 'duplicates'), sent)]
    }
  }

  #deliver (state: State, { from, to, message }: Sent): State {
    const index = Number(to.slice(1))
    if (to.startsWith('r')) {
      return this.#runRank(state, index, (rank, context) => {
        if (message.kind === 'map-prepare') rank.handlePrepare(from, message, context)
        else if (message.kind === 'map-decided') rank.handleDecided(message, context)
        else if (message.kind === 'map-query') rank.handleQuery(from, message, context)
      })
    }
    return this.#runHolder(state, index, (change, context) => {
      if (message.kind === 'map-prepared') change.handlePrepared(from, message, context)
      else if (message.kind === 'map-query') change.handleQuery(from, message, context)
    })
  }

  * #listRankActions (state: State, index: number): Generator<Action> {
    const { rank, engine, stray, calls, answer } = state.ranks[index]!
    const name = `r${index}`
    const outstanding = rank.orderQueue.outstanding
    if (outstanding !== undefined) {
      yield [`${name} ${outstanding.order.kind}`, this.#answerOrder(state, index, outstanding)]
    }
    if (stray !== undefined) {
      const [next] = applyOrder(engine, stray.order, stray.fence, this.#options.checksFencing)
      yield [`${name} late ${stray.order.kind}`, this.#updateRank(state, index, { engine: next, stray: undefined })]
    }
    const stepped = this.#stepEngine(state, index)
    if (stepped !== undefined) yield [`${name} executes ${engine.step}`, stepped]
    const reports = rank.startId !== String(engine.startId) || (rank.pending?.promised === true && rank.step !== engine.step)
    if (reports) yield [`${name} reports`, this.#runRank(state, index, (machine, context) => { machine.handleReport({ healthy: true, startId: String(engine.startId), warmth: 1, step: engine.step }, context) })]
    yield * this.#listCallActions(state, 'ranks', index, calls, answer)
    if (!rank.joined || rank.pending !== undefined || !rank.synced) yield * this.#listRankTicks(state, index)
    if (state.left.engineRestarts > 0) yield [`${name} engine restarts`, spend(this.#updateRank(state, index, { engine: buildRestarted(engine) }), 'engineRestarts')]
    if (state.left.processRestarts > 0) {
      const fresh: RankState = { ...INITIAL_RANK, calls: rank.calls + 1, orderQueue: { ...EMPTY_ORDER_QUEUE, sequence: rank.orderQueue.sequence + 1 } }
      const stray = this.#options.strayOrders === true ? outstanding : undefined
      yield [`${name} replaced`, spend(this.#updateRank(state, index, { rank: fresh, stray, answer: undefined }), 'processRestarts')]
      if (outstanding !== undefined) {
        const [next] = applyOrder(engine, outstanding.order, outstanding.fence, this.#options.checksFencing)
        yield [`${name} replaced after ${outstanding.order.kind}`, spend(this.#updateRank(state, index, { rank: fresh, engine: next, answer: undefined }), 'processRestarts')]
      }
    }
  }

  #answerOrder (state: State, index: number, { order, orderId, fence }: NonNullable<RankState['orderQueue']['outstanding']>): State {
    const [next, accepted] = applyOrder(state.ranks[index]!.engine, order, fence, this.#options.checksFencing)
    return this.#runRank(this.#updateRank(state, index, { engine: next }), index, (machine, context) => { machine.handleOrderAnswered(orderId, accepted, context) })
  }

  * #listRankTicks (state: State, index: number): Generator<Action> {
    const peers = this.#options.asksRanks === true ? this.#peers.filter((_, other) => other !== index) : []
    const { pending, joined, synced, call } = state.ranks[index]!.rank
    const needed = !joined ? call === undefined : !synced && isIdle(state.ranks[index]!.rank.orderQueue)
    if (needed || (pending?.promised === true && state.left.repeats > 0)) {
      const next = needed ? state : spend(state, 'repeats')
      yield [`r${index} tick`, this.#runRank(next, index, (machine, context) => { machine.handleTick(peers, context) })]
    }
    if (state.left.limits > 0 && pending !== undefined && pending.sinceMs > -LIMIT_MS) {
      yield [`r${index} limit`, this.#runRank(spend(state, 'limits'), index, (machine, context) => { machine.handleTick(peers, context) }, 'limit')]
    }
  }

  * #listHolderActions (state: State, index: number): Generator<Action> {
    const { change, calls, answer } = state.holders[index]!
    const name = `e${index}`
    yield * this.#listCallActions(state, 'holders', index, calls, answer)
    if (change.fence > 0 && (!change.closed || change.wanted !== undefined || change.proposal !== undefined)) {
      const needed = change.call === undefined && (!change.closed || change.wanted !== undefined || change.proposal?.intent !== undefined)
      if (needed || state.left.repeats > 0) {
        yield [`${name} tick`, this.#runHolder(needed ? state : spend(state, 'repeats'), index, (machine, context) => { machine.handleTick(context) })]
      }
      if (state.left.limits > 0 && change.proposal !== undefined) yield [`${name} limit`, this.#runHolder(spend(state, 'limits'), index, (machine, context) => { machine.handleTick(context) }, 'limit')]
    }
    if (index === 1 && state.left.takeOvers > 0) {
      const fence = state.fence + 1
      yield [`${name} takes over`, this.#runHolder(spend({ ...state, fence }, 'takeOvers'), index, machine => { machine.updateLease(fence) })]
    }
    if (state.left.proposals > 0 && ChangeCoordinator.create('g', this.#peers, this.#changeRules, change).isReady()) {
      yield [`${name} wants a map`, this.#runHolder(spend(state, 'proposals'), index, machine => { machine.propose({ ranks: [], step: PROPOSED_STEP }) })]
    }
  }

  /** A call is carried out, then answered; a lost answer may come before the call is carried out. */
  * #listCallActions (state: State, kind: 'ranks' | 'holders', index: number, calls: readonly Call[], answer: readonly [string, PlatformResult] | undefined): Generator<Action> {
    const name = `${kind} ${index}`
    for (const call of calls) {
      const [next, result] = this.#runPlatformCall(state, call.operation)
      const rest = calls.filter(other => other !== call)
      const current = this.#findCallId(state, kind, index) === call.id
      if (call.operation.kind === 'read') {
        const answered = this.#updateNode(next, kind, index, { calls: rest })
        yield [`${name} reads`, current ? this.#answer(answered, kind, index, call.id, result) : answered]
        continue
      }
      yield [`${name} ${call.operation.kind} ${result.kind}`, this.#updateNode(next, kind, index, { calls: rest, ...(current ? { answer: [call.id, result] } : {}) })]
      if (current && state.left.lostAnswers > 0) yield [`${name} answer lost`, this.#answer(spend(state, 'lostAnswers'), kind, index, call.id, { kind: 'unknown' })]
    }
    if (answer !== undefined) yield [`${name} answer`, this.#answer(this.#updateNode(state, kind, index, { answer: undefined }), kind, index, answer[0], answer[1])]
  }

  #findCallId (state: State, kind: 'ranks' | 'holders', index: number): string | undefined {
    return kind === 'ranks' ? state.ranks[index]!.rank.call?.id : state.holders[index]!.change.call?.id
  }

  #answer (state: State, kind: 'ranks' | 'holders', index: number, id: string, result: PlatformResult): State {
    return kind === 'ranks'
      ? this.#runRank(state, index, (machine, context) => { machine.handlePlatform(id, result, context) })
      : this.#runHolder(state, index, (machine, context) => { machine.handlePlatform(id, result, context) })
  }

  #runPlatformCall (state: State, operation: PlatformOperation): [State, PlatformResult] {
    if (operation.kind === 'read') return [state, { kind: 'found', value: JSON.stringify(state.record), revision: state.revision }]
    if (operation.revision !== state.revision && this.#options.conditionalWrites !== false) return [state, { kind: 'conflict' }]
    const revision = state.revision + 1
    return [{ ...state, record: JSON.parse(operation.value) as MapRecord, revision }, { kind: 'written', revision }]
  }

  #stepEngine (state: State, index: number): State | undefined {
    const { engine } = state.ranks[index]!
    const version = findUsedVersion(engine)
    if (version === undefined || engine.step >= STEPS || state.ranks.some(other => other.engine.step < engine.step)) return undefined
    const executed = [...state.executed]
    const other = executed[engine.step]
    executed[engine.step] = other === undefined || other === version ? version : -1
    return { ...this.#updateRank(state, index, { engine: { ...engine, step: engine.step + 1 } }), executed }
  }

  #runRank (state: State, index: number, run: (rank: RankParticipant, context: RunContext) => void, time?: Time): State {
    const node = state.ranks[index]!
    const machine = RankParticipant.create({ group: 'g', rank: index, ranks: this.#options.ranks }, this.#rankRules, shiftTimes(node.rank, time))
    const effects: Effect[] = []
    run(machine, { nowMs: 0, random: this.#random, emit: effect => { effects.push(effect) } })
    const ran = this.#applyEffects(this.#updateRank(state, index, { rank: shiftTimes(machine.getState(), undefined) }), 'ranks', index, effects)
    const outstanding = machine.getState().orderQueue.outstanding
    return outstanding !== undefined && ORDERS_AT_ONCE.has(outstanding.order.kind) ? this.#answerOrder(ran, index, outstanding) : ran
  }

  #runHolder (state: State, index: number, run: (change: ChangeCoordinator, context: RunContext) => void, time?: Time): State {
    const node = state.holders[index]!
    const machine = ChangeCoordinator.create('g', this.#peers, this.#changeRules, shiftTimes(node.change, time))
    const effects: Effect[] = []
    run(machine, { nowMs: 0, random: this.#random, emit: effect => { effects.push(effect) } })
    machine.removeOutcome()
    return this.#applyEffects(this.#updateNode(state, 'holders', index, { change: shiftTimes(machine.getState(), undefined) }), 'holders', index, effects)
  }

  #applyEffects (state: State, kind: 'ranks' | 'holders', index: number, effects: readonly Effect[]): State {
    let next = state
    for (const effect of effects) {
      if (effect.kind === 'send') {
        const sent = { from: `${kind === 'ranks' ? 'r' : 'e'}${index}`, to: effect.peer, message: effect.message }
        const text = formatSent(sent)
        if (!next.messages.some(other => other.from === sent.from && other.to === sent.to && formatSent(other) === text)) next = { ...next, messages: [...next.messages, sent] }
      } else if (effect.kind === 'platform-call') {
        next = this.#updateNode(next, kind, index, { calls: [...next[kind][index]!.calls, { id: effect.callId, operation: effect.operation }] })
      }
    }
    return next
  }

  #updateRank (state: State, index: number, change: object): State {
    return this.#updateNode(state, 'ranks', index, change)
  }

  #updateNode (state: State, kind: 'ranks' | 'holders', index: number, change: object): State {
    return { ...state, [kind]: state[kind].map((node, other) => other === index ? { ...node, ...change } : node) }
  }

  /** Sequence numbers of calls and orders are left out, and what belongs to one rank is sorted by content. */
  formatKey (state: State): string {
    const { ranks, holders, messages, record, revision, fence, executed, left } = state
    const rest = JSON.stringify([record.version, record.fence, record.map.version, record.map.fence, revision, fence, executed, Object.values(left)])
    if (this.#options.asksRanks === true) {
      return `${ranks.map(formatRankNode).join('|')}#${holders.map(formatHolderNode).join('|')}#${messages.map(formatSent).sort().join()}#${rest}`
    }
    const own: string[][] = ranks.map(() => [])
    for (const sent of messages) own[Number((sent.to.startsWith('r') ? sent.to : sent.from).slice(1))]!.push(formatSent(sent))
    const bundles = ranks.map((node, index) => {
      const prepared = holders.map(holder => holder.change.proposal?.prepared[index] === true ? 1 : 0).join('')
      return `${formatRankNode(node)}${own[index]!.sort().join()}${prepared}`
    }).sort()
    return `${bundles.join('|')}#${holders.map(formatHolderNode).join('|')}#${rest}`
  }
}

interface RunContext { readonly nowMs: number, readonly random: Random, readonly emit: (effect: Effect) => void }
type Time = 'limit'

function spend (state: State, kind: keyof Budget): State {
  return { ...state, left: { ...state.left, [kind]: state.left[kind] - 1 } }
}

type RankNode = State['ranks'][number]
type HolderNode = State['holders'][number]

/** Texts of immutable parts; most of a state is shared with the one before it. */
const texts = new WeakMap<object, string>()

function formatOnce<T extends object> (value: T, format: (value: T) => string): string {
  const known = texts.get(value)
  if (known !== undefined) return known
  const text = format(value)
  texts.set(value, text)
  return text
}

function formatRankNode (node: RankNode): string {
  return formatOnce(node, () => formatNode(node.rank.call?.id, node.calls, node.answer, { rank: node.rank, engine: node.engine, stray: node.stray }))
}

function formatHolderNode (node: HolderNode): string {
  return formatOnce(node, () => {
    const { stored, proposal, ...change } = node.change
    const proposed = proposal === undefined ? undefined : { ...proposal, prepared: undefined }
    return formatNode(node.change.call?.id, node.calls, node.answer, [change, stored?.revision, proposed])
  })
}

function formatNode (current: string | undefined, calls: readonly Call[], answer: RankNode['answer'], rest: object): string {
  const plainCalls = calls.map(call => [call.id === current ? 'present' : 'past', call.operation])
  return formatPlain([plainCalls, answer !== undefined && answer[0] === current ? answer[1] : undefined, rest])
}

function formatSent ({ from, to, message }: Sent): string {
  return formatOnce(message, () => `${from[0]}${from.startsWith('e') ? from[1] : ''}${to[0]}${to.startsWith('e') ? to[1] : ''}${JSON.stringify({ ...message, rank: 0 })}`) + (from.startsWith('r') && to.startsWith('r') ? from + to : '')
}

/** Numbers of calls and orders only tell present from past ones; a past call shows by its absence in the state. */
function formatPlain (value: object): string {
  return JSON.stringify(value).replace(/"(?:experts|map)\/g\/\d+"/g, '0').replace(/"map-\d+"/g, '0').replace(/"(?:calls|sequence)":\d+,?/g, '')
}

/** Keeps times relative to the present. Only ticks look at the times of next attempts, and each tick of the walk is one at which they have come. */
function shiftTimes<T> (value: T, time: Time | undefined): T {
  if (Array.isArray(value)) return value
  if (typeof value !== 'object' || value === null) return value
  const shifted: Record<string, unknown> = {}
  for (const [key, item] of Object.entries(value)) {
    if (typeof item === 'number' && key.startsWith('next')) shifted[key] = 0
    else if (typeof item === 'number' && key.endsWith('Ms')) shifted[key] = time === 'limit' ? -LIMIT_MS : item
    else shifted[key] = key === 'call' || key === 'pending' || key === 'proposal' ? shiftTimes(item, time) : item
  }
  return shifted as T
}
