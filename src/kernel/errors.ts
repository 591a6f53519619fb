/**
 * All error kinds, and the response that callers get for each.
 */

/** Whether a request was run, as far as it is known. */
export type Outcome = 'run' | 'not-run' | 'unknown'

/** Response to a caller for one error kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number
  /** Whether the entry may retry an idempotent request elsewhere. */
  readonly retryable: boolean
  /** Human-readable text; contains no caller data. */
  readonly message: string
}

/** Responses by error kind; the keys are all error kinds. */
export const ERROR_RESPONSES = {
  'bad-request': { status: 400, retryable: false, message: 'The request is malformed.' },
  'key-malformed': { status: 400, retryable: false, message: 'The idempotency key is malformed.' },
  'key-without-token': { status: 400, retryable: false, message: 'The idempotency key does not start with a key token from /v1/address.' },
  unauthenticated: { status: 401, retryable: false, message: 'The credential is missing or wrong.' },
  forbidden: { status: 403, retryable: false, message: 'The team may not use this service.' },
  'unknown-service': { status: 404, retryable: false, message: 'No such service or model.' },
  'unknown-path': { status: 404, retryable: false, message: 'No such path.' },
  'key-reused': { status: 422, retryable: false, message: 'The idempotency key was used with another request body.' },
  'key-closed': { status: 409, retryable: false, message: 'The idempotency key was refused before and is closed; take a new key.' },
  'key-expired': { status: 409, retryable: false, message: 'The idempotency key is older than the record time.' },
  'home-lost': { status: 409, retryable: false, message: 'The process that held the idempotency key is gone.' },
  'answer-not-kept': { status: 409, retryable: false, message: 'The request ran; its answer is no longer kept.' },
  'body-too-large': { status: 413, retryable: false, message: 'The request body exceeds the limit.' },
  quarantined: { status: 422, retryable: false, message: 'The request crashed endpoints and is refused.' },
  overloaded: { status: 503, retryable: true, message: 'The queue is full.' },
  'deadline-unreachable': { status: 503, retryable: false, message: 'The request cannot finish before its deadline.' },
  'deadline-exceeded': { status: 504, retryable: false, message: 'The deadline passed.' },
  'domain-out': { status: 503, retryable: true, message: 'The failure domain is out of service.' },
  leaving: { status: 503, retryable: true, message: 'The endpoint is leaving.' },
  'no-endpoint': { status: 503, retryable: true, message: 'No endpoint is available.' },
  'no-configuration': { status: 503, retryable: true, message: 'No configuration is known yet.' },
  'configuration-stale': { status: 503, retryable: true, message: 'The entry uses an older configuration.' },
  'process-paused': { status: 503, retryable: true, message: 'The endpoint process was paused and dropped its queue.' },
  'endpoint-failed': { status: 502, retryable: true, message: 'The endpoint failed.' },
  'connection-lost': { status: 502, retryable: true, message: 'The connection to the endpoint process was lost.' },
  'stream-broken': { status: 502, retryable: false, message: 'The stream broke and could not be resumed.' },
  cancelled: { status: 499, retryable: false, message: 'The caller cancelled the request.' },
  'records-full': { status: 503, retryable: true, message: 'The record table is full.' },
  'platform-unavailable': { status: 503, retryable: false, message: 'The platform does not answer.' },
  'version-conflict': { status: 409, retryable: false, message: 'Another operator changed the configuration.' },
  internal: { status: 500, retryable: false, message: 'Internal error.' }
} as const satisfies Record<string, ErrorResponse>

/** Key of `ERROR_RESPONSES`. */
export type ErrorKind = keyof typeof ERROR_RESPONSES

/**
 * Marks a switch as exhaustive.
 *
 * @param value - the value that no case handled
 * @returns never
 * @throws Error when reached at run time
 */
export function assertNever (value: never): never {
  throw new Error(`unhandled case: ${JSON.stringify(value)}`)
}
