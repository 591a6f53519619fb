/** Skew, loaded weights and decision times of expert placement policies while the popularity of experts changes. */

import { performance } from 'node:perf_hooks'
import { computeSkewBound } from '../src/plugins/experts/placement/bound.js'
import { buildGreedyLayer } from '../src/plugins/experts/placement/greedy.js'
import { Layer } from '../src/plugins/experts/placement/layer.js'
import { PLAN_POLICY, PlanJob } from '../src/plugins/experts/placement/plan.js'
import type { PlanPolicy } from '../src/plugins/experts/placement/plan.js'
import { POPULARITY_WEIGHT, Popularity } from '../src/plugins/experts/placement/popularity.js'
import { CHECK_INTERVAL_MS, MOVES_PER_TICK } from '../src/plugins/experts/placement/rebalancer.js'
import { assembleLayers, countLoadedWeights, getLayer } from '../src/plugins/experts/placement/shape.js'
import type { GroupShape, Placement } from '../src/plugins/experts/placement/shape.js'
import { buildStaticPlacement } from '../src/plugins/experts/placement/static.js'
import { INTERVAL_MS, PopularityModel, SWAP_INTERVALS } from './experts/popularity.js'
import type { BenchResult } from './result.js'

/** Number of intervals simulated: one hour after the warm-up. */
const INTERVALS = 390
/** Delay between a measurement and its use, in intervals. */
const REPORT_DELAY_INTERVALS = 2
/** Number of intervals at the start that are excluded from the results. */
const WARM_UP_INTERVALS = 30
/** Number of intervals after a sudden swap that are excluded from the settled skew. */
const SETTLING_INTERVALS = 6
const STEP_MS = 50

/** Parameters that tuning runs vary. */
export interface Tuning {
  readonly policy: PlanPolicy
  /** Weight of the latest window in the popularity estimate; 0 to 1. */
  readonly weight: number
  /** Number of intervals between two decisions. */
  readonly checkIntervals: number
  readonly rows: readonly string[]
}

const TUNING: Tuning = { policy: PLAN_POLICY, weight: POPULARITY_WEIGHT, checkIntervals: CHECK_INTERVAL_MS / INTERVAL_MS, rows: ['static', 'from scratch', 'incremental'] }

type ChoosePlacement = (placement: Placement, shares: readonly Float64Array[], interval: number) => Placement | undefined

interface Trace {
  readonly skews: number[]
  readonly bounds: number[]
  /** Ratios of the skew to its lower bound, without the minute after each sudden swap. */
  readonly settled: number[]
  weights: number
  changes: number
  readonly decisionMs: number[]
  readonly sliceMs: number[]
}

/**
 * @param options - seed of the popularity model
 * @param tuning - parameters that tuning runs vary
 * @returns skew, loaded weights and decision time by group size and policy
 */
export function run (options: { readonly seed: number }, tuning: Tuning = TUNING): BenchResult {
  const rows: (string | number)[][] = []
  for (const shape of [buildShape(16, 12), buildShape(64, 3)]) rows.push(...runShape(shape, options.seed, tuning))
  return {
    name: 'experts',
    columns: ['ranks', 'slots', 'policy', 'mean skew', 'p95 skew', 'worst skew', 'bound', 'over bound %', 'settled over bound %', 'weights/h', 'weights per point', 'changes', 'time in change %', 'decision ms p95', 'slice ms p99', 'longest slice ms'],
    rows
  }
}

