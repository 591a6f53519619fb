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

import { StepRate } from './step-rate.js'
import type { AddressedOrder, GroupMap, RankOrder, RankReading } from './rank.js'

/** Steps between the last one begun and the held one; orders reach every rank meanwhile. */
const LEAD_STEPS = 3

/**
 * Time in ms of passes up to the held one when orders of the change got no
 * answer: they are sent several times before every rank has them, and a holder
 * whose host falls silent meanwhile stops the group only after this time.
 * Unanswered orders are carried out 2 s later or more, when the step has passed.
 */
const LEAD_LOSSY_MS = 1_800

/** Least steps of that lead; the pace is not known in the first moments. */
const LEAD_STEPS_LOSSY = 12

/** Time in ms after which an order without effect is sent again. */
const RESEND_MS = 45

/** Time in ms after which a preparation that was answered is sent again; copying takes less. */
const PREPARE_RESEND_MS = 1_000

/** Longest time in ms for all ranks to prepare. */
const PREPARE_MAX_MS = 4_000

/** Longest time in ms from the hold to all ranks being armed while every rank is heard. */
const ARM_MAX_MS = 1_200

/** Pause in ms between readings of the whole group after which a rank was not heard; readings follow each other within 100 ms. */
const READING_GAP_MS = 300

/** Ranks that hold a step while it is undone. */
const UNDO_HOLDS = 2

/** Versions are taken from as many interleaved sequences, so that two keepers never use one for different maps. */
const VERSION_SEQUENCES = 1_000

/** Time in ms for which a hold of another keeper is left to it. */
const FOREIGN_HOLD_MS = 600

/** Phase of the work on a group. */
export type CoordinatorPhase =
  | { readonly kind: 'idle' }
  | { readonly kind: 'preparing', readonly version: number, readonly map: GroupMap, readonly sinceMs: number }
  | { readonly kind: 'holding', readonly version: number, readonly map: GroupMap, readonly step: number, readonly holdingRank: number, readonly sinceMs: number }
  | { readonly kind: 'releasing', readonly version: number, readonly map: GroupMap, readonly step: number, readonly holdingRank: number, readonly sinceMs: number }
  /** `versions` must not come into use with `steps`; `version` is prepared in their place. */
  | { readonly kind: 'undoing', readonly steps: Set<number>, readonly versions: Set<number>, readonly version: number, readonly sinceMs: number }

/** What a keeper wants done, and what it has just found. */
export interface CoordinatorDecision {
  readonly orders: readonly AddressedOrder[]
  /** Set when a change has ended. */
  readonly ended?: 'committed' | 'aborted'
}

/** Changes of one group's map. */
export class MapCoordinator {
  #phase: CoordinatorPhase = { kind: 'idle' }
  #epoch = 0
  /** Highest version that any rank may have seen. */
  #highestVersion = 0
  /** Highest step that was ever held; a step is used once, so that late orders meet no later change. */
  #highestStep = 0
  #foreignHoldSinceMs: number | undefined
  #decidedAtMs = 0
  #map: GroupMap | undefined
  #mapVersion = 0
  /** Whether an order of the present change got no answer. */
  #isLossy = false
  #stepRate = StepRate.create()
  readonly #sentAtMs = new Map<string, number>()

  readonly #sequence: number

  private constructor (sequence: number) {
    this.#sequence = sequence % VERSION_SEQUENCES
  }

  /**
   * @param sequence - random whole number that sets this keeper's versions apart
   * @returns a keeper that has not seen the group
   */
  static create (sequence: number): MapCoordinator {
    return new MapCoordinator(sequence)
  }

  get phase (): CoordinatorPhase {
    return this.#phase
  }

  /** Map in use; undefined while this keeper does not know it. */
  get map (): GroupMap | undefined {
    return this.#map
  }

  /** Sets the map in use and its version, as the ranks list them. */
  noteMap (map: GroupMap, version: number): void {
    this.#map = map
    this.#mapVersion = version
  }

