import type { Context } from '../../../kernel/plugin.js'
import type { ExpertLoad } from '../../../protocol/messages.js'
import type { MapPlanner } from '../holder-plugin.js'
import type { MapContent } from '../record.js'
import { PLAN_POLICY, PlanJob } from './plan.js'
import type { PlanExplanation, PlanPolicy } from './plan.js'
import { Popularity } from './popularity.js'
import type { GroupShape, Placement } from './shape.js'
import { computeRankSpeeds } from './slow-ranks.js'
import type { RankSpeed } from './slow-ranks.js'

/** Time between two decisions, in ms. */
export const CHECK_INTERVAL_MS = 10_000
/** Moves that a decision searches for in one tick. */
export const MOVES_PER_TICK = 10
/** Step time assumed until a rank reports one, in ms. */
const STEP_DEFAULT_MS = 50

/** Decides when a group gets another map, from the load that its ranks report. */
export class Rebalancer implements MapPlanner {
  readonly #group: string
  readonly #shape: GroupShape
  readonly #policy: PlanPolicy
  readonly #popularity: Popularity
  readonly #reports = new Map<number, ExpertLoad>()
  #job: PlanJob | undefined
  #jobVersion = 0
  #nextCheckMs = 0
  #stepMs = STEP_DEFAULT_MS
  #explanation: PlanExplanation | undefined
  #speeds: readonly RankSpeed[] = []
  readonly #stepTimes = new Map<number, number>()

  private constructor (group: string, shape: GroupShape, policy: PlanPolicy) {
    this.#group = group
    this.#shape = shape
    this.#policy = policy
    this.#popularity = Popularity.create(shape)
  }

  /**
   * @param group - name of the group
   * @param shape - sizes of the group
   * @param policy - costs and limits
   * @returns a planner that knows no load yet
   */
  static create (group: string, shape: GroupShape, policy: PlanPolicy = PLAN_POLICY): Rebalancer {
    return new Rebalancer(group, shape, policy)
  }

  /** @returns explanation of the last decision; undefined before the first */
  getExplanation (): PlanExplanation | undefined {
    return this.#explanation
  }

  /** @returns speed class of each rank at the last decision; empty before the first */
  listSpeeds (): readonly RankSpeed[] {
    return this.#speeds
  }

  /**
   * Notes one rank's report; only the latest of each rank is kept.
   *
   * @param load - the report
   */
  noteLoad (load: ExpertLoad): void {
    this.#reports.set(load.rank, load)
    if (load.stepMs <= 0) return
    this.#stepMs = load.stepMs
    this.#stepTimes.set(load.rank, load.stepMs)
  }

  /**
   * @param _committed - whether the last proposal was committed; an aborted one is planned again
   * @param nowMs - monotonic time in ms
   */
  noteChange (_committed: boolean, nowMs: number): void {
    this.#job = undefined
    this.#nextCheckMs = nowMs + CHECK_INTERVAL_MS
  }

  /**
   * Continues a decision; a long one is spread over several calls.
   *
   * @param inForce - map in force
   * @param context - time and effects
   * @returns a placement to propose; undefined keeps the map
   */
  choosePlacement (inForce: MapContent, context: Context): Placement | undefined {
    if (this.#job === undefined || this.#jobVersion !== inForce.version) {
      if (context.nowMs < this.#nextCheckMs) return undefined
      this.#nextCheckMs = context.nowMs + CHECK_INTERVAL_MS
      if (!this.#takeReports(inForce)) return undefined
      this.#job = PlanJob.create(this.#shape, inForce.ranks, this.#popularity.getShares(), this.#stepMs, this.#policy)
      this.#jobVersion = inForce.version
    }
    const plan = this.#job.run(MOVES_PER_TICK)
    if (plan === undefined) return undefined
    this.#job = undefined
    this.#explanation = plan.explanation
    const timings = plan.loads.map((load, rank) => ({ load, stepMs: this.#stepTimes.get(rank) ?? this.#stepMs }))
    this.#speeds = computeRankSpeeds(timings, this.#policy.expertShare)
    if (plan.placement === undefined) {
      context.emit({ kind: 'count', metric: 'map_changes', label: 'declined' })
      context.emit({ kind: 'log', event: 'rebalance-declined', fields: { group: this.#group, ...plan.explanation } })
    }
    return plan.placement
  }

  /** Takes the reports made with the map in force; others are dropped, because their slots held other experts. */
  #takeReports (inForce: MapContent): boolean {
    for (const load of this.#reports.values()) {
      if (load.mapVersion === inForce.version) this.#popularity.noteCounts(load.rank, inForce.ranks, load.counts)
    }
    this.#reports.clear()
    return this.#popularity.updateShares() || this.#popularity.isKnown()
  }
}
