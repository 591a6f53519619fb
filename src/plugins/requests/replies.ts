/** Final replies to callers and the outcomes that they report. */

import type { Outcome } from '../../kernel/errors.js'
import type { Context } from '../../kernel/plugin.js'
import type { ActiveRequest, Failure } from './types.js'

/**
 * Determines the outcome that an error response reports.
 *
 * It is `not-run` only if no attempt can ever run: each one was refused or
 * cancelled with `not-run`, or none was sent and no other process can have the
 * key.
 *
 * @param active - the request
 * @param reportedOutcome - outcome reported by the last endpoint process
 * @returns the outcome to report
 */
export function computeOutcome (active: ActiveRequest, reportedOutcome: Outcome): Outcome {
  if (active.hasRun || reportedOutcome === 'run') return 'run'
  if (active.mayHaveRun || active.attempts.size > 0) return 'unknown'
  if (active.attemptsMade === 0) return active.keyIsInternal ? 'not-run' : 'unknown'
  return reportedOutcome
}

/** Sends the error response of a request. */
export function sendFailure (active: ActiveRequest, failure: Failure, context: Context): Outcome {
  const { requestId } = active.received
  const outcome = computeOutcome(active, failure.outcome)
  context.emit({
    kind: 'reply-error',
    requestId,
    error: failure.error,
    outcome,
    forwarded: active.attemptsMade > 0,
    ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs })
  })
  context.emit({ kind: 'log', event: 'request-refused', fields: { request: requestId, error: failure.error, outcome, forwarded: active.attemptsMade > 0 } })
  context.emit({ kind: 'count', metric: 'requests', label: failure.error })
  return outcome
}

/** Ends a complete response. */
export function sendEnd (active: ActiveRequest, context: Context): void {
  const { requestId } = active.received
  context.emit({ kind: 'reply-end', requestId })
  context.emit({
    kind: 'log',
    event: 'request-finished',
    fields: { request: requestId, status: active.status, chunks: active.relayedChunks, elapsedMs: context.nowMs - active.receivedAtMs }
  })
  context.emit({ kind: 'count', metric: 'requests', label: 'ok' })
}
