/** How an endpoint stands in the choice for a request: its score by term, or what excludes it. */

import { assertNever } from '../../kernel/errors.js'
import type { EndpointAccess } from './cold-limits.js'
import type { EndpointView } from './endpoints.js'

/** Terms of a score: `((load + distance) / slots * slowdown + failures) * pace`; lower is better. */
export interface ScoreTerms {
  /** Requests in flight with the new one, and what is added while the endpoint is contended. */
  readonly load: number
  /** Requests added to an endpoint in another failure domain. */
  readonly distance: number
  /** Factor by which its answers take longer than those of the fastest candidate. */
  readonly slowdown: number
  /** Share of its slots added for answers that fail. */
  readonly failures: number
  /** Factor by which a slow rank takes longer for the same work. */
  readonly pace: number
}

/** Why a choice leaves out a candidate. */
export type Exclusion =
  /** Its agent expects to have a permit in `remainingMs`. */
  | { readonly kind: 'denied', readonly remainingMs: number }
  /** The own shares of its limit are spent; `owners` other gateways have some. */
  | { readonly kind: 'no-share', readonly owners: number }
  | { readonly kind: 'tried' }
  /** It accepted no connection; it is tried again in `remainingMs`. */
  | { readonly kind: 'unreachable', readonly remainingMs: number }
  | { readonly kind: 'unresponsive' }
  /** Agents in its failure domain have just not answered. */
  | { readonly kind: 'silent-domain' }
  /** It is in another failure domain, and the own one has room. */
  | { readonly kind: 'other-domain' }
  /** Requests for it are being denied, and samples are drawn of the others. */
  | { readonly kind: 'contended' }

/** What becomes of a candidate. */
export type Standing =
  | { readonly kind: 'compared' }
  /** The counts of other gateways are old: only `sampleSize` of these candidates, picked at random, are compared. */
  | { readonly kind: 'may-be-sampled', readonly sampleSize: number }
  | { readonly kind: 'excluded', readonly by: Exclusion }

/** A candidate of a choice. */
export interface ExplainedCandidate {
  readonly endpoint: EndpointView
  readonly access: EndpointAccess
  /** Requests in flight there as far as this gateway knows, without the new one. */
  readonly inFlight: number
  readonly terms: ScoreTerms
  readonly total: number
  readonly standing: Standing
}

/** Orders candidates by whether they are excluded, then by score. */
export function compareCandidates (a: ExplainedCandidate, b: ExplainedCandidate): number {
  return rankStanding(a.standing) - rankStanding(b.standing) || a.total - b.total
}

function rankStanding (standing: Standing): number {
  switch (standing.kind) {
    case 'compared':
    case 'may-be-sampled': return 0
    case 'excluded': return 1
    default: return assertNever(standing)
  }
}
