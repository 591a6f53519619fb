import type { EndpointState } from '../../protocol/messages.js'

/** Time constant in ms by which a report of load loses weight. */
const REPORT_DECAY_MS = 2_000

/** Length in ms of the slow start of an endpoint that returns. */
export const SLOW_START_MS = 20_000

/** Share of the cap that a returning endpoint gets at first. */
const SLOW_START_SHARE_MIN = 0.1

/** What an entry counts for one endpoint. */
export interface LoadCounters {
  /** Requests of this entry in flight there. */
  inFlight: number
  /** The same count when the last heartbeat arrived. */
  inFlightAtReport: number
  reportedAtMs: number
  /** Start of the slow start in monotonic ms. */
  slowStartAtMs: number
}

/**
 * Estimates the load of an endpoint relative to what it can take now.
 *
 * @param state - last report of the endpoint process
 * @param counters - this entry's own counts
 * @param nowMs - monotonic time in ms
 * @returns requests per unit of capacity, the next request included, where 1
 * is full; and the part of it that one request makes
 */
export function computeLoad (state: EndpointState, counters: LoadCounters, nowMs: number): { readonly load: number, readonly requestLoad: number } {
  const otherRequests = Math.max(0, state.running + state.queued - counters.inFlightAtReport)
  const reportWeight = Math.exp(-Math.max(0, nowMs - counters.reportedAtMs) / REPORT_DECAY_MS)
  const requestLoad = 1 / (Math.max(1, state.cap) * computeSlowStartShare(counters, nowMs))
  return { load: (counters.inFlight + otherRequests * reportWeight + 1) * requestLoad, requestLoad }
}

/**
 * @param counters - start of the slow start
 * @param nowMs - monotonic time in ms
 * @returns share of the cap to use, from `RAMP_FLOOR` to 1
 */
export function computeSlowStartShare (counters: Pick<LoadCounters, 'slowStartAtMs'>, nowMs: number): number {
  const progress = (nowMs - counters.slowStartAtMs) / SLOW_START_MS
  return Math.max(SLOW_START_SHARE_MIN, Math.min(1, progress))
}
