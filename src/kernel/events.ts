/** Events that the edge, the I/O layer, dispatches to the kernel, or that plug-ins raise. */

import type { Configuration } from './configuration.js'
import type { ErrorKind, Outcome } from './errors.js'
import type { EndpointState, HeaderList, Message, ProcessRef, Submit } from '../protocol/messages.js'

/** A request from a caller, authenticated and within the size limits. */
export interface RequestReceived {
  readonly kind: 'request-received'
  readonly requestId: string
  readonly team: string
  /** Service name; for models it is looked up by the `model` field of the body. */
  readonly service: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array
  readonly bodyHash: string
  readonly fingerprint: string
  /** Hash of the start of the prompt, for prefix affinity; models only. */
  readonly prefixHash?: string
  /** Text of the idempotency key header. */
  readonly keyText?: string
  /** Deadline that the caller requested, in ms; the deadline of the profile is the upper limit. */
  readonly deadlineMs?: number
}

/** Result of a platform call. `unknown` means that the response was lost or the call timed out. */
export type PlatformResult =
  | { readonly kind: 'found', readonly value: string, readonly revision: number }
  | { readonly kind: 'missing' }
  | { readonly kind: 'written', readonly revision: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' }

/** Load and state that the endpoint itself reports; a report may arrive late. */
export interface EndpointReport {
  readonly healthy: boolean
  /** Changes each time the endpoint starts. */
  readonly startId: string
  /** 0 (cold) to 1 (warm). */
  readonly warmth: number
  readonly stepMs?: number
  /** Current decoding step; ranks of a group only. */
  readonly step?: number
  /** Tokens per layer and expert slot since the last report; ranks of a group only. */
  readonly expertCounts?: readonly (readonly number[])[]
}

/** One event of a dispatch. */
export type KernelEvent =
  /** Periodic timer of the edge, at an interval of `TICK_MS`. */
  | { readonly kind: 'tick' }
  | { readonly kind: 'leave-requested', readonly deadlineMs: number }
  | { readonly kind: 'peer-connected', readonly peer: ProcessRef }
  /**
   * A connection has ended. The membership plug-in raises this event itself when
   * it emits `disconnect`; the edge dispatches it only when a connection is lost.
   */
  | { readonly kind: 'peer-disconnected', readonly peer: ProcessRef }
  /** Asks the membership plug-in to connect to an endpoint outside the subset that this entry keeps connections to. */
  | { readonly kind: 'peer-wanted', readonly peer: string }
  /** The platform's list of hosts; it may be out of date. */
  | { readonly kind: 'hosts-listed', readonly live: readonly string[], readonly leaving: readonly string[] }
  | { readonly kind: 'message-received', readonly peer: ProcessRef, readonly message: Message }
  | { readonly kind: 'platform-answered', readonly callId: string, readonly result: PlatformResult }
  /** A configuration read from the platform or sent by a peer; accepted only when newer. */
  | { readonly kind: 'configuration-offered', readonly configuration: Configuration, readonly source: string }
  /** A configuration root and parts, as JSON text from the platform or a peer; parts that this process already holds may be absent. */
  | { readonly kind: 'configuration-read', readonly root: string, readonly parts: readonly (readonly [hash: string, json: string])[], readonly source: string }
  /** Raised by the configuration plug-in when a newer version has come into force. */
  | { readonly kind: 'configuration-changed', readonly version: number }
  /* entry role */
  | RequestReceived
  | { readonly kind: 'caller-gone', readonly requestId: string }
  | { readonly kind: 'address-requested', readonly lookupId: string, readonly services: readonly string[] }
  | { readonly kind: 'outcome-requested', readonly lookupId: string, readonly team: string, readonly keyText: string }
  /* endpoint role */
  | { readonly kind: 'work-offered', readonly work: Submit }
  | { readonly kind: 'work-refused', readonly workId: string, readonly error: ErrorKind, readonly outcome: Outcome, readonly retryAfterMs?: number }
  /** Raised by the admission plug-in for each piece of work that it accepts, before the work starts. */
  | { readonly kind: 'work-queued', readonly workId: string, readonly queued: number, readonly waitMs: number }
  | { readonly kind: 'work-started', readonly workId: string }
  | { readonly kind: 'endpoint-head', readonly workId: string, readonly status: number, readonly headers: HeaderList }
  | { readonly kind: 'endpoint-chunk', readonly workId: string, readonly data: Uint8Array }
  | { readonly kind: 'endpoint-ended', readonly workId: string }
  /** `sent` is false only when no byte of the request has reached the endpoint. */
  | { readonly kind: 'endpoint-failed', readonly workId: string, readonly sent: boolean }
  | { readonly kind: 'endpoint-crashed', readonly crashId: string }
  | { readonly kind: 'endpoint-reported', readonly report: EndpointReport }
  /** The endpoint has carried out or refused an order. */
  | { readonly kind: 'order-answered', readonly orderId: string, readonly accepted: boolean, readonly fence: number }

/** Discriminator of an event. */
export type EventKind = KernelEvent['kind']

export type { EndpointState }
