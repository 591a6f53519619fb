/** The operators' configuration file: its schema, and conversion to the kernel's configuration types. */

import { z } from 'zod'
import type { ConfigurationParts, EndpointSpec, EntrySpec, FailureDomain, KeyHash, Profile, RankGroup, Service, Team } from '../kernel/configuration.js'
import { BASE_URL, buildChoice, buildDuration, buildInteger, buildList, buildNumber, buildTable, buildText, BOOLEAN, HOST, IP_PORT, PRINTABLE_TEXT, NAME } from './fields.js'

/** Configuration as operators write it. States of failure domains and draining hosts are not part of it; commands change them. */
export type ConfigurationFile = ConfigurationParts['topology'] & ConfigurationParts['services'] & {
  readonly teams: readonly Team[]
}

const DOMAIN = buildTable({ name: NAME, region: NAME })

const ENTRY = buildTable({ id: NAME, host: HOST, failure_domain: NAME, caller_url: BASE_URL, peer_address: IP_PORT })

const ENDPOINT = buildTable({
  id: NAME,
  host: HOST,
  failure_domain: NAME,
  service: NAME,
  peer_address: IP_PORT,
  checks_fencing: BOOLEAN,
  warm_cap: buildInteger(1, 100_000),
  cold_cap: buildInteger(1, 100_000),
  group: NAME.exactOptional(),
  rank: buildInteger(0, 1023).exactOptional()
})

const SERVICE = buildTable({
  name: NAME,
  kind: buildChoice(['model', 'plain']),
  profile: NAME,
  model: PRINTABLE_TEXT.exactOptional()
})

const PROFILE = buildTable({
  name: NAME,
  priority: buildChoice(['urgent', 'normal', 'background']),
  idempotency: buildChoice(['always', 'never', 'safe-methods']),
  deadline_ms: buildDuration(1),
  queue_max: buildInteger(0, 100_000),
  team_share_max: buildNumber(0, 1),
  attempts_max: buildInteger(1, 10),
  backoff_base_ms: buildDuration(1),
  hedge_after_ms: buildDuration(1).exactOptional(),
  failure_domains: buildList(NAME, 'failure domains').min(1, { error: 'a list of at least 1 failure domain' }).exactOptional()
})

const KEY_HASH = buildText(/^[0-9a-f]{32}:[0-9a-f]{64}$/, 'salt and hash as printed by heatherdoor team-key, such as 0f..:9a..')

const TEAM = buildTable({
  name: NAME,
  weight: buildNumber(0, 1000),
  services: buildList(NAME, 'services'),
  keys: buildList(KEY_HASH, 'salted key hashes')
})

const GROUP = buildTable({
  name: NAME,
  service: NAME,
  ranks: buildInteger(1, 1024),
  layers: buildInteger(1, 1000),
  experts_per_layer: buildInteger(1, 4096),
  slots_per_rank: buildInteger(1, 4096)
})

/** Schema of a configuration file; each key is an array of tables. */
export const CONFIGURATION_SCHEMA = buildTable({
  failure_domains: buildList(DOMAIN, 'failure domains'),
  entries: buildList(ENTRY, 'entries'),
  endpoints: buildList(ENDPOINT, 'endpoints'),
  services: buildList(SERVICE, 'services'),
  profiles: buildList(PROFILE, 'profiles'),
  teams: buildList(TEAM, 'teams').default([]),
  groups: buildList(GROUP, 'groups').default([])
})

/** Parsed configuration file, with keys in snake case. */
export type ConfigurationFileTables = z.output<typeof CONFIGURATION_SCHEMA>

/**
 * @param tables - parsed and validated file
 * @returns the configuration in the kernel's types
 */
export function assembleConfigurationFile (tables: ConfigurationFileTables): ConfigurationFile {
  return {
    domains: tables.failure_domains.map((domain): Omit<FailureDomain, 'state'> => ({ name: domain.name, region: domain.region })),
    entries: tables.entries.map((entry): EntrySpec => ({
      id: entry.id,
      host: entry.host,
      domain: entry.failure_domain,
      callerUrl: entry.caller_url,
      peerAddress: entry.peer_address
    })),
    endpoints: tables.endpoints.map(assembleEndpoint),
    services: tables.services.map((service): Service => ({ ...service })),
    profiles: tables.profiles.map(assembleProfile),
    teams: tables.teams.map((team): Team => ({ ...team, keys: team.keys.map(parseKeyHash) })),
    groups: tables.groups.map((group): RankGroup => ({
      name: group.name,
      service: group.service,
      ranks: group.ranks,
      layers: group.layers,
      expertsPerLayer: group.experts_per_layer,
      slotsPerRank: group.slots_per_rank
    }))
  }
}

/**
 * @param text - `salt:hash` in hexadecimal digits
 * @returns salt and hash
 */
export function parseKeyHash (text: string): KeyHash {
  const [salt = '', hash = ''] = text.split(':')
  return { salt, hash }
}

function assembleEndpoint (endpoint: ConfigurationFileTables['endpoints'][number]): EndpointSpec {
  return {
    id: endpoint.id,
    host: endpoint.host,
    domain: endpoint.failure_domain,
    service: endpoint.service,
    peerAddress: endpoint.peer_address,
    checksFencing: endpoint.checks_fencing,
    warmCap: endpoint.warm_cap,
    coldCap: endpoint.cold_cap,
    ...(endpoint.group === undefined ? {} : { group: endpoint.group }),
    ...(endpoint.rank === undefined ? {} : { rank: endpoint.rank })
  }
}

function assembleProfile (profile: ConfigurationFileTables['profiles'][number]): Profile {
  return {
    name: profile.name,
    priority: profile.priority,
    idempotency: profile.idempotency,
    deadlineMs: profile.deadline_ms,
    queueMax: profile.queue_max,
    teamShareMax: profile.team_share_max,
    attemptsMax: profile.attempts_max,
    backoffBaseMs: profile.backoff_base_ms,
    ...(profile.hedge_after_ms === undefined ? {} : { hedgeAfterMs: profile.hedge_after_ms }),
    ...(profile.failure_domains === undefined ? {} : { domains: profile.failure_domains })
  }
}
