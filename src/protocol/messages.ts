/**
 * Messages between heatherdoor's own processes: one union, discriminated by
 * `kind`, encoded with msgpackr over WebSocket connections.
 */

import type { ErrorKind, Outcome } from '../kernel/errors.js'

/** Version of the message union; peers with another version are refused. */
export const PROTOCOL_VERSION = 1

/** Role of a process. */
export type Role = 'entry' | 'endpoint' | 'gateway'

/** Identity of one process incarnation. */
export interface ProcessRef {
  /** Process id from settings, stable over restarts. */
  readonly id: string
  readonly role: Role
  /** Failure domain from settings. */
  readonly domain: string
  /** Host name from settings. */
  readonly host: string
  /** `ip:port` of the peer listener. */
  readonly address: string
  /** Number that rises with each start of the process. */
  readonly incarnation: number
}

/** Priority class of work. */
export type PriorityClass = 'urgent' | 'normal' | 'background'

/** The terms of a profile that travel with each piece of work. */
export interface WorkTerms {
  readonly profile: string
  readonly priority: PriorityClass
  /** Whether the work may run more than once. */
  readonly idempotent: boolean
  /** Largest count of waiting requests of this profile at one endpoint. */
  readonly queueMax: number
}

/** Idempotency key, scoped to a team and a service by the record table. */
export interface RequestKey {
  /** Id of the endpoint process that may run the key. */
  readonly home: string
  readonly incarnation: number
  /** Window of the home in which the token was issued. */
  readonly window: number
  /** Full text of the key as the caller sent it. */
  readonly text: string
}

export type HeaderList = readonly (readonly [name: string, value: string])[]

/** First message on each connection, in both directions. */
export interface Hello {
  readonly kind: 'hello'
  readonly protocol: number
  readonly process: ProcessRef
  readonly configVersion: number
  /** Random text that the other side signs. */
  readonly nonce: string
  /** HMAC over the receiver's nonce and this process by the cluster secret; empty in the first hello. */
  readonly proof: string
}

/** Load and state of an endpoint process, sent with its heartbeats. */
export interface EndpointState {
  readonly service: string
  /** Current window, counted on the home's own clock. */
  readonly window: number
  readonly running: number
  readonly queued: number
  /** Largest count of concurrent requests at present. */
  readonly cap: number
  /** 0 (cold) to 1 (warm). */
  readonly warmth: number
  readonly healthy: boolean
  readonly leaving: boolean
  /** Successor that serves this home's tokens after a planned leave. */
  readonly movedTo?: string
  /** Mean time of a decoding step in ms; models only. */
  readonly stepMs?: number
}

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
  /** Share of the team relative to other teams. */
  readonly teamWeight: number
  readonly service: string
  readonly terms: WorkTerms
  readonly key?: RequestKey
  /** Hash of method, path and body; equal for a repeat of the same request. */
  readonly bodyHash: string
  /** Hash of team, service, method, path and body. */
  readonly fingerprint: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly body: Uint8Array
  /** Time left until the deadline in ms, counted from receipt. */
  readonly timeLeftMs: number
  readonly configVersion: number
  /** Count of chunks the caller already has; resumes a model stream. */
  readonly resumeFrom?: number
}

export interface Accepted {
  readonly kind: 'accepted'
  readonly workId: string
  readonly queued: number
  readonly waitMs: number
}

export interface Started {
  readonly kind: 'started'
  readonly workId: string
}

export interface Head {
  readonly kind: 'head'
  readonly workId: string
  readonly status: number
  readonly headers: HeaderList
}

/** One piece of an answer's body; for model streams one server-sent event. */
export interface Chunk {
  readonly kind: 'chunk'
  readonly workId: string
  /** Position from 0 in this attempt; a gap means that the stream broke. */
  readonly index: number
  readonly data: Uint8Array
}

/** The answer is whole when `chunks` chunks of this attempt were received. */
export interface End {
  readonly kind: 'end'
  readonly workId: string
  readonly chunks: number
}

export interface Refused {
  readonly kind: 'refused'
  readonly workId: string
  readonly error: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs?: number
  readonly configVersion: number
}

/** Asks the endpoint process to make sure that the work never starts. */
export interface Cancel {
  readonly kind: 'cancel'
  readonly workId: string
}

/** Answer to `cancel`: `not-run` only when the work never started and never will. */
export interface Cancelled {
  readonly kind: 'cancelled'
  readonly workId: string
  readonly outcome: Outcome
}

/** Asks what became of a key. */
export interface Query {
  readonly kind: 'query'
  readonly queryId: string
  readonly team: string
  readonly service: string
  readonly key: RequestKey
}

/** What a home knows of a key. */
export type KeyState = 'running' | 'run' | 'not-run' | 'unknown'

export interface QueryAnswer {
  readonly kind: 'query-answer'
  readonly queryId: string
  readonly state: KeyState
}

