/** Messages to the attempts that wait for an answer. */

import type { AttachedAttempt } from './execution.js'
import type { StoredResponse } from './table.js'
import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import type { Context } from '../../kernel/plugin.js'
import type { Message } from '../../protocol/messages.js'

/** What an attempt is told when it gets no answer. */
export interface Refusal {
  readonly error: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs?: number | undefined
}

export function sendToAttempt (to: AttachedAttempt, message: Message, context: Context): void {
  context.emit({ kind: 'send', peer: to.peer, message })
}

export function sendRefused (to: AttachedAttempt, refusal: Refusal, context: Context): void {
  const { error, outcome, retryAfterMs } = refusal
  const configVersion = context.port('configuration').getCurrent().version
  const wait = retryAfterMs === undefined ? {} : { retryAfterMs }
  context.emit({ kind: 'count', metric: 'work_refused', label: error })
  sendToAttempt(to, { kind: 'refused', workId: to.workId, error, outcome, ...wait, configVersion }, context)
}

/** Sends the answer so far from its first chunk. */
export function sendResponse (to: AttachedAttempt, answer: StoredResponse, context: Context): void {
  const { workId } = to
  sendToAttempt(to, { kind: 'head', workId, status: answer.status, headers: answer.headers }, context)
  answer.chunks.forEach((data, index) => { sendToAttempt(to, { kind: 'chunk', workId, index, data }, context) })
}
