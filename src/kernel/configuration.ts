/** The operators' configuration as every process holds it in memory. */

import type { PriorityClass } from '../protocol/messages.js'

export type DomainState = 'in' | 'out'

export interface FailureDomain {
  readonly name: string
  readonly region: string
  readonly state: DomainState
}

export interface EntrySpec {
  readonly id: string
  readonly host: string
  readonly domain: string
  /** URL that callers use. */
  readonly callerUrl: string
  /** `ip:port` of the peer listener. */
  readonly peerAddress: string
}

export interface EndpointSpec {
  readonly id: string
  readonly host: string
  readonly domain: string
  readonly service: string
  /** `ip:port` of the endpoint process's peer listener. */
  readonly peerAddress: string
  /** Whether the endpoint refuses orders with an old fencing number. */
  readonly checksFencing: boolean
  /** Concurrent requests that the warm endpoint can handle. */
  readonly warmCap: number
  /** Concurrent requests that the endpoint can handle in a cold start. */
  readonly coldCap: number
  /** Group of ranks and the index in it; models only. */
  readonly group?: string
  readonly rank?: number
}

export type ServiceKind = 'model' | 'plain'

export interface Service {
  readonly name: string
  readonly kind: ServiceKind
  readonly profile: string
  /** Model name in callers' requests; models only. */
  readonly model?: string
}

/** Which requests may run more than once. */
export type Idempotency = 'always' | 'never' | 'safe-methods'

/** How one kind of work is treated. */
export interface Profile {
  readonly name: string
  readonly priority: PriorityClass
  readonly idempotency: Idempotency
  readonly deadlineMs: number
  /** Largest count of waiting requests at one endpoint. */
  readonly queueMax: number
  /** Largest share of an endpoint's cap for one team while others wait; 0 to 1. */
  readonly teamShareMax: number
  /** Largest count of attempts, the first included. */
  readonly attemptsMax: number
  readonly backoffBaseMs: number
  /** Sends a second attempt of idempotent work after this time in ms. */
  readonly hedgeAfterMs?: number
  /** Failure domains where the work may run; all when absent. */
  readonly domains?: readonly string[]
}

/** Salted SHA-256 of a team key, in hexadecimal digits. */
export interface KeyHash {
  readonly salt: string
  readonly hash: string
}

export interface Team {
  readonly name: string
  /** Share relative to other teams. */
  readonly weight: number
  readonly services: readonly string[]
  readonly keys: readonly KeyHash[]
}

/** A group of ranks that run in lock-step on one expert map. */
export interface RankGroup {
  readonly name: string
  readonly service: string
  readonly ranks: number
  readonly layers: number
  readonly expertsPerLayer: number
  /** Expert replicas that one rank's memory holds per layer. */
  readonly slotsPerRank: number
}

/** One accepted configuration. */
export interface Configuration {
  /** Rises by 1 with each accepted change; 0 before the first. */
  readonly version: number
  readonly domains: readonly FailureDomain[]
  readonly drainingHosts: readonly string[]
  readonly entries: readonly EntrySpec[]
  readonly endpoints: readonly EndpointSpec[]
  readonly services: readonly Service[]
  readonly profiles: readonly Profile[]
  readonly teams: readonly Team[]
  readonly groups: readonly RankGroup[]
}

/** One value that a change replaced; holds no secret and no key hash. */
export interface ConfigurationDifference {
  /** Names as in the configuration file, such as `endpoints.worker-1.warm_cap`. */
  readonly name: string
  readonly was: string
  readonly is: string
}

/** The audit entry of the last change, kept in the root until it is in the audit trail. */
export interface ConfigurationChange {
  /** Random; tells this change from another one of the same version number. */
  readonly id: string
  readonly command: string
  /** Bounded; `omitted` counts the differences left out. */
  readonly differences: readonly ConfigurationDifference[]
  readonly omitted: number
  /** Platform keys of parts that this change took out of use; bounded. */
  readonly replacedParts: readonly string[]
}

/** Value of `config/root` in the platform. */
export interface ConfigurationRoot {
  readonly version: number
  /** Hash of each part by name; see `PART_NAMES`. */
  readonly parts: Readonly<Record<string, string>>
  readonly domainStates: Readonly<Record<string, DomainState>>
  readonly drainingHosts: readonly string[]
  readonly changedBy: string
  /** Wall-clock time, ISO 8601. */
  readonly changedAt: string
  readonly reason: string
  readonly change?: ConfigurationChange
}

/** Count of parts over which team records are spread by name hash. */
export const TEAM_PART_COUNT = 64

/**
 * Content of the parts, by part name: `topology`, `endpoints-<failure domain>`,
 * `services`, `teams-00` to `teams-63`. Endpoints have a part for each failure
 * domain because all of them in one come close to the platform's 1 MB at the
 * planned size.
 */
export interface ConfigurationParts {
  readonly topology: Pick<Configuration, 'entries' | 'endpoints' | 'groups'> & { readonly domains: readonly Omit<FailureDomain, 'state'>[] }
  readonly endpoints: readonly EndpointSpec[]
  readonly services: Pick<Configuration, 'services' | 'profiles'>
  readonly teams: readonly Team[]
}

/** Platform key of the root. */
export const ROOT_KEY = 'config/root'

/**
 * @param name - part name
 * @param hash - content hash
 * @returns the platform key of the part
 */
export function formatPartKey (name: string, hash: string): string {
  return `config/part/${name}/${hash}`
}

/** The configuration before any was accepted. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  domains: [],
  drainingHosts: [],
  entries: [],
  endpoints: [],
  services: [],
  profiles: [],
  teams: [],
  groups: []
}

/**
 * Joins a root and its parts.
 *
 * @param root - value of `config/root`
 * @param parts - parsed JSON of each part by name
 * @returns the configuration
 */
export function assembleConfiguration (root: ConfigurationRoot, parts: ReadonlyMap<string, unknown>): Configuration {
  const topology = parts.get('topology') as ConfigurationParts['topology']
  const services = parts.get('services') as ConfigurationParts['services']
  const list = (prefix: string): readonly unknown[] => [...parts.entries()]
    .filter(([name]) => name.startsWith(prefix))
    .flatMap(([, value]) => value as readonly unknown[])
  return {
    version: root.version,
    domains: topology.domains.map(domain => ({ ...domain, state: root.domainStates[domain.name] ?? 'in' })),
    drainingHosts: root.drainingHosts,
    entries: topology.entries,
    endpoints: [...topology.endpoints, ...list('endpoints-') as readonly EndpointSpec[]],
    groups: topology.groups,
    services: services.services,
    profiles: services.profiles,
    teams: list('teams-') as readonly Team[]
  }
}
