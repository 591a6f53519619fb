/** Messages to attempts. */

import type { AttachedAttempt } from './execution.js'
import type { StoredResponse } from './table.js'
import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import type { Context } from '../../kernel/plugin.js'
import type { Message } from '../../protocol/messages.js'

/** Error and outcome sent to an attempt that gets no response. */
export interface Refusal {
  readonly error: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs?: number | undefined
}

export function sendToAttempt (attempt: AttachedAttempt, message: Message, context: Context): void {
  context.emit({ kind: 'send', peer: attempt.peer, message })
}

export function sendRefused (attempt: AttachedAttempt, refusal: Refusal, context: Context): void {
  const { error, outcome, retryAfterMs } = refusal
  const configVersion = context.getPort('configuration').getCurrent().version
  const retryAfter = retryAfterMs === undefined ? {} : { retryAfterMs }
  context.emit({ kind: 'count', metric: 'work_refused', label: error })
  sendToAttempt(attempt, { kind: 'refused', workId: attempt.workId, error, outcome, ...retryAfter, configVersion }, context)
}

/** Sends the head and all chunks of a response received so far. */
export function sendResponse (attempt: AttachedAttempt, response: StoredResponse, context: Context): void {
  const { workId } = attempt
  sendToAttempt(attempt, { kind: 'head', workId, status: response.status, headers: response.headers }, context)
  response.chunks.forEach((data, index) => { sendToAttempt(attempt, { kind: 'chunk', workId, index, data }, context) })
}
