/**
 * Model checker for the change protocol: runs the code of ranks and holders through
 * every interleaving of messages, platform calls, orders, steps and timers at small
 * sizes, with bounded numbers of losses, restarts and take-overs.
 *
 * Two kinds of event complete immediately: loading or using a map, and reading the
 * record. What may happen between their start and their end is covered by the hold,
 * the release or the write next to them. Each state is visited once; ranks are
 * interchangeable, so states that differ only in the numbering of ranks are the same.
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
import { INITIAL_ENGINE, applyOrder, buildRestartedEngine, findUsedVersion } from './engine.js'
import type { EngineState } from './engine.js'

/** Maximum number of faults and optional events of each kind on one path of a walk. */
export interface Budget {
  readonly takeOvers?: number
  readonly losses?: number
  readonly duplicates?: number
  readonly lostAnswers?: number
  readonly processRestarts?: number
  readonly engineRestarts?: number
  /** Changes proposed by all holders together. */
  readonly proposals?: number
  /** Ticks at which every timeout of a rank or holder has expired. */
  readonly limits?: number
  /** Repeated proposals of a holder and repeated queries of a rank that has promised. */
  readonly repeats?: number
}

/** Sizes, faults and safeguards of a walk. */
export interface WalkOptions {
  readonly ranks: number
  readonly checksFencing: boolean
  readonly budget: Budget
  readonly rankRules?: Partial<RankRules>
  readonly changeRules?: Partial<ChangeRules>
  /** If false, the platform ignores the revision of a write. */
  readonly conditionalWrites?: boolean
  /** Whether the order that a replaced process had sent may reach the engine at any later time. */
  readonly strayOrders?: boolean
  /** Whether ranks query each other; states that differ in the numbering of ranks are then distinct. */
  readonly ranksQueryEachOther?: boolean
  /** Maximum number of states, after which the walk ends unfinished. */
  readonly statesMax: number
}

/** Result of a walk. */
export interface WalkResult {
  readonly states: number
  readonly transitions: number
  readonly finished: boolean
  readonly commits: number
  /** Names of the actions that lead to a step executed with two maps; undefined if no such path was found. */
  readonly violation?: readonly string[]
}

interface PendingCall { readonly id: string, readonly operation: PlatformOperation }
interface SentMessage { readonly from: string, readonly to: string, readonly message: Message }

interface State {
  readonly ranks: readonly { readonly rank: RankState, readonly engine: EngineState, readonly stray?: FencedOrder | undefined, readonly calls: readonly PendingCall[], readonly answer?: readonly [string, PlatformResult] }[]
  readonly holders: readonly { readonly change: ChangeState, readonly calls: readonly PendingCall[], readonly answer?: readonly [string, PlatformResult] }[]
  readonly record: MapRecord
  readonly revision: number
  readonly fence: number
  readonly messages: readonly SentMessage[]
  /** Map version with which each step was executed; -1 if ranks used different ones. */
  readonly executed: readonly number[]
  readonly remainingBudget: Required<Budget>
}

type Action = readonly [name: string, next: State]

const NO_BUDGET: Required<Budget> = {
  takeOvers: 0, losses: 0, duplicates: 0, lostAnswers: 0, processRestarts: 0, engineRestarts: 0, proposals: 0, limits: 0, repeats: 0
}
/** Longer than every timeout of the protocol, in ms. */
const ELAPSED_LIMIT_MS = 100_000
/** Step at which engines stop: they start at `PROPOSED_STEP` and execute only that step. */
const END_STEP = 2
/** Kinds of order that the engine answers immediately. */
const IMMEDIATE_ORDERS: ReadonlySet<string> = new Set(['load-map', 'use-map'])
/** First step of each proposed map. */
const PROPOSED_STEP = 1

/**
 * @param options - sizes, budget and safeguards
 * @returns number of states and transitions, and the first violation found
 */
