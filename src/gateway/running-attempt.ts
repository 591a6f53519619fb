/** State of the attempt of a request that is in progress. */

import type { EndpointView } from '../plugins/gateway/endpoints.js'
import { ByteCollector } from './byte-collector.js'
import type { EventSplitter } from './events.js'
import type { AnswerKind } from './answer-kind.js'
import type { LivenessPort } from '../plugins/gateway/liveness.js'
import type { AnswerHead, RepeatPolicy } from './model.js'
import { FIRST_EVENT_MIN_MS, PATIENCE_MIN_MS } from './patience.js'
import type { SendableHeaders } from './sendable.js'
import type { Attempt } from './upstream.js'

/** Time in ms for which an event of a stream may be incomplete; endpoints write events as a whole. */
const PARTIAL_EVENT_MAX_MS = 1_000

/** Time in ms after an event for which an endpoint may send comments, but no event; another one must still be in time. */
const COMMENTS_MAX_MS = PATIENCE_MIN_MS - FIRST_EVENT_MIN_MS

/** Checks that must have found a stream stalled: after the gateway itself stood still, the next event waits unread in its socket. */
const STALL_CHECKS_MIN = 3

/** Share of the time limit of an idempotent request without data from its endpoint after which another endpoint is tried; covers endpoints that cannot be probed. */
const INACTIVITY_TIMEOUT_SHARE = 0.4

/** An attempt and what its endpoint has answered so far. */
export interface RunningAttempt {
  readonly attempt: Attempt
  readonly endpoint: EndpointView
  readonly startedAtMs: number
  head: AnswerHead | undefined
  answerKind: AnswerKind | undefined
  /** Body of the answer when it is no stream. */
  readonly body: ByteCollector
  /** Splits the answer when it is a stream. */
  splitter: EventSplitter | undefined
  firstEventMs: number | undefined
  /** Events that the endpoint has sent in this attempt. */
  events: number
  /** Monotonic time in ms since which an event is incomplete or doubtful; undefined when none is. */
  partialSinceMs: number | undefined
  /** Monotonic time in ms of the last event. */
  lastEventMs: number
  /** Whether comments have followed it. */
  hasComments: boolean
  /** Checks since the last event that found bytes after it. */
  stallChecks: number
  /** Monotonic time in ms at which the endpoint last sent part of the answer, or at which the attempt started or reading resumed. */
  lastActivityMs: number
  /** Whether reading is paused because the caller reads more slowly than the endpoint sends. */
  isPaused: boolean
}

/** Number of events of a stream after which it has gone past its beginning. */
const BEGUN_EVENTS = 2

/** A complete answer of an endpoint. */
export interface BufferedAnswer {
  readonly status: number
  readonly headers: SendableHeaders
  readonly body: Buffer
}

/**
 * @param attempt - attempt that was just opened
 * @param endpoint - endpoint that it is sent to
 * @param nowMs - monotonic time in ms
 */
export function createRunningAttempt (attempt: Attempt, endpoint: EndpointView, nowMs: number): RunningAttempt {
  return {
    attempt, endpoint, startedAtMs: nowMs, head: undefined, answerKind: undefined, body: ByteCollector.create(), splitter: undefined, firstEventMs: undefined, events: 0, partialSinceMs: undefined, lastEventMs: nowMs, hasComments: false, stallChecks: 0, lastActivityMs: nowMs, isPaused: false
  }
}

/** @returns the complete answer of an attempt that has ended */
export function assembleAnswer ({ body }: RunningAttempt, { status, headers }: AnswerHead): BufferedAnswer {
  return { status, headers, body: body.join() }
}

/** Whether the answer has gone past its beginning, so that beginning it did not crash the endpoint. */
export function hasBegun ({ events }: RunningAttempt): boolean {
  return events >= BEGUN_EVENTS
}

/** Records bytes of a stream that completed `events` events. */
export function noteStreamBytes (running: RunningAttempt, events: number, nowMs: number): void {
  const isHolding = running.splitter?.isHolding ?? false
  if (events > 0) {
    running.lastEventMs = nowMs
    running.hasComments = false
    running.stallChecks = 0
  } else if (!isHolding) {
    running.hasComments = true
  }
  if (events > 0 || !isHolding) running.partialSinceMs = undefined
  if (isHolding) running.partialSinceMs ??= nowMs
}

/** Starts the times anew after a pause in reading. */
export function noteReadingResumed (running: RunningAttempt, nowMs: number): void {
  running.isPaused = false
  running.lastActivityMs = nowMs
  running.lastEventMs = nowMs
  if (running.partialSinceMs !== undefined) running.partialSinceMs = nowMs
}

/** What the silence of an endpoint is judged by. */
export interface SilenceOptions {
  readonly liveness: Pick<LivenessPort, 'isUnresponsive'>
  readonly repeat: RepeatPolicy
  /** Time in ms from the receipt of the request to its deadline. */
  readonly timeLimitMs: number
  /** Monotonic time in ms. */
  readonly nowMs: number
}

/**
 * Counts a check of an attempt.
 *
 * @returns why another endpoint should take over; undefined while this one makes progress
 */
export function checkSilence (running: RunningAttempt, { liveness, repeat, timeLimitMs, nowMs }: SilenceOptions): string | undefined {
  if (checkStalled(running, nowMs)) return 'stream stalled'
  const isOverdue = repeat === 'idempotent' && nowMs - running.lastActivityMs > INACTIVITY_TIMEOUT_SHARE * timeLimitMs
  return isOverdue || liveness.isUnresponsive(running.endpoint.record.id) ? 'endpoint unresponsive' : undefined
}

/**
 * Counts a check of a stream.
 *
 * @returns whether its endpoint sends bytes but makes no progress. Comments before the first event show that the request waits.
 */
function checkStalled (running: RunningAttempt, nowMs: number): boolean {
  const { partialSinceMs, hasComments, events, lastEventMs } = running
  if (partialSinceMs === undefined && !hasComments) return false
  running.stallChecks += 1
  const isEventOverdue = partialSinceMs !== undefined && nowMs - partialSinceMs > PARTIAL_EVENT_MAX_MS
  const isOnlyCommenting = hasComments && events > 0 && nowMs - lastEventMs > COMMENTS_MAX_MS
  return (isEventOverdue || isOnlyCommenting) && running.stallChecks >= STALL_CHECKS_MIN
}
