/** What a gateway knows: endpoints, routes, teams and limits. Decoded by the adapter of a platform. */

/** Where a process listens. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** One start of an endpoint as the store lists it. */
export interface EndpointRecord {
  readonly id: string
  /** Start of this incarnation in Unix ms; 0 when the endpoint does not tell. */
  readonly bornMs: number
  readonly service: string
  readonly address: Address
  readonly domain: string
  readonly state: 'ready' | 'draining'
  /** Requests that the endpoint runs at once. */
  readonly slots: number
  /** How much longer the endpoint stays cold, in ms. */
  readonly coldRemainingMs: number
}

/** How often a request of a route may run. */
export type RepeatPolicy =
  /** May run more than once. */
  | 'idempotent'
  | 'at-most-once'
  /** Event stream that may run again from the start or go on after an event. */
  | 'resumable-stream'
  | 'at-most-once-stream'

/** A service and its share of a route's requests. */
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
  /** Longest time that a caller waits for the whole answer, in ms. */
  readonly timeoutMs: number
  /** Time to the answer, or to a stream's first event, that counts as on time, in ms. */
  readonly latencyTargetMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly shares: readonly RouteShare[]
  /** Most endpoints that one request may be sent to. */
  readonly attemptsMax: number
  readonly isPublic: boolean
}

/** Speed of a model engine as the configuration states it. */
export interface EngineSpec {
  readonly slots: number
  /** Steps that one pass with writing requests makes. */
  readonly stride: number
  readonly stepMs: number
  /** Growth of a step for each request that writes, in ms. */
  readonly perRequestMs: number
  /** Prompt tokens read in a second. */
  readonly readPerS: number
  /** Tokens of a mean prompt and of a mean answer. */
  readonly promptTokens: number
  readonly answerTokens: number
  /** Expert layers that have maps of their own; 0 without experts. */
  readonly layers: number
  readonly experts: number
  /** Most experts that a rank holds in one layer. */
  readonly slotsPerRank: number
  /** Most experts of one layer that a rank can copy in one change. */
  readonly spare: number
  /** Weights of one expert in MB. */
  readonly expertMb: number
  readonly linkMbps: number
  /** Share of the work for a token that experts do; 0 to 1. */
  readonly expertShare: number
}

/** One service of the configuration. */
export interface ServiceSpec {
  readonly name: string
  /** Requests that a cold endpoint bears in a second; 0 when no start is cold. */
  readonly coldPerS: number
  readonly engine?: EngineSpec
}

/** A team that a credential belongs to. */
export interface TeamRef {
  readonly name: string
  /** 0 is the most urgent; undefined when the route decides. */
  readonly priority?: number
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly headerBytesMax: number
  readonly bodyBytesMax: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the configuration. */
export interface GatewayConfiguration {
  readonly version: number
  /** Routes by host name, longest path prefix first. */
  readonly routes: ReadonlyMap<string, readonly Route[]>
  readonly services: ReadonlyMap<string, ServiceSpec>
  /** Teams by credential; undefined when requests need none. */
  readonly teams?: ReadonlyMap<string, TeamRef>
  readonly limits: CallerLimits
}

/** A request as its caller sent it, decoded by the adapter. */
export interface CallerRequest {
  readonly requestId: string
  readonly host: string
  readonly path: string
  readonly credential?: string
  /** How long the caller waits, in ms. */
  readonly deadlineMs?: number
  /** Last event that the caller has of a stream that broke. */
  readonly lastEventId?: string
  /** Tokens of the prompt. */
  readonly promptTokens?: number
  /** Most tokens of the answer. */
  readonly answerTokensMax?: number
  /** Caller's estimate of the tokens of the answer. */
  readonly answerTokensHint?: number
}

/** What an attempt adds to the headers of the caller. */
export interface AttemptHeaders {
  readonly endpointId: string
  readonly deadlineLeftMs: number
  readonly team?: string
  readonly priority: number
  /** Resumes the stream after this event. */
  readonly lastEventId?: string
  readonly bodyBytes: number
}

/** What the head of an endpoint's answer says beyond its status. */
export interface AnswerHead {
  readonly requestId?: string
  /** Whether the endpoint states that the request did not run. */
  readonly notRun: boolean
  /** Whether another start of an endpoint has the address. */
  readonly misdirected: boolean
  /** Endpoint whose loss made this one refuse. */
  readonly faultyEndpoint?: string
}

/** Headers as name and value by turns, as they were received. */
export type RawHeaders = readonly string[]

/** Translation between a platform's HTTP headers and the types above. */
export interface Dialect {
  /** Undefined when the request lacks what every request must have. */
  parseRequest (path: string, headers: RawHeaders): CallerRequest | undefined
  buildAttempt (headers: RawHeaders, attempt: AttemptHeaders): Record<string, string | string[]>
  parseAnswer (status: number, headers: RawHeaders): AnswerHead
  /** Headers of the endpoint's answer that its caller gets. */
  buildAnswer (headers: RawHeaders): string[]
  /** Headers of an answer of the gateway's own; `retryAfterMs` states when to come back. */
  buildRefusal (requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>
}
