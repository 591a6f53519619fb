/** Divides the limits of an endpoint into permits of its agent and shares of the gateways. */

import type { PermitRate } from './permits.js'

/** Longest time in ms from the moment at which a permit or share applies until the request is sent. */
export const PERMIT_VALID_MS = 250

/** Share of the rate of a cold endpoint at which its agent grants permits, because of the burst. */
const PERMITS_SHARE = 0.9

/** Permits that an agent may grant at once; with fewer, requests that arrive together would wait. */
const PERMITS_BURST_MAX = 3

/** Period in ms over which the requests to an endpoint that names a limit are counted. */
const NAMED_PERIOD_MS = 4_000

/** A share of a named limit allows one request in this time in ms: the period, and the time until the request is sent. */
export const NAMED_WINDOW_MS = NAMED_PERIOD_MS + PERMIT_VALID_MS

/** Bound on the requests in a period: this many times the named rate, and `NAMED_SLACK` more. */
const NAMED_OVERSHOOT = 1.5
const NAMED_SLACK = 5

/** Burst of the permits of a limited endpoint. */
const NAMED_BURST = 2

/** Limit on the requests that reach a cold endpoint in any second: `rate * overshoot + slack`. */
export interface ColdBounds {
  readonly overshoot: number
  readonly slack: number
}

/** Division of a limit. */
export interface LimitBudget {
  /** Permits of its agent; undefined when the service has no agents. */
  readonly permits: PermitRate | undefined
  /** Number of shares that are dealt to the gateways. */
  readonly shares: number
}

/**
 * Divides the limit of a cold endpoint so that permits and shares together stay within it
 * in every second, however long each request takes from its permit to its sending.
 *
 * @param coldPerS - requests per second that a cold endpoint tolerates
 * @param bounds - limit relative to that rate
 * @param hasAgents - whether the endpoints of the service have agents
 */
export function computeColdBudget (coldPerS: number, { overshoot, slack }: ColdBounds, hasAgents: boolean): LimitBudget {
  const limit = Math.floor(coldPerS * overshoot + slack)
  if (!hasAgents) return { permits: undefined, shares: limit }
  const validS = 1 + PERMIT_VALID_MS / 1_000
  const perS = Math.min(PERMITS_SHARE * coldPerS, (limit - 1) / validS)
  if (perS <= 0) return { permits: undefined, shares: limit }
  const burst = Math.max(1, Math.min(PERMITS_BURST_MAX, Math.floor(limit - perS * validS)))
  return { permits: { perS, burst }, shares: Math.max(0, Math.floor(limit - burst - perS * validS)) }
}

/**
 * Divides the limit that an endpoint names. Permits are granted at the named rate. Shares
 * are used instead of permits, and in a period in which an agent falls silent both are.
 *
 * @param perS - requests per second that the endpoint takes
 * @param hasAgents - whether the endpoints of the service have agents
 */
export function computeNamedBudget (perS: number, hasAgents: boolean): { readonly permits: PermitRate, readonly shares: number } {
  const permitsMost = perS * NAMED_WINDOW_MS / 1_000 + NAMED_BURST
  const bound = perS * NAMED_OVERSHOOT * NAMED_PERIOD_MS / 1_000 + NAMED_SLACK
  const shares = hasAgents ? bound - permitsMost : perS * NAMED_PERIOD_MS / 1_000
  return { permits: { perS, burst: NAMED_BURST }, shares: Math.max(1, Math.floor(shares)) }
}
