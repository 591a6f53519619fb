/** Checks that the settings of a process are consistent with what the configuration says about it. */

import type { EndpointSpec, EntrySpec } from '../kernel/configuration.js'
import type { ConfigurationFile } from './configuration.js'
import { findLine } from './lines.js'
import { describeTomlValue } from './faults.js'
import type { SettingsFault } from './faults.js'
import type { TomlDocument } from './load.js'
import type { EndpointSettings, EntrySettings, ListenerSettings } from './process.js'

/** A value in the settings and the corresponding value in the configuration. */
type Comparison = readonly [keyPath: string, found: unknown, expected: unknown]

/** Addresses with which a listener binds to all interfaces; they cannot be compared with the configuration. */
const WILDCARD_ADDRESSES: readonly string[] = ['0.0.0.0', '::']

/**
 * @param document - the settings file
 * @param settings - valid settings of an entry
 * @param configuration - checked configuration
 * @returns values that differ
 */
export function checkEntryConsistency (document: TomlDocument, settings: EntrySettings, configuration: ConfigurationFile): readonly SettingsFault[] {
  const spec = configuration.entries.find(({ id }) => id === settings.processId)
  if (spec === undefined) return [buildMissingFault(document, settings.processId, 'entries')]
  return listDifferences(document, [
    ...buildProcessComparisons(settings, spec),
    ['caller_listener.public_url', settings.callerListener.publicUrl, spec.callerUrl]
  ])
}

/**
 * @param document - the settings file
 * @param settings - valid settings of an endpoint process
 * @param configuration - checked configuration
 * @returns values that differ
 */
export function checkEndpointConsistency (document: TomlDocument, settings: EndpointSettings, configuration: ConfigurationFile): readonly SettingsFault[] {
  const spec = configuration.endpoints.find(({ id }) => id === settings.processId)
  if (spec === undefined) return [buildMissingFault(document, settings.processId, 'endpoints')]
  return listDifferences(document, [
    ...buildProcessComparisons(settings, spec),
    ['service', settings.service, spec.service],
    ['endpoint.checks_fencing', settings.endpoint.checksFencing, spec.checksFencing],
    ['warm_cap', settings.warmCap, spec.warmCap],
    ['cold_cap', settings.coldCap, spec.coldCap],
    ['group', settings.group, spec.group],
    ['rank', settings.rank, spec.rank]
  ])
}

function buildProcessComparisons (settings: EntrySettings | EndpointSettings, spec: EntrySpec | EndpointSpec): readonly Comparison[] {
  const { peerListener } = settings
  return [
    ['host', settings.host, spec.host],
    ['failure_domain', settings.failureDomain, spec.domain],
    ...(WILDCARD_ADDRESSES.includes(peerListener.ip) ? [] : [['peer_listener.ip', formatAddress(peerListener), spec.peerAddress] as const])
  ]
}

function formatAddress ({ ip, port }: ListenerSettings): string {
  return ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`
}

function listDifferences (document: TomlDocument, comparisons: readonly Comparison[]): readonly SettingsFault[] {
  return comparisons.filter(([, found, expected]) => found !== expected).map(([keyPath, found, expected]) =>
    buildDifferenceFault(document, keyPath, found, `${describeTomlValue(expected, keyPath)}, as in the configuration`))
}

function buildMissingFault (document: TomlDocument, id: string, list: string): SettingsFault {
  return buildDifferenceFault(document, 'process_id', id, `an id in ${list} of the configuration`)
}

function buildDifferenceFault (document: TomlDocument, keyPath: string, found: unknown, expected: string): SettingsFault {
  const line = findLine(document.lines, keyPath)
  return { file: document.file, keyPath, ...(line === undefined ? {} : { line }), found: describeTomlValue(found, keyPath), expected }
}
