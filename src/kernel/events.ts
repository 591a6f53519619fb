/** Events that the edge gives to the kernel, or that plug-ins raise. */

import type { Configuration } from './configuration.js'
import type { ErrorKind, Outcome } from './errors.js'
import type { EndpointState, HeaderList, Message, ProcessRef, Submit } from '../protocol/messages.js'

/** A request from a caller, authenticated and within the size limits. */
export interface RequestReceived {
  readonly kind: 'request-received'
  readonly requestId: string
  readonly team: string
  /** Service name; for models found by the `model` field of the body. */
  readonly service: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array
  readonly bodyHash: string
  readonly fingerprint: string
  /** Hash of the prompt's start, for prefix affinity; models only. */
  readonly prefixHash?: string
  /** Text of the idempotency key header. */
  readonly keyText?: string
  /** Deadline asked for by the caller in ms; never above the profile's. */
  readonly deadlineMs?: number
}

/** What a platform call answered. `unknown` is a lost answer or a timeout. */
export type PlatformResult =
  | { readonly kind: 'found', readonly value: string, readonly revision: number }
  | { readonly kind: 'missing' }
  | { readonly kind: 'written', readonly revision: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' }

/** Load and state as the endpoint itself reports them, possibly late. */
export interface EndpointReport {
  readonly healthy: boolean
  /** Changes with each start of the endpoint. */
  readonly startId: string
  /** 0 (cold) to 1 (warm). */
  readonly warmth: number
  readonly stepMs?: number
  /** Current decoding step; ranks of a group only. */
  readonly step?: number
  /** Tokens per layer and expert slot since the last report; ranks of a group only. */
  readonly expertCounts?: readonly (readonly number[])[]
}

export type KernelEvent =
  /** Regular timer of the edge, each TICK_MS. */
  | { readonly kind: 'tick' }
  | { readonly kind: 'leave-requested', readonly deadlineMs: number }
  | { readonly kind: 'peer-connected', readonly peer: ProcessRef }
  /**
   * The connection is gone. Raised by the membership plug-in after its own
   * `disconnect`; the edge gives it only for connections that it lost itself.
   */
  | { readonly kind: 'peer-disconnected', readonly peer: ProcessRef }
  /** Asks the membership plug-in for a connection to an endpoint outside the subset. */
  | { readonly kind: 'peer-wanted', readonly peer: string }
  /** The platform's list of hosts, which lags. */
  | { readonly kind: 'hosts-listed', readonly live: readonly string[], readonly leaving: readonly string[] }
  | { readonly kind: 'message-received', readonly peer: ProcessRef, readonly message: Message }
  | { readonly kind: 'platform-answered', readonly callId: string, readonly result: PlatformResult }
  /** A configuration read from the platform or sent by a peer; accepted only when newer. */
  | { readonly kind: 'configuration-offered', readonly configuration: Configuration, readonly source: string }
  /** A root and parts as the platform or a peer holds them; parts that are held already may be absent. */
  | { readonly kind: 'configuration-read', readonly root: string, readonly parts: readonly (readonly [hash: string, json: string])[], readonly source: string }
  /** Raised by the configuration plug-in when a newer version is in force. */
  | { readonly kind: 'configuration-changed', readonly version: number }
  /* entry role */
  | RequestReceived
  | { readonly kind: 'caller-gone', readonly requestId: string }
  | { readonly kind: 'address-asked', readonly lookupId: string, readonly services: readonly string[] }
  | { readonly kind: 'outcome-asked', readonly lookupId: string, readonly team: string, readonly keyText: string }
  /* endpoint role */
  | { readonly kind: 'work-offered', readonly work: Submit }
  | { readonly kind: 'work-refused', readonly workId: string, readonly error: ErrorKind, readonly outcome: Outcome, readonly retryAfterMs?: number }
  /** Raised by admission for each offer that it takes, before any start. */
  | { readonly kind: 'work-queued', readonly workId: string, readonly queued: number, readonly waitMs: number }
  | { readonly kind: 'work-started', readonly workId: string }
  | { readonly kind: 'endpoint-head', readonly workId: string, readonly status: number, readonly headers: HeaderList }
  | { readonly kind: 'endpoint-chunk', readonly workId: string, readonly data: Uint8Array }
  | { readonly kind: 'endpoint-ended', readonly workId: string }
  /** `sent` is false only when no byte of the request reached the endpoint. */
  | { readonly kind: 'endpoint-failed', readonly workId: string, readonly sent: boolean }
  | { readonly kind: 'endpoint-crashed', readonly crashId: string }
  | { readonly kind: 'endpoint-reported', readonly report: EndpointReport }
  /** An order to the endpoint was carried out or refused. */
  | { readonly kind: 'order-answered', readonly orderId: string, readonly accepted: boolean, readonly fence: number }

/** Discriminator of an event. */
export type EventKind = KernelEvent['kind']

export type { EndpointState }
