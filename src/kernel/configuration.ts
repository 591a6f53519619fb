/** Types of the operators' configuration: in memory, and in parts as the platform stores it. */

import type { PriorityClass } from '../protocol/messages.js'

/** Whether a failure domain is in service. */
export type DomainState = 'in' | 'out'

export interface FailureDomain {
  readonly name: string
  readonly region: string
  readonly state: DomainState
}

/** An entry: a process that accepts callers' requests and sends them to endpoints. */
export interface EntrySpec {
  readonly id: string
  readonly host: string
  readonly domain: string
  /** URL that callers use. */
  readonly callerUrl: string
  /** `ip:port` of the peer listener. */
  readonly peerAddress: string
}

/** An endpoint, and the endpoint process that queues its requests. */
export interface EndpointSpec {
  readonly id: string
  readonly host: string
  readonly domain: string
  readonly service: string
  /** `ip:port` of the endpoint process's peer listener. */
  readonly peerAddress: string
  /** Whether the endpoint refuses orders whose fencing number is lower than one that it has seen. */
  readonly checksFencing: boolean
  /** Concurrent requests that the endpoint can handle when it is warm. */
  readonly warmCap: number
  /** Concurrent requests that the endpoint can handle during a cold start. */
  readonly coldCap: number
  /** Rank group of the endpoint, and its index in the group; models only. */
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

/** Queueing and retry policy for the requests of a service. */
export interface Profile {
  readonly name: string
  readonly priority: PriorityClass
  readonly idempotency: Idempotency
  readonly deadlineMs: number
  /** Maximum number of waiting requests at one endpoint. */
  readonly queueMax: number
  /** Maximum share of an endpoint's cap that one team may use while other teams wait; 0 to 1. */
  readonly teamShareMax: number
  /** Maximum number of attempts, including the first. */
  readonly attemptsMax: number
  readonly backoffBaseMs: number
  /** Delay in ms after which idempotent work is hedged with a second attempt; never when absent. */
  readonly hedgeAfterMs?: number
  /** Failure domains in which the work may run; all when absent. */
  readonly domains?: readonly string[]
}

/** Salted SHA-256 of a team key, in hexadecimal digits. */
export interface KeyHash {
  readonly salt: string
  readonly hash: string
}

/** A team of callers, with the services that it may use and its keys. */
export interface Team {
  readonly name: string
  /** Weight in fair queueing, relative to other teams. */
  readonly weight: number
  readonly services: readonly string[]
  readonly keys: readonly KeyHash[]
}

/** A group of ranks that run in lockstep on one expert map. */
export interface RankGroup {
  readonly name: string
  readonly service: string
  readonly ranks: number
  readonly layers: number
  readonly expertsPerLayer: number
  /** Expert replicas per layer that fit in the memory of one rank. */
  readonly slotsPerRank: number
}

/** One version of the configuration. */
export interface Configuration {
  /** Increases by 1 with each accepted change; 0 before the first. */
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

/** One value that a change replaced; never contains a secret or a key hash. */
export interface ConfigurationDifference {
  /** Path of the value in the names of the configuration file, such as `endpoints.worker-1.warm_cap`. */
  readonly name: string
  /** Old value. */
  readonly was: string
  /** New value. */
  readonly is: string
}

/** Audit entry of the last change; kept in the root until it has been written to the audit trail. */
export interface ConfigurationChange {
  /** Random id that distinguishes this change from a concurrent one with the same version number. */
  readonly id: string
  readonly command: string
  /** Limited in number; `omitted` counts the differences that are left out. */
  readonly differences: readonly ConfigurationDifference[]
  readonly omitted: number
  /** Platform keys of the parts that this change replaced; limited in number. */
  readonly replacedParts: readonly string[]
}

/** Value of the platform key `config/root`. */
export interface ConfigurationRoot {
  readonly version: number
  /** Content hash by part name; see `ConfigurationParts` for the names. */
  readonly parts: Readonly<Record<string, string>>
  readonly domainStates: Readonly<Record<string, DomainState>>
  readonly drainingHosts: readonly string[]
  readonly changedBy: string
  /** Wall-clock time, ISO 8601. */
  readonly changedAt: string
  readonly reason: string
  readonly change?: ConfigurationChange
}

/** Number of parts that the teams are split into, by hash of the team name. */
export const TEAM_PART_COUNT = 64

/**
 * Content of the parts, by part name: `topology`, `endpoints-<failure domain>`,
 * `services`, `teams-00` to `teams-63`. Endpoints are split by failure domain
 * because at the planned fleet size a single part with all of them would come
 * close to the platform's limit of 1 MB for a value.
 */
export interface ConfigurationParts {
  readonly topology: Pick<Configuration, 'entries' | 'endpoints' | 'groups'> & { readonly domains: readonly Omit<FailureDomain, 'state'>[] }
  readonly endpoints: readonly EndpointSpec[]
  readonly services: Pick<Configuration, 'services' | 'profiles'>
  readonly teams: readonly Team[]
}

/** Platform key of the configuration root. */
export const ROOT_KEY = 'config/root'

/**
 * @param name - part name
 * @param hash - content hash
 * @returns the platform key of the part
 */
export function formatPartKey (name: string, hash: string): string {
  return `config/part/${name}/${hash}`
}

/** Configuration in force until the first one is accepted. */
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
 * Builds a configuration from its root and parts.
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
