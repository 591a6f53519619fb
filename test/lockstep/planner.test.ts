import test from 'ava'
import { planLayer } from '../../src/plugins/lockstep/planner.js'
import type { LayerMap } from '../../src/plugins/lockstep/planner.js'
import { RecentPopularity } from '../../src/plugins/lockstep/popularity.js'
import { Random } from '../../src/kernel/random.js'

const RANKS = 16
const EXPERTS = 64
const LIMITS = { slots: 5, spare: 2, gainMin: 0.02 }

function buildInitialLayer (): LayerMap {
  return Array.from({ length: RANKS }, (_, rank) => [rank, rank + 16, rank + 32, rank + 48])
}

/** Skewed demand: a few experts get most of the tokens. */
function buildDemand (seed: number): Float64Array {
  const random = Random.create(seed)
  const weights = Float64Array.from({ length: EXPERTS }, () => 1 / (1 + random.pickInt(EXPERTS)) ** 1.1)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map(weight => weight / total)
}

// Guards against maps that do not relieve the most loaded rank, lose an expert, or need more than a rank can hold or copy.
test('plans lower the largest load within the limits of each rank', t => {
  const before = buildInitialLayer()
  const rows = [1, 2, 3, 4, 5].map(seed => {
    const plan = planLayer(before, buildDemand(seed), LIMITS)
    t.is(new Set(plan.map.flat()).size, EXPERTS)
    plan.map.forEach((experts, rank) => {
      t.true(experts.length <= LIMITS.slots)
      t.true(experts.filter(expert => !before[rank]!.includes(expert)).length <= LIMITS.spare)
    })
    return { seed, before: plan.skewBefore.toFixed(2), after: plan.skewAfter.toFixed(2), copies: plan.copies }
  })
  t.snapshot(rows)
})

// Guards against copies that bring no gain.
test('a balanced layer is left unchanged', t => {
  t.is(planLayer(buildInitialLayer(), new Float64Array(EXPERTS).fill(1 / EXPERTS), LIMITS).copies, 0)
})

// Guards against demand computed from counters of two starts of a rank, and against counts that never decay.
test('demand is computed from counters of one incarnation', t => {
  const popularity = RecentPopularity.create(1, 2)
  const note = (counts: readonly number[], incarnation: string, atMs: number): readonly string[] => {
    popularity.noteCounts([{ rank: 0, incarnation, counts }], atMs)
    return [...popularity.getShares(0)].map(share => share.toFixed(2))
  }
  t.deepEqual(note([100, 0], 'a', 0), ['0.50', '0.50'])
  t.deepEqual(note([200, 0], 'a', 100), ['1.00', '0.00'])
  t.deepEqual(note([0, 5], 'b', 200), ['1.00', '0.00'])
  t.deepEqual(note([0, 1_005], 'b', 5_000).map(Number).map(share => share > 0.9), [false, true])
})

// Guards against a group that runs at the speed of one slow rank, because that rank keeps its experts.
test('a slow rank gives its experts up within a few changes', t => {
  const paces = Array.from({ length: RANKS }, (_, rank) => rank === 3 ? 4.6 : 1)
  const rows = [1, 2, 3].map(seed => {
    const demand = buildDemand(seed)
    let map = buildInitialLayer()
    const skews: string[] = []
    for (let change = 0; change < 4; change += 1) {
      const plan = planLayer(map, demand, { ...LIMITS, paces })
      t.is(new Set(plan.map.flat()).size, EXPERTS)
      plan.map.forEach((experts, rank) => { t.true(experts.filter(expert => !map[rank]!.includes(expert)).length <= LIMITS.spare) })
      map = plan.map
      skews.push(`${plan.skewBefore.toFixed(2)} to ${plan.skewAfter.toFixed(2)}`)
    }
    return { seed, skews, left: map[3]!.length }
  })
  t.snapshot(rows)
})

/** Tokens that the requests in progress choose between two readings; each has experts of its own, and most go on at the next reading. */
function readDemand (random: Random, requests: { readonly first: number, left: number }[], shift: number): number[] {
  const counts = Array.from({ length: EXPERTS }, () => 0)
  requests.forEach((request, index) => {
    const current = request.left > 0 ? request : { first: random.pickInt(EXPERTS), left: 1 + random.pickInt(8) }
    current.left -= 1
    requests[index] = current
    for (let token = 0; token < 40; token += 1) {
      const own = (current.first + random.pickInt(4)) % EXPERTS
      const common = (Math.floor(EXPERTS * random.pickFloat() ** 3) + shift) % EXPERTS
      counts[token % 3 === 0 ? own : common]! += 1
    }
  })
  return counts
}

// Guards against shifts that are seen late, and against requests that come and go taken for shifts.
test('a shift of demand is detected at the next reading, and requests that come and go are none', t => {
  const rows = [1, 2, 3, 4, 5, 6, 7, 8].map(seed => {
    const random = Random.create(seed)
    const popularity = RecentPopularity.create(1, EXPERTS)
    const requests = Array.from({ length: 60 }, () => ({ first: random.pickInt(EXPERTS), left: random.pickInt(8) }))
    const sums = new Float64Array(EXPERTS)
    const detected: number[] = []
    for (let reading = 0; reading < 60; reading += 1) {
      const counts = readDemand(random, requests, reading < 30 ? 0 : 23)
      counts.forEach((count, expert) => { sums[expert]! += count })
      if (popularity.noteCounts([{ rank: 0, incarnation: 'a', counts: [...sums] }], reading * 250) !== undefined) detected.push(reading)
    }
    return { seed, detected }
  })
  t.snapshot(rows)
  t.true(rows.every(({ detected }) => detected.includes(30)), 'detected at the next reading')
  t.true(rows.flatMap(({ detected }) => detected.filter(reading => reading < 30 || reading > 32)).length <= 8, 'at most one false shift in 57 readings')
})
