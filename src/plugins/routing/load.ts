import type { EndpointState } from '../../protocol/messages.js'

/** Time constant in ms of the exponential decay of a load report. */
const REPORT_DECAY_MS = 2_000

/** Duration in ms of the slow start of a returning endpoint. */
export const SLOW_START_MS = 20_000

/** Share of the cap at the beginning of a slow start. */
const SLOW_START_SHARE_MIN = 0.1

/** Counters that an entry keeps per endpoint to estimate its load. */
export interface LoadCounters {
  /** Requests of this entry in flight at the endpoint. */
  inFlight: number
  /** Value of `inFlight` when the last heartbeat arrived. */
  inFlightAtReport: number
  reportedAtMs: number
  /** Beginning of the slow start in monotonic ms. */
  slowStartAtMs: number
}

/**
 * Estimates the load of an endpoint relative to its current capacity. Requests
 * of other entries are taken from the last report, whose weight decays with age.
 *
 * @param state - last report of the endpoint process
 * @param counters - counters of this entry
 * @param nowMs - monotonic time in ms
 * @returns requests per unit of capacity, including the next request, where 1
 * is full; and the load that one request adds
 */
export function computeLoad (state: EndpointState, counters: LoadCounters, nowMs: number): { readonly load: number, readonly requestLoad: number } {
  const otherRequests = Math.max(0, state.running + state.queued - counters.inFlightAtReport)
  const reportWeight = Math.exp(-Math.max(0, nowMs - counters.reportedAtMs) / REPORT_DECAY_MS)
  const requestLoad = 1 / (Math.max(1, state.cap) * computeSlowStartShare(counters, nowMs))
  return { load: (counters.inFlight + otherRequests * reportWeight + 1) * requestLoad, requestLoad }
}

/**
 * @param counters - beginning of the slow start
 * @param nowMs - monotonic time in ms
 * @returns share of the cap to use, from `SLOW_START_SHARE_MIN` to 1
 */
export function computeSlowStartShare (counters: Pick<LoadCounters, 'slowStartAtMs'>, nowMs: number): number {
  const progress = (nowMs - counters.slowStartAtMs) / SLOW_START_MS
  return Math.max(SLOW_START_SHARE_MIN, Math.min(1, progress))
}
