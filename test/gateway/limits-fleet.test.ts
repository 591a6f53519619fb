import test from 'ava'
import { computeNamedBound, simulateColdFleet } from '../../bench/cold-fleet-model.js'
import { listCases } from '../../bench/limits.js'
import type { LimitsCase } from '../../bench/limits.js'

const DURATION_MS = 9_000

/** Largest share of what an endpoint would take that it may miss while agents answer; a quarter is the spread of few arrivals. */
const NOT_GOT_MAX = 0.25

function groupCases (): Readonly<Record<string, readonly LimitsCase[]>> {
  const groups: Record<string, LimitsCase[]> = {}
  for (const example of listCases()) (groups[String(example.gateways)] ??= []).push(example)
  return groups
}

for (const [gateways, cases] of Object.entries(groupCases())) {
  test(`all of ${gateways} gateways together keep the limit that an endpoint names`, async t => {
    for (const example of cases) {
      const { endpoints, namedPerS, coldPerS, hasAgents, view, fault } = example
      const { mostInPeriod, meanPerS, requests, refused } = await simulateColdFleet({ ...example, requestsPerS: 3 * namedPerS * endpoints, durationMs: DURATION_MS, seed: 1 })
      const text = `${namedPerS} a second named, cold rate ${coldPerS}, ${hasAgents ? 'agents' : 'shares'}, know ${view}, ${fault}: ${mostInPeriod} in 4 s, ${computeNamedBound(namedPerS)} allowed, ${refused} of ${requests} refused, ${(100 * Math.max(0, 1 - meanPerS / namedPerS)).toFixed(0)} % not got`
      t.log(text)
      t.true(mostInPeriod <= computeNamedBound(namedPerS), text)
      if (hasAgents && fault !== 'agents-down') t.true(meanPerS >= (1 - NOT_GOT_MAX) * namedPerS, text)
    }
  })
}
