/** Hash functions for rendezvous hashing and for content addressing. */

import { createHash } from 'node:crypto'

/**
 * Scores a candidate for rendezvous hashing; the highest score wins. The hash
 * function must not need a top-level `await` to load: that would change the
 * order in which plug-ins register.
 *
 * @param key - the key to place
 * @param candidate - id of the candidate
 * @returns an unsigned 32-bit integer
 */
export function hashRendezvous (key: string, candidate: string): number {
  return createHash('sha1').update(`${key}\n${candidate}`).digest().readUInt32BE(0)
}

/**
 * Hashes a configuration part.
 *
 * @param json - JSON text of the part
 * @returns SHA-256 in hexadecimal digits
 */
export function hashPart (json: string): string {
  return createHash('sha256').update(json, 'utf8').digest('hex')
}

/**
 * Hashes a name for tables in which the name itself would take too much room (FNV-1a).
 *
 * @param text - the name
 * @returns an unsigned 32-bit integer
 */
export function hashName (text: string): number {
  let hash = 0x811c9dc5
  for (let at = 0; at < text.length; at += 1) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193)
  return hash >>> 0
}
