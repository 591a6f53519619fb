/**
 * Changes the expert map of one group so that no step ever begins with different
 * maps on different ranks. Decides from the states that ranks report, never from
 * the orders that were sent: an order without an answer may be carried out seconds
 * later, and another coordinator may be changing the same group.
 *
 * A change is prepared on every rank. Then one rank holds an upcoming step, every
 * rank is armed for that step, and the hold is released once all ranks report that
 * they are armed. A change that fails is undone while the step is held: armed ranks
 * are disarmed, and ranks that a late order might still arm prepare another version,
 * which makes that order void. A coordinator that finds the hold of another one
 * adds its own on another rank before it undoes anything, so that a release by the
 * other coordinator does not let the step begin.
 */

import { StepRate } from './step-rate.js'
import type { AddressedOrder, GroupMap, RankOrder, RankReading } from './rank.js'

/** Steps from the last one begun to the held one; orders reach every rank in that time. */
const LEAD_STEPS = 3

/**
 * Longest time in ms from the last step begun to the held one when orders of the
 * change got no answer: orders are sent several times before every rank has them, and
 * if the host of the holding rank becomes unreachable meanwhile, the group stops only
 * after this time. Unanswered orders are carried out 2 s later or more, when the step
 * has passed.
 */
const LEAD_LOSSY_MAX_MS = 1_800

/** Least ratio of that time to the time in which orders reach every rank, at the share of them that got lost so far. */
const LEAD_LOSSY_RATIO = 3

/** Probability that a rank has not got an order in that time. */
const UNREACHED_SHARE = 0.01

/** Share of the orders of a change that got no answer from which orders count as getting lost; in a large group a single one always does. */
const LOSSY_SHARE = 0.05

/** Steps of that lead while the step rate is not known. */
const LEAD_STEPS_LOSSY = 12

/** Time in ms after which an order without effect is sent again. */
const RESEND_MS = 45

/** Time in ms after which an answered prepare order is sent again; copying the experts takes less. */
const PREPARE_RESEND_MS = 1_000

/** Longest time in ms for all ranks to prepare. */
const PREPARE_TIMEOUT_MS = 4_000

/** Longest time in ms from the hold until all ranks are armed, while every rank answers. */
const ARM_TIMEOUT_MS = 1_200

/** Gap in ms between readings of the whole group that shows that a rank was unreachable; readings follow each other within 100 ms. */
const READING_GAP_MS = 300

/** Ranks that hold a step while a change is undone: another coordinator may release one of them. */
const UNDO_HOLDS = 2

/** Count of interleaved version sequences; coordinators with different sequences never use one version for different maps. */
const VERSION_SEQUENCES = 1_000

/** Time in ms for which the hold of another coordinator is left alone. */
const FOREIGN_HOLD_MS = 600

/** Phase of a map change. */
export type CoordinatorPhase =
  | { readonly kind: 'idle' }
  | { readonly kind: 'preparing', readonly version: number, readonly map: GroupMap, readonly sinceMs: number }
  | { readonly kind: 'holding', readonly version: number, readonly map: GroupMap, readonly step: number, readonly holdingRank: number, readonly sinceMs: number }
  | { readonly kind: 'releasing', readonly version: number, readonly map: GroupMap, readonly step: number, readonly holdingRank: number, readonly sinceMs: number }
  /** No rank may switch to one of `versions` at one of `steps`; `version` is prepared in their place. */
  | { readonly kind: 'undoing', readonly steps: Set<number>, readonly versions: Set<number>, readonly version: number, readonly sinceMs: number }

/** Orders to send, and the result of a change that has just ended. */
export interface CoordinatorDecision {
  readonly orders: readonly AddressedOrder[]
  /** Set only when a change has ended. */
  readonly ended?: 'committed' | 'aborted'
}

/** Coordinates the changes of one group's map. */
export class MapCoordinator {
  #phase: CoordinatorPhase = { kind: 'idle' }
  #epoch = 0
  /** Highest version that any rank may have seen. */
  #highestVersion = 0
  /** Highest step held, armed or begun so far; each change uses a new step, so that late orders cannot affect a later change. */
  #highestStep = 0
  #foreignHoldSinceMs: number | undefined
  #decidedAtMs = 0
  #map: GroupMap | undefined
  #mapVersion = 0
  /** Orders of the current change, and those of them that got no answer. */
  #orders = 0
  #unanswered = 0
  /** Whether a rank held a step when the group was last read. */
  #isHeld = false
  #stepRate = StepRate.create()
  readonly #sentAtMs = new Map<string, number>()

