/** State of requests in flight at an entry. */

import type { Profile, ServiceKind } from '../../kernel/configuration.js'
import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import type { RequestReceived } from '../../kernel/events.js'
import type { RequestKey } from '../../protocol/messages.js'

/** One submission of a request to one endpoint process. */
export interface Attempt {
  readonly workId: string
  readonly endpoint: string
  readonly sentAtMs: number
  /** Time in ms from sending the attempt to its response head; undefined until then. */
  headAfterMs: number | undefined
  /** Count of chunks of the whole response that were relayed, including those of earlier attempts; index of the next expected chunk. */
  chunkCount: number
}

/** What a request waits for, besides the responses to its attempts. */
export type Stage =
  | { readonly kind: 'open' }
  /** Waits for a connection to the home of its key (the endpoint process that may run the key), or for the successor of a leaving home. */
  | { readonly kind: 'connecting', readonly target: string, readonly untilMs: number }
  | { readonly kind: 'backoff', readonly untilMs: number }
  /** The deadline passed; waits for the endpoint processes to report the outcomes of the cancelled attempts. */
  | { readonly kind: 'cancelling', readonly untilMs: number }
  /** The connection was lost; waits for the home's answer on the state of the key. */
  | { readonly kind: 'querying', readonly queryId: string, readonly target: string, readonly sent: boolean, readonly untilMs: number }

/** A request from its receipt to the end of its response. */
export interface ActiveRequest {
  readonly received: RequestReceived
  readonly profile: Profile
  readonly serviceKind: ServiceKind
  readonly teamWeight: number
  /** Whether the request may run more than once. */
  readonly idempotent: boolean
  readonly receivedAtMs: number
  readonly deadlineAtMs: number
  key: RequestKey | undefined
  /** True when the caller sent no key. Any key is then created by this entry, and no other process can send it. */
  readonly keyIsInternal: boolean
  stage: Stage
  /** Attempts that have not ended, by work id. */
  readonly attempts: Map<string, Attempt>
  readonly triedEndpoints: Set<string>
  attemptsMade: number
  /** Work id of the attempt whose response is relayed to the caller. */
  winner: string | undefined
  headSent: boolean
  status: number
  /** Count of chunks relayed to the caller. */
  relayedChunks: number
  /** Whether an attempt ended without confirmation that it did not run. */
  mayHaveRun: boolean
  /** Whether an attempt is known to have run. */
  hasRun: boolean
}

/** An error response before `computeOutcome` has determined its final outcome. */
export interface Failure {
  readonly error: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs?: number
}
