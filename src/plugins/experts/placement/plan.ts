import { computeSkewBound } from './bound.js'
import { Layer } from './layer.js'
import { applyMove, findBestMove } from './moves.js'
import type { Move } from './moves.js'
import { assembleLayers, getLayer } from './shape.js'
import type { GroupShape, LayerPlacement, Placement } from './shape.js'

/** Costs and limits that decide whether a change of placement is worthwhile. */
export interface PlanPolicy {
  /** Time over which a better placement is expected to save step time, in ms. */
  readonly horizonMs: number
  /** Share of a balanced step that experts take and that grows with skew; 0 to 1. */
  readonly expertShare: number
  /** Time to load one expert's weights of one layer through the rate-limited store, in ms. */
  readonly weightMs: number
  /** Growth of the step time while weights load; 0.05 is 5 %. */
  readonly loadSlowdown: number
  /** Step time lost by one change apart from the weights, in ms. */
  readonly changeMs: number
  /** Least ratio of saved time to cost, because popularity may shift back. */
  readonly hysteresis: number
  /** Ratio of a layer's skew to its lower bound up to which the layer is left unchanged. */
  readonly startSkew: number
  /** Ratio of a layer's skew to its lower bound at which the search ends. */
  readonly targetSkew: number
  /** Most weights loaded in one change. */
  readonly weightsMax: number
}

/** Default policy. */
export const PLAN_POLICY: PlanPolicy = {
  horizonMs: 600_000,
  expertShare: 0.5,
  weightMs: 20,
  loadSlowdown: 0.05,
  changeMs: 100,
  hysteresis: 1.5,
  startSkew: 1.03,
  targetSkew: 1.01,
  weightsMax: 2_000
}

/** Why a change was made or declined; times are ms of step time over the horizon. */
export interface PlanExplanation {
  readonly decision: 'change' | 'declined'
  readonly reason: 'worth' | 'balanced' | 'gain-below-cost'
  /** Largest rank load over the mean load, averaged over the layers. */
  readonly skewBefore: number
  readonly skewAfter: number
  readonly skewBound: number
  readonly layers: number
  readonly weights: number
  readonly savedMs: number
  readonly costMs: number
}

/** A decision, with the placement to propose if the change is worthwhile. */
export interface Plan {
  readonly placement?: Placement
  readonly explanation: PlanExplanation
  /** Predicted load of each rank in the placement in force; the mean is 1. */
  readonly loads: readonly number[]
}

interface LayerPlan {
  readonly layer: number
  readonly before: number
  readonly after: number
  readonly weights: number
  readonly savedMs: number
  readonly placement: LayerPlacement
}

interface LayerSearch {
  readonly index: number
  readonly layer: Layer
  readonly before: number
  /** Load above which a rank has excess load. */
  readonly target: number
  readonly moves: Move[]
  best: { readonly count: number, readonly after: number, readonly netSavedMs: number }
}

/** Most moves tried in one layer. */
const LAYER_MOVES_MAX = 64

/** One decision, computed move by move so that the event loop is never blocked for long. */
export class PlanJob {
  readonly #plans: LayerPlan[] = []
  #nextLayer = 0
  #search: LayerSearch | undefined
  #skewSum = 0
  #boundSum = 0
  readonly #loads: number[]

  private constructor (
    readonly shape: GroupShape,
    readonly placement: Placement,
    readonly popularity: readonly Float64Array[],
    readonly stepMs: number,
    readonly policy: PlanPolicy
  ) {
    this.#loads = shape.hosts.map(() => 0)
  }

  /**
   * @param shape - sizes of the group
   * @param placement - experts by rank and layer in force
   * @param popularity - share of the tokens by layer and expert; each layer's sum is 1
   * @param stepMs - mean step time in ms
   * @param policy - costs and limits
   * @returns a job at its first layer
   */
  static create (shape: GroupShape, placement: Placement, popularity: readonly Float64Array[], stepMs: number, policy: PlanPolicy = PLAN_POLICY): PlanJob {
    return new PlanJob(shape, placement, popularity, stepMs, policy)
  }

