/** Ports: typed interfaces through which plug-ins and the edge use other plug-ins. */

import type { Configuration, EndpointSpec, Profile, Service, Team } from './configuration.js'
import type { Context } from './plugin.js'
import type { RetryAfterPort } from '../plugins/gateway/retry-after.js'
import type { ColdLimitsPort } from '../plugins/gateway/cold-limits.js'
import type { CrashesPort } from '../plugins/gateway/crashes.js'
import type { NamedLimitsPort } from '../plugins/gateway/named-limits.js'
import type { NoticesPort } from '../plugins/gateway/notices.js'
import type { OutagesPort } from '../plugins/gateway/outages.js'
import type { PartCrashesPort } from '../plugins/gateway/part-crashes.js'
import type { EndpointsPort } from '../plugins/gateway/endpoints.js'
import type { PeersPort } from '../plugins/gateway/peers.js'
import type { SelectionPort } from '../plugins/gateway/selection.js'
import type { RetriesPort } from '../plugins/gateway/retries.js'
import type { RoutesPort } from '../plugins/gateway/routes.js'
import type { DomainSharesPort } from '../plugins/gateway/domain-shares.js'
import type { ServiceLoadPort } from '../plugins/gateway/service-load.js'
import type { LivenessPort } from '../plugins/gateway/liveness.js'
import type { EndpointState, HomeMove, ProcessRef, RequestKey } from '../protocol/messages.js'

/** The configuration in force. */
export interface ConfigurationPort {
  getCurrent (): Configuration
  /** Monotonic time in ms at which the current version came into force. */
  getInForceSinceMs (): number
  findService (name: string): Service | undefined
  findServiceByModel (model: string): Service | undefined
  findProfile (name: string): Profile | undefined
  findTeam (name: string): Team | undefined
  findEndpoint (id: string): EndpointSpec | undefined
  listEndpoints (service: string): readonly EndpointSpec[]
  /** Whether the endpoint's failure domain is in service and its host is not draining. */
  isInService (endpoint: Pick<EndpointSpec, 'domain' | 'host'>): boolean
  /** Hashes of the parts that this process holds as JSON text; the edge reads only the others. */
  listPartHashes (): readonly string[]
}

/** A connected peer process, and what its last heartbeat said. */
export interface PeerView {
  readonly process: ProcessRef
  /** Monotonic time in ms at which the last message of any kind arrived; set anew after a pause of this process. */
  readonly heardAtMs: number
  readonly configVersion: number
  readonly endpoint?: EndpointState
}

/** Connections to peers, and members of the cluster. */
export interface MembershipPort {
  /** Undefined unless the peer is connected. */
  findPeer (id: string): PeerView | undefined
  listPeers (): readonly PeerView[]
  /** Live entries, without those that are leaving. */
  listEntries (): readonly ProcessRef[]
  isLeaving (): boolean
  /** Whether the platform's host list names the host as leaving. */
  isHostLeaving (host: string): boolean
  /** Whether this process is one of the entries of its region that watch the platform for changes of the configuration. */
  isWatcher (): boolean
}

/** Input of a routing choice. */
export interface RouteRequest {
  readonly service: string
  readonly profile: Profile
  readonly fingerprint: string
  readonly prefixHash?: string
  /** Endpoints already tried. */
  readonly exclude: ReadonlySet<string>
}

/** A routing choice, with its reason for the `explain` command. */
export interface RouteChoice {
  readonly endpoint: string
  readonly reason: string
}

/** An endpoint process that a key token may name as the home of idempotency keys. */
export interface Home {
  readonly id: string
  readonly incarnation: number
  readonly window: number
  readonly domain: string
}

/** Endpoint selection at an entry. */
export interface RoutingPort {
  chooseEndpoint (request: RouteRequest, context: Context): RouteChoice | undefined
  /** Two homes in different failure domains where possible. */
  chooseHomes (service: string, context: Context): readonly Home[]
  /** Records the start of an attempt. */
  noteStart (endpoint: string, context: Context): void
  /** Records the end of an attempt. */
  noteEnd (endpoint: string, result: 'ok' | 'refused' | 'failed', elapsedMs: number, context: Context): void
}

/** One step in the processing of a request, for the `explain` command. */
export interface TraceStep {
  readonly atMs: number
  readonly step: string
  readonly detail: string
}

/** Requests in flight at an entry. */
export interface RequestsPort {
  countInFlight (): number
  /** Recently learned moves of homes, for distribution to other members. */
  listMoves (nowMs: number): readonly HomeMove[]
  /** Requests in flight at one endpoint process; the connection to it is kept while there are any. */
  countInFlightAt (endpoint: string): number
  /** Steps of a recent request; undefined when its trace is no longer kept. */
  explain (requestId: string): readonly TraceStep[] | undefined
}

/** Formatting and parsing of key tokens; provided in both roles. */
export interface TokensPort {
  formatToken (service: string, home: Home): string
  /** Undefined when the text is malformed, belongs to another service or has a wrong signature. */
  parseKey (service: string, text: string): RequestKey | undefined
}

/** Quarantine of requests that are suspected of crashing endpoints. */
export interface QuarantinePort {
  isQuarantined (fingerprint: string): boolean
  isSuspect (fingerprint: string): boolean
  /** Whether a suspect request is running at this endpoint, or has failed there and may have crashed it. */
  isSuspectInFlight (): boolean
}

/** Queue and running work of an endpoint process. */
export interface AdmissionPort {
  describeState (): Pick<EndpointState, 'running' | 'queued' | 'cap' | 'warmth' | 'healthy'>
  /** Removes waiting work from the queue; false when it is not waiting. */
  removeWaiting (workId: string): boolean
}

/** Idempotency records of an endpoint process. */
export interface OutcomesPort {
  getWindow (): number
  getMovedTo (): string | undefined
  countRecords (): number
}

/** Expert map at an endpoint process. */
export interface ExpertsPort {
  getStepMs (): number | undefined
  /** Undefined while the endpoint belongs to no group. */
  describeState (): RankView | undefined
}

/** Expert map of a rank as its endpoint process knows it. */
export interface RankView {
  readonly group: string
  readonly rank: number
  readonly joined: boolean
  readonly mapVersion: number | undefined
  readonly pendingVersion: number | undefined
  readonly pendingStep: number | undefined
}

/** Groups whose expert map this entry may change, because it holds their lease. */
export interface MapHolderPort {
  isHolder (group: string): boolean
  getMapVersion (group: string): number | undefined
  /** Endpoints that are slower than predicted from their expert load. */
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
  readonly coldLimits: ColdLimitsPort
  readonly serviceLoad: ServiceLoadPort
  readonly domainShares: DomainSharesPort
  readonly partCrashes: PartCrashesPort
  readonly outages: OutagesPort
  readonly namedLimits: NamedLimitsPort
  readonly notices: NoticesPort
  readonly selection: SelectionPort
  readonly retryAfter: RetryAfterPort
  readonly liveness: LivenessPort
}
