import type { TextDelta } from '../../protocol/messages.js'

/** Ranges of UTF-16 code units that are valid only in pairs. */
const HIGH_SURROGATES = { first: 0xd800, last: 0xdbff }
const LOW_SURROGATES = { first: 0xdc00, last: 0xdfff }

/**
 * Computes the delta from an older to a newer text: the part between their
 * common prefix and common suffix.
 *
 * @param from - hash of the older text
 * @param older - the older text
 * @param hash - hash of the newer text
 * @param newer - the newer text
 * @returns the delta
 */
export function computeDelta (from: string, older: string, hash: string, newer: string): TextDelta {
  const shorter = Math.min(older.length, newer.length)
  let start = 0
  while (start < shorter && older.charCodeAt(start) === newer.charCodeAt(start)) start += 1
  let end = 0
  while (end < shorter - start && older.charCodeAt(older.length - 1 - end) === newer.charCodeAt(newer.length - 1 - end)) end += 1
  // A lone surrogate does not survive the encoding of messages.
  if (isSurrogate(newer, start - 1, HIGH_SURROGATES)) start -= 1
  if (isSurrogate(newer, newer.length - end, LOW_SURROGATES)) end -= 1
  return { from, hash, start, end, text: newer.slice(start, newer.length - end) }
}

/**
 * Applies a delta; the caller must verify the hash of the result.
 *
 * @param older - the text that the delta was computed from
 * @param delta - the delta
 * @returns the newer text
 */
export function applyDelta (older: string, delta: TextDelta): string {
  return older.slice(0, delta.start) + delta.text + older.slice(older.length - delta.end)
}

function isSurrogate (text: string, index: number, range: { readonly first: number, readonly last: number }): boolean {
  const codeUnit = text.charCodeAt(index)
  return codeUnit >= range.first && codeUnit <= range.last
}
