/** Faults of settings and configuration files, and their report. */

/** One fault: where it stands, what is there and what belongs there. */
export interface SettingsFault {
  readonly file: string
  /** Path of the key, such as `caller_listener.port` or `teams[2].weight`; empty for the whole file. */
  readonly keyPath: string
  /** Line number from 1; absent when it is not known. */
  readonly line?: number
  readonly found: string
  readonly expected: string
  /** Nearest known name, for unknown names. */
  readonly nearest?: string
}

/** Longest found value that a report shows, in characters. */
const VALUE_MAX_CHARACTERS = 60

/** Keys whose values are never shown. */
const SECRET_KEY_PATHS = /(^|\.)(keys|operator_keys)(\[|$)/

/**
 * Shows a value as a report may print it. Values of key lists are replaced by
 * their length, because a report may end up in a log.
 *
 * @param value - the value, undefined when the key is absent
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
 * @returns one line of text without a line end
 */
export function formatFault (fault: SettingsFault): string {
  const location = fault.line === undefined ? fault.file : `${fault.file}:${fault.line}`
  const key = fault.keyPath === '' ? '' : ` ${fault.keyPath}:`
  const nearest = fault.nearest === undefined ? '' : `; did you mean ${fault.nearest}?`
  return `${location}:${key} found ${fault.found}, expected ${fault.expected}${nearest}`
}

/**
 * @param faults - faults in any order
 * @returns one line for each fault, ordered by file and line, ending with a line end
 */
export function formatFaults (faults: readonly SettingsFault[]): string {
  const ordered = [...faults].sort((a, b) =>
    a.file === b.file ? (a.line ?? 0) - (b.line ?? 0) : a.file < b.file ? -1 : 1)
  return ordered.map(fault => `${formatFault(fault)}\n`).join('')
}
