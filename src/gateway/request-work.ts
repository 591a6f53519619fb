/** Estimates of a request from what its caller and its route say: its work, and until when it is useful to start it. */

import type { ExchangeOptions } from './exchange-options.js'
import type { CallerRequest, Route } from './model.js'
import { FIRST_EVENT_MIN_MS, computePatienceMs } from './patience.js'
import { ATTEMPT_MIN_MS } from './repeat.js'
import type { RoomWait } from './room-order.js'
import { isReturned } from './urgency.js'

/** Share of the latency target of a route for which a request waits for a permit of an endpoint when no other endpoint can take it. */
const PERMIT_WAIT_SHARE = 0.5

/** What is known of a request that may wait. */
export interface RoomWaitSource extends Pick<ExchangeOptions, 'team' | 'route' | 'service' | 'receivedAtMs'> {
  readonly request: Pick<CallerRequest, 'requestId' | 'deadlineMs' | 'promptTokens' | 'answerTokensMax' | 'answerTokensHint'>
}

/** @returns tokens of memory that the request takes at an endpoint at most; 0 when its caller does not say */
export function countTokens ({ promptTokens = 0, answerTokensMax = 0, answerTokensHint }: Pick<CallerRequest, 'promptTokens' | 'answerTokensMax' | 'answerTokensHint'>): number {
  return promptTokens + Math.min(answerTokensMax, answerTokensHint ?? answerTokensMax)
}

/** @returns longest time in ms for which a request with `leftMs` to go waits for a permit when no endpoint can take it at once */
export function computePermitWaitMs ({ latencyTargetMs }: Pick<Route, 'latencyTargetMs'>, leftMs: number): number {
  return Math.min(PERMIT_WAIT_SHARE * latencyTargetMs, leftMs - ATTEMPT_MIN_MS)
}

/**
 * @param exchange - the request
 * @param deadlineAtMs - monotonic time in ms at which its caller leaves
 * @param firstEventMs - mean time in ms from the start of a request to its first event
 * @returns what decides on its turn when it has to wait for a slot
 */
export function buildRoomWait ({ request, team, route, service, receivedAtMs }: RoomWaitSource, deadlineAtMs: number, firstEventMs: number): RoomWait {
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
