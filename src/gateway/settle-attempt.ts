/** Gives back what an attempt holds, and records how it ended. */

import type { AttemptResult } from '../plugins/gateway/selection.js'
import type { GatewayContext } from './context.js'
import type { CallerRequest } from './model.js'
import { formatParts } from './part-names.js'
import type { RunningAttempt } from './running-attempt.js'

/** How an attempt ended. */
export interface AttemptEnd {
  readonly request: CallerRequest
  readonly service: string
  readonly result: AttemptResult
  /** Why it brought no answer to pass on; empty when it did. */
  readonly reason: string
  /** Events that the caller has received, from all attempts. */
  readonly events: number
}

/**
 * @param context - shared context of the gateway
 * @param running - attempt that has ended or was aborted
 * @param end - how it ended
 */
export function settleAttempt (context: GatewayContext, running: RunningAttempt, { request, service, result, reason, events }: AttemptEnd): void {
  context.memory.releaseAnswer(running)
  const nowMs = context.getNowMs()
  const { id, address } = running.endpoint.record
  context.selection.noteEnd(id, result, running.firstEventMs ?? nowMs - running.startedAtMs, nowMs)
  const { bytes } = running.attempt
  context.domainTraffic.note('request', address.host, bytes)
  if (result === 'ok') {
    context.retryAfter.noteServed(service, nowMs)
    context.domainShares.noteRequest(service, bytes)
  }
  context.metrics.count('attempts', result)
  if (result === 'ok') return
  context.log('attempt-ended', {
    request: request.requestId, endpoint: id, result, reason, status: running.head?.status ?? 0, elapsedMs: Math.round(nowMs - running.startedAtMs), events, attemptEvents: running.events, parts: formatParts(request.sharedParts ?? [])
  })
}
