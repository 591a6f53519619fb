/** Finds the line numbers of keys in a TOML text, because the parser does not report them. */

const HEADER = /^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$/
const ASSIGNMENT = /^\s*([A-Za-z0-9_."'-]+(?:\s*\.\s*[A-Za-z0-9_"'-]+)*)\s*=(.*)$/
const MULTILINE_QUOTES = ['"""', "'''"] as const

/**
 * Finds the lines of table headers and of keys at the start of a line. Keys
 * within inline tables are not indexed; `findLine` returns the line of the
 * enclosing key for them.
 *
 * @param text - valid TOML text
 * @returns line number from 1 by key path
 */
export function buildLineIndex (text: string): ReadonlyMap<string, number> {
  const index = new Map<string, number>()
  const counts = new Map<string, number>()
  let table = ''
  let quote: string | undefined
  for (const [position, line] of text.split('\n').entries()) {
    if (quote !== undefined) {
      if (line.includes(quote)) quote = undefined
      continue
    }
    const header = HEADER.exec(line)
    const assignment = header === null ? ASSIGNMENT.exec(line) : null
    if (header !== null) {
      table = computeTablePath(header[2] ?? '', header[1] === '[[', counts)
      addLine(index, table, position + 1)
    } else if (assignment !== null) {
      const key = formatSegments(assignment[1] ?? '').join('.')
      addLine(index, table === '' ? key : `${table}.${key}`, position + 1)
      quote = findOpenQuote(assignment[2] ?? '')
    }
  }
  return index
}

/**
 * @param index - from `buildLineIndex`
 * @param keyPath - path of a key, which may be missing from the text
 * @returns line of the key, or of the innermost key or table in the index that encloses it
 */
export function findLine (index: ReadonlyMap<string, number>, keyPath: string): number | undefined {
  for (let path = keyPath; path !== ''; path = path.replace(/(^|\.)[^.[]+$|\[\d+\]$/, '')) {
    const line = index.get(path)
    if (line !== undefined) return line
  }
  return undefined
}

function addLine (index: Map<string, number>, path: string, line: number): void {
  if (!index.has(path)) index.set(path, line)
}

function formatSegments (name: string): readonly string[] {
  return name.split('.').map(segment => segment.trim().replace(/^["']|["']$/g, ''))
}

/* A table header below an array of tables refers to the last element of the array. */
function computeTablePath (name: string, isArray: boolean, counts: Map<string, number>): string {
  const segments = formatSegments(name)
  let path = ''
  for (const [position, segment] of segments.entries()) {
    path = path === '' ? segment : `${path}.${segment}`
    const count = counts.get(path)
    if (isArray && position === segments.length - 1) {
      counts.set(path, (count ?? 0) + 1)
      path = `${path}[${count ?? 0}]`
    } else if (count !== undefined) {
      path = `${path}[${count - 1}]`
    }
  }
  return path
}

function findOpenQuote (value: string): string | undefined {
  return MULTILINE_QUOTES.find(quote => value.split(quote).length % 2 === 0)
}
