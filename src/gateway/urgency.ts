/** Order in which endpoints admit requests of the same priority: those that can still be on time go first. */

import type { Route } from './model.js'

/** Share of the time that its route allows which a caller has left at most when it comes back after a refusal; first attempts have more. */
const RETURN_TIME_SHARE = 0.8

/** Steps by which a request that is late is less urgent; endpoints know ten. */
const LATE_STEPS = 4

/** Time limits of a request. */
export interface RequestTimes {
  /** How long the caller waits when it sends the request, in ms; undefined when it does not say. */
  readonly deadlineMs: number | undefined
  /** Time in ms since the gateway received the request. */
  readonly waitedMs: number
  /** Whether the caller has received part of the answer before. */
  readonly isResumed: boolean
}

/** Whether a caller has probably been refused before: it has less time left than with a first attempt. */
export function isReturned ({ timeoutMs }: Pick<Route, 'timeoutMs'>, deadlineMs: number | undefined): boolean {
  return deadlineMs !== undefined && deadlineMs < RETURN_TIME_SHARE * timeoutMs
}

/** Whether the latency target of a request has passed, as far as the gateway can tell. */
export function isLate ({ timeoutMs, latencyTargetMs }: Pick<Route, 'timeoutMs' | 'latencyTargetMs'>, { deadlineMs, waitedMs, isResumed }: RequestTimes): boolean {
  return isResumed || waitedMs > latencyTargetMs || isReturned({ timeoutMs }, deadlineMs)
}

/**
 * @param priority - 0 is the most urgent
 * @returns the priority, lowered for a request that is late
 */
export function computeUrgency (priority: number, isRequestLate: boolean): number {
  return isRequestLate ? priority + LATE_STEPS : priority
}