  /**
   * Continues the computation.
   *
   * @param moves - count of moves to search for in this call
   * @returns the decision; undefined until it is complete
   */
  run (moves: number): Plan | undefined {
    for (let count = 0; count < moves; count += 1) {
      if (this.#search === undefined) {
        if (this.#nextLayer >= this.shape.layers) return this.#choosePlan()
        this.#startLayer(this.#nextLayer)
        this.#nextLayer += 1
      } else if (!this.#findMove(this.#search)) {
        this.#addPlan(this.#search)
        this.#search = undefined
      }
    }
    return undefined
  }

  #startLayer (index: number): void {
    const { shape, policy } = this
    const popularity = this.popularity[index]!
    const layer = Layer.create(shape, popularity, getLayer(this.placement, index))
    const bound = computeSkewBound(shape, popularity)
    const before = layer.computeSkew()
    this.#skewSum += before
    layer.getLoads().forEach((load, rank) => { this.#loads[rank]! += load * shape.hosts.length / shape.layers })
    this.#boundSum += bound
    if (before <= bound * policy.startSkew) return
    const target = bound * policy.targetSkew / shape.hosts.length
    this.#search = { index, layer, before, target, moves: [], best: { count: 0, after: before, netSavedMs: 0 } }
  }

  /** Applies the next move towards the target, and keeps the count of moves with the highest net saving. */
  #findMove (search: LayerSearch): boolean {
    const { layer, moves, target, before } = search
    if (moves.length >= LAYER_MOVES_MAX || layer.computeLargestLoad() <= target) return false
    const found = findBestMove(layer, target)
    if (found === undefined) return false
    applyMove(layer, found.move)
    moves.push(found.move)
    const after = layer.computeSkew()
    const netSavedMs = this.#computeSavedMs(before - after) - this.policy.hysteresis * this.#computeWeightsMs(countWeights(moves))
    if (netSavedMs > search.best.netSavedMs) search.best = { count: moves.length, after, netSavedMs }
    return true
  }

  #addPlan ({ index, before, moves, best }: LayerSearch): void {
    if (best.count === 0) return
    const kept = moves.slice(0, best.count)
    const changed = Layer.create(this.shape, this.popularity[index]!, getLayer(this.placement, index))
    for (const move of kept) applyMove(changed, move)
    this.#plans.push({ layer: index, before, after: best.after, weights: countWeights(kept), savedMs: this.#computeSavedMs(before - best.after), placement: changed.getPlacement() })
  }

  #choosePlan (): Plan {
    const { shape, policy } = this
    const ranked = this.#plans
      .map(plan => ({ plan, rate: plan.savedMs / plan.weights }))
      .sort((a, b) => b.rate - a.rate || a.plan.layer - b.plan.layer)
    const chosen = new Map<number, LayerPlan>()
    let weights = 0
    for (const { plan } of ranked) {
      if (weights + plan.weights > policy.weightsMax) continue
      weights += plan.weights
      chosen.set(plan.layer, plan)
    }
    const plans = [...chosen.values()]
    const savedMs = plans.reduce((sum, plan) => sum + plan.savedMs, 0)
    const costMs = plans.length === 0 ? 0 : this.#computeWeightsMs(weights) + policy.changeMs
    const skewBefore = this.#skewSum / shape.layers
    const fall = plans.reduce((sum, plan) => sum + plan.before - plan.after, 0) / shape.layers
    const isWorthwhile = plans.length > 0 && savedMs > costMs * policy.hysteresis
    const explanation: PlanExplanation = {
      decision: isWorthwhile ? 'change' : 'declined',
      reason: isWorthwhile ? 'worth' : plans.length === 0 ? 'balanced' : 'gain-below-cost',
      skewBefore,
      skewAfter: skewBefore - fall,
      skewBound: this.#boundSum / shape.layers,
      layers: plans.length,
      weights,
      savedMs,
      costMs
    }
    return { explanation, loads: this.#loads, ...(isWorthwhile ? { placement: this.#assemblePlacement(chosen) } : {}) }
  }

  #assemblePlacement (chosen: ReadonlyMap<number, LayerPlan>): Placement {
    const layers = Array.from({ length: this.shape.layers }, (_, layer) => chosen.get(layer)?.placement ?? getLayer(this.placement, layer))
    return assembleLayers(layers, this.shape.hosts.length)
  }

  /** Computes the step time saved over the horizon when one layer's skew falls. */
  #computeSavedMs (fall: number): number {
    return this.policy.horizonMs * this.policy.expertShare * fall / this.shape.layers
  }

  /** Computes the step time lost while weights load: each takes `weightMs` at the store, and steps are slower meanwhile. */
  #computeWeightsMs (weights: number): number {
    return weights * this.policy.weightMs * this.policy.loadSlowdown
  }
}

function countWeights (moves: readonly Move[]): number {
  return moves.reduce((sum, move) => sum + move.weights, 0)
}