  readonly #sequence: number

  private constructor (sequence: number) {
    this.#sequence = sequence % VERSION_SEQUENCES
  }

  /**
   * @param sequence - random integer that selects this coordinator's version sequence
   * @returns a coordinator that has not read the group yet
   */
  static create (sequence: number): MapCoordinator {
    return new MapCoordinator(sequence)
  }

  get phase (): CoordinatorPhase {
    return this.#phase
  }

  /** Whether the current change only waits for its step to pass: no rank holds a step for it any more. */
  get isReleased (): boolean {
    return this.#phase.kind === 'releasing' && !this.#isHeld
  }

  /** Map in use; undefined while it is not known. */
  get map (): GroupMap | undefined {
    return this.#map
  }

  /** Sets the map in use and its version, as the ranks report them. */
  noteMap (map: GroupMap, version: number): void {
    this.#map = map
    this.#mapVersion = version
  }

  /** Notes a version that a rank refused because it has seen a higher one. */
  noteRefusedVersion (version: number): void {
    this.#highestVersion = Math.max(this.#highestVersion, version + VERSION_SEQUENCES)
  }

  /** Whether orders of the latest change got no answer; while orders get lost, a change holds the group for longer. */
  get isLossy (): boolean {
    return this.#unanswered > LOSSY_SHARE * this.#orders
  }

  /** Notes an order without an answer, so that it is sent again at once. */
  noteUnanswered ({ rank, order }: Pick<AddressedOrder, 'rank' | 'order'>): void {
    this.#unanswered += 1
    this.#sentAtMs.delete(formatOrderKey(rank, order))
  }