export function runWalk (options: WalkOptions): WalkResult {
  const walk = Walk.create(options)
  const initialState = walk.buildInitialState()
  const seen = new Set<string>([walk.formatKey(initialState)])
  const stack: { state: State, path: Path | undefined }[] = [{ state: initialState, path: undefined }]
  let transitions = 0
  let commits = 0
  for (let item = stack.pop(); item !== undefined; item = stack.pop()) {
    if (item.state.record.decision === 'commit' && item.state.record.version > 1) commits += 1
    for (const [name, next] of walk.listActions(item.state)) {
      transitions += 1
      const path = { name, previous: item.path }
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

interface Path { readonly name: string, readonly previous: Path | undefined }

function listPath (path: Path): readonly string[] {
  const names: string[] = []
  for (let at: Path | undefined = path; at !== undefined; at = at.previous) names.unshift(at.name)
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

  /** Builds the initial state: all ranks have joined and use map 1; the first holder has the lease. */
  buildInitialState (): State {
    const record: MapRecord = { version: 1, decision: 'commit', fence: 1, map: { version: 1, step: 0, fence: 1, ranks: [] } }
    const rank: RankState = { ...INITIAL_RANK, joined: true, fence: 1, decidedVersion: 1, base: { version: 1, step: 0, layers: [] }, synced: true, startId: '1', orderQueue: { ...EMPTY_ORDER_QUEUE, fence: 1 } }
    const engine: EngineState = { ...INITIAL_ENGINE, step: PROPOSED_STEP, loaded: [1], uses: [[1, 0]], fence: 1 }
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
      remainingBudget: { ...NO_BUDGET, proposals: 1, ...this.#options.budget }
    }
  }

  * listActions (state: State): Generator<Action> {
    yield * this.#listDeliveries(state)
    for (let rank = 0; rank < state.ranks.length; rank += 1) yield * this.#listRankActions(state, rank)
    for (let holder = 0; holder < state.holders.length; holder += 1) yield * this.#listHolderActions(state, holder)
  }

  /** Lists the delivery, loss and duplication of each message. Messages are kept as a set, so that repeats of an undelivered message add no state. */
  * #listDeliveries (state: State): Generator<Action> {
    for (const sent of state.messages) {
      const without = { ...state, messages: state.messages.filter(other => other !== sent) }
      const name = `${sent.from} to ${sent.to}: ${sent.message.kind} ${'version' in sent.message ? sent.message.version : ''}`
      yield [name, this.#deliver(without, sent)]
      if (state.remainingBudget.losses > 0) yield [`lose ${name}`, spend(without, 'losses')]
      if (state.remainingBudget.duplicates > 0) yield [`double ${name}`, this.#deliver(spend(state, 'duplicates'), sent)]
    }
  }

  #deliver (state: State, { from, to, message }: SentMessage): State {
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
    const isReportDue = rank.startId !== String(engine.startId) || (rank.pending?.promised === true && rank.step !== engine.step)
    if (isReportDue) yield [`${name} reports`, this.#runRank(state, index, (machine, context) => { machine.handleReport({ healthy: true, startId: String(engine.startId), warmth: 1, step: engine.step }, context) })]
    yield * this.#listCallActions(state, 'ranks', index, calls, answer)
    if (!rank.joined || rank.pending !== undefined || !rank.synced) yield * this.#listRankTicks(state, index)
    if (state.remainingBudget.engineRestarts > 0) yield [`${name} engine restarts`, spend(this.#updateRank(state, index, { engine: buildRestartedEngine(engine) }), 'engineRestarts')]
    if (state.remainingBudget.processRestarts > 0) {
      const replacement: RankState = { ...INITIAL_RANK, calls: rank.calls + 1, orderQueue: { ...EMPTY_ORDER_QUEUE, sequence: rank.orderQueue.sequence + 1 } }
      const stray = this.#options.strayOrders === true ? outstanding : undefined
      yield [`${name} replaced`, spend(this.#updateRank(state, index, { rank: replacement, stray, answer: undefined }), 'processRestarts')]
      if (outstanding !== undefined) {
        const [next] = applyOrder(engine, outstanding.order, outstanding.fence, this.#options.checksFencing)
        yield [`${name} replaced after ${outstanding.order.kind}`, spend(this.#updateRank(state, index, { rank: replacement, engine: next, answer: undefined }), 'processRestarts')]
      }
    }
  }

  #answerOrder (state: State, index: number, { order, orderId, fence }: NonNullable<RankState['orderQueue']['outstanding']>): State {
    const [next, accepted] = applyOrder(state.ranks[index]!.engine, order, fence, this.#options.checksFencing)
    return this.#runRank(this.#updateRank(state, index, { engine: next }), index, (machine, context) => { machine.handleOrderAnswered(orderId, accepted, context) })
  }

  * #listRankTicks (state: State, index: number): Generator<Action> {
    const peers = this.#options.ranksQueryEachOther === true ? this.#peers.filter((_, other) => other !== index) : []
    const { pending, joined, synced, call } = state.ranks[index]!.rank
    const isTickNeeded = !joined ? call === undefined : !synced && isIdle(state.ranks[index]!.rank.orderQueue)
    if (isTickNeeded || (pending?.promised === true && state.remainingBudget.repeats > 0)) {
      const next = isTickNeeded ? state : spend(state, 'repeats')
      yield [`r${index} tick`, this.#runRank(next, index, (machine, context) => { machine.handleTick(peers, context) })]
    }
    if (state.remainingBudget.limits > 0 && pending !== undefined && pending.sinceMs > -ELAPSED_LIMIT_MS) {
      yield [`r${index} limit`, this.#runRank(spend(state, 'limits'), index, (machine, context) => { machine.handleTick(peers, context) }, 'limit')]
    }
  }

  * #listHolderActions (state: State, index: number): Generator<Action> {
    const { change, calls, answer } = state.holders[index]!
    const name = `e${index}`
    yield * this.#listCallActions(state, 'holders', index, calls, answer)
    if (change.fence > 0 && (!change.closed || change.wanted !== undefined || change.proposal !== undefined)) {
      const isTickNeeded = change.call === undefined && (!change.closed || change.wanted !== undefined || change.proposal?.intent !== undefined)
      if (isTickNeeded || state.remainingBudget.repeats > 0) {
        yield [`${name} tick`, this.#runHolder(isTickNeeded ? state : spend(state, 'repeats'), index, (machine, context) => { machine.handleTick(context) })]
      }
      if (state.remainingBudget.limits > 0 && change.proposal !== undefined) yield [`${name} limit`, this.#runHolder(spend(state, 'limits'), index, (machine, context) => { machine.handleTick(context) }, 'limit')]
    }
    if (index === 1 && state.remainingBudget.takeOvers > 0) {
      const fence = state.fence + 1
      yield [`${name} takes over`, this.#runHolder(spend({ ...state, fence }, 'takeOvers'), index, machine => { machine.updateLease(fence) })]
    }
    if (state.remainingBudget.proposals > 0 && ChangeCoordinator.create('g', this.#peers, this.#changeRules, change).isReady()) {
      yield [`${name} wants a map`, this.#runHolder(spend(state, 'proposals'), index, machine => { machine.propose({ ranks: [], step: PROPOSED_STEP }) })]
    }
  }

  /** Lists the progress of platform calls: a call is carried out and then answered. The loss of its answer may be noticed before the call is carried out. */
  * #listCallActions (state: State, kind: 'ranks' | 'holders', index: number, calls: readonly PendingCall[], answer: readonly [string, PlatformResult] | undefined): Generator<Action> {
    const name = `${kind} ${index}`
    for (const call of calls) {
      const [next, result] = this.#runPlatformCall(state, call.operation)
      const rest = calls.filter(other => other !== call)
      const isCurrent = this.#findCallId(state, kind, index) === call.id
      if (call.operation.kind === 'read') {
        const answered = this.#updateNode(next, kind, index, { calls: rest })
        yield [`${name} reads`, isCurrent ? this.#deliverPlatformResult(answered, kind, index, call.id, result) : answered]
        continue
      }
      yield [`${name} ${call.operation.kind} ${result.kind}`, this.#updateNode(next, kind, index, { calls: rest, ...(isCurrent ? { answer: [call.id, result] } : {}) })]
      if (isCurrent && state.remainingBudget.lostAnswers > 0) yield [`${name} answer lost`, this.#deliverPlatformResult(spend(state, 'lostAnswers'), kind, index, call.id, { kind: 'unknown' })]
    }
    if (answer !== undefined) yield [`${name} answer`, this.#deliverPlatformResult(this.#updateNode(state, kind, index, { answer: undefined }), kind, index, answer[0], answer[1])]
  }

  #findCallId (state: State, kind: 'ranks' | 'holders', index: number): string | undefined {
    return kind === 'ranks' ? state.ranks[index]!.rank.call?.id : state.holders[index]!.change.call?.id
  }

  #deliverPlatformResult (state: State, kind: 'ranks' | 'holders', index: number, id: string, result: PlatformResult): State {
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
    if (version === undefined || engine.step >= END_STEP || state.ranks.some(other => other.engine.step < engine.step)) return undefined
    const executed = [...state.executed]
    const other = executed[engine.step]
    executed[engine.step] = other === undefined || other === version ? version : -1
    return { ...this.#updateRank(state, index, { engine: { ...engine, step: engine.step + 1 } }), executed }
  }

  #runRank (state: State, index: number, run: (rank: RankParticipant, context: RunContext) => void, time?: TimeShift): State {
    const node = state.ranks[index]!
    const machine = RankParticipant.create({ group: 'g', rank: index, ranks: this.#options.ranks }, this.#rankRules, shiftTimes(node.rank, time))
    const effects: Effect[] = []
    run(machine, { nowMs: 0, random: this.#random, emit: effect => { effects.push(effect) } })
    const ran = this.#applyEffects(this.#updateRank(state, index, { rank: shiftTimes(machine.getState(), undefined) }), 'ranks', index, effects)
    const outstanding = machine.getState().orderQueue.outstanding
    return outstanding !== undefined && IMMEDIATE_ORDERS.has(outstanding.order.kind) ? this.#answerOrder(ran, index, outstanding) : ran
  }

  #runHolder (state: State, index: number, run: (change: ChangeCoordinator, context: RunContext) => void, time?: TimeShift): State {
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

  /** Formats a state so that equivalent states have the same text: sequence numbers of calls and orders are left out, and the data of each rank is sorted by content. */
  formatKey (state: State): string {
    const { ranks, holders, messages, record, revision, fence, executed, remainingBudget } = state
    const rest = JSON.stringify([record.version, record.fence, record.map.version, record.map.fence, revision, fence, executed, Object.values(remainingBudget)])
    if (this.#options.ranksQueryEachOther === true) {
      return `${ranks.map(formatRankNode).join('|')}#${holders.map(formatHolderNode).join('|')}#${messages.map(formatSent).sort().join()}#${rest}`
    }
    const messagesByRank: string[][] = ranks.map(() => [])
    for (const sent of messages) messagesByRank[Number((sent.to.startsWith('r') ? sent.to : sent.from).slice(1))]!.push(formatSent(sent))
    const rankKeys = ranks.map((node, index) => {
      const prepared = holders.map(holder => holder.change.proposal?.prepared[index] === true ? 1 : 0).join('')
      return `${formatRankNode(node)}${messagesByRank[index]!.sort().join()}${prepared}`
    }).sort()
    return `${rankKeys.join('|')}#${holders.map(formatHolderNode).join('|')}#${rest}`
  }
}

interface RunContext { readonly nowMs: number, readonly random: Random, readonly emit: (effect: Effect) => void }
type TimeShift = 'limit'

function spend (state: State, kind: keyof Budget): State {
  return { ...state, remainingBudget: { ...state.remainingBudget, [kind]: state.remainingBudget[kind] - 1 } }
}

type RankNode = State['ranks'][number]
type HolderNode = State['holders'][number]

/** Cache of formatted objects, which are immutable; a state shares most of its objects with the state before it. */
const formattedTexts = new WeakMap<object, string>()

function formatCached<T extends object> (value: T, format: (value: T) => string): string {
  const cached = formattedTexts.get(value)
  if (cached !== undefined) return cached
  const text = format(value)
  formattedTexts.set(value, text)
  return text
}

function formatRankNode (node: RankNode): string {
  return formatCached(node, () => formatNode(node.rank.call?.id, node.calls, node.answer, { rank: node.rank, engine: node.engine, stray: node.stray }))
}

function formatHolderNode (node: HolderNode): string {
  return formatCached(node, () => {
    const { stored, proposal, ...change } = node.change
    const proposed = proposal === undefined ? undefined : { ...proposal, prepared: undefined }
    return formatNode(node.change.call?.id, node.calls, node.answer, [change, stored?.revision, proposed])
  })
}

function formatNode (isCurrent: string | undefined, calls: readonly PendingCall[], answer: RankNode['answer'], rest: object): string {
  const plainCalls = calls.map(call => [call.id === isCurrent ? 'present' : 'past', call.operation])
  return formatWithoutNumbers([plainCalls, answer !== undefined && answer[0] === isCurrent ? answer[1] : undefined, rest])
}

function formatSent ({ from, to, message }: SentMessage): string {
  return formatCached(message, () => `${from[0]}${from.startsWith('e') ? from[1] : ''}${to[0]}${to.startsWith('e') ? to[1] : ''}${JSON.stringify({ ...message, rank: 0 })}`) + (from.startsWith('r') && to.startsWith('r') ? from + to : '')
}

/** Formats a value without the sequence numbers of calls and orders. They only distinguish current from past ones, and `formatNode` marks past calls. */
function formatWithoutNumbers (value: object): string {
  return JSON.stringify(value).replace(/"(?:experts|map)\/g\/\d+"/g, '0').replace(/"map-\d+"/g, '0').replace(/"(?:calls|sequence)":\d+,?/g, '')
}

/**
 * Keeps the times in a state relative to the current time, which is always 0. Times
 * of next attempts are set to 0, because only ticks read them and every tick of the
 * walk is one at which they are due. With `limit`, all other times are set so far
 * back that every timeout has expired.
 */
function shiftTimes<T> (value: T, time: TimeShift | undefined): T {
  if (Array.isArray(value)) return value
  if (typeof value !== 'object' || value === null) return value
  const shifted: Record<string, unknown> = {}
  for (const [key, item] of Object.entries(value)) {
    if (typeof item === 'number' && key.startsWith('next')) shifted[key] = 0
    else if (typeof item === 'number' && key.endsWith('Ms')) shifted[key] = time === 'limit' ? -ELAPSED_LIMIT_MS : item
    else shifted[key] = key === 'call' || key === 'pending' || key === 'proposal' ? shiftTimes(item, time) : item
  }
  return shifted as T
}
