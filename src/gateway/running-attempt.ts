/** State of the attempt of a request that is in progress. */

import type { EndpointView } from '../plugins/gateway/endpoints.js'
import { EventSplitter } from './events.js'
import type { AnswerHead, RawHeaders } from './model.js'
import type { Attempt } from './upstream.js'

/** Time in ms for which an event of a stream may be incomplete; endpoints write events as a whole. */
const PARTIAL_EVENT_MAX_MS = 1_000

/** Checks that must have found an event incomplete: after the gateway itself stood still, the rest of the event waits unread in its socket. */
const PARTIAL_CHECKS_MIN = 3

/** An attempt and what its endpoint has answered so far. */
export interface RunningAttempt {
  readonly attempt: Attempt
  readonly endpoint: EndpointView
  readonly startedAtMs: number
  status: number
  head: AnswerHead | undefined
  headers: RawHeaders
  chunks: Buffer[]
  /** Splits the answer when it is a stream. */
  splitter: EventSplitter | undefined
  firstEventMs: number | undefined
  /** Events that the endpoint has sent in this attempt. */
  events: number
  /** Monotonic time in ms since which an event is incomplete; undefined when none is. */
  partialSinceMs: number | undefined
  /** Checks since then that found it incomplete. */
  partialChecks: number
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
  readonly headers: RawHeaders
  readonly body: Buffer
}

/**
 * @param attempt - attempt that was just opened
 * @param endpoint - endpoint that it is sent to
 * @param nowMs - monotonic time in ms
 */
export function createRunningAttempt (attempt: Attempt, endpoint: EndpointView, nowMs: number): RunningAttempt {
  return {
    attempt, endpoint, startedAtMs: nowMs, status: 0, head: undefined, headers: [], chunks: [], splitter: undefined, firstEventMs: undefined, events: 0, partialSinceMs: undefined, partialChecks: 0, lastActivityMs: nowMs, isPaused: false
  }
}

/** Whether the answer has gone past its beginning, so that beginning it did not crash the endpoint. */
export function hasBegun ({ events }: RunningAttempt): boolean {
  return events >= BEGUN_EVENTS
}

/** Records whether the stream has an incomplete event after `hasCompleted` tells whether others were completed. */
export function notePartialEvent (running: RunningAttempt, hasCompleted: boolean, nowMs: number): void {
  const isPartial = running.splitter?.isPartial ?? false
  if (hasCompleted || !isPartial) {
    running.partialSinceMs = undefined
    running.partialChecks = 0
  }
  if (isPartial) running.partialSinceMs ??= nowMs
}

/** Counts a check. @returns whether an event has been incomplete for so long that the endpoint is not sending one */
export function checkEventOverdue (running: RunningAttempt, nowMs: number): boolean {
  if (running.partialSinceMs === undefined) return false
  running.partialChecks += 1
  return nowMs - running.partialSinceMs > PARTIAL_EVENT_MAX_MS && running.partialChecks >= PARTIAL_CHECKS_MIN
}
