import { Left } from 'purify-ts'
import type { Either } from 'purify-ts'
import { assertNever } from '../../kernel/errors.js'
import { checkEndpointConsistency, checkEntryConsistency } from '../../settings/consistency.js'
import { readTomlDocument } from '../../settings/load.js'
import type { TomlDocument } from '../../settings/load.js'
import { formatFaults, loadCliSettings, loadConfigurationFile, loadEndpointSettings, loadEntrySettings } from '../../settings/index.js'
import type { ConfigurationFile, SettingsFault } from '../../settings/index.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/** Kind of a file, detected from its keys. */
type FileKind = 'configuration' | 'endpoint settings' | 'entry settings' | 'command line settings' | 'unknown'

/** Keys that only one kind of file has. */
const KEYS_BY_KIND: readonly (readonly [kind: FileKind, keys: readonly string[]])[] = [
  ['configuration', ['failure_domains', 'profiles', 'teams', 'endpoints', 'services']],
  ['endpoint settings', ['endpoint', 'warm_cap', 'cold_cap', 'service']],
  ['entry settings', ['process_id', 'caller_listener', 'limits', 'peer_listener']],
  ['command line settings', ['platform', 'operations_urls']]
]

interface CheckedFile {
  readonly file: string
  readonly kind: FileKind
  readonly faults: readonly SettingsFault[]
}

/**
 * Checks files of any kind without a call to the platform. When exactly one of
 * them is a valid configuration, settings of processes are also compared with it.
 *
 * @param files - paths
 * @returns every fault of every file
 */
export function runCheck (files: readonly string[]): CommandResult {
  const documents = files.map(file => ({ file, document: readTomlDocument(file) }))
  const configurations = documents.flatMap(({ file, document }) =>
    document.map(findKind).orDefault('unknown') === 'configuration' ? loadConfigurationFile(file).caseOf({ Left: () => [], Right: value => [value] }) : [])
  const configuration = configurations.length === 1 ? configurations[0] : undefined
  const checked = documents.map(({ file, document }) => checkFile(file, document, configuration))
  const faults = checked.flatMap(({ faults }) => faults)
  if (faults.length > 0) {
    const count = faults.length === 1 ? '1 fault' : `${faults.length} faults`
    return buildFailure(EXIT.badInput, `${formatFaults(faults)}${count}`, { files: checked })
  }
  return buildDone(checked.map(({ file, kind }) => `${file}: ${kind}, no fault\n`).join(''), { files: checked })
}

function findKind (document: TomlDocument): FileKind {
  return KEYS_BY_KIND.find(([, keys]) => keys.some(key => key in document.root))?.[0] ?? 'unknown'
}

function checkFile (file: string, read: Either<readonly SettingsFault[], TomlDocument>, configuration: ConfigurationFile | undefined): CheckedFile {
  return read.caseOf({
    Left: faults => ({ file, kind: 'unknown', faults }),
    Right: document => {
      const kind = findKind(document)
      return { file, kind, faults: checkByKind(kind, document, configuration).caseOf({ Left: faults => faults, Right: faults => faults }) }
    }
  })
}

function checkByKind (kind: FileKind, document: TomlDocument, configuration: ConfigurationFile | undefined): Either<readonly SettingsFault[], readonly SettingsFault[]> {
  const { file } = document
  switch (kind) {
    case 'configuration': return loadConfigurationFile(file).map(() => [])
    case 'command line settings': return loadCliSettings(file).map(() => [])
    case 'entry settings': return loadEntrySettings(file).map(settings => configuration === undefined ? [] : checkEntryConsistency(document, settings, configuration))
    case 'endpoint settings': return loadEndpointSettings(file).map(settings => configuration === undefined ? [] : checkEndpointConsistency(document, settings, configuration))
    case 'unknown': return Left([{ file, keyPath: '', found: 'no known key', expected: 'a configuration, endpoint settings, entry settings or command line settings' }])
    default: return assertNever(kind)
  }
}
