import { readTomlDocument } from '../../settings/load.js'
import { formatFaults, loadCliSettings, loadConfigurationFile, loadEndpointSettings, loadEntrySettings } from '../../settings/index.js'
import type { SettingsFault } from '../../settings/index.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/** What a file turns out to be, by keys that only this kind has. */
const KINDS = [
  { name: 'configuration', keys: ['failure_domains', 'profiles', 'teams', 'endpoints', 'services'], load: loadConfigurationFile },
  { name: 'endpoint settings', keys: ['endpoint', 'warm_cap', 'cold_cap', 'service'], load: loadEndpointSettings },
  { name: 'entry settings', keys: ['process_id', 'caller_listener', 'limits', 'peer_listener'], load: loadEntrySettings },
  { name: 'command line settings', keys: ['platform', 'operations_urls'], load: loadCliSettings }
] as const

/**
 * Checks files of any kind without a call to the platform.
 *
 * @param files - paths
 * @returns every fault of every file
 */
export function runCheck (files: readonly string[]): CommandResult {
  const checked = files.map(file => ({ file, ...checkFile(file) }))
  const faults = checked.flatMap(({ faults }) => faults)
  const json = { files: checked.map(({ file, kind, faults }) => ({ file, kind, faults })) }
  if (faults.length > 0) return buildFailure(EXIT.badInput, `${formatFaults(faults)}${faults.length} faults.`, json)
  return buildDone(checked.map(({ file, kind }) => `${file}: ${kind}, no fault\n`).join(''), json)
}

function checkFile (file: string): { readonly kind: string, readonly faults: readonly SettingsFault[] } {
  return readTomlDocument(file).caseOf({
    Left: faults => ({ kind: 'unknown', faults }),
    Right: ({ root }) => {
      const kind = KINDS.find(({ keys }) => keys.some(key => key in root))
      if (kind === undefined) {
        return { kind: 'unknown', faults: [{ file, keyPath: '', found: 'no known key', expected: `one of ${KINDS.map(({ name }) => name).join(', ')}` }] }
      }
      return { kind: kind.name, faults: kind.load(file).caseOf({ Left: faults => faults, Right: () => [] }) }
    }
  })
}
