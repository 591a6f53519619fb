import type { EndpointOrder } from '../../kernel/effects.js'
import type { OrderQueue } from './order-queue.js'
import { EMPTY_ORDER_QUEUE } from './order-queue.js'
import type { StoredRecord } from './record.js'

/** Experts of one rank by layer. */
export type RankLayers = readonly (readonly number[])[]

/** One rank's part of a map. */
export interface RankMap {
  readonly version: number
  readonly step: number
  readonly layers: RankLayers
}

/** A proposed map that the rank is preparing or has promised to wait for. */
export interface PendingMap extends RankMap {
  readonly fence: number
  /** Id of the process that proposed it. */
  readonly holder: string
  /** The rank has answered that it is prepared, and thereby promised to stay before `step` until the outcome is known. */
  readonly promised: boolean
  readonly sinceMs: number
  /** Time at which the rank was first seen waiting before `step`. */
  readonly heldSinceMs?: number
}

/** Position of one rank in its group. */
export interface RankPlace {
  readonly group: string
  readonly rank: number
  readonly ranks: number
}

/** Pending platform call of a rank; at most one at a time. */
export interface RankCall {
  readonly id: string
  readonly purpose: 'join-read' | 'join-write' | 'ask-read' | 'abort-write'
  readonly sentAtMs: number
  /** Record that the call writes; undefined for a read. */
  readonly writes?: StoredRecord
}

/** Complete state of a rank; plain data, so that a test can copy and hash it. */
export interface RankState {
  readonly joined: boolean
  /** Highest fencing number seen from a holder. */
  readonly fence: number
  /** Latest version whose decision is known. */
  readonly decidedVersion: number
  /** Map in force, and the map that was in force before and is used until the first step of `base`. */
  readonly base?: RankMap
  readonly previous?: RankMap
  readonly pending?: PendingMap
  /** The engine has carried out every order that this state requires. */
  readonly synced: boolean
  readonly orderQueue: OrderQueue
  readonly call?: RankCall
  readonly calls: number
  readonly nextCallAtMs: number
  readonly nextQueryAtMs: number
  readonly nextSyncAtMs: number
  readonly startId?: string
  readonly step: number
  readonly stepMs: number
}

/** State of a rank whose process has just started. */
export const INITIAL_RANK: RankState = {
  joined: false,
  fence: 0,
  decidedVersion: 0,
  synced: false,
  orderQueue: EMPTY_ORDER_QUEUE,
  calls: 0,
  nextCallAtMs: 0,
  nextQueryAtMs: 0,
  nextSyncAtMs: 0,
  step: 0,
  stepMs: 0
}

/** Safeguards of a rank. Tests switch off single ones to show that a missing safeguard is detected. */
export interface RankRules {
  /** A new process closes the next version before it sends an order: it writes an abort, after which no earlier proposal can be committed. */
  readonly closesOnJoin: boolean
  /** The engine is held before the step when the rank promises. */
  readonly holdsBeforePromise: boolean
  /** A rank that has promised a version refuses every other proposal of that version. */
  readonly keepsPromise: boolean
  /** Decisions of the latest known version or an earlier one are ignored. */
  readonly ignoresOldDecisions: boolean
  /** Proposals of a version already decided are refused. */
  readonly refusesOldProposals: boolean
  /** A restarted engine is held again before it may use a map. */
  readonly holdsRestartedEngine: boolean
  /** A rank that has waited too long releases its engine only after it has written an abort. */
  readonly abortsByWrite: boolean
}

/** All safeguards in force. */
export const RANK_RULES: RankRules = {
  closesOnJoin: true,
  holdsBeforePromise: true,
  keepsPromise: true,
  ignoresOldDecisions: true,
  refusesOldProposals: true,
  holdsRestartedEngine: true,
  abortsByWrite: true
}

/**
 * Lists the orders that bring an engine from any state to the rank's state. Maps in
 * force are loaded first and activated last: an engine that restarts in between has
 * not loaded them and refuses to use them, so it never steps without the hold. The
 * later map is activated before the earlier one, so that the engine cannot step past
 * the change with the earlier one.
 *
 * @param state - state of the rank
 * @param rules - safeguards
 * @returns orders in sequence
 */
export function buildSyncOrders (state: RankState, rules: RankRules): readonly EndpointOrder[] {
  const { base, previous, pending, step } = state
  if (base === undefined) return []
  const maps = previous !== undefined && step < base.step ? [base, previous] : [base]
  const loads = maps.map((map): EndpointOrder => ({ kind: 'load-map', version: map.version, layers: map.layers }))
  const uses = maps.map((map): EndpointOrder => ({ kind: 'use-map', version: map.version, step: map.step }))
  if (pending === undefined) return [...loads, ...uses, { kind: 'release-hold' }]
  const prepare = buildPrepareOrders(pending)
  return [...loads, ...(rules.holdsRestartedEngine ? prepare : prepare.slice(0, 1)), ...uses]
}

/**
 * Lists the orders that prepare a map. The hold comes last: weights may take long
 * to load, and the rank keeps stepping while they do.
 *
 * @param pending - the map to prepare
 * @returns orders in sequence
 */
export function buildPrepareOrders (pending: RankMap): readonly EndpointOrder[] {
  return [
    { kind: 'load-map', version: pending.version, layers: pending.layers },
    { kind: 'hold-at-step', step: pending.step }
  ]
}
