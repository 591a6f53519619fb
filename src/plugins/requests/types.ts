/** State of requests in flight at an entry. */

import type { Profile, ServiceKind } from '../../kernel/document.js'
import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import type { RequestReceived } from '../../kernel/events.js'
import type { RequestKey } from '../../protocol/messages.js'

/** One submission of a request to one endpoint process. */
export interface Attempt {
  readonly workId: string
  readonly endpoint: string
  readonly sentAtMs: number
  /** Time to the first byte of the answer in ms. */
  headAfterMs: number | undefined
  /** Count of chunks of the whole answer that the caller has; a resume starts with those of earlier attempts. */
  chunkCount: number
}

/** What a request waits for besides its attempts. */
export type Stage =
  | { readonly kind: 'open' }
  /** Waits for a connection to its home. */
  | { readonly kind: 'connecting', readonly target: string, readonly untilMs: number }
  | { readonly kind: 'backoff', readonly untilMs: number }
  /** The deadline passed; waits for the endpoint processes to say what they did. */
  | { readonly kind: 'cancelling', readonly untilMs: number }
  /** The connection broke; waits for the home to say what became of the key. */
  | { readonly kind: 'querying', readonly queryId: string, readonly target: string, readonly sent: boolean, readonly untilMs: number }

/** One request between its receipt and its last reply. */
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
  /** Whether the entry made the key itself, so that only this entry ever sends it. */
  readonly keyIsInternal: boolean
  stage: Stage
  /** Attempts that are not settled, by work id. */
  readonly attempts: Map<string, Attempt>
  readonly triedEndpoints: Set<string>
  attemptsMade: number
  /** Attempt whose answer is relayed. */
  winner: string | undefined
  headSent: boolean
  status: number
  /** Count of chunks that the caller has. */
  relayedChunks: number
  /** Whether an attempt ended without a statement that it did not run. */
  mayHaveRun: boolean
  /** Whether an attempt is known to have run. */
  hasRun: boolean
}

/** An error answer before the outcome rules are applied. */
export interface Failure {
  readonly error: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs?: number
}
