/** Parts of a configuration: names, texts and hashes. */

import { ROOT_KEY, TEAM_PART_COUNT, assembleConfiguration, formatPartKey } from '../kernel/configuration.js'
import type { Configuration, ConfigurationParts, ConfigurationRoot, DomainState } from '../kernel/configuration.js'
import { hashPart } from '../kernel/hash.js'
import type { ConfigurationFile } from '../settings/index.js'
import type { RetryingStore } from './store.js'
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Largest number of concurrent platform calls; all clients share the platform's rate limit. */
const CONCURRENT_CALLS_MAX = 8

/** A part as it is stored. */
export interface Part {
  readonly name: string
  readonly json: string
  readonly hash: string
}

/** The configuration in force as it was read. */
export interface Snapshot {
  /** Undefined before the first change. */
  readonly root: ConfigurationRoot | undefined
  /** Revision of the root object; 0 when there is none. */
  readonly revision: number
  readonly configuration: Configuration
}

/**
 * @param team - team name
 * @returns name of the part that holds the team, `teams-00` to `teams-63`
 */
export function computeTeamPart (team: string): string {
  return `teams-${String(h32(team) % TEAM_PART_COUNT).padStart(2, '0')}`
}

/**
 * Splits a configuration into parts. Equal configurations give equal parts;
 * parts of endpoints and teams that would be empty are left out.
 *
 * @param file - the configuration
 * @returns parts in the order of their names
 */
export function buildParts (file: ConfigurationFile): readonly Part[] {
  const topology: ConfigurationParts['topology'] = {
    domains: file.domains, entries: file.entries, endpoints: [], groups: file.groups
  }
  const services: ConfigurationParts['services'] = { services: file.services, profiles: file.profiles }
  const teams = [...file.teams].sort((a, b) => a.name < b.name ? -1 : 1)
  return [
    ...buildGroupedParts(file.endpoints, ({ domain }) => `endpoints-${domain}`),
    buildPart('services', services),
    ...buildGroupedParts(teams, ({ name }) => computeTeamPart(name)),
    buildPart('topology', topology)
  ]
}

/**
 * @param file - the configuration that is to be in force
 * @param previous - root in force
 * @returns states and draining hosts, without domains and hosts that the file no longer has
 */
export function buildStates (file: ConfigurationFile, previous: ConfigurationRoot | undefined): Pick<ConfigurationRoot, 'domainStates' | 'drainingHosts'> {
  const hosts = new Set([...file.entries, ...file.endpoints].map(({ host }) => host))
  return {
    domainStates: Object.fromEntries(file.domains.map(({ name }): [string, DomainState] => [name, previous?.domainStates[name] ?? 'in'])),
    drainingHosts: (previous?.drainingHosts ?? []).filter(host => hosts.has(host))
  }
}

/**
 * Reads the root and all its parts.
 *
 * @param store - the platform
 * @param reportProgress - sets the text of the progress line
 * @returns the configuration in force
 * @throws PlatformUnavailableError when the platform does not answer
 * @throws Error when a part is missing or does not match its hash
 */
export async function readSnapshot (store: RetryingStore, reportProgress: (text: string) => void): Promise<Snapshot> {
  reportProgress('reading the root')
  const { value, revision } = await store.read(ROOT_KEY)
  if (value === undefined) {
    return { root: undefined, revision, configuration: assembleConfiguration(EMPTY_ROOT, EMPTY_PARTS) }
  }
  const root = JSON.parse(value) as ConfigurationRoot
  const names = Object.entries(root.parts)
  let readCount = 0
  const parts = await runInBatches(names, async ([name, hash]) => {
    const part = await store.read(formatPartKey(name, hash))
    reportProgress(`read ${++readCount} of ${names.length} parts`)
    if (part.value === undefined || hashPart(part.value) !== hash) throw new Error(`part ${name} of version ${root.version} is missing or does not match its hash`)
    return [name, JSON.parse(part.value) as unknown] as const
  })
  return { root, revision, configuration: assembleConfiguration(root, new Map(parts)) }
}

/**
 * Writes the parts that the root in force does not name. A part's key holds its
 * hash, so a part that already exists has the same content.
 *
 * @param store - the platform
 * @param parts - parts of the new configuration
 * @param root - root in force
 * @param reportProgress - sets the text of the progress line
 * @returns parts that already existed
 */
export async function writeParts (store: RetryingStore, parts: readonly Part[], root: ConfigurationRoot | undefined, reportProgress: (text: string) => void): Promise<readonly Part[]> {
  const missing = parts.filter(part => root?.parts[part.name] !== part.hash)
  let writtenCount = 0
  const results = await runInBatches(missing, async part => {
    const { kind } = await store.write(formatPartKey(part.name, part.hash), part.json, 0)
    reportProgress(`wrote ${++writtenCount} of ${missing.length} parts`)
    return kind === 'written' ? [] : [part]
  })
  return results.flat()
}

const EMPTY_ROOT: ConfigurationRoot = {
  version: 0, parts: {}, domainStates: {}, drainingHosts: [], changedBy: '', changedAt: '', reason: ''
}

const EMPTY_PARTS: ReadonlyMap<string, unknown> = new Map<string, unknown>([
  ['topology', { domains: [], entries: [], endpoints: [], groups: [] }],
  ['services', { services: [], profiles: [] }]
])

function buildPart (name: string, value: unknown): Part {
  const json = JSON.stringify(value)
  return { name, json, hash: hashPart(json) }
}

function buildGroupedParts<T> (items: readonly T[], computeName: (item: T) => string): readonly Part[] {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(computeName(item))
    if (group === undefined) groups.set(computeName(item), [item])
    else group.push(item)
  }
  return [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(([name, group]) => buildPart(name, group))
}

/**
 * Runs calls in batches; the next batch starts when all calls of the last one have ended.
 *
 * @param items - inputs, one for each call
 * @param run - makes the call for one item
 * @returns results in the order of the items
 */
export async function runInBatches<T, R> (items: readonly T[], run: (item: T) => Promise<R>): Promise<readonly R[]> {
  const results: R[] = []
  for (let start = 0; start < items.length; start += CONCURRENT_CALLS_MAX) {
    results.push(...await Promise.all(items.slice(start, start + CONCURRENT_CALLS_MAX).map(run)))
  }
  return results
}
