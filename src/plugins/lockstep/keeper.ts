/**
 * Changes the expert map of one group so that no pass ever begins with two
 * maps. Decides from what the ranks report, never from what was sent: an order
 * without an answer may be carried out seconds later, and another keeper may be
 * at work on the same group.
 *
 * A change is prepared on every rank, then one rank holds a coming step, every
 * rank is armed for that step, and the hold is released once all of them report
 * it. A change that fails is undone while the step is held: armed ranks are
 * disarmed, and ranks that might still be armed by a late order prepare another
 * version, which makes that order void. A keeper that finds a hold of another
 * one adds its own on another rank before it undoes anything, so that a release
 * by the other keeper does not let the step begin.
 */

import type { AddressedOrder, GroupMap, RankOrder, RankState } from './rank.js'

/** Steps between the last one begun and the held one; orders reach every rank meanwhile. */
const LEAD_STEPS = 3

/** Time in ms after which an order without effect is sent again. */
const RESEND_MS = 45

/** Time in ms after which a preparation is sent again; copying takes that long. */
const PREPARE_RESEND_MS = 400

/** Longest time in ms for all ranks to prepare. */
const PREPARE_MAX_MS = 4_000

/** Longest time in ms from the hold to all ranks being armed. */
const ARM_MAX_MS = 900

/** Time in ms for which a hold of another keeper is left to it. */
const FOREIGN_HOLD_MS = 600

/** Phase of the work on a group. */
export type KeeperPhase =
  | { readonly kind: 'idle' }
  | { readonly kind: 'preparing', readonly version: number, readonly map: GroupMap, readonly sinceMs: number }
  | { readonly kind: 'holding', readonly version: number, readonly map: GroupMap, readonly step: number, readonly holder: number, readonly sinceMs: number }
  | { readonly kind: 'releasing', readonly version: number, readonly map: GroupMap, readonly step: number, readonly holder: number, readonly sinceMs: number }
  | { readonly kind: 'undoing', readonly step: number, readonly version: number, readonly sinceMs: number }

/** What a keeper wants done, and what it has just found. */
export interface KeeperDecision {
  readonly orders: readonly AddressedOrder[]
  /** Set when a change has ended. */
  readonly ended?: 'committed' | 'aborted'
}

/** Changes of one group's map. */
export class MapKeeper {
  #phase: KeeperPhase = { kind: 'idle' }
  #epoch = 0
  /** Highest version that any rank may have seen. */
  #versionSeen = 0
  /** Highest step that was ever held; a step is used once, so that late orders meet no later change. */
  #stepUsed = 0
  #foreignSinceMs: number | undefined
  #map: GroupMap | undefined
  readonly #sentAtMs = new Map<string, number>()

  private constructor () {}

  /** @returns a keeper that has not seen the group */
  static create (): MapKeeper {
    return new MapKeeper()
  }

  get phase (): KeeperPhase {
    return this.#phase
  }

  /** Map that the last change of this keeper brought into use; undefined when it made none in this epoch. */
  get map (): GroupMap | undefined {
    return this.#map
  }

  /** Sets the map in use, as the ranks list it. */
  noteMap (map: GroupMap): void {
    this.#map = map
  }

  /** Notes a version that a rank refused because it had a higher one. */
  noteRefusedVersion (version: number): void {
    this.#versionSeen = Math.max(this.#versionSeen, version + 8)
  }

