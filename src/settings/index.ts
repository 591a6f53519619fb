/** Loads the settings of processes and the operators' configuration file. */

import { Either, Left, Right } from 'purify-ts'
import type { z } from 'zod'
import { convertToCamelCase } from './camel-case.js'
import { assembleConfigurationFile, CONFIGURATION_SCHEMA } from './configuration.js'
import type { ConfigurationFile } from './configuration.js'
import type { SettingsFault } from './faults.js'
import { buildFault, checkDocument, readTomlDocument } from './load.js'
import type { TomlDocument } from './load.js'
import { resolveFilePaths, CLI_SCHEMA, ENDPOINT_SCHEMA, ENTRY_SCHEMA } from './process.js'
import type { CliSettings, EndpointSettings, EntrySettings } from './process.js'
import { checkCaps, checkReferences } from './references.js'

export { formatFault, formatFaults } from './faults.js'
export type { SettingsFault } from './faults.js'
export { loadSecretFile } from './secrets.js'
export type { ConfigurationFile } from './configuration.js'
export type * from './process.js'

/** A check of a document that its schema cannot express. */
type DocumentCheck = (document: TomlDocument) => readonly SettingsFault[]

/**
 * @param path - TOML file with the settings of `heatherdoor-entry`
 * @returns every fault, or the settings
 */
export function loadEntrySettings (path: string): Either<readonly SettingsFault[], EntrySettings> {
  return loadChecked(path, ENTRY_SCHEMA, checkListenerPorts).map(table => convertToCamelCase(resolveFilePaths(table, path)))
}

/**
 * @param path - TOML file with the settings of `heatherdoor-endpoint`
 * @returns every fault, or the settings
 */
export function loadEndpointSettings (path: string): Either<readonly SettingsFault[], EndpointSettings> {
  return loadChecked(path, ENDPOINT_SCHEMA, document => [...checkListenerPorts(document), ...checkCapsAndRank(document)])
    .map(table => convertToCamelCase(resolveFilePaths(table, path)))
}

/**
 * @param path - TOML file with the settings of the command line
 * @returns every fault, or the settings
 */
export function loadCliSettings (path: string): Either<readonly SettingsFault[], CliSettings> {
  return loadChecked(path, CLI_SCHEMA, () => []).map(table => convertToCamelCase(resolveFilePaths(table, path)))
}

/**
 * @param path - TOML file with the operators' configuration
 * @returns every fault, or the configuration
 */
export function loadConfigurationFile (path: string): Either<readonly SettingsFault[], ConfigurationFile> {
  return loadChecked(path, CONFIGURATION_SCHEMA, checkReferences).map(assembleConfigurationFile)
}

function loadChecked<T extends z.ZodType> (path: string, schema: T, checkMore: DocumentCheck): Either<readonly SettingsFault[], z.output<T>> {
  return readTomlDocument(path).chain((document): Either<readonly SettingsFault[], z.output<T>> => {
    const { faults, value } = checkDocument(document, schema)
    const seen = new Set(faults.map(fault => fault.keyPath))
    const all = [...faults, ...checkMore(document).filter(fault => !seen.has(fault.keyPath))]
    return all.length === 0 && value !== undefined ? Right(value) : Left(all)
  })
}

function checkListenerPorts (document: TomlDocument): readonly SettingsFault[] {
  const seen = new Set<string>()
  return ['caller_listener', 'peer_listener', 'operations_listener'].flatMap(key => {
    const listener = document.root[key] as { ip?: unknown, port?: unknown } | undefined
    if (typeof listener?.port !== 'number' || typeof listener.ip !== 'string') return []
    const address = `${listener.ip} ${listener.port}`
    if (seen.has(address)) return [buildFault(document, [key, 'port'], 'a port that no listener above uses')]
    seen.add(address)
    return []
  })
}

function checkCapsAndRank (document: TomlDocument): readonly SettingsFault[] {
  const { group, rank } = document.root
  const caps = checkCaps(document, { path: [], table: document.root })
  if (group !== undefined && rank === undefined) return [...caps, buildFault(document, ['rank'], 'the rank, as group is given')]
  if (group === undefined && rank !== undefined) return [...caps, buildFault(document, ['rank'], 'no rank, as there is no group')]
  return caps
}
