/** Decodes one block of an event stream, with the line ends and fields of the specification of server-sent events. */

const LINE_END = /\r\n|\n|\r/
const COMMENT = ':'
const NULL_CHARACTER = '\0'

/** Fields that may stand without a colon. */
const FIELDS: ReadonlySet<string> = new Set(['id', 'data', 'event', 'retry'])

/** What a block of lines holds. */
export type EventBlock =
  /** Blank lines and comments only, which keep the connection in use. */
  | { readonly kind: 'comment' }
  | { readonly kind: 'event', readonly id: string | undefined, readonly hasData: boolean }
  /** A line is no field, as in a text, a head or the framing of an answer. */
  | { readonly kind: 'malformed' }

/**
 * @param block - bytes up to and with a blank line
 * @returns what callers read in it
 */
export function decodeBlock (block: Buffer): EventBlock {
  let id: string | undefined
  let hasData = false
  let hasFields = false
  for (const line of block.toString('latin1').split(LINE_END)) {
    if (line === '' || line.startsWith(COMMENT)) continue
    const colon = line.indexOf(':')
    const field = colon < 0 ? line : line.slice(0, colon)
    if (colon < 0 && !FIELDS.has(field)) return { kind: 'malformed' }
    hasFields = true
    if (field === 'data') hasData = true
    if (field !== 'id') continue
    const value = colon < 0 ? '' : line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)
    // The specification ignores an id with a zero byte.
    if (!value.includes(NULL_CHARACTER)) id = value
  }
  return hasFields ? { kind: 'event', id, hasData } : { kind: 'comment' }
}
