/** Writes complete answers to callers, and decides when refused ones should come back. */

import type { ServerResponse } from 'node:http'
import { ERROR_RESPONSES } from '../kernel/errors.js'
import type { ErrorKind } from '../kernel/errors.js'
import type { RefusalCause } from '../plugins/gateway/retry-after.js'
import type { GatewayContext } from './context.js'
import type { Dialect } from './model.js'
import type { BufferedAnswer } from './running-attempt.js'

/** Largest share of the time left for which callers wait before they come back. */
const RETRY_AFTER_SHARE_MAX = 1 / 3

/** A request that did not run and is refused. */
export interface Refusal {
  readonly service: string
  readonly error: ErrorKind
  /** Whether the last endpoint refused because its group has lost a rank. */
  readonly isGroupLost: boolean
  /** Monotonic time in ms at which the caller leaves. */
  readonly deadlineAtMs: number
}

/** @returns time in ms until the caller should retry; undefined for a request that crashes endpoints, which should not be retried */
export function computeRetryAfterMs (context: Pick<GatewayContext, 'findPauseMs' | 'recovery' | 'retryAfter' | 'getNowMs' | 'pickFloat'>, refusal: Refusal): number | undefined {
  if (refusal.error === 'quarantined') return undefined
  return context.retryAfter.computeRetryAfterMs(refusal.service, buildRefusalCause(context, refusal), context.pickFloat(), context.getNowMs())
}

/** @returns what decides when the caller of a refused request should retry */
export function buildRefusalCause (context: Pick<GatewayContext, 'findPauseMs' | 'recovery' | 'getNowMs'>, { service, error, isGroupLost, deadlineAtMs }: Refusal): RefusalCause {
  const pauseMs = context.findPauseMs(service)
  if (pauseMs !== undefined) return { kind: 'paused', remainingMs: pauseMs }
  const remainingMs = context.recovery.findRemainingMs(service)
  const isLost = error === 'no-endpoint' || isGroupLost || remainingMs !== undefined
  const longestMs = Math.max(0, RETRY_AFTER_SHARE_MAX * (deadlineAtMs - context.getNowMs()))
  return isLost ? { kind: 'lost', remainingMs, longestMs } : { kind: 'full' }
}

/** Passes on the answer of an endpoint. */
export function sendAnswer (response: ServerResponse, method: string, { status, headers, body }: BufferedAnswer): void {
  const hasBody = method !== 'HEAD' && status !== 204 && status !== 304
  response.writeHead(status, [...headers, ...(hasBody ? ['Content-Length', String(body.length)] : [])])
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
