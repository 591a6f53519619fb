/** Writes parts of prompts into log lines. */

/** Most characters of the ids that one field names, so that the logger does not cut the number of the others off. */
const NAMED_CHARS_MAX = 220

/**
 * @param parts - ids of parts
 * @returns the first ones, and how many follow
 */
export function formatParts (parts: readonly string[]): string {
  const named: string[] = []
  let chars = 0
  for (const part of parts) {
    chars += part.length + 1
    if (chars > NAMED_CHARS_MAX) break
    named.push(part)
  }
  const rest = parts.length - named.length
  return rest === 0 ? named.join(' ') : `${named.join(' ')} and ${rest} more`.trim()
}