  /**
   * Starts a change.
   *
   * @param map - experts by layer and rank
   * @param nowMs - monotonic time in ms
   * @returns the version; undefined while another change or another coordinator's hold is in progress
   */
  propose (map: GroupMap, nowMs: number): number | undefined {
    if (this.#phase.kind !== 'idle' || this.#foreignHoldSinceMs !== undefined) return undefined
    const version = this.#takeVersion()
    this.#orders = 0
    this.#unanswered = 0
    this.#phase = { kind: 'preparing', version, map, sinceMs: nowMs }
    return version
  }

  /**
   * Computes the next orders from the states of all ranks.
   *
   * @param ranks - state of every rank of the group, read as close together as possible
   * @param nowMs - monotonic time in ms
   */
  decide (ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    this.#noteRanks(ranks)
    const hadReadingGap = nowMs - this.#decidedAtMs > READING_GAP_MS
    this.#decidedAtMs = nowMs
    // When an unreachable rank is back, the change is completed: undoing it takes more orders, and the group may be blocked.
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
    // Another coordinator changed the map; the new one has to be read from the ranks.
    if (ranks.every(({ map }) => map === ranks[0]?.map && map !== this.#mapVersion)) this.#map = undefined
    this.#isHeld = ranks.some(({ held }) => held !== undefined)
    for (const { map, prepared, armed, step, held } of ranks) {
      this.#highestVersion = Math.max(this.#highestVersion, map, prepared ?? 0, armed?.version ?? 0)
      this.#highestStep = Math.max(this.#highestStep, held ?? 0, armed?.step ?? 0)
      if (step > this.#highestStep) this.#highestStep = step
    }
  }

  /** Undoes a hold or an armed rank that belongs to no change of this coordinator once it has persisted for FOREIGN_HOLD_MS. */
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
    if (ranks.some(({ held, armed }) => held !== undefined || armed !== undefined) || nowMs - phase.sinceMs > PREPARE_TIMEOUT_MS) return this.#endChange('aborted')
    const missing = ranks.filter(({ prepared }) => prepared !== version)
    if (missing.length > 0) return { orders: this.#buildOrders(missing, () => ({ kind: 'prepare', version, map }), PREPARE_RESEND_MS, nowMs) }
    const step = Math.max(this.#highestStep, ...ranks.map(rank => rank.step)) + this.#countLeadSteps(ranks.length)
    const holdingRank = (step + this.#sequence) % ranks.length
    this.#highestStep = step
    this.#phase = { kind: 'holding', version, map, step, holdingRank, sinceMs: nowMs }
    return this.#arm(this.#phase, ranks, nowMs)
  }

  #countLeadSteps (ranks: number): number {
    if (!this.isLossy) return LEAD_STEPS
    const steps = this.#stepRate.countSteps(Math.min(LEAD_LOSSY_MAX_MS, LEAD_LOSSY_RATIO * RESEND_MS * countRounds(ranks, computeShareMax(this.#unanswered, this.#orders))))
    return steps === 0 ? LEAD_STEPS_LOSSY : Math.max(LEAD_STEPS, steps)
  }

  #arm (phase: Extract<CoordinatorPhase, { kind: 'holding' }>, ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    const { version, step, holdingRank } = phase
    const isHeld = ranks.some(({ rank, held }) => rank === holdingRank && held === step)
    const isForeign = ranks.some(({ rank, held }) => held !== undefined && !(rank === holdingRank && held === step))
    const isLost = ranks.some(({ prepared, map }) => prepared !== version && map !== version)
    if (isForeign || isLost || nowMs - phase.sinceMs > ARM_TIMEOUT_MS) {
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
      // Another coordinator has put a later map into use since.
      this.#map = undefined
      return this.#endChange('aborted')
    }
    // A rank without the version was disarmed by another coordinator, and a hold that persists belongs to another coordinator.
    const isUndone = ranks.some(rank => rank.map !== version && rank.armed === undefined)
    const isHeld = ranks.some(({ held }) => held !== undefined) && nowMs - phase.sinceMs >= FOREIGN_HOLD_MS
    if (isUndone || isHeld) this.#startUndo(ranks, [step], nowMs)
    return { orders: [] }
  }

  #undo (phase: Extract<CoordinatorPhase, { kind: 'undoing' }>, ranks: readonly RankReading[], nowMs: number): CoordinatorDecision {
    // Only a state read after the undo began shows that a rank is safe.
    if (ranks.some(({ readAtMs }) => readAtMs < phase.sinceMs)) return { orders: [] }
    const found = ranks.flatMap(({ armed }) => armed === undefined || (phase.versions.has(armed.version) && phase.steps.has(armed.step)) ? [] : [armed])
    if (found.length > 0) {
      // Other ranks may have been armed for it since they were read, so all are read again.
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

  /** Lists the holds that armed steps still need before a rank is disarmed: two for each step, as another coordinator may release one. */
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

  /** Takes the next version of this coordinator's sequence. */
  #takeVersion (): number {
    const multiple = Math.floor((this.#highestVersion - this.#sequence) / VERSION_SEQUENCES) + 1
    this.#highestVersion = this.#sequence + Math.max(1, multiple) * VERSION_SEQUENCES
    return this.#highestVersion
  }

  /** Builds an order for each rank that has not been sent the same one within `resendMs`. */
  #buildOrders (ranks: readonly RankReading[], build: (rank: RankReading) => RankOrder, resendMs: number, nowMs: number): AddressedOrder[] {
    return ranks.flatMap(state => {
      const order = build(state)
      const key = formatOrderKey(state.rank, order)
      if (nowMs - (this.#sentAtMs.get(key) ?? -Infinity) < resendMs) return []
      this.#sentAtMs.set(key, nowMs)
      this.#orders += 1
      return [{ rank: state.rank, epoch: this.#epoch, order }]
    })
  }
}

function formatOrderKey (rank: number, order: RankOrder): string {
  return `${rank} ${order.kind} ${'version' in order ? order.version : order.step}`
}

/** Computes the upper end of the range, two standard deviations wide to each side, in which a share lies of which a sample is known. */
function computeShareMax (count: number, sample: number): number {
  const share = (count + 1) / (sample + 2)
  return Math.min(1, share + 2 * Math.sqrt(share * (1 - share) / (sample + 2)))
}

/** Counts how often orders are sent until every rank has one, when a share of them gets lost. */
function countRounds (ranks: number, lostShare: number): number {
  return lostShare >= 1 ? Infinity : Math.ceil(Math.log(UNREACHED_SHARE / ranks) / Math.log(lostShare))
}
