/** State of the attempt of a request that is in progress. */

import type { EndpointView } from '../plugins/gateway/endpoints.js'
import { EventSplitter } from './events.js'
import type { AnswerHead, RawHeaders } from './model.js'
import type { Attempt } from './upstream.js'

/** Time in ms for which an event of a stream may be incomplete; endpoints write events as a whole. */
const PARTIAL_EVENT_MAX_MS = 1_000

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
    attempt, endpoint, startedAtMs: nowMs, status: 0, head: undefined, headers: [], chunks: [], splitter: undefined, firstEventMs: undefined, events: 0, partialSinceMs: undefined, lastActivityMs: nowMs, isPaused: false
  }
}

/** Whether the answer has gone past its beginning, so that beginning it did not crash the endpoint. */
export function hasBegun ({ events }: RunningAttempt): boolean {
  return events >= BEGUN_EVENTS
}

/** Records whether the stream has an incomplete event after `hasCompleted` tells whether others were completed. */
export function notePartialEvent (running: RunningAttempt, hasCompleted: boolean, nowMs: number): void {
  const isPartial = running.splitter?.isPartial ?? false
  if (hasCompleted || !isPartial) running.partialSinceMs = undefined
  if (isPartial) running.partialSinceMs ??= nowMs
}

/** Whether an event has been incomplete for so long that the endpoint is not sending one. */
export function isEventOverdue ({ partialSinceMs }: RunningAttempt, nowMs: number): boolean {
  return partialSinceMs !== undefined && nowMs - partialSinceMs > PARTIAL_EVENT_MAX_MS
}
