import test from 'ava'
import fc from 'fast-check'
import { computeSkewBound } from '../../src/plugins/experts/placement/bound.js'
import { buildGreedyLayer } from '../../src/plugins/experts/placement/greedy.js'
import { Layer } from '../../src/plugins/experts/placement/layer.js'
import { PLAN_POLICY, PlanJob } from '../../src/plugins/experts/placement/plan.js'
import type { Plan } from '../../src/plugins/experts/placement/plan.js'
import { countLoadedWeights, getLayer } from '../../src/plugins/experts/placement/shape.js'
import type { GroupShape, Placement } from '../../src/plugins/experts/placement/shape.js'
import { computeRankSpeeds } from '../../src/plugins/experts/placement/slow-ranks.js'
import { buildStaticPlacement } from '../../src/plugins/experts/placement/static.js'

const shape: GroupShape = { layers: 2, experts: 8, slots: 3, hosts: ['a', 'a', 'b', 'b'] }

function assertIsValid (t: { true: (value: boolean, message?: string) => void }, placement: Placement): void {
  for (let layer = 0; layer < shape.layers; layer += 1) {
    const ranks = getLayer(placement, layer)
    t.true(ranks.every(experts => experts.length === shape.slots && new Set(experts).size === shape.slots), 'slots per rank')
    t.true(new Set(ranks.flat()).size === shape.experts, 'every expert is placed')
  }
}

function runJob (placement: Placement, shares: readonly Float64Array[], policy = PLAN_POLICY): Plan {
  const job = PlanJob.create(shape, placement, shares, 50, policy)
  for (;;) {
    const plan = job.run(1)
    if (plan !== undefined) return plan
  }
}

function parseShares (weights: readonly number[]): Float64Array {
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return Float64Array.from(weights, weight => weight / sum)
}

// Guards against a plan that loses an expert, overfills a rank, exceeds its budget or reports a skew that it does not reach.
test('plans keep every expert, the slots and the budget', t => {
  const weights = fc.array(fc.integer({ min: 1, max: 1000 }), { minLength: 8, maxLength: 8 })
  fc.assert(fc.property(weights, weights, fc.integer({ min: 2, max: 12 }), (a, b, weightsMax) => {
    const shares = [parseShares(a), parseShares(b)]
    const first = buildStaticPlacement(shape)
    const { placement, explanation } = runJob(first, shares, { ...PLAN_POLICY, weightsMax })
    const after = placement ?? first
    assertIsValid(t, after)
    const skews = shares.map((layer, index) => Layer.create(shape, layer, getLayer(after, index)).computeSkew())
    t.true(skews.every((skew, index) => skew >= computeSkewBound(shape, shares[index]!) - 1e-9))
    t.true(countLoadedWeights(first, after) <= Math.min(weightsMax, explanation.weights))
    if (placement !== undefined) t.true(Math.abs((skews[0]! + skews[1]!) / 2 - explanation.skewAfter) < 1e-9)
  }), { seed: 13, numRuns: 300 })
})

// Guards against a change that costs more than it saves, and against an unexplained decision.
test('a change is declined when its cost exceeds what it saves', t => {
  const shares = [parseShares([9, 1, 1, 1, 1, 1, 1, 1]), parseShares([1, 1, 1, 1, 1, 1, 1, 1])]
  const first = buildStaticPlacement(shape)
  t.snapshot({
    worth: runJob(first, shares).explanation,
    costly: runJob(first, shares, { ...PLAN_POLICY, changeMs: 1e9 }).explanation,
    balanced: runJob(first, [shares[1]!, shares[1]!], { ...PLAN_POLICY, startSkew: 2 }).explanation
  })
})

// Guards against replicas of one expert on one host while another host has none.
test('packing from scratch spreads replicas over hosts', t => {
  const layer = buildGreedyLayer(shape, parseShares([9, 5, 1, 1, 1, 1, 1, 1]))
  t.deepEqual([layer.slice(0, 2), layer.slice(2)].map(host => host.flat().includes(0)), [true, true])
})

// Guards against planning another map because of a stalled rank, and against removing traffic from an overloaded one.
test('slow ranks are classified by their load', t => {
  const timings = [{ stepMs: 50, load: 1 }, { stepMs: 51, load: 1 }, { stepMs: 90, load: 1 }, { stepMs: 75, load: 2 }]
  t.deepEqual(computeRankSpeeds(timings, 0.5), ['normal', 'normal', 'stalled', 'overloaded'])
})