  /** Notes a version that a rank refused because it had a higher one. */
  noteRefusedVersion (version: number): void {
    this.#highestVersion = Math.max(this.#highestVersion, version + VERSION_SEQUENCES)
  }

  /** Whether an order of the last change got no answer; the next change would hold the group for longer. */
  get isLossy (): boolean {
    return this.#isLossy
  }

  /** Notes an order without an answer; it is sent again at once. */
  noteUnanswered ({ rank, order }: Pick<AddressedOrder, 'rank' | 'order'>): void {
    this.#isLossy = true
    this.#sentAtMs.delete(formatOrderKey(rank, order))
  }

  /**
   * Begins a change.
   *
   * @param map - experts by layer and rank
   * @param nowMs - monotonic time in ms
   * @returns the version; undefined when the keeper is at work
   */
  propose (map: GroupMap, nowMs: number): number | undefined {
    if (this.#phase.kind !== 'idle' || this.#foreignHoldSinceMs !== undefined) return undefined
    const version = this.#takeVersion()
    this.#isLossy = false
    this.#phase = { kind: 'preparing', version, map, sinceMs: nowMs }
    return version
  }

  /**
   * Decides what follows from the state of all ranks.
   *
   * @param ranks - state of every rank of the group, of one moment as far as possible
   * @param nowMs - monotonic time in ms
   */
  decide (ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    this.#noteRanks(ranks)
    const hadReadingGap = nowMs - this.#decidedAtMs > READING_GAP_MS
    this.#decidedAtMs = nowMs
    // A change whose rank comes back is finished: undoing it takes more orders, and the group may stand still.
    if (hadReadingGap && this.#phase.kind === 'holding') this.#phase = { ...this.#phase, sinceMs: nowMs }
    const phase = this.#phase
    switch (phase.kind) {
      case 'idle': return this.#handleForeignHold(ranks, nowMs)
      case 'preparing': return this.#prepare(phase, ranks, nowMs)
      case 'holding': return this.#arm(phase, ranks, nowMs)
      case 'releasing': return this.#release(phase, ranks, nowMs)
      case 'undoing': return this.#undo(phase, ranks, nowMs)
    }
  }

  #noteRanks (ranks: readonly RankReading[]): void {
    const epoch = Math.max(...ranks.map(rank => rank.epoch))
    if (epoch !== this.#epoch) {
      this.#epoch = epoch
      this.#phase = { kind: 'idle' }
      this.#map = undefined
      this.#highestStep = 0
      this.#stepRate = StepRate.create()
      this.#foreignHoldSinceMs = undefined
      this.#sentAtMs.clear()
    }
    const newest = ranks.reduce((best, rank) => rank.readAtMs > best.readAtMs || (rank.readAtMs === best.readAtMs && rank.step > best.step) ? rank : best)
    this.#stepRate.noteStep(newest.step, newest.readAtMs)
    // Another keeper's change is listed by the ranks.
    if (ranks.every(({ map }) => map === ranks[0]?.map && map !== this.#mapVersion)) this.#map = undefined
    for (const { map, prepared, armed, step, held } of ranks) {
      this.#highestVersion = Math.max(this.#highestVersion, map, prepared ?? 0, armed?.version ?? 0)
      this.#highestStep = Math.max(this.#highestStep, held ?? 0, armed?.step ?? 0)
      if (step > this.#highestStep) this.#highestStep = step
    }
  }

  /** A hold or an armed rank that this keeper knows nothing of is undone after a while. */
  #handleForeignHold (ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    if (!ranks.some(({ held, armed }) => held !== undefined || armed !== undefined)) {
      this.#foreignHoldSinceMs = undefined
      return { orders: [] }
    }
    this.#foreignHoldSinceMs ??= nowMs
    if (nowMs - this.#foreignHoldSinceMs >= FOREIGN_HOLD_MS) this.#startUndo(ranks, [], nowMs)
    return { orders: [] }
  }

  #prepare (phase: Extract<CoordinatorPhase, { kind: 'preparing' }>, ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    const { version, map } = phase
    if (ranks.some(({ held, armed }) => held !== undefined || armed !== undefined) || nowMs - phase.sinceMs > PREPARE_MAX_MS) return this.#endChange('aborted')
    const missing = ranks.filter(({ prepared }) => prepared !== version)
    if (missing.length > 0) return { orders: this.#buildOrders(missing, () => ({ kind: 'prepare', version, map }), PREPARE_RESEND_MS, nowMs) }
    const step = Math.max(this.#highestStep, ...ranks.map(rank => rank.step)) + this.#countLeadSteps()
    const holdingRank = (step + this.#sequence) % ranks.length
    this.#highestStep = step
    this.#phase = { kind: 'holding', version, map, step, holdingRank, sinceMs: nowMs }
    return this.#arm(this.#phase, ranks, nowMs)
  }

  #countLeadSteps (): number {
    return this.#isLossy ? Math.max(LEAD_STEPS_LOSSY, this.#stepRate.countSteps(LEAD_LOSSY_MS)) : LEAD_STEPS
  }

  #arm (phase: Extract<CoordinatorPhase, { kind: 'holding' }>, ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    const { version, step, holdingRank } = phase
    const isHeld = ranks.some(({ rank, held }) => rank === holdingRank && held === step)
    const isForeign = ranks.some(({ rank, held }) => held !== undefined && !(rank === holdingRank && held === step))
    const isLost = ranks.some(({ prepared, map }) => prepared !== version && map !== version)
    if (isForeign || isLost || nowMs - phase.sinceMs > ARM_MAX_MS) {
      this.#startUndo(ranks, [step], nowMs)
      return { orders: [] }
    }
    if (!isHeld) return { orders: this.#buildOrders(ranks.filter(({ rank }) => rank === holdingRank), () => ({ kind: 'hold', step }), RESEND_MS, nowMs) }
    const remaining = ranks.filter(({ armed }) => armed?.version !== version || armed.step !== step)
    if (remaining.length > 0) return { orders: this.#buildOrders(remaining, () => ({ kind: 'arm', version, step }), RESEND_MS, nowMs) }
    this.#phase = { ...phase, kind: 'releasing', sinceMs: nowMs }
    return this.#release(this.#phase, ranks, nowMs)
  }

  #release (phase: Extract<CoordinatorPhase, { kind: 'releasing' }>, ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    const { version, map, step, holdingRank } = phase
    const holding = ranks.filter(({ rank, held }) => rank === holdingRank && held === step)
    if (holding.length > 0) return { orders: this.#buildOrders(holding, () => ({ kind: 'release', step }), RESEND_MS, nowMs) }
    if (ranks.every(rank => rank.map === version)) {
      this.noteMap(map, version)
      return this.#endChange('committed')
    }
    if (ranks.every(rank => rank.step > step)) {
      // Another keeper has brought a later map into use since.
      this.#map = undefined
      return this.#endChange('aborted')
    }
    // A rank that lost the version was undone by another keeper, and a hold that stays is another keeper's.
    const isUndone = ranks.some(rank => rank.map !== version && rank.armed === undefined)
    const isHeld = ranks.some(({ held }) => held !== undefined) && nowMs - phase.sinceMs >= FOREIGN_HOLD_MS
    if (isUndone || isHeld) this.#startUndo(ranks, [step], nowMs)
    return { orders: [] }
  }

  #undo (phase: Extract<CoordinatorPhase, { kind: 'undoing' }>, ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    // A rank is known to be safe only by what it said after the undoing began.
    if (ranks.some(({ readAtMs }) => readAtMs < phase.sinceMs)) return { orders: [] }
    const found = ranks.flatMap(({ armed }) => armed === undefined || (phase.versions.has(armed.version) && phase.steps.has(armed.step)) ? [] : [armed])
    if (found.length > 0) {
      // The other ranks may have been armed for it since they were read.
      for (const { version, step } of found) {
        phase.versions.add(version)
        phase.steps.add(step)
      }
      this.#phase = { ...phase, sinceMs: nowMs + 1 }
      return { orders: [] }
    }
    const missingHolds = this.#listMissingHolds(ranks)
    if (missingHolds.length > 0) return { orders: missingHolds.flatMap(({ rank, step }) => this.#buildOrders([rank], () => ({ kind: 'hold', step }), RESEND_MS, nowMs)) }
    const armed = ranks.filter(rank => rank.armed !== undefined)
    const orders: AddressedOrder[] = this.#buildOrders(armed, rank => ({ kind: 'disarm', version: rank.armed?.version ?? 0 }), RESEND_MS, nowMs)
    const current = this.#map
    const remaining = ranks.filter(({ armed, prepared }) => armed === undefined && prepared !== undefined && phase.versions.has(prepared))
    if (remaining.length > 0 && current === undefined) return { orders }
    if (remaining.length > 0 && this.#highestVersion > phase.version) this.#phase = { ...phase, version: this.#takeVersion() }
    const { version } = this.#phase as typeof phase
    orders.push(...this.#buildOrders(remaining, () => ({ kind: 'prepare', version, map: current as GroupMap }), RESEND_MS, nowMs))
    if (armed.length > 0 || remaining.length > 0) return { orders }
    const held = ranks.filter(rank => rank.held !== undefined && phase.steps.has(rank.held))
    if (held.length > 0) return { orders: this.#buildOrders(held, rank => ({ kind: 'release', step: rank.held ?? 0 }), RESEND_MS, nowMs) }
    return this.#endChange('aborted')
  }

  /** Ranks that must hold an armed step before a rank is disarmed: two of them, as another keeper may release one. */
  #listMissingHolds (ranks: readonly RankReading[]): readonly { readonly rank: RankReading, readonly step: number }[] {
    const steps = new Set(ranks.flatMap(({ armed }) => armed === undefined ? [] : [armed.step]))
    return [...steps].flatMap(step => {
      if (ranks.some(rank => rank.step >= step)) return []
      const missing = UNDO_HOLDS - ranks.filter(({ held }) => held === step).length
      return ranks.filter(({ held }) => held === undefined).slice(0, Math.max(0, missing)).map(rank => ({ rank, step }))
    })
  }

  #startUndo (ranks: readonly RankReading[], steps: readonly number[], nowMs: number): void {
    const versions = ranks.flatMap(({ armed, prepared, map }) => [armed?.version, prepared === map ? undefined : prepared])
    const seen = ranks.flatMap(({ armed, held }) => [armed?.step, held])
    this.#phase = {
      kind: 'undoing',
      steps: new Set([...steps, ...seen.filter(step => step !== undefined)]),
      versions: new Set(versions.filter(version => version !== undefined)),
      version: this.#takeVersion(),
      sinceMs: nowMs
    }
  }

  #endChange (ended: 'committed' | 'aborted'): CoordinatorDecision {
    this.#phase = { kind: 'idle' }
    this.#foreignHoldSinceMs = undefined
    this.#sentAtMs.clear()
    return { orders: [], ended }
  }

  /** Takes the next version of this keeper's own sequence. */
  #takeVersion (): number {
    const multiple = Math.floor((this.#highestVersion - this.#sequence) / VERSION_SEQUENCES) + 1
    this.#highestVersion = this.#sequence + Math.max(1, multiple) * VERSION_SEQUENCES
    return this.#highestVersion
  }

  /** Addresses an order to ranks that have not been sent the same one a moment ago. */
  #buildOrders (ranks: readonly RankReading[], build: (rank: RankReading) => RankOrder, resendMs: number, nowMs: number): AddressedOrder[] {
    return ranks.flatMap(state => {
      const order = build(state)
      const key = formatOrderKey(state.rank, order)
      if (nowMs - (this.#sentAtMs.get(key) ?? -Infinity) < resendMs) return []
      this.#sentAtMs.set(key, nowMs)
      return [{ rank: state.rank, epoch: this.#epoch, order }]
    })
  }
}

function formatOrderKey (rank: number, order: RankOrder): string {
  return `${rank} ${order.kind} ${'version' in order ? order.version : order.step}`
}
