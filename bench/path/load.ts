/** Load from this process: a fixed count of connections, each sends one request after the other. */

import { performance } from 'node:perf_hooks'
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'

const MICROSECONDS = 1_000
const SECOND_MS = 1_000

/** What was measured. */
export interface LoadResult {
  readonly requestsPerS: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly failed: number
}

/** What is sent. */
export interface LoadOptions {
  readonly url: string
  readonly path: string
  readonly method: 'GET' | 'POST'
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
  readonly connections: number
  readonly durationMs: number
}

/**
 * @param options - target, request and duration
 * @returns throughput and latency of the answers
 */
export async function runLoad (options: LoadOptions): Promise<LoadResult> {
  const pool = new Pool(options.url, { connections: options.connections, pipelining: 1 })
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const startMs = performance.now()
  let failed = 0
  const sendAll = async (): Promise<void> => {
    while (performance.now() - startMs < options.durationMs) {
      const sentMs = performance.now()
      const answer = await pool.request({ path: options.path, method: options.method, headers: options.headers, body: options.body ?? null })
      await answer.body.dump()
      if (answer.statusCode !== 200) failed += 1
      histogram.recordValue(Math.max(1, Math.round((performance.now() - sentMs) * MICROSECONDS)))
    }
  }
  await Promise.all(Array.from({ length: options.connections }, sendAll))
  const elapsedS = (performance.now() - startMs) / SECOND_MS
  await pool.close()
  return {
    requestsPerS: histogram.totalCount / elapsedS,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS,
    failed
  }
}
