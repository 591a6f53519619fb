import type { Context } from '../../kernel/plugin.js'
import type { Submit } from '../../protocol/messages.js'
import type { ActiveRequest } from './types.js'

/**
 * @param active - the request; `attemptsMade` already includes the current attempt
 * @returns the id of the current attempt
 */
export function formatWorkId (active: ActiveRequest): string {
  return `${active.received.requestId}-${active.attemptsMade}`
}

/**
 * Builds the message that submits one attempt.
 *
 * @param active - the request
 * @param workId - id of the attempt
 * @param context - time and configuration version
 * @returns the message; a resume continues after the chunks relayed to the caller
 */
export function buildSubmit (active: ActiveRequest, workId: string, context: Context): Submit {
  const { received, profile } = active
  return {
    kind: 'submit',
    workId,
    requestId: received.requestId,
    team: received.team,
    teamWeight: active.teamWeight,
    service: received.service,
    terms: { profile: profile.name, priority: profile.priority, idempotent: active.idempotent, queueMax: profile.queueMax },
    ...(active.key === undefined ? {} : { key: active.key }),
    bodyHash: received.bodyHash,
    fingerprint: received.fingerprint,
    method: received.method,
    path: received.path,
    headers: received.headers,
    body: received.body,
    timeLeftMs: Math.max(0, active.deadlineAtMs - context.nowMs),
    configVersion: context.getPort('configuration').getCurrent().version,
    ...(active.relayedChunks > 0 ? { resumeFrom: active.relayedChunks } : {})
  }
}
