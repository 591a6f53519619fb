/** Typed ports through which plug-ins read each other's state. */

import type { Configuration, EndpointSpec, Profile, Service, Team } from './document.js'
import type { Context } from './plugin.js'
import type { RetryAfterPort } from '../plugins/gateway/retry-after.js'
import type { CrashesPort } from '../plugins/gateway/crashes.js'
import type { EndpointsPort } from '../plugins/gateway/endpoints.js'
import type { PeersPort } from '../plugins/gateway/peers.js'
import type { SelectionPort } from '../plugins/gateway/selection.js'
import type { RetriesPort } from '../plugins/gateway/retries.js'
import type { RoutesPort } from '../plugins/gateway/routes.js'
import type { SilencePort } from '../plugins/gateway/silence.js'
import type { EndpointState, HomeMove, ProcessRef, RequestKey } from '../protocol/messages.js'

/** The configuration in force. */
export interface ConfigurationPort {
  getCurrent (): Configuration
  /** Monotonic time in ms since which the present version is in force. */
  getInForceSinceMs (): number
  findService (name: string): Service | undefined
  findServiceByModel (model: string): Service | undefined
  findProfile (name: string): Profile | undefined
  findTeam (name: string): Team | undefined
  findEndpoint (id: string): EndpointSpec | undefined
  listEndpoints (service: string): readonly EndpointSpec[]
  /** Whether the endpoint's domain is in and its host is not draining. */
  isInService (endpoint: Pick<EndpointSpec, 'domain' | 'host'>): boolean
  /** Hashes of the parts held as JSON text; the edge reads only the others. */
  listPartHashes (): readonly string[]
}

/** A peer process with which a connection stands. */
export interface PeerView {
  readonly process: ProcessRef
  /** Monotonic time of the last heartbeat in ms. */
  readonly heardAtMs: number
  readonly configVersion: number
  readonly endpoint?: EndpointState
}

/** Connections and members. */
export interface MembershipPort {
  /** Peers with a working connection. */
  findPeer (id: string): PeerView | undefined
  listPeers (): readonly PeerView[]
  /** Live entries for the address answer; leaving ones are left out. */
  listEntries (): readonly ProcessRef[]
  isLeaving (): boolean
  /** Whether the platform's host list names the host as leaving. */
  isHostLeaving (host: string): boolean
  /** Whether this entry is one of those of its region that watch the platform. */
  isWatcher (): boolean
}

/** What a routing choice is made for. */
export interface RouteRequest {
  readonly service: string
  readonly profile: Profile
  readonly fingerprint: string
  readonly prefixHash?: string
  /** Endpoints already tried. */
  readonly exclude: ReadonlySet<string>
}

/** A choice and why it was made, for `explain`. */
export interface RouteChoice {
  readonly endpoint: string
  readonly reason: string
}

/** A home that may be named by a key token. */
export interface Home {
  readonly id: string
  readonly incarnation: number
  readonly window: number
  readonly domain: string
}

/** Choice of endpoints at an entry. */
export interface RoutingPort {
  chooseEndpoint (request: RouteRequest, context: Context): RouteChoice | undefined
  /** Two homes in different failure domains where possible. */
  chooseHomes (service: string, context: Context): readonly Home[]
  noteStart (endpoint: string, context: Context): void
  noteEnd (endpoint: string, result: 'ok' | 'refused' | 'failed', elapsedMs: number, context: Context): void
}

/** One step in the life of a request, for `explain`. */
export interface TraceStep {
  readonly atMs: number
  readonly step: string
  readonly detail: string
}

/** Requests in flight at an entry. */
export interface RequestsPort {
  countInFlight (): number
  /** Moves of homes that were learned of a short time ago and are to be spread. */
  listMoves (nowMs: number): readonly HomeMove[]
  /** Requests in flight at one endpoint process; its connection is kept while there are any. */
  countAt (endpoint: string): number
  /** Steps of a recent request; undefined when it is not remembered. */
  explain (requestId: string): readonly TraceStep[] | undefined
}

/** Key tokens, both roles. */
export interface TokensPort {
  formatToken (service: string, home: Home): string
  /** Undefined when the text is malformed or its proof is wrong. */
  parseKey (service: string, text: string): RequestKey | undefined
}

/** Requests that crashed endpoints. */
export interface QuarantinePort {
  isRefused (fingerprint: string): boolean
  isSuspect (fingerprint: string): boolean
  /** Whether a suspect runs at this endpoint, or failed there and may have crashed it. */
  isSuspectInFlight (): boolean
}

/** Queue and running set of an endpoint process. */
export interface AdmissionPort {
  describeState (): Pick<EndpointState, 'running' | 'queued' | 'cap' | 'warmth' | 'healthy'>
  /** Takes waiting work out of the queue; false when it is not waiting. */
  removeWaiting (workId: string): boolean
}

/** Idempotency records of an endpoint process. */
export interface OutcomesPort {
  getWindow (): number
  getMovedTo (): string | undefined
  countRecords (): number
}

/** State of a group's expert map at an endpoint process. */
export interface ExpertsPort {
  getStepMs (): number | undefined
  /** Undefined while the endpoint belongs to no group. */
  describeState (): RankView | undefined
}

/** What a rank's endpoint process knows of its map. */
export interface RankView {
  readonly group: string
  readonly rank: number
  readonly joined: boolean
  readonly mapVersion: number | undefined
  readonly pendingVersion: number | undefined
  readonly pendingStep: number | undefined
}

/** Groups whose expert map this entry may change. */
export interface MapHolderPort {
  isHolder (group: string): boolean
  getMapVersion (group: string): number | undefined
  /** Endpoints that are slower than their expert load predicts. */
  listStalled (group: string): readonly string[]
}

/** All ports by name. */
export interface Ports {
  readonly configuration: ConfigurationPort
  readonly membership: MembershipPort
  readonly routing: RoutingPort
  readonly requests: RequestsPort
  readonly tokens: TokensPort
  readonly quarantine: QuarantinePort
  readonly admission: AdmissionPort
  readonly outcomes: OutcomesPort
  readonly experts: ExpertsPort
  readonly mapHolder: MapHolderPort
  readonly routes: RoutesPort
  readonly endpoints: EndpointsPort
  readonly peers: PeersPort
  readonly retries: RetriesPort
  readonly crashes: CrashesPort
  readonly selection: SelectionPort
  readonly retryAfter: RetryAfterPort
  readonly silence: SilencePort
}
