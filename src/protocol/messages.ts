/**
 * Messages between heatherdoor's own processes: a union discriminated by
 * `kind`, encoded as MessagePack and sent over WebSocket connections.
 */

import type { ErrorKind, Outcome } from '../kernel/errors.js'

/** Version of the message union; peers with another version are refused. */
export const PROTOCOL_VERSION = 1

/** Role of a process. */
export type Role = 'entry' | 'endpoint' | 'gateway'

/** Identity of one incarnation of a process. */
export interface ProcessRef {
  /** Process id from the settings; the same after a restart. */
  readonly id: string
  readonly role: Role
  /** Failure domain from settings. */
  readonly domain: string
  /** Host name from settings. */
  readonly host: string
  /** `ip:port` of the peer listener. */
  readonly address: string
  /** Number that increases with each start of the process. */
  readonly incarnation: number
}

/** Priority class of work. */
export type PriorityClass = 'urgent' | 'normal' | 'background'

/** Values of the profile that are sent with each piece of work. */
export interface WorkTerms {
  readonly profile: string
  readonly priority: PriorityClass
  /** Whether the work may run more than once. */
  readonly idempotent: boolean
  /** Maximum number of waiting requests of this profile at one endpoint. */
  readonly queueMax: number
}

/** Idempotency key; the record table scopes it to a team and a service. */
export interface RequestKey {
  /** Id of the home: the endpoint process that may run requests with this key and records their outcome. */
  readonly home: string
  readonly incarnation: number
  /** Time window of the home in which the key token was issued. */
  readonly window: number
  /** Full text of the key as the caller sent it. */
  readonly text: string
}

/** Headers as pairs of name and value. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

/** First message on each connection, in both directions. */
export interface Hello {
  readonly kind: 'hello'
  readonly protocol: number
  readonly process: ProcessRef
  readonly configVersion: number
  /** Random text that the peer signs. */
  readonly nonce: string
  /** HMAC with the cluster secret over the receiver's nonce and this process; empty in the first hello. */
  readonly proof: string
}

/** Load and state of an endpoint process, sent with its heartbeats. */
export interface EndpointState {
  readonly service: string
  /** Current time window, by the clock of this process. */
  readonly window: number
  readonly running: number
  readonly queued: number
  /** Current maximum number of concurrent requests. */
  readonly cap: number
  /** 0 (cold) to 1 (warm). */
  readonly warmth: number
  readonly healthy: boolean
  readonly leaving: boolean
  /** Successor that serves the keys of this home after a planned leave. */
  readonly movedTo?: string
  /** Mean duration of a decoding step in ms; models only. */
  readonly stepMs?: number
}

/** Sent periodically over each connection. */
export interface Heartbeat {
  readonly kind: 'heartbeat'
  readonly incarnation: number
  readonly configVersion: number
  readonly endpoint?: EndpointState
}

/** Sends one attempt of a request to an endpoint process. */
export interface Submit {
  readonly kind: 'submit'
  /** Id of this attempt, unique over all processes. */
  readonly workId: string
  readonly requestId: string
  readonly team: string
  /** Weight of the team in fair queueing, relative to other teams. */
  readonly teamWeight: number
  readonly service: string
  readonly terms: WorkTerms
  readonly key?: RequestKey
  /** Hash of method, path and body; equal when the same request is repeated. */
  readonly bodyHash: string
  /** Hash of team, service, method, path and body. */
  readonly fingerprint: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array
  /** Time left until the deadline in ms, from the receipt of this message. */
  readonly timeLeftMs: number
  readonly configVersion: number
  /** Number of chunks that the caller already has, to resume a model stream. */
  readonly resumeFrom?: number
}

/** The endpoint process has accepted the work. */
export interface Accepted {
  readonly kind: 'accepted'
  readonly workId: string
  readonly queued: number
  readonly waitMs: number
}

/** The work has started at the endpoint. */
export interface Started {
  readonly kind: 'started'
  readonly workId: string
}

/** Status and headers of a response. */
export interface Head {
  readonly kind: 'head'
  readonly workId: string
  readonly status: number
  readonly headers: HeaderList
}

/** Part of the body of a response; in a model stream, one server-sent event. */
export interface Chunk {
  readonly kind: 'chunk'
  readonly workId: string
  /** Position in this attempt, from 0; a gap means that chunks were lost. */
  readonly index: number
  readonly data: Uint8Array
}

/** End of a response, which is complete if `chunks` chunks of this attempt were received. */
export interface End {
  readonly kind: 'end'
  readonly workId: string
  readonly chunks: number
}

/** The work ends without a response; `outcome` states whether it ran. */
export interface Refused {
  readonly kind: 'refused'
  readonly workId: string
  readonly error: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs?: number
  readonly configVersion: number
}

/** Asks the endpoint process to ensure that the work never starts. */
export interface Cancel {
  readonly kind: 'cancel'
  readonly workId: string
}

/** Response to `cancel`; `not-run` only if the work has not started and never will. */
export interface Cancelled {
  readonly kind: 'cancelled'
  readonly workId: string
  readonly outcome: Outcome
}

/** Asks the home of a key for the outcome of the request. */
export interface Query {
  readonly kind: 'query'
  readonly queryId: string
  readonly team: string
  readonly service: string
  readonly key: RequestKey
}

/** State of an idempotency key at its home. */
export type KeyState = 'running' | 'run' | 'not-run' | 'unknown'

/** Response to `query`. */
export interface QueryAnswer {
  readonly kind: 'query-answer'
  readonly queryId: string
  readonly state: KeyState
}

