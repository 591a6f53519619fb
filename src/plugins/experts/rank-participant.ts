import type { EndpointOrder } from '../../kernel/effects.js'
import type { EndpointReport, PlatformResult } from '../../kernel/events.js'
import type { Context } from '../../kernel/plugin.js'
import type { MapDecided, MapPrepare, MapQuery, Message } from '../../protocol/messages.js'
import { addOrders, isIdle, removeOutstanding, removeWaiting, sendNextOrder } from './order-queue.js'
import { buildAbort, formatMapKey, parseRecord } from './record.js'
import type { MapRecord, StoredRecord } from './record.js'
import { INITIAL_RANK, RANK_RULES, buildPrepareOrders, buildSyncOrders } from './rank-state.js'
import type { PendingMap, RankCall, RankPlace, RankRules, RankState } from './rank-state.js'

/** Least time between two queries of a rank that waits for an outcome, in ms. */
export const QUERY_INTERVAL_MS = 500
/** Time that a rank waits at the step of a change until it aborts the change itself, in ms. */
export const STALL_TIMEOUT_MS = 2_000
/** Time since a proposal after which the rank aborts the change even if it has not reached the step, in ms. */
export const PROMISE_TIMEOUT_MS = 60_000
/** Time after which the outcome of a platform call without an answer counts as unknown, in ms. */
export const CALL_TIMEOUT_MS = 5_000
/** Time after which an order without an answer counts as refused, in ms; longer than the edge waits for the answer. */
export const ORDER_TIMEOUT_MS = 35_000
/** Time between two attempts to bring an engine to the rank's state, in ms. */
export const SYNC_RETRY_MS = 500
/** Jitter of retried platform calls per rank of the group, in ms: all ranks of a group may start at once. */
export const RETRY_JITTER_PER_RANK_MS = 50

/** Part of the kernel's context that a rank uses. */
export type RankContext = Pick<Context, 'nowMs' | 'random' | 'emit'>

/** Content of a decision: the latest decided version and the map in force after it. */
type Decision = Pick<MapDecided, 'version' | 'mapVersion' | 'step' | 'fence'>

/**
 * One rank's side of the change protocol. It holds its engine before the step of
 * a promised map until the record in the platform has reached the map's version.
 */
export class RankParticipant {
  readonly #place: RankPlace
  readonly #rules: RankRules
  #state: RankState

  private constructor (place: RankPlace, rules: RankRules, state: RankState) {
    this.#place = place
    this.#rules = rules
    this.#state = state
  }

  /**
   * @param place - group, rank and count of ranks
   * @param rules - safeguards
   * @param state - state to continue from
   * @returns the rank's side of the protocol
   */
  static create (place: RankPlace, rules: RankRules = RANK_RULES, state: RankState = INITIAL_RANK): RankParticipant {
    return new RankParticipant(place, rules, state)
  }

  /** @returns the complete state */
  getState (): RankState {
    return this.#state
  }

  /**
   * Starts over after a pause of the process, because another process may have
   * replaced it. Queued orders are dropped, and an abort of the next version is
   * written before the engine gets another order.
   */
  handlePause (): void {
    const { pending: _pending, call: _call, ...rest } = this.#state
    this.#state = { ...rest, joined: false, synced: false, orderQueue: removeWaiting(rest.orderQueue, true), nextCallAtMs: 0 }
  }

  /**
   * Handles a proposal.
   *
   * @param from - id of the process that proposes
   * @param message - the proposal
   * @param context - time, random numbers and effects
   */
  handlePrepare (from: string, message: MapPrepare, context: RankContext): void {
    const known = this.#state.pending
    if (known?.version === message.version && known.fence === message.fence) {
      if (known.promised) this.#sendPrepared(from, message, true, context)
      return
    }
    if (!this.#isAcceptable(message)) {
      this.#sendPrepared(from, message, false, context)
      return
    }
    this.#applyDecision({ version: message.version - 1, mapVersion: message.base, step: message.baseStep, fence: message.fence }, context)
    const { joined, base, synced, orderQueue } = this.#state
    // The holder repeats the proposal; the rank accepts it once its engine is in sync.
    if (!joined || base?.version !== message.base || !synced || !isIdle(orderQueue)) return
    const { version, step, fence, layers } = message
    const pending: PendingMap = { version, step, fence, layers, holder: from, promised: false, sinceMs: context.nowMs }
    this.#update({ fence, pending, nextQueryAtMs: context.nowMs + QUERY_INTERVAL_MS })
    const orders = buildPrepareOrders(pending)
    this.#queueOrders(version, this.#rules.holdsBeforePromise ? orders : orders.slice(0, 1), context)
  }

