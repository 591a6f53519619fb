/**
 * Checks of a configuration file that concern more than one value. They work
 * on the raw tables, so that a single run reports their faults together with
 * those of the schema. They ignore values of the wrong type, which the schema
 * reports.
 */

import type { SettingsFault } from './faults.js'
import { buildFault, findNearestName } from './load.js'
import type { KeyPath, TomlDocument } from './load.js'

/** One table of an array of tables. */
interface Row {
  readonly path: KeyPath
  readonly table: Readonly<Record<string, unknown>>
}

/** A key whose values are names from another list of the file. */
interface Reference {
  readonly list: string
  readonly key: string
  readonly target: string
  readonly targetName: string
}

const REFERENCES: readonly Reference[] = [
  { list: 'entries', key: 'failure_domain', target: 'failure_domains', targetName: 'failure domain' },
  { list: 'endpoints', key: 'failure_domain', target: 'failure_domains', targetName: 'failure domain' },
  { list: 'endpoints', key: 'service', target: 'services', targetName: 'service' },
  { list: 'endpoints', key: 'group', target: 'groups', targetName: 'group' },
  { list: 'services', key: 'profile', target: 'profiles', targetName: 'profile' },
  { list: 'profiles', key: 'failure_domains', target: 'failure_domains', targetName: 'failure domain' },
  { list: 'teams', key: 'services', target: 'services', targetName: 'service' },
  { list: 'groups', key: 'service', target: 'services', targetName: 'service' }
]

/** Keys whose values must be unique among all tables of the lists. */
const UNIQUE_KEYS: readonly (readonly [lists: readonly string[], key: string])[] = [
  [['failure_domains'], 'name'],
  [['services'], 'name'],
  [['services'], 'model'],
  [['profiles'], 'name'],
  [['teams'], 'name'],
  [['groups'], 'name'],
  [['entries', 'endpoints'], 'id'],
  [['entries', 'endpoints'], 'peer_address'],
  [['entries'], 'caller_url']
]

/**
 * @param document - parsed configuration file
 * @returns references to unknown names, duplicates and contradictions
 */
export function checkReferences (document: TomlDocument): readonly SettingsFault[] {
  return [
    ...REFERENCES.flatMap(reference => checkReference(document, reference)),
    ...UNIQUE_KEYS.flatMap(([lists, key]) => checkUnique(document, lists, key)),
    ...listRows(document, 'endpoints').flatMap(row => checkCaps(document, row)),
    ...listRows(document, 'services').flatMap(row => checkService(document, row)),
    ...listRows(document, 'groups').flatMap(row => checkGroup(document, row)),
    ...listRows(document, 'endpoints').flatMap(row => checkRank(document, row)),
    ...checkHosts(document)
  ]
}

/**
 * @param document - parsed file
 * @param row - table with `warm_cap` and `cold_cap`
 * @returns a fault when the cold cap exceeds the warm cap
 */
export function checkCaps (document: TomlDocument, row: Row): readonly SettingsFault[] {
  const { warm_cap: warm, cold_cap: cold } = row.table
  if (typeof warm !== 'number' || typeof cold !== 'number' || cold <= warm) return []
  return [buildFault(document, [...row.path, 'cold_cap'], `at most warm_cap (${warm})`)]
}

function checkReference (document: TomlDocument, { list, key, target, targetName }: Reference): readonly SettingsFault[] {
  const known = listRows(document, target).flatMap(row => listTexts(row.table['name']))
  return listRows(document, list).flatMap(row => {
    const value = row.table[key]
    const isList = Array.isArray(value)
    return listTexts(value).flatMap((name, index) => known.includes(name)
      ? []
      : [buildFault(document, [...row.path, key, ...(isList ? [index] : [])], `the name of a ${targetName} in ${target}`, findNearestName(name, known))])
  })
}

function checkUnique (document: TomlDocument, lists: readonly string[], key: string): readonly SettingsFault[] {
  const seen = new Map<string, Row>()
  const faults: SettingsFault[] = []
  for (const row of lists.flatMap(list => listRows(document, list))) {
    const value = row.table[key]
    if (typeof value !== 'string') continue
    const first = seen.get(value)
    if (first === undefined) seen.set(value, row)
    else faults.push(buildFault(document, [...row.path, key], `a value that ${String(first.path[0])}[${String(first.path[1])}] does not use`))
  }
  return faults
}

