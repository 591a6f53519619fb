/** Estimates of a request from what its caller and its route say: its work, and until when it is useful to start it. */

import type { ExchangeOptions } from './exchange-options.js'
import type { CallerRequest } from './model.js'
import { FIRST_EVENT_MIN_MS, computePatienceMs } from './patience.js'
import type { RoomWait } from './room-order.js'
import { isReturned } from './urgency.js'

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
  return {
    requestId: request.requestId,
    service,
    team: team?.name ?? '',
    priority: team?.priority ?? route.priority,
    tokens: countTokens(request),
    isReturned: isReturned(route, request.deadlineMs),
    onTimeUntilMs: receivedAtMs + route.latencyTargetMs - firstEventMs,
    untilMs: Math.min(receivedAtMs + computePatienceMs(route.latencyTargetMs), deadlineAtMs) - Math.max(FIRST_EVENT_MIN_MS, firstEventMs)
  }
}
