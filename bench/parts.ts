/** Crashes by requests that share a part of their prompt, from 1 to 610 gateways and under faults. */

import { simulateParts } from './parts-model.js'
import type { PartsFault, PartsScenario } from './parts-model.js'
import type { BenchOptions, BenchResult } from './result.js'

const DURATION_MS = 12_000
const REQUESTS_PER_S = 50

/** A scenario without its seed and duration. */
export type PartsCase = Omit<PartsScenario, 'seed' | 'durationMs'>

/** @returns gateways, prompts and faults that the bench and the tests play */
export function listCases (): readonly PartsCase[] {
  const base = { requestsPerS: REQUESTS_PER_S, deadlyShare: 0.05, depth: 1, deadlyDepth: 1, fault: 'none' as PartsFault }
  const sizes = [1, 8, 34, 610].map(gateways => ({ ...base, gateways }))
  const prompts = [{ depth: 3, deadlyDepth: 3 }, { depth: 3, deadlyDepth: 1 }, { depth: 1, deadlyDepth: 0 }].map(prompt => ({ ...base, ...prompt, gateways: 8 }))
  const dense = [8, 34].map(gateways => ({ ...base, gateways, deadlyShare: 0.3 }))
  const faults = (['datagrams-lost', 'half-cut', 'gateways-restart', 'spontaneous-crashes'] as const).flatMap(fault => [8, 34].map(gateways => ({ ...base, gateways, fault })))
  return [...sizes, ...prompts, ...dense, ...faults]
}

/**
 * @param options - seed
 * @returns crashes and refusals for every case
 */
export async function run (options: BenchOptions): Promise<BenchResult> {
  const rows: (string | number)[][] = []
  for (const example of listCases()) {
    const { requests, crashes, crashesUntilRefused, reachedAfterwards, soundRefused, allKnowMs } = await simulateParts({ ...example, durationMs: DURATION_MS, seed: options.seed })
    const { gateways, deadlyShare, depth, deadlyDepth, fault } = example
    rows.push([gateways, deadlyShare, `${deadlyDepth} of ${depth + 1}`, fault, requests, crashes, crashesUntilRefused, reachedAfterwards, soundRefused, allKnowMs?.toFixed(0) ?? '-'])
  }
  return { name: 'parts of prompts that crash endpoints', columns: ['gateways', 'deadly share', 'position', 'fault', 'requests', 'crashes', 'until refused', 'reached afterwards', 'sound refused', 'all know in ms'], rows }
}