function checkService (document: TomlDocument, { path, table }: Row): readonly SettingsFault[] {
  if (table['kind'] === 'model' && table['model'] === undefined) return [buildFault(document, [...path, 'model'], 'the model name, as kind is model')]
  if (table['kind'] === 'plain' && table['model'] !== undefined) return [buildFault(document, [...path, 'model'], 'no model, as kind is plain')]
  return []
}

function checkGroup (document: TomlDocument, { path, table }: Row): readonly SettingsFault[] {
  const { name, ranks, service } = table
  const { experts_per_layer: experts, slots_per_rank: slots } = table
  if (typeof name !== 'string' || typeof ranks !== 'number') return []
  const members = listRows(document, 'endpoints').filter(row => row.table['group'] === name)
  const present = new Set(members.map(row => row.table['rank']))
  const missing = Array.from({ length: Math.min(ranks, 1024) }, (_value, rank) => rank).filter(rank => !present.has(rank))
  const faults: SettingsFault[] = []
  if (missing.length > 0) {
    faults.push(buildFault(document, [...path, 'ranks'], `an endpoint for each rank; missing: ${formatRanks(missing)}`))
  }
  if (typeof experts === 'number' && typeof slots === 'number' && ranks * slots < experts) {
    faults.push(buildFault(document, [...path, 'slots_per_rank'], `at least ${Math.ceil(experts / ranks)}, so that ${ranks} ranks hold ${experts} experts`))
  }
  for (const row of members) {
    if (row.table['service'] === service) continue
    faults.push(buildFault(document, [...row.path, 'service'], `the service of group ${name}`))
  }
  return faults
}

function checkRank (document: TomlDocument, { path, table }: Row): readonly SettingsFault[] {
  const { group, rank } = table
  if (group === undefined) return rank === undefined ? [] : [buildFault(document, [...path, 'rank'], 'no rank, as there is no group')]
  if (rank === undefined) return [buildFault(document, [...path, 'rank'], 'the rank in the group')]
  const ranks = listRows(document, 'groups').find(row => row.table['name'] === group)?.table['ranks']
  if (typeof ranks === 'number' && typeof rank === 'number' && rank >= ranks) {
    return [buildFault(document, [...path, 'rank'], `below the group's ranks (${ranks})`)]
  }
  const first = listRows(document, 'endpoints').find(row => row.table['group'] === group && row.table['rank'] === rank)
  if (first === undefined || first.path[1] === path[1]) return []
  return [buildFault(document, [...path, 'rank'], `a rank that endpoints[${String(first.path[1])}] does not have`)]
}

/* A host goes out of service together with its failure domain, so it must belong to only one. */
function checkHosts (document: TomlDocument): readonly SettingsFault[] {
  const domains = new Map<string, string>()
  return [...listRows(document, 'entries'), ...listRows(document, 'endpoints')].flatMap(({ path, table }) => {
    const { host, failure_domain: domain } = table
    if (typeof host !== 'string' || typeof domain !== 'string') return []
    const first = domains.get(host)
    if (first === undefined) domains.set(host, domain)
    if (first === undefined || first === domain) return []
    return [buildFault(document, [...path, 'failure_domain'], `${first}, as host ${host} is in it above`)]
  })
}

function listRows (document: TomlDocument, list: string): readonly Row[] {
  const value = document.root[list]
  if (!Array.isArray(value)) return []
  return value.flatMap((table: unknown, index): readonly Row[] =>
    typeof table === 'object' && table !== null ? [{ path: [list, index], table: table as Row['table'] }] : [])
}

function listTexts (value: unknown): readonly string[] {
  if (typeof value === 'string') return [value]
  return Array.isArray(value) ? value.filter(element => typeof element === 'string') : []
}

function formatRanks (ranks: readonly number[]): string {
  const shown = ranks.slice(0, 8).join(', ')
  return ranks.length > 8 ? `${shown} and ${ranks.length - 8} more` : shown
}
