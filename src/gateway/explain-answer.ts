/** Answers operators' questions about where a request would go, on the listener for metrics. */

import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { parseBearer } from '../edge/security/credentials.js'
import type { ExplainedCaller, ExplainedQuestion, Explanation } from './request-explainer.js'
import type { StatusAnswer } from './status-listener.js'

/** Path that questions are sent to. */
export const EXPLAIN_PATH = '/explain'

/** Header with the credential of the caller that a request is explained for. */
export const CREDENTIAL_HEADER = 'x-explain-credential'

/** Largest number of tokens of a question. */
const TOKENS_MAX = 1_000_000_000

/** A request on the listener. */
export interface StatusRequest {
  readonly path: string
  readonly headers: IncomingHttpHeaders
}

/**
 * @param request - path with its query, and headers
 * @param key - key of the operators; undefined when nothing is explained
 * @param explain - explains one request
 * @returns the answer; undefined for another path
 */
export function answerExplain ({ path, headers }: StatusRequest, key: string | undefined, explain: (question: ExplainedQuestion) => Explanation): StatusAnswer | undefined {
  const [address = '', ...query] = path.split('?')
  if (address !== EXPLAIN_PATH) return undefined
  if (key === undefined) return buildError(404, 'unknown-path', 'The settings name no key of operators.')
  if (!verifyKey(parseBearer(headers.authorization), key)) return buildError(401, 'unauthenticated', 'The key is missing or wrong.')
  return parseQuestion(new URLSearchParams(query.join('?')), headers).caseOf({
    Left: reason => buildError(400, 'bad-request', reason),
    Right: question => ({ status: 200, type: 'application/json', body: JSON.stringify(explain(question)) })
  })
}

/** Compares hashes, so that neither the time nor the length tells anything about the key. */
function verifyKey (found: string | undefined, key: string): boolean {
  return timingSafeEqual(hashKey(found ?? ''), hashKey(key)) && found !== undefined
}

function hashKey (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

function buildError (status: number, kind: string, message: string): StatusAnswer {
  return { status, type: 'application/json', body: JSON.stringify({ error: { kind, message } }) }
}

function parseQuestion (query: URLSearchParams, headers: IncomingHttpHeaders): Either<string, ExplainedQuestion> {
  const host = query.get('host') ?? ''
  const path = query.get('path') ?? ''
  const team = query.get('team')
  const credential = headers[CREDENTIAL_HEADER]
  if (host === '') return Left('host is missing')
  if (!path.startsWith('/')) return Left('path must start with /')
  if (team !== null && credential !== undefined) return Left(`team and ${CREDENTIAL_HEADER} exclude each other`)
  const caller: ExplainedCaller = team !== null ? { kind: 'team', team } : typeof credential === 'string' ? { kind: 'credential', credential } : { kind: 'anonymous' }
  return parseTokens(query, 'prompt_tokens').chain(promptTokens =>
    parseTokens(query, 'answer_tokens').map(answerTokens => ({ host: host.replace(/:\d+$/, '').toLowerCase(), path, caller, promptTokens, answerTokens })))
}

function parseTokens (query: URLSearchParams, name: string): Either<string, number | undefined> {
  const text = query.get(name)
  if (text === null) return Right(undefined)
  return /^\d{1,10}$/.test(text) && Number(text) <= TOKENS_MAX ? Right(Number(text)) : Left(`${name} must be a whole number from 0 to ${TOKENS_MAX}`)
}
