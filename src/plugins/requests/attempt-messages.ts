/** Handles messages of endpoint processes about attempts and keys. */

import type { Context } from '../../kernel/plugin.js'
import type { Cancelled, Chunk, End, Head, QueryAnswer, Refused, RequestKey } from '../../protocol/messages.js'
import type { ErrorKind } from '../../kernel/errors.js'
import { isNamedHomeConnected } from './homes.js'
import type { HomeDirectory } from './homes.js'
import type { Lifecycle } from './lifecycle.js'
import type { ActiveRequest, Attempt } from './types.js'

/** Largest count of attempts that send the same key, the first one included. */
const KEYED_ATTEMPTS_MAX = 3

/** Messages that this module handles. */
export type AttemptMessage = Head | Chunk | End | Refused | Cancelled

/**
 * Handles one message about an attempt; messages about ended attempts are ignored.
 *
 * @param message - the message
 * @param lifecycle - requests in flight
 * @param homes - finds the process that serves a key
 * @param context - time, ports and effects
 */
export function handleAttemptMessage (message: AttemptMessage, lifecycle: Lifecycle, homes: HomeDirectory, context: Context): void {
  const found = lifecycle.findAttempt(message.workId)
  if (found === undefined) return
  const { active, attempt } = found
  switch (message.kind) {
    case 'head':
      handleHead(active, attempt, message, lifecycle, context)
      break
    case 'chunk':
      handleChunk(active, attempt, message, lifecycle, context)
      break
    case 'end':
      handleEnd(active, attempt, message, lifecycle, context)
      break
    case 'refused':
      handleRefused(active, attempt, message, lifecycle, homes, context)
      break
    case 'cancelled':
      lifecycle.settleAttempt(active, attempt, 'refused', context)
      lifecycle.handleLostAttempt(active, { error: 'cancelled', outcome: message.outcome }, context)
      break
  }
}

function handleHead (active: ActiveRequest, attempt: Attempt, message: Head, lifecycle: Lifecycle, context: Context): void {
  if (active.stage.kind === 'cancelling') return
  attempt.headAfterMs = context.nowMs - attempt.sentAtMs
  active.winner = attempt.workId
  lifecycle.cancelOthers(active, attempt.workId, context)
  lifecycle.addTraceStep(active, 'head', `${attempt.endpoint} ${message.status}`, context)
  if (active.headSent) {
    if (message.status !== active.status) lifecycle.abortAttempt(active, attempt, context)
    return
  }
  active.headSent = true
  active.status = message.status
  context.emit({ kind: 'reply-head', requestId: active.received.requestId, status: message.status, headers: message.headers })
  context.emit({ kind: 'observe', metric: 'first_byte_ms', value: context.nowMs - active.receivedAtMs, label: active.received.service })
}

/** Relays the next chunk. A repeated chunk is dropped; a gap aborts the attempt. */
function handleChunk (active: ActiveRequest, attempt: Attempt, message: Chunk, lifecycle: Lifecycle, context: Context): void {
  if (active.winner !== attempt.workId || active.stage.kind === 'cancelling' || message.index < attempt.chunkCount) return
  if (message.index > attempt.chunkCount) {
    lifecycle.abortAttempt(active, attempt, context)
    return
  }
  attempt.chunkCount += 1
  active.relayedChunks += 1
  context.emit({ kind: 'reply-chunk', requestId: active.received.requestId, data: message.data })
}

function handleEnd (active: ActiveRequest, attempt: Attempt, message: End, lifecycle: Lifecycle, context: Context): void {
  if (active.stage.kind === 'cancelling') {
    lifecycle.settleAttempt(active, attempt, 'ok', context)
    lifecycle.handleLostAttempt(active, { error: 'cancelled', outcome: 'run' }, context)
    return
  }
  if (active.winner !== attempt.workId || message.chunks !== attempt.chunkCount) {
    lifecycle.abortAttempt(active, attempt, context)
    return
  }
  lifecycle.settleAttempt(active, attempt, 'ok', context)
  lifecycle.finish(active, context)
}

function handleRefused (active: ActiveRequest, attempt: Attempt, message: Refused, lifecycle: Lifecycle, homes: HomeDirectory, context: Context): void {
  lifecycle.settleAttempt(active, attempt, message.outcome === 'not-run' ? 'refused' : 'failed', context)
  const { error, outcome, retryAfterMs } = message
  // A definite outcome from the home also covers earlier attempts with the same key.
  if (active.key !== undefined && outcome !== 'unknown') active.mayHaveRun = false
  if (outcome === 'unknown' && active.key !== undefined && followMove(active, active.key, attempt, error, lifecycle, homes, context)) return
  lifecycle.handleLostAttempt(active, { error, outcome, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }, context)
}

/**
 * Resends a key that was refused with an unknown outcome during a planned leave.
 * After a refusal by the leaving home, the key is sent to its successor. After a
 * refusal by the successor, it is sent to the leaving home while that is still
 * connected, because the successor does not know the result of work that still
 * runs there.
 *
 * @returns whether the request continues
 */
function followMove (active: ActiveRequest, key: RequestKey, attempt: Attempt, error: ErrorKind, lifecycle: Lifecycle, homes: HomeDirectory, context: Context): boolean {
  if (active.headSent || active.stage.kind !== 'open' || active.attemptsMade >= KEYED_ATTEMPTS_MAX) return false
  if (attempt.endpoint !== key.home) {
    if (!isNamedHomeConnected(key, context)) return false
    lifecycle.rejoin(active, key.home, context)
    return true
  }
  if (error !== 'leaving') return false
  if (homes.findHome(key, context).id === key.home) lifecycle.waitForMove(active, key.home, context)
  else lifecycle.sendAttempt(active, context)
  return true
}

/**
 * Handles a home's answer on the state of a key after its connection was lost.
 * If the work runs or has run, the same key is resent: the home attaches the
 * attempt to the running work or repeats the stored response, and never runs it
 * twice.
 *
 * @param active - the request that waits for the answer
 * @param message - the answer
 * @param lifecycle - requests in flight
 * @param context - time, ports and effects
 */
export function handleQueryAnswer (active: ActiveRequest, message: QueryAnswer, lifecycle: Lifecycle, context: Context): void {
  if (active.stage.kind !== 'querying' || active.stage.queryId !== message.queryId) return
  const target = active.stage.target
  lifecycle.addTraceStep(active, 'home-answered', `${target} ${message.state}`, context)
  const hasStarted = message.state === 'run' || message.state === 'running'
  if (hasStarted && !active.headSent && active.attemptsMade < KEYED_ATTEMPTS_MAX && context.nowMs < active.deadlineAtMs) {
    lifecycle.rejoin(active, target, context)
    return
  }
  if (message.state === 'run') active.hasRun = true
  if (message.state === 'not-run') active.mayHaveRun = false
  const outcome = message.state === 'running' ? 'unknown' : message.state
  lifecycle.fail(active, { error: active.headSent ? 'stream-broken' : 'connection-lost', outcome }, context)
}
