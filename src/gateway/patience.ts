/** How long callers wait for an event before they leave. */

/** Shortest time in ms without an event after which callers leave, and the number of latency targets when that is longer. */
export const PATIENCE_MIN_MS = 2_000
const PATIENCE_TARGETS = 4

/** Time in ms that is left at least for the first event of an attempt. */
export const FIRST_EVENT_MIN_MS = 500

/**
 * @param latencyTargetMs - latency target of a route in ms
 * @returns time in ms without an event after which its callers leave
 */
export function computePatienceMs (latencyTargetMs: number): number {
  return Math.max(PATIENCE_MIN_MS, PATIENCE_TARGETS * latencyTargetMs)
}