  /**
   * Handles a decision sent by the holder or another rank.
   *
   * @param message - the decision
   * @param context - time, random numbers and effects
   */
  handleDecided (message: MapDecided, context: RankContext): void {
    if (this.#state.joined) this.#applyDecision(message, context)
  }

  /**
   * Answers another rank's query for an outcome.
   *
   * @param from - id of the process that asks
   * @param message - the query
   * @param context - time, random numbers and effects
   */
  handleQuery (from: string, message: MapQuery, context: RankContext): void {
    const { joined, decidedVersion, base, fence } = this.#state
    if (!joined || base === undefined || decidedVersion < message.version) return
    context.emit({
      kind: 'send',
      peer: from,
      message: {
        kind: 'map-decided',
        group: this.#place.group,
        version: decidedVersion,
        fence,
        decision: base.version === decidedVersion ? 'commit' : 'abort',
        mapVersion: base.version,
        step: base.step
      }
    })
  }

  /**
   * Handles the engine's answer to an order.
   *
   * @param orderId - id of the order
   * @param accepted - whether the engine carried it out
   * @param context - time, random numbers and effects
   */
  handleOrderAnswered (orderId: string, accepted: boolean, context: RankContext): void {
    if (this.#state.orderQueue.outstanding?.orderId !== orderId) return
    this.#update({ orderQueue: removeOutstanding(this.#state.orderQueue) })
    if (accepted) {
      this.#update({ orderQueue: sendNextOrder(this.#state.orderQueue, context) })
      if (isIdle(this.#state.orderQueue)) this.#handleOrdersDone(context)
      return
    }
    this.#update({ orderQueue: removeWaiting(this.#state.orderQueue, false) })
    const pending = this.#state.pending
    if (pending !== undefined && !pending.promised && this.#state.synced) {
      this.#removePending()
      this.#sendPrepared(pending.holder, pending, false, context)
    }
    this.#update({ synced: false, nextSyncAtMs: context.nowMs + SYNC_RETRY_MS })
  }

  /**
   * Handles a report of the engine.
   *
   * @param report - the report, possibly late
   * @param context - time, random numbers and effects
   */
  handleReport (report: EndpointReport, context: RankContext): void {
    const { startId, pending, joined } = this.#state
    const step = report.step ?? this.#state.step
    this.#update({ startId: report.startId, step, stepMs: report.stepMs ?? this.#state.stepMs })
    // Engines report the step that they run or the one that they run next.
    if (pending?.promised === true && pending.heldSinceMs === undefined && step >= pending.step - 1) {
      this.#update({ pending: { ...pending, heldSinceMs: context.nowMs } })
    }
    if (startId === undefined || startId === report.startId) return
    // The engine restarted: it has no map, and the outstanding order is lost.
    this.#update({ orderQueue: removeWaiting(this.#state.orderQueue, false), synced: false })
    if (pending?.promised === false) this.#removePending()
    if (joined) this.#startSync(context)
  }

  /**
   * Times out and repeats platform calls, orders and queries without an answer.
   *
   * @param peers - ids of other processes that may know an outcome
   * @param context - time, random numbers and effects
   */
  handleTick (peers: readonly string[], context: RankContext): void {
    const { call, joined, nextSyncAtMs, synced, orderQueue, pending } = this.#state
    if (call !== undefined && context.nowMs - call.sentAtMs >= CALL_TIMEOUT_MS) this.#removeCall()
    const outstanding = orderQueue.outstanding
    if (outstanding !== undefined && context.nowMs - outstanding.sentAtMs >= ORDER_TIMEOUT_MS) {
      this.handleOrderAnswered(outstanding.orderId, false, context)
    }
    if (!joined) {
      if (context.nowMs >= this.#state.nextCallAtMs) this.#read('join-read', context)
      return
    }
    if (!synced && isIdle(orderQueue) && context.nowMs >= nextSyncAtMs) this.#startSync(context)
    if (pending?.promised === true && context.nowMs >= this.#state.nextQueryAtMs) this.#queryOutcome(pending, peers, context)
  }

  /**
   * Handles the platform's answer to a call.
   *
   * @param callId - id of the call
   * @param result - the answer
   * @param context - time, random numbers and effects
   */
  handlePlatform (callId: string, result: PlatformResult, context: RankContext): void {
    const call = this.#state.call
    if (call?.id !== callId) return
    this.#removeCall()
    const backoff = context.random.pickInt(Math.max(QUERY_INTERVAL_MS, this.#place.ranks * RETRY_JITTER_PER_RANK_MS))
    this.#update({ nextCallAtMs: context.nowMs + backoff })
    if (result.kind === 'written' && call.writes !== undefined) {
      this.#handleRecord(call, { ...call.writes, revision: result.revision }, true, context)
    } else if (result.kind === 'found') {
      const record = parseRecord(result.value)
      if (record !== undefined) this.#handleRecord(call, { revision: result.revision, record }, false, context)
    }
  }

  #handleRecord (call: RankCall, stored: StoredRecord, written: boolean, context: RankContext): void {
    const { record } = stored
    switch (call.purpose) {
      case 'join-read':
        if (this.#rules.closesOnJoin) this.#write('join-write', stored, context)
        else this.#join(record, context)
        return
      case 'join-write':
        if (written) this.#join(record, context)
        return
      case 'ask-read':
      case 'abort-write': {
        const pending = this.#state.pending
        this.#applyDecision({ version: record.version, mapVersion: record.map.version, step: record.map.step, fence: record.fence }, context)
        if (pending !== undefined && record.version < pending.version && this.#isOverdue(pending, context)) {
          if (this.#rules.abortsByWrite) this.#write('abort-write', stored, context)
          else this.#applyDecision({ version: pending.version, mapVersion: record.map.version, step: record.map.step, fence: record.fence }, context)
        }
      }
    }
  }

  #join (record: MapRecord, context: RankContext): void {
    if (record.version < this.#state.decidedVersion) return
    const { map, previous } = record
    const { rank } = this.#place
    const { pending: _pending, previous: _previous, ...rest } = this.#state
    this.#state = {
      ...rest,
      joined: true,
      fence: Math.max(rest.fence, record.fence),
      decidedVersion: record.version,
      base: { version: map.version, step: map.step, layers: map.ranks[rank] ?? [] },
      ...(previous === undefined ? {} : { previous: { version: previous.version, step: previous.step, layers: previous.ranks[rank] ?? [] } }),
      synced: false
    }
    this.#update({ orderQueue: removeWaiting(this.#state.orderQueue, true) })
    this.#startSync(context)
  }

  #isAcceptable (message: MapPrepare): boolean {
    const { joined, fence, decidedVersion, pending, step, base } = this.#state
    if (!joined || message.fence < fence || step >= message.step) return false
    // The record stores only two maps, so the map before the one in force must be out of use.
    if (base === undefined || step < base.step) return false
    if (message.version <= decidedVersion && this.#rules.refusesOldProposals) return false
    if (pending === undefined || pending.version < message.version) return true
    return !this.#rules.keepsPromise && pending.version === message.version
  }

  /** Applies a decision; the record in the platform is at its version or a later one. */
  #applyDecision (decision: Decision, context: RankContext): void {
    const { decidedVersion, pending, base, fence } = this.#state
    if (decision.version <= decidedVersion && this.#rules.ignoresOldDecisions) return
    this.#update({ decidedVersion: decision.version, fence: Math.max(fence, decision.fence) })
    if (pending !== undefined && pending.version <= decision.version) {
      const committed = decision.mapVersion === pending.version
      this.#removePending()
      this.#update({ orderQueue: removeWaiting(this.#state.orderQueue, true) })
      if (committed) this.#update({ ...(base === undefined ? {} : { previous: base }), base: { version: pending.version, step: decision.step, layers: pending.layers } })
      const use: EndpointOrder = { kind: 'use-map', version: decision.mapVersion, step: decision.step }
      if (this.#state.synced) this.#queueOrders(decision.version, [...(committed ? [use] : []), { kind: 'release-hold' }], context)
      else this.#startSync(context)
      context.emit({ kind: 'log', event: 'map-decided', fields: { group: this.#place.group, version: pending.version, committed } })
    }
    // The map in force is unknown to this process, so it starts over from the record.
    if (this.#state.base?.version !== decision.mapVersion) this.handlePause()
  }

  #startSync (context: RankContext): void {
    const { pending, decidedVersion, orderQueue } = this.#state
    this.#update({ nextSyncAtMs: context.nowMs + SYNC_RETRY_MS })
    this.#queueOrders(Math.max(pending?.version ?? 0, decidedVersion, orderQueue.fence), buildSyncOrders(this.#state, this.#rules), context)
  }

  #queueOrders (fence: number, orders: readonly EndpointOrder[], context: RankContext): void {
    this.#update({ orderQueue: sendNextOrder(addOrders(this.#state.orderQueue, fence, orders), context) })
  }

  #handleOrdersDone (context: RankContext): void {
    const { pending, synced, joined } = this.#state
    if (!joined) return
    if (!synced) {
      this.#update({ synced: true })
      return
    }
    if (pending === undefined || pending.promised) return
    this.#update({ pending: { ...pending, promised: true } })
    this.#sendPrepared(pending.holder, pending, true, context)
  }

  #isOverdue (pending: PendingMap, context: RankContext): boolean {
    const heldMs = pending.heldSinceMs === undefined ? 0 : context.nowMs - pending.heldSinceMs
    return heldMs >= STALL_TIMEOUT_MS || context.nowMs - pending.sinceMs >= PROMISE_TIMEOUT_MS
  }

  #queryOutcome (pending: PendingMap, peers: readonly string[], context: RankContext): void {
    const { group, rank } = this.#place
    this.#update({ nextQueryAtMs: context.nowMs + QUERY_INTERVAL_MS + context.random.pickInt(QUERY_INTERVAL_MS) })
    for (const peer of new Set([pending.holder, ...peers])) {
      context.emit({ kind: 'send', peer, message: { kind: 'map-query', group, version: pending.version, rank } })
    }
    if (pending.heldSinceMs === undefined && !this.#isOverdue(pending, context)) return
    if (pending.heldSinceMs !== undefined) {
      const heldMs = context.nowMs - pending.heldSinceMs
      context.emit({ kind: 'log', event: 'map-stalled', fields: { group, rank, version: pending.version, step: pending.step, held_ms: heldMs } })
      context.emit({ kind: 'observe', metric: 'map_stall_ms', value: heldMs })
    }
    this.#read('ask-read', context)
  }

  #read (purpose: RankCall['purpose'], context: RankContext): void {
    if (this.#state.call !== undefined) return
    const id = this.#noteCall(purpose, context)
    context.emit({ kind: 'platform-call', callId: id, operation: { kind: 'read', key: formatMapKey(this.#place.group) } })
  }

  #write (purpose: RankCall['purpose'], stored: StoredRecord, context: RankContext): void {
    const record = buildAbort(stored.record, stored.record.fence)
    const id = this.#noteCall(purpose, context, { revision: stored.revision, record })
    const key = formatMapKey(this.#place.group)
    context.emit({ kind: 'platform-call', callId: id, operation: { kind: 'write', key, value: JSON.stringify(record), revision: stored.revision } })
  }

  #noteCall (purpose: RankCall['purpose'], context: RankContext, writes?: StoredRecord): string {
    const calls = this.#state.calls + 1
    const id = `experts/${this.#place.group}/${calls}`
    this.#update({ calls, call: { id, purpose, sentAtMs: context.nowMs, ...(writes === undefined ? {} : { writes }) } })
    return id
  }

  #sendPrepared (to: string, proposal: Pick<MapPrepare, 'version' | 'fence'>, accepted: boolean, context: RankContext): void {
    const { group, rank } = this.#place
    const { version, fence } = proposal
    const message: Message = { kind: 'map-prepared', group, version, fence, rank, accepted, step: this.#state.step }
    context.emit({ kind: 'send', peer: to, message })
  }

  #removePending (): void {
    const { pending: _pending, ...rest } = this.#state
    this.#state = rest
  }

  #removeCall (): void {
    const { call: _call, ...rest } = this.#state
    this.#state = rest
  }

  #update (change: Partial<RankState>): void {
    this.#state = { ...this.#state, ...change }
  }
}
