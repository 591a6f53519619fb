/** Writes complete answers to callers. */

import type { ServerResponse } from 'node:http'
import { ERROR_RESPONSES } from '../kernel/errors.js'
import type { ErrorKind } from '../kernel/errors.js'
import type { Dialect } from './model.js'
import type { BufferedAnswer } from './running-attempt.js'

/** Passes on the answer of an endpoint. */
export function sendAnswer (response: ServerResponse, dialect: Dialect, method: string, { status, headers, body }: BufferedAnswer): void {
  const hasBody = method !== 'HEAD' && status !== 204 && status !== 304
  response.writeHead(status, [...dialect.buildAnswer(headers), ...(hasBody ? ['Content-Length', String(body.length)] : [])])
  response.end(body)
}

/**
 * Answers with an error of the gateway.
 *
 * @param response - response to write
 * @param dialect - names of the headers
 * @param requestId - id of the request; undefined when it has none
 * @param error - determines the text
 * @param status - HTTP status
 * @param retryAfterMs - time in ms until the caller should retry; undefined when it should not
 */
export function sendRefusal (response: ServerResponse, dialect: Dialect, requestId: string | undefined, error: ErrorKind, status: number, retryAfterMs: number | undefined): void {
  const body = ERROR_RESPONSES[error].message
  response.writeHead(status, { ...dialect.buildRefusal(requestId, retryAfterMs), 'Content-Type': 'text/plain', 'Content-Length': String(Buffer.byteLength(body)) })
  response.end(body)
}