/** One idempotency record as it is handed over at a planned leave. */
export interface RecordEntry {
  readonly scope: string
  readonly window: number
  readonly bodyHash: string
  readonly state: 'run' | 'not-run' | 'unknown'
  readonly status?: number
  readonly headers?: HeaderList
  readonly chunks?: readonly Uint8Array[]
}

/** Part of the record table of a leaving home. */
export interface Handover {
  readonly kind: 'handover'
  readonly home: string
  readonly incarnation: number
  readonly service: string
  readonly window: number
  /** 0 is the whole table; later batches hold results of work that still ran then. */
  readonly batch: number
  readonly part: number
  readonly parts: number
  readonly records: readonly RecordEntry[]
}

export interface HandoverAck {
  readonly kind: 'handover-ack'
  readonly home: string
  readonly incarnation: number
  readonly batch: number
  /** False when the receiver leaves too and took nothing over. */
  readonly accepted: boolean
}

/** Announces a configuration version. */
export interface ConfigOffer {
  readonly kind: 'config-offer'
  readonly version: number
}

export interface ConfigPull {
  readonly kind: 'config-pull'
  /** Version that the sender has. */
  readonly have: number
  /** First 16 digits of the hashes of the parts that the sender has. */
  readonly hashes: readonly string[]
}

/** A text as its difference from an older one, in UTF-16 units. */
export interface TextDelta {
  /** Hash of the older text, which the receiver has. */
  readonly from: string
  readonly hash: string
  /** Length of the common start and of the common end. */
  readonly start: number
  readonly end: number
  /** What stands between them in the newer text. */
  readonly text: string
}

export interface ConfigParts {
  readonly kind: 'config-parts'
  readonly version: number
  /** JSON text of the root. */
  readonly root: string
  /** Parts that the receiver lacks: JSON text by hash. */
  readonly parts: readonly (readonly [hash: string, json: string])[]
  /** Parts of which the receiver has an older text. */
  readonly deltas?: readonly TextDelta[]
}

/** What a member knows of another. */
export interface MemberUpdate {
  readonly process: ProcessRef
  readonly state: 'alive' | 'suspect' | 'dead' | 'leaving'
  readonly configVersion: number
}

/** The successor that serves the keys of a home after its planned leave. */
export interface HomeMove {
  readonly home: string
  readonly incarnation: number
  readonly to: string
}

export interface Probe {
  readonly kind: 'probe'
  readonly sequence: number
  readonly updates: readonly MemberUpdate[]
  readonly moves?: readonly HomeMove[]
}

export interface ProbeAck {
  readonly kind: 'probe-ack'
  readonly sequence: number
  readonly updates: readonly MemberUpdate[]
  readonly moves?: readonly HomeMove[]
}

/** Asks a third member to probe the target. */
export interface ProbeRequest {
  readonly kind: 'probe-request'
  readonly sequence: number
  readonly target: string
}

/** Fingerprints of requests that were in flight when an endpoint crashed. */
export interface Strikes {
  readonly kind: 'strikes'
  readonly strikes: readonly {
    readonly fingerprint: string
    /** Ids of the crashes that counted against it; merged as a set. */
    readonly crashes: readonly string[]
    /** Set when the fingerprint completed without a crash afterwards. */
    readonly cleared: boolean
  }[]
}

/** Asks a rank to prepare a map for use from a step. */
export interface MapPrepare {
  readonly kind: 'map-prepare'
  readonly group: string
  readonly version: number
  readonly step: number
  readonly fence: number
  /** Experts by layer held by the receiving rank, and the rank's index. */
  readonly rank: number
  readonly layers: readonly (readonly number[])[]
  /** Version of the map in force when the change began, and its first step. */
  readonly base: number
  readonly baseStep: number
}

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

export interface MapDecided {
  readonly kind: 'map-decided'
  readonly group: string
  /** Latest decided version. */
  readonly version: number
  readonly fence: number
  readonly decision: 'commit' | 'abort'
  /** Map in force after that decision, and its first step. */
  readonly mapVersion: number
  readonly step: number
}

export interface MapQuery {
  readonly kind: 'map-query'
  readonly group: string
  readonly version: number
  readonly rank: number
}

/** Load of the experts that a rank holds, sent to the holder of the group's map. */
export interface ExpertLoad {
  readonly kind: 'expert-load'
  readonly group: string
  readonly rank: number
  readonly step: number
  /** Mean time of a step in ms; 0 when not known. */
  readonly stepMs: number
  readonly mapVersion: number
  /** Tokens per layer and slot since the last report. */
  readonly counts: readonly (readonly number[])[]
}

/** Any message between two processes of the system. */
export type Message =
  | Hello | Heartbeat
  | Submit | Accepted | Started | Head | Chunk | End | Refused
  | Cancel | Cancelled | Query | QueryAnswer | Handover | HandoverAck
  | ConfigOffer | ConfigPull | ConfigParts
  | Probe | ProbeAck | ProbeRequest | Strikes
  | MapPrepare | MapPrepared | MapDecided | MapQuery | ExpertLoad

/** Discriminator of a message. */
export type MessageKind = Message['kind']
