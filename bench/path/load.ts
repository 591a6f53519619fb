/** Closed-loop load generator: a fixed number of connections, each of which sends one request at a time. */

import { performance } from 'node:perf_hooks'
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'

const MS_US = 1_000
const SECOND_MS = 1_000

/** Measured throughput and latency. */
export interface LoadResult {
  readonly requestsPerS: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly failed: number
}

/** Target, request and duration of the load. */
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
 * @returns throughput and latency of the responses
 */
export async function runLoad (options: LoadOptions): Promise<LoadResult> {
  const pool = new Pool(options.url, { connections: options.connections, pipelining: 1 })
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const startMs = performance.now()
  let failed = 0
  const sendRepeatedly = async (): Promise<void> => {
    while (performance.now() - startMs < options.durationMs) {
      const sentMs = performance.now()
      const response = await pool.request({ path: options.path, method: options.method, headers: options.headers, body: options.body ?? null })
      await response.body.dump()
      if (response.statusCode !== 200) failed += 1
      histogram.recordValue(Math.max(1, Math.round((performance.now() - sentMs) * MS_US)))
    }
  }
  await Promise.all(Array.from({ length: options.connections }, sendRepeatedly))
  const elapsedS = (performance.now() - startMs) / SECOND_MS
  await pool.close()
  return {
    requestsPerS: histogram.totalCount / elapsedS,
    p50Ms: histogram.getValueAtPercentile(50) / MS_US,
    p99Ms: histogram.getValueAtPercentile(99) / MS_US,
    failed
  }
}
