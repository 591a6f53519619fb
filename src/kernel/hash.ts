/** Hashes for placement and content addresses. */

import { createHash } from 'node:crypto'
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/**
 * Scores a candidate for rendezvous hashing; the highest score wins.
 *
 * @param key - what is placed
 * @param candidate - id of the candidate
 * @returns an unsigned 32-bit integer
 */
export function hashRendezvous (key: string, candidate: string): number {
  return h32(`${key}\n${candidate}`)
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
