/** Estimates of a request from what its caller and its route say: its work, and until when it is useful to start it. */

import type { ExchangeOptions } from './exchange-options.js'
import type { CallerRequest } from './model.js'
import type { RoomWait } from './room-order.js'
import { isReturned } from './urgency.js'

/** Shortest time in ms without an event after which callers leave, and the number of latency targets when that is longer. */
const PATIENCE_MIN_MS = 2_000
const PATIENCE_TARGETS = 4

/** Shortest time in ms allowed for the first event after the latest start. */
const FIRST_EVENT_MIN_MS = 500

/** @returns tokens of memory that the request takes at an endpoint at most; 0 when its caller does not say */
export function countTokens ({ promptTokens = 0, answerTokensMax = 0, answerTokensHint }: Pick<CallerRequest, 'promptTokens' | 'answerTokensMax' | 'answerTokensHint'>): number {
  return promptTokens + Math.min(answerTokensMax, answerTokensHint ?? answerTokensMax)
}

/**
 * @param exchange - the request
 * @param deadlineAtMs - monotonic time in ms at which its caller leaves
 * @param firstEventMs - mean time in ms from the start of a request to its first event
 * @returns what decides on its turn when it has to wait for a slot
 */
export function buildRoomWait ({ request, team, route, service, receivedAtMs }: Pick<ExchangeOptions, 'request' | 'team' | 'route' | 'service' | 'receivedAtMs'>, deadlineAtMs: number, firstEventMs: number): RoomWait {
  const patienceMs = Math.max(PATIENCE_MIN_MS, PATIENCE_TARGETS * route.latencyTargetMs)
  return {
    requestId: request.requestId,
    service,
    team: team?.name ?? '',
    priority: team?.priority ?? route.priority,
    tokens: countTokens(request),
    isReturned: isReturned(route, request.deadlineMs),
    onTimeUntilMs: receivedAtMs + route.latencyTargetMs - firstEventMs,
    untilMs: Math.min(receivedAtMs + patienceMs, deadlineAtMs) - Math.max(FIRST_EVENT_MIN_MS, firstEventMs)
  }
}
