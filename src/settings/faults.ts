/** Faults found in settings and configuration files, and their formatting for reports. */

/** A fault in a file: its location, the value found and the value expected. */
export interface SettingsFault {
  readonly file: string
  /** Path of the key, such as `caller_listener.port` or `teams[2].weight`; empty for the whole file. */
  readonly keyPath: string
  /** Line number from 1; absent when unknown. */
  readonly line?: number
  readonly found: string
  readonly expected: string
  /** Most similar known name, when the found name is unknown. */
  readonly nearest?: string
}

/** Length in characters at which values are truncated in reports. */
const VALUE_MAX_CHARACTERS = 60

/** Paths of keys whose text values are never shown. */
const SECRET_KEY_PATHS = /(^|\.)(keys|operator_keys)(\[|$)/

/**
 * Describes a value for a report. Text in lists of keys is replaced by its
 * length, because a report may end up in a log.
 *
 * @param value - the value; undefined when the key is absent
 * @param keyPath - path of the key
 * @returns text of bounded length
 */
export function describeTomlValue (value: unknown, keyPath: string): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return `a list of ${value.length}`
  if (value instanceof Date) return 'a date'
  if (typeof value === 'object' && value !== null) return 'a table'
  if (typeof value === 'string' && SECRET_KEY_PATHS.test(keyPath)) return `text of ${value.length} characters`
  const text = typeof value === 'string' ? JSON.stringify(value) : String(value)
  return text.length > VALUE_MAX_CHARACTERS ? `${text.slice(0, VALUE_MAX_CHARACTERS)}...` : text
}

/**
 * @param fault - the fault
 * @returns one line, without a line break at its end
 */
export function formatFault (fault: SettingsFault): string {
  const location = fault.line === undefined ? fault.file : `${fault.file}:${fault.line}`
  const key = fault.keyPath === '' ? '' : ` ${fault.keyPath}:`
  const nearest = fault.nearest === undefined ? '' : `; did you mean ${fault.nearest}?`
  return `${location}:${key} found ${fault.found}, expected ${fault.expected}${nearest}`
}

/**
 * @param faults - faults in any order
 * @returns one line for each fault, ordered by file and line number, each with a line break at its end
 */
export function formatFaults (faults: readonly SettingsFault[]): string {
  const ordered = [...faults].sort((a, b) =>
    a.file === b.file ? (a.line ?? 0) - (b.line ?? 0) : a.file < b.file ? -1 : 1)
  return ordered.map(fault => `${formatFault(fault)}\n`).join('')
}
