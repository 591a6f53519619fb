/** Data model of a gateway: endpoints, routes, teams and limits, as decoded by the adapter of a platform. */

import type { LimitStatement } from '../plugins/gateway/named-limits.js'
import type { PauseStatement } from '../plugins/gateway/notices.js'
import type { Either } from 'purify-ts'
import type { EventId } from './event-id.js'
import type { SendableHeaders } from './sendable.js'

/** Largest head of a request in bytes that is read at all; the platform's configuration may set less. */
export const HEADER_BYTES_MAX = 64 * 1024

/** Address that a process listens on. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** One incarnation of an endpoint as the store lists it. */
export interface EndpointRecord {
  readonly id: string
  /** Start of this incarnation in Unix ms; 0 when the endpoint does not report it. */
  readonly bornMs: number
  readonly service: string
  readonly address: Address
  readonly domain: string
  readonly state: 'ready' | 'draining'
  /** Number of requests that the endpoint runs concurrently. */
  readonly slots: number
  /** Remaining time in ms for which the endpoint is cold. */
  readonly coldRemainingMs: number
}

/** Whether a request of a route may run more than once. */
export type RepeatPolicy =
  /** May run more than once. */
  | 'idempotent'
  | 'at-most-once'
  /** Event stream that may be restarted or resumed after an event. */
  | 'resumable-stream'
  | 'at-most-once-stream'

/** A service and its weight among the services of a route. */
export interface RouteShare {
  readonly service: string
  readonly weight: number
}

/** One route of the configuration. */
export interface Route {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly repeat: RepeatPolicy
  /** Longest time until the answer is complete, in ms. */
  readonly timeoutMs: number
  /** Target for the time to the answer, or to the first event of a stream, in ms. */
  readonly latencyTargetMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly shares: readonly RouteShare[]
  /** Largest number of endpoints that one request may be sent to. */
  readonly attemptsMax: number
  readonly isPublic: boolean
}

/** Performance and expert layout of a model engine, as configured. */
export interface EngineSpec {
  readonly slots: number
  /** Steps that a pass makes when it has decoding requests. */
  readonly stride: number
  readonly stepMs: number
  /** Additional duration of a step for each decoding request, in ms. */
  readonly perRequestMs: number
  /** Prompt tokens processed per second. */
  readonly readPerS: number
  /** Mean numbers of tokens of a prompt and of an answer. */
  readonly promptTokens: number
  readonly answerTokens: number
  /** Number of expert layers, each with a map of its own; 0 without experts. */
  readonly layers: number
  readonly experts: number
  /** Largest number of experts that a rank holds in one layer. */
  readonly slotsPerRank: number
  /** Largest number of experts of one layer that a rank can copy in one change. */
  readonly spare: number
  /** Size of the weights of one expert in MB. */
  readonly expertMb: number
  readonly linkMbps: number
  /** Share of the work per token that is done by experts; 0 to 1. */
  readonly expertShare: number
}

/** One service of the configuration. */
export interface ServiceSpec {
  readonly name: string
  /** Requests per second that a cold endpoint can take; 0 when endpoints are never cold. */
  readonly coldPerS: number
  readonly engine?: EngineSpec
}

/** A team that a credential belongs to. */
export interface TeamRef {
  readonly name: string
  /** 0 is the most urgent; undefined when the route decides. */
  readonly priority?: number
}

/** Limits on the size and duration of what callers send. */
export interface CallerLimits {
  readonly headerBytesMax: number
  readonly bodyBytesMax: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the configuration of a gateway. */
export interface GatewayConfiguration {
  readonly version: number
  /** Routes by host name, longest path prefix first. */
  readonly routes: ReadonlyMap<string, readonly Route[]>
  readonly services: ReadonlyMap<string, ServiceSpec>
  /** Teams by credential; undefined when requests need no credential. */
  readonly teams?: ReadonlyMap<string, TeamRef>
  readonly limits: CallerLimits
}

/** A request of a caller, as decoded by the adapter. */
export interface CallerRequest {
  readonly requestId: string
  readonly host: string
  /** Path that `node:http` can send. */
  readonly path: string
  readonly headers: SendableHeaders
  readonly credential?: string
  /** How long the caller waits for the answer, in ms. */
  readonly deadlineMs?: number
  /** Last event that the caller received of a broken stream, which is resumed after it. */
  readonly lastEventId?: EventId
  /** Number of tokens of the prompt. */
  readonly promptTokens?: number
  /** Largest number of tokens of the answer. */
  readonly answerTokensMax?: number
  /** Number of tokens that the caller expects the answer to have. */
  readonly answerTokensHint?: number
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedParts?: readonly string[]
}

/** Values that an attempt adds to the headers of the caller. */
export interface AttemptHeaders {
  readonly endpointId: string
  readonly deadlineLeftMs: number
  readonly team?: string
  readonly priority: number
  /** Event after which the stream is resumed. */
  readonly lastEventId?: EventId
  readonly bodyBytes: number
}

/** Head of an answer of an endpoint. */
export interface AnswerHead {
  /** 200 to 599. */
  readonly status: number
  /** Headers that are passed on to the caller. */
  readonly headers: SendableHeaders
  readonly requestId?: string
  /** Whether it proves which endpoint sent it. */
  readonly isProven: boolean
  /** Whether the body ends with the connection, as it has neither a length nor chunks. */
  readonly isUnframed: boolean
  /** Whether the body is encoded, so that it is not the one that the endpoint made. */
  readonly isEncoded: boolean
  /** Whether the endpoint guarantees that the request did not run. */
  readonly notRun: boolean
  /** Whether its status tells the caller that the request did not run, which is true only with `notRun`. */
  readonly claimsNotRun: boolean
  /** Whether the address belongs to another endpoint or incarnation than the request was meant for. */
  readonly misdirected: boolean
  /** Rate that the endpoint says it takes. */
  readonly limit: LimitStatement
  /** Whether the endpoint says that it leaves. */
  readonly isLeaving: boolean
  /** For how long the endpoint, which has refused the request, wants no others. */
  readonly pause: PauseStatement
  /** Lost endpoint because of which this one refused. */
  readonly faultyEndpoint?: string
}

/** Headers as received, with names and values alternating. */
export type RawHeaders = readonly string[]

/** Translation between a platform's HTTP headers and the types above. */
export interface Dialect {
  /** Decodes a request, or says why it is malformed or cannot be sent on. */
  parseRequest (path: string, headers: RawHeaders): Either<string, CallerRequest>
  /** Decodes the id of an event. */
  parseEventId (text: string): EventId | undefined
  buildAttempt (headers: SendableHeaders, attempt: AttemptHeaders): Record<string, string | string[]>
  /** Decodes the head of an answer, or says why it cannot be one. */
  parseAnswer (status: number, headers: RawHeaders): Either<string, AnswerHead>
  /** Headers of an answer that the gateway itself sends; `retryAfterMs` is the time until the caller should retry. */
  buildRefusal (requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>
}
