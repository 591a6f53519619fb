/** Requests in a second at cold endpoints, and refusals, from 1 to 610 gateways and under faults. */

import { computeBound, simulateColdFleet } from './cold-fleet-model.js'
import type { ColdScenario, Fault, View } from './cold-fleet-model.js'
import type { BenchOptions, BenchResult } from './result.js'

const DURATION_MS = 10_000

/** Requests as shares of the rate of the cold endpoints: all of them can be served, and not nearly. */
const LOADS = [0.6, 3] as const

type Case = Pick<ColdScenario, 'gateways' | 'endpoints' | 'coldPerS' | 'hasAgents' | 'view' | 'fault'>

/** @returns gateways, rates, views and faults that the bench and the tests play */
export function listCases (): readonly Case[] {
  const base = { endpoints: 2, hasAgents: true, view: 'all' as View, fault: 'none' as Fault }
  const sizes = [1, 8, 34, 610].flatMap(gateways => [2, 14, 36].map(coldPerS => ({ ...base, gateways, coldPerS })))
  const views = (['half', 'itself'] as const).flatMap(view => [34, 610].map(gateways => ({ ...base, gateways, coldPerS: 14, view })))
  const faults = (['late-news', 'agents-restart', 'agents-down', 'gateways-restart', 'gateways-suspended', 'datagrams-lost'] as const)
    .flatMap(fault => [34, 610].map(gateways => ({ ...base, gateways, coldPerS: 14, fault })))
  const cutOff = { ...base, gateways: 34, coldPerS: 14, view: 'half' as const, fault: 'agents-down' as const }
  const withoutAgents = [1, 8, 34, 610].map(gateways => ({ ...base, gateways, coldPerS: 14, hasAgents: false }))
  const many = { ...base, endpoints: 36, gateways: 34, coldPerS: 14 }
  const restarted = { ...base, gateways: 34, coldPerS: 14, hasAgents: false, fault: 'gateways-restart' as const }
  return [...sizes, ...views, ...faults, cutOff, ...withoutAgents, many, restarted]
}

/**
 * @param options - seed
 * @returns both figures for every case and load
 */
export async function run (options: BenchOptions): Promise<BenchResult> {
  const rows: (string | number)[][] = []
  for (const example of listCases()) {
    for (const load of LOADS) {
      const scenario: ColdScenario = { ...example, requestsPerS: load * example.coldPerS * example.endpoints, durationMs: DURATION_MS, seed: options.seed }
      const { requests, mostInSecond, meanPerS, refused, refusedWhileFree } = await simulateColdFleet(scenario)
      rows.push([example.gateways, example.endpoints, example.coldPerS, example.hasAgents ? 'agents' : 'shares', example.view, example.fault, load, computeBound(scenario), mostInSecond, meanPerS.toFixed(1), requests, refused, example.hasAgents ? refusedWhileFree : '-'])
    }
  }
  return { name: 'cold endpoints and many gateways', columns: ['gateways', 'endpoints', 'cold rate', 'limited by', 'knows', 'fault', 'load', 'bound', 'most in a second', 'mean a second', 'requests', 'refused', 'refused while free'], rows }
}
