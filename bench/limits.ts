/** Requests in four seconds at endpoints that name the rate that they take, from 1 to 610 gateways and under faults. */

import { computeNamedBound, simulateColdFleet } from './cold-fleet-model.js'
import type { ColdScenario, Fault, View } from './cold-fleet-model.js'
import type { BenchOptions, BenchResult } from './result.js'

const DURATION_MS = 14_000

/** Requests as shares of the named rates: all of them can be served, and not nearly. */
const LOADS = [0.6, 3] as const

/** A scenario without load, seed and duration. */
export type LimitsCase = Pick<ColdScenario, 'gateways' | 'endpoints' | 'coldPerS' | 'hasAgents' | 'view' | 'fault'> & { readonly namedPerS: number }

/** @returns gateways, rates, views and faults that the bench and the tests play */
export function listCases (): readonly LimitsCase[] {
  const base = { endpoints: 4, coldPerS: 0, hasAgents: true, namedPerS: 6, view: 'all' as View, fault: 'none' as Fault }
  const sizes = [1, 8, 34].flatMap(gateways => [true, false].flatMap(hasAgents => [1.5, 14].map(namedPerS => ({ ...base, gateways, hasAgents, namedPerS }))))
  const large = [true, false].map(hasAgents => ({ ...base, gateways: 610, hasAgents, namedPerS: 14 }))
  const faults = (['agents-restart', 'agents-down', 'gateways-restart', 'gateways-suspended', 'datagrams-lost'] as const)
    .flatMap(fault => [8, 34].map(gateways => ({ ...base, gateways, fault })))
  const views = (['half', 'itself'] as const).map(view => ({ ...base, gateways: 34, view }))
  const alsoCold = { ...base, gateways: 34, coldPerS: 14 }
  const restarted = { ...base, gateways: 34, hasAgents: false, fault: 'gateways-restart' as const }
  return [...sizes, ...large, ...faults, ...views, alsoCold, restarted]
}

/**
 * @param options - seed
 * @returns starts in four seconds, refusals and the share of the named rate that endpoints did not get, for every case and load
 */
export async function run (options: BenchOptions): Promise<BenchResult> {
  const rows: (string | number)[][] = []
  for (const example of listCases()) {
    for (const load of LOADS) {
      const { gateways, endpoints, coldPerS, namedPerS, hasAgents, view, fault } = example
      const { mostInPeriod, meanPerS, requests, refused } = await simulateColdFleet({ ...example, requestsPerS: load * namedPerS * endpoints, durationMs: DURATION_MS, seed: options.seed })
      rows.push([gateways, namedPerS, coldPerS, hasAgents ? 'agents' : 'shares', view, fault, load, computeNamedBound(namedPerS), mostInPeriod, requests, refused, Math.max(0, 1 - meanPerS / namedPerS / Math.min(1, load)).toFixed(2)])
    }
  }
  return { name: 'endpoints that name the rate that they take', columns: ['gateways', 'named rate', 'cold rate', 'limited by', 'knows', 'fault', 'load', 'bound', 'most in 4 s', 'requests', 'refused', 'share not got'], rows }
}