/** Idempotency record that is handed over to a successor at a planned leave. */
export interface RecordEntry {
  readonly scope: string
  readonly window: number
  readonly bodyHash: string
  readonly state: 'run' | 'not-run' | 'unknown'
  readonly status?: number
  readonly headers?: HeaderList
  readonly chunks?: readonly Uint8Array[]
}

/** Part of the record table of a home that is leaving, sent to its successor. */
export interface Handover {
  readonly kind: 'handover'
  readonly home: string
  readonly incarnation: number
  readonly service: string
  readonly window: number
  /** Batch 0 contains the whole table; later batches contain the results of work that was still running then. */
  readonly batch: number
  readonly part: number
  readonly parts: number
  readonly records: readonly RecordEntry[]
}

/** Response to the parts of one handover batch. */
export interface HandoverAck {
  readonly kind: 'handover-ack'
  readonly home: string
  readonly incarnation: number
  readonly batch: number
  /** False when the receiver is leaving too and has taken over nothing. */
  readonly accepted: boolean
}

/** Announces the configuration version of the sender. */
export interface ConfigOffer {
  readonly kind: 'config-offer'
  readonly version: number
}

/** Requests a newer configuration from a peer that has announced one. */
export interface ConfigPull {
  readonly kind: 'config-pull'
  /** Version that the sender has. */
  readonly have: number
  /** First 16 digits of the hash of each part that the sender has. */
  readonly hashes: readonly string[]
}

/** Difference between an older and a newer text; lengths are in UTF-16 code units. */
export interface TextDelta {
  /** Hash of the older text, which the receiver has. */
  readonly from: string
  readonly hash: string
  /** Length of the common prefix, and of the common suffix. */
  readonly start: number
  readonly end: number
  /** Text between prefix and suffix in the newer text. */
  readonly text: string
}

/** Response to `config-pull`. */
export interface ConfigParts {
  readonly kind: 'config-parts'
  readonly version: number
  /** JSON text of the root. */
  readonly root: string
  /** JSON text by hash of the parts that the receiver does not have. */
  readonly parts: readonly (readonly [hash: string, json: string])[]
  /** Parts of which the receiver has an older version. */
  readonly deltas?: readonly TextDelta[]
}

/** State of a member as another member knows it. */
export interface MemberUpdate {
  readonly process: ProcessRef
  readonly state: 'alive' | 'suspect' | 'dead' | 'leaving'
  readonly configVersion: number
}

/** States which successor serves the keys of a home after its planned leave. */
export interface HomeMove {
  readonly home: string
  readonly incarnation: number
  readonly to: string
}

/** Failure-detector probe of a member; carries membership updates. */
export interface Probe {
  readonly kind: 'probe'
  readonly sequence: number
  readonly updates: readonly MemberUpdate[]
  readonly moves?: readonly HomeMove[]
}

/** Response to `probe`. */
export interface ProbeAck {
  readonly kind: 'probe-ack'
  readonly sequence: number
  readonly updates: readonly MemberUpdate[]
  readonly moves?: readonly HomeMove[]
}

/** Asks another member to probe the target on behalf of the sender. */
export interface ProbeRequest {
  readonly kind: 'probe-request'
  readonly sequence: number
  readonly target: string
}

/** Strikes against requests that were in flight when an endpoint crashed. */
export interface Strikes {
  readonly kind: 'strikes'
  readonly strikes: readonly {
    readonly fingerprint: string
    /** Ids of the crashes; receivers merge them as sets. */
    readonly crashes: readonly string[]
    /** Whether the request is cleared of these crashes because it completed afterwards without a crash. */
    readonly cleared: boolean
  }[]
}

/** Asks a rank to prepare an expert map for use from a given step. */
export interface MapPrepare {
  readonly kind: 'map-prepare'
  readonly group: string
  readonly version: number
  readonly step: number
  readonly fence: number
  /** Index of the receiving rank, and the experts that it holds, by layer. */
  readonly rank: number
  readonly layers: readonly (readonly number[])[]
  /** Version of the map that was in force when the change began, and its first step. */
  readonly base: number
  readonly baseStep: number
}

/** Response to `map-prepare`. */
export interface MapPrepared {
  readonly kind: 'map-prepared'
  readonly group: string
  readonly version: number
  readonly fence: number
  readonly rank: number
  readonly accepted: boolean
  /** Current step of the rank. */
  readonly step: number
}

/** Announces whether a map change is committed or aborted. */
export interface MapDecided {
  readonly kind: 'map-decided'
  readonly group: string
  /** Latest decided version. */
  readonly version: number
  readonly fence: number
  readonly decision: 'commit' | 'abort'
  /** Version of the map in force after that decision, and its first step. */
  readonly mapVersion: number
  readonly step: number
}

/** Asks for the decision on a map version. */
export interface MapQuery {
  readonly kind: 'map-query'
  readonly group: string
  readonly version: number
  readonly rank: number
}

/** Load of the experts that a rank holds; sent to the entry that holds the lease of the group's map. */
export interface ExpertLoad {
  readonly kind: 'expert-load'
  readonly group: string
  readonly rank: number
  readonly step: number
  /** Mean duration of a step in ms; 0 when unknown. */
  readonly stepMs: number
  readonly mapVersion: number
  /** Tokens per layer and slot since the last report. */
  readonly counts: readonly (readonly number[])[]
}

/** Any message between two processes. */
export type Message =
  | Hello | Heartbeat
  | Submit | Accepted | Started | Head | Chunk | End | Refused
  | Cancel | Cancelled | Query | QueryAnswer | Handover | HandoverAck
  | ConfigOffer | ConfigPull | ConfigParts
  | Probe | ProbeAck | ProbeRequest | Strikes
  | MapPrepare | MapPrepared | MapDecided | MapQuery | ExpertLoad

/** Discriminator of a message. */
export type MessageKind = Message['kind']