function runShape (shape: GroupShape, seed: number, tuning: Tuning): (string | number)[][] {
  const { policy } = tuning
  let currentTrace: Trace | undefined
  const incremental: ChoosePlacement = (placement, shares) => {
    const started = performance.now()
    const plan = PlanJob.create(shape, placement, shares, STEP_MS, policy)
    let result
    while (result === undefined) {
      const sliceStart = performance.now()
      result = plan.run(MOVES_PER_TICK)
      currentTrace!.sliceMs.push(performance.now() - sliceStart)
    }
    currentTrace!.decisionMs.push(performance.now() - started)
    return result.placement
  }
  const greedy: ChoosePlacement = (_, shares) => assembleLayers(shares.map(layer => buildGreedyLayer(shape, layer)), shape.hosts.length)
  const runs: readonly (readonly [string, ChoosePlacement])[] = [['static', () => undefined], ['from scratch', greedy], ['incremental', incremental]]
  let staticSkew = 0
  return runs.filter(([name]) => tuning.rows.includes(name)).map(([name, choose]) => {
    const trace: Trace = { skews: [], bounds: [], settled: [], weights: 0, changes: 0, decisionMs: [], sliceMs: [] }
    currentTrace = trace
    simulate(shape, seed, tuning, choose, trace)
    const meanSkew = computeMean(trace.skews)
    const meanBound = computeMean(trace.bounds)
    if (name === 'static') staticSkew = meanSkew
    const hours = (INTERVALS - WARM_UP_INTERVALS) * INTERVAL_MS / 3_600_000
    const perHour = trace.weights / hours
    const changeMs = trace.weights * policy.weightMs + trace.changes * policy.changeMs
    return [
      shape.hosts.length, shape.slots, name, round(meanSkew), round(computeQuantile(trace.skews, 0.95)), round(computeQuantile(trace.skews, 1)), round(meanBound),
      round((meanSkew / meanBound - 1) * 100), round((computeMean(trace.settled) - 1) * 100), Math.round(perHour), staticSkew - meanSkew > 0.001 ? Math.round(perHour / ((staticSkew - meanSkew) * 100)) : '',
      trace.changes, round(changeMs / ((INTERVALS - WARM_UP_INTERVALS) * INTERVAL_MS) * 100),
      trace.decisionMs.length === 0 ? '' : round(computeQuantile(trace.decisionMs, 0.95)), ...(trace.sliceMs.length === 0 ? ['', ''] : [round(computeQuantile(trace.sliceMs, 0.99)), round(computeQuantile(trace.sliceMs, 1))])
    ]
  })
}

function simulate (shape: GroupShape, seed: number, tuning: Tuning, choose: ChoosePlacement, trace: Trace): void {
  const model = PopularityModel.create(seed, shape.layers, shape.experts)
  const estimate = Popularity.create(shape, tuning.weight)
  const delayedCounts: (readonly Float64Array[])[] = []
  const allOnFirstRank: Placement = shape.hosts.map((_, rank) => Array.from({ length: shape.layers }, () => rank === 0 ? Array.from({ length: shape.experts }, (_, expert) => expert) : []))
  let placement = buildStaticPlacement(shape)
  for (let interval = 0; interval < INTERVALS; interval += 1) {
    delayedCounts.push(model.listCounts())
    if (delayedCounts.length > REPORT_DELAY_INTERVALS) {
      const counts = delayedCounts.shift()!
      shape.hosts.forEach((_, rank) => { estimate.noteCounts(rank, allOnFirstRank, rank === 0 ? counts.map(layer => [...layer]) : []) })
    }
    if (interval % tuning.checkIntervals === 0 && interval > REPORT_DELAY_INTERVALS) {
      estimate.updateShares()
      const nextPlacement = choose(placement, estimate.getShares(), interval)
      if (nextPlacement !== undefined) {
        const moves = countLoadedWeights(placement, nextPlacement)
        if (interval >= WARM_UP_INTERVALS) {
          trace.weights += moves
          trace.changes += moves > 0 ? 1 : 0
        }
        placement = nextPlacement
      }
    }
    if (interval >= WARM_UP_INTERVALS) noteSkew(shape, model, interval, placement, trace)
    model.update()
  }
}

function noteSkew (shape: GroupShape, model: PopularityModel, interval: number, placement: Placement, trace: Trace): void {
  const shares = model.getShares()
  trace.skews.push(computeMean(shares.map((layer, index) => Layer.create(shape, layer, getLayer(placement, index)).computeSkew())))
  trace.bounds.push(computeMean(shares.map(layer => computeSkewBound(shape, layer))))
  if (interval % SWAP_INTERVALS >= SETTLING_INTERVALS) trace.settled.push(trace.skews.at(-1)! / trace.bounds.at(-1)!)
}

function buildShape (ranks: number, slots: number): GroupShape {
  return { layers: 60, experts: 128, slots, hosts: Array.from({ length: ranks }, (_, rank) => `h${Math.floor(rank / 8)}`) }
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function computeQuantile (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))]!
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
