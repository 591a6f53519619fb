/** Differences between two configurations, for people and for the audit trail. */

import type { Configuration, ConfigurationDifference, KeyHash } from '../kernel/configuration.js'

/** Longest value that a difference shows, in characters. */
const VALUE_MAX_CHARACTERS = 160

/** Text that stands for a missing element or value. */
const ABSENT = 'absent'

type Item = Readonly<Record<string, unknown>>

/** Lists of a configuration: name in the file, field, and the field that identifies an element. */
const COMPARED_LISTS = [
  ['failure_domains', 'domains', 'name'],
  ['entries', 'entries', 'id'],
  ['endpoints', 'endpoints', 'id'],
  ['services', 'services', 'name'],
  ['profiles', 'profiles', 'name'],
  ['teams', 'teams', 'name'],
  ['groups', 'groups', 'name']
] as const

/**
 * @param before - configuration in force
 * @param after - configuration that replaces it
 * @returns one difference for each element added or removed and each value changed
 */
export function computeDifferences (before: Configuration, after: Configuration): readonly ConfigurationDifference[] {
  return [
    ...COMPARED_LISTS.flatMap(([label, field, key]) => compareLists(label, before[field] as readonly unknown[], after[field] as readonly unknown[], key)),
    ...compareDrainingHosts(before.drainingHosts, after.drainingHosts)
  ]
}

/**
 * @param difference - the difference
 * @returns one line of text
 */
export function formatDifference ({ name, was, is }: ConfigurationDifference): string {
  return `${name}: ${was} -> ${is}`
}

function compareLists (label: string, before: readonly unknown[], after: readonly unknown[], key: string): readonly ConfigurationDifference[] {
  const old = buildIndex(before, key)
  const now = buildIndex(after, key)
  return [...new Set([...old.keys(), ...now.keys()])].flatMap(id => {
    const was = old.get(id)
    const is = now.get(id)
    const name = `${label}.${id}`
    if (was === undefined) return [{ name, was: ABSENT, is: describeItem(is ?? {}, key) }]
    if (is === undefined) return [{ name, was: describeItem(was, key), is: ABSENT }]
    return compareItems(name, was, is)
  })
}

function compareItems (name: string, was: Item, is: Item): readonly ConfigurationDifference[] {
  return [...new Set([...Object.keys(was), ...Object.keys(is)])]
    .filter(field => JSON.stringify(was[field]) !== JSON.stringify(is[field]))
    .map(field => ({ name: `${name}.${formatField(field)}`, ...describeChange(field, was[field], is[field]) }))
}

/* Key hashes are never printed; a change of keys is described by numbers of keys. */
function describeChange (field: string, was: unknown, is: unknown): { readonly was: string, readonly is: string } {
  if (field !== 'keys') return { was: describeValue(field, was), is: describeValue(field, is) }
  const old = new Set((was as readonly KeyHash[]).map(({ hash }) => hash))
  const now = new Set((is as readonly KeyHash[]).map(({ hash }) => hash))
  const added = [...now].filter(hash => !old.has(hash)).length
  const removed = [...old].filter(hash => !now.has(hash)).length
  return { was: `${old.size} keys`, is: `${now.size} keys (${added} added, ${removed} removed)` }
}

function compareDrainingHosts (before: readonly string[], after: readonly string[]): readonly ConfigurationDifference[] {
  return [
    ...after.filter(host => !before.includes(host)).map(host => ({ name: `hosts.${host}`, was: 'in service', is: 'draining' })),
    ...before.filter(host => !after.includes(host)).map(host => ({ name: `hosts.${host}`, was: 'draining', is: 'in service' }))
  ]
}

function describeItem (item: Item, key: string): string {
  const fields = Object.entries(item).filter(([field]) => field !== key)
  return truncateText(fields.map(([field, value]) => `${formatField(field)}=${describeValue(field, value)}`).join(' '))
}

function describeValue (field: string, value: unknown): string {
  if (value === undefined) return ABSENT
  if (field === 'keys') return String((value as readonly unknown[]).length)
  return truncateText(Array.isArray(value) ? value.join(',') : String(value))
}

function truncateText (text: string): string {
  return text.length > VALUE_MAX_CHARACTERS ? `${text.slice(0, VALUE_MAX_CHARACTERS)}...` : text
}

function formatField (field: string): string {
  return field.replace(/^domain/, 'failureDomain').replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)
}

function buildIndex (items: readonly unknown[], key: string): ReadonlyMap<string, Item> {
  return new Map(items.map(item => [String((item as Item)[key]), item as Item]))
}