  /**
   * Begins a change.
   *
   * @param map - experts by layer and rank
   * @param nowMs - monotonic time in ms
   * @returns the version; undefined when the keeper is at work
   */
  propose (map: GroupMap, nowMs: number): number | undefined {
    if (this.#phase.kind !== 'idle' || this.#foreignSinceMs !== undefined) return undefined
    const version = this.#takeVersion()
    this.#phase = { kind: 'preparing', version, map, sinceMs: nowMs }
    return version
  }

  /**
   * Decides what follows from the state of all ranks.
   *
   * @param ranks - state of every rank of the group, of one moment as far as possible
   * @param nowMs - monotonic time in ms
   */
  decide (ranks: readonly RankState[], nowMs: number): KeeperDecision {
    this.#noteRanks(ranks)
    const phase = this.#phase
    switch (phase.kind) {
      case 'idle': return this.#findForeign(ranks, nowMs)
      case 'preparing': return this.#prepare(phase, ranks, nowMs)
      case 'holding': return this.#arm(phase, ranks, nowMs)
      case 'releasing': return this.#release(phase, ranks, nowMs)
      case 'undoing': return this.#undo(phase, ranks, nowMs)
    }
  }

  #noteRanks (ranks: readonly RankState[]): void {
    const epoch = Math.max(...ranks.map(rank => rank.epoch))
    if (epoch !== this.#epoch) {
      this.#epoch = epoch
      this.#phase = { kind: 'idle' }
      this.#map = undefined
      this.#stepUsed = 0
      this.#foreignSinceMs = undefined
      this.#sentAtMs.clear()
    }
    for (const { map, prepared, armed, step, held } of ranks) {
      this.#versionSeen = Math.max(this.#versionSeen, map, prepared ?? 0, armed?.version ?? 0)
      this.#stepUsed = Math.max(this.#stepUsed, held ?? 0, armed?.step ?? 0)
      if (step > this.#stepUsed) this.#stepUsed = step
    }
  }

  /** A hold or an armed rank that this keeper knows nothing of is undone after a while. */
  #findForeign (ranks: readonly RankState[], nowMs: number): KeeperDecision {
    const left = ranks.find(({ held, armed }) => held !== undefined || armed !== undefined)
    if (left === undefined) {
      this.#foreignSinceMs = undefined
      return { orders: [] }
    }
    this.#foreignSinceMs ??= nowMs
    if (nowMs - this.#foreignSinceMs >= FOREIGN_HOLD_MS) this.#startUndo(left.held ?? left.armed?.step ?? 0, nowMs)
    return { orders: [] }
  }

  #prepare (phase: Extract<KeeperPhase, { kind: 'preparing' }>, ranks: readonly RankState[], nowMs: number): KeeperDecision {
    const { version, map } = phase
    if (ranks.some(({ held, armed }) => held !== undefined || armed !== undefined) || nowMs - phase.sinceMs > PREPARE_MAX_MS) return this.#end('aborted')
    const missing = ranks.filter(({ prepared }) => prepared !== version)
    if (missing.length > 0) return { orders: this.#address(missing, () => ({ kind: 'prepare', version, map }), PREPARE_RESEND_MS, nowMs) }
    const step = Math.max(this.#stepUsed, ...ranks.map(rank => rank.step)) + LEAD_STEPS
    const holder = step % ranks.length
    this.#stepUsed = step
    this.#phase = { kind: 'holding', version, map, step, holder, sinceMs: nowMs }
    return this.#arm(this.#phase, ranks, nowMs)
  }

  #arm (phase: Extract<KeeperPhase, { kind: 'holding' }>, ranks: readonly RankState[], nowMs: number): KeeperDecision {
    const { version, step, holder } = phase
    const isHeld = ranks.some(({ rank, held }) => rank === holder && held === step)
    const isForeign = ranks.some(({ rank, held }) => held !== undefined && !(rank === holder && held === step))
    const isLost = ranks.some(({ prepared, map }) => prepared !== version && map !== version)
    if (isForeign || isLost || nowMs - phase.sinceMs > ARM_MAX_MS) {
      this.#startUndo(step, nowMs)
      return { orders: [] }
    }
    if (!isHeld) return { orders: this.#address(ranks.filter(({ rank }) => rank === holder), () => ({ kind: 'hold', step }), RESEND_MS, nowMs) }
    const open = ranks.filter(({ armed }) => armed?.version !== version || armed.step !== step)
    if (open.length > 0) return { orders: this.#address(open, () => ({ kind: 'arm', version, step }), RESEND_MS, nowMs) }
    this.#phase = { ...phase, kind: 'releasing', sinceMs: nowMs }
    return this.#release(this.#phase, ranks, nowMs)
  }

  #release (phase: Extract<KeeperPhase, { kind: 'releasing' }>, ranks: readonly RankState[], nowMs: number): KeeperDecision {
    const { version, map, step, holder } = phase
    const holding = ranks.filter(({ rank, held }) => rank === holder && held === step)
    if (holding.length > 0) return { orders: this.#address(holding, () => ({ kind: 'release', step }), RESEND_MS, nowMs) }
    if (ranks.every(rank => rank.map === version)) {
      this.#map = map
      return this.#end('committed')
    }
    // A rank that lost the version can only have been undone by another keeper, which holds the step.
    if (ranks.some(rank => rank.map !== version && rank.armed === undefined)) this.#startUndo(step, nowMs)
    return { orders: [] }
  }

  #undo (phase: Extract<KeeperPhase, { kind: 'undoing' }>, ranks: readonly RankState[], nowMs: number): KeeperDecision {
    const { version } = phase
    const armed = ranks.filter(rank => rank.armed !== undefined)
    const held = ranks.filter(rank => rank.held !== undefined)
    const guard = this.#findGuard(phase, ranks)
    if (armed.length > 0 && guard !== undefined) return { orders: this.#address([guard], () => ({ kind: 'hold', step: phase.step }), RESEND_MS, nowMs) }
    const orders: AddressedOrder[] = this.#address(armed, rank => ({ kind: 'disarm', version: rank.armed?.version ?? 0 }), RESEND_MS, nowMs)
    const current = this.#map
    // Without the map in use no other version can be prepared; ranks that are not armed then keep what they have.
    const open = current === undefined ? [] : ranks.filter(rank => rank.armed === undefined && rank.prepared !== undefined && rank.prepared !== version)
    orders.push(...this.#address(open, () => ({ kind: 'prepare', version, map: current as GroupMap }), RESEND_MS, nowMs))
    if (armed.length > 0 || open.length > 0) return { orders }
    if (held.length > 0) return { orders: this.#address(held, rank => ({ kind: 'release', step: rank.held ?? 0 }), RESEND_MS, nowMs) }
    return this.#end('aborted')
  }

  /** Rank on which this keeper must hold the step before it undoes what another keeper armed. */
  #findGuard ({ step }: Extract<KeeperPhase, { kind: 'undoing' }>, ranks: readonly RankState[]): RankState | undefined {
    const guard = ranks.find(({ held }) => held === undefined)
    const isGuarded = ranks.filter(({ held }) => held === step).length >= 2
    const hasBegun = ranks.some(rank => rank.step >= step)
    return isGuarded || hasBegun ? undefined : guard
  }

  #startUndo (step: number, nowMs: number): void {
    this.#phase = { kind: 'undoing', step, version: this.#takeVersion(), sinceMs: nowMs }
  }

  #end (ended: 'committed' | 'aborted'): KeeperDecision {
    this.#phase = { kind: 'idle' }
    this.#foreignSinceMs = undefined
    this.#sentAtMs.clear()
    return { orders: [], ended }
  }

  #takeVersion (): number {
    this.#versionSeen += 1
    return this.#versionSeen
  }

  /** Addresses an order to ranks that have not been sent the same one a moment ago. */
  #address (ranks: readonly RankState[], build: (rank: RankState) => RankOrder, resendMs: number, nowMs: number): AddressedOrder[] {
    return ranks.flatMap(state => {
      const order = build(state)
      const key = `${state.rank} ${order.kind} ${'version' in order ? order.version : order.step}`
      if (nowMs - (this.#sentAtMs.get(key) ?? -Infinity) < resendMs) return []
      this.#sentAtMs.set(key, nowMs)
      return [{ rank: state.rank, epoch: this.#epoch, order }]
    })
  }
}
