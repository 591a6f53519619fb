/** Decides what an answer of an endpoint is, from its head and the request that it should belong to. */

import type { AnswerHead, RepeatPolicy } from './model.js'
import { isStream, mayRunAgain } from './repeat.js'

/** What an answer is; all but `broken` are decided by its head and hold once it is complete. */
export type AnswerKind =
  /** Events that are passed on as they arrive. */
  | { readonly kind: 'stream' }
  /** Answer that is passed on when it is complete. */
  | { readonly kind: 'whole' }
  /** The endpoint states that the request did not run. */
  | { readonly kind: 'refused' }
  /** Another endpoint has the address. */
  | { readonly kind: 'misdirected' }
  /** Its status claims that the request did not run, but the endpoint does not state it. */
  | { readonly kind: 'unclear-refusal' }
  /** The endpoint ran the request and failed. */
  | { readonly kind: 'failure' }
  /** Complete answer to the rest of a stream that is no stream. */
  | { readonly kind: 'no-continuation' }
  /** The answer does not belong to the request, or is none. */
  | { readonly kind: 'broken', readonly reason: string }

/** The request that an answer should belong to. */
export interface AnsweredRequest {
  readonly requestId: string
  readonly repeat: RepeatPolicy
  /** Whether the caller has received the beginning of the stream. */
  readonly hasBegun: boolean
}

/**
 * @param head - decoded head of the answer
 * @param request - request that was sent
 * @returns what the answer is
 */
export function classifyAnswer (head: AnswerHead, { requestId, repeat, hasBegun }: AnsweredRequest): AnswerKind {
  const { status } = head
  if (head.requestId !== undefined && head.requestId !== requestId) return { kind: 'broken', reason: 'answer to another request' }
  if (head.misdirected) return { kind: 'misdirected' }
  if (head.notRun && status >= 400) return { kind: 'refused' }
  if (head.claimsNotRun && !mayRunAgain(repeat)) return { kind: 'unclear-refusal' }
  if (status >= 500) return { kind: 'failure' }
  const fault = findFault(head)
  if (fault !== undefined) return { kind: 'broken', reason: fault }
  if (status === 200 && isStream(repeat)) return { kind: 'stream' }
  return hasBegun ? { kind: 'no-continuation' } : { kind: 'whole' }
}

/** Why an answer that is no failure was not made by an endpoint for this request. */
function findFault ({ requestId, isProven, isEncoded, notRun }: AnswerHead): string | undefined {
  if (requestId === undefined) return 'answer without an id'
  if (!isProven) return 'answer without a proof'
  if (isEncoded) return 'encoded answer'
  return notRun ? 'success that says that it did not run' : undefined
}
