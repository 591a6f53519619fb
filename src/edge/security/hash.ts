/** Salted hashes of random credentials. */

import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type { KeyHash } from '../../kernel/document.js'

/** Length of a salt in bytes. */
const SALT_BYTES = 16

/**
 * One round of SHA-256 is enough, since credentials are 32 random bytes and
 * cannot be guessed; it must be cheap because each request is checked.
 *
 * @param credential - the credential's text
 * @param salt - hexadecimal digits
 * @returns the hash in hexadecimal digits
 */
export function hashCredential (credential: string, salt: string): string {
  return createHash('sha256').update(salt).update(credential).digest('hex')
}

/**
 * @param credential - the credential's text
 * @returns a fresh salt and the hash
 */
export function createKeyHash (credential: string): KeyHash {
  const salt = randomBytes(SALT_BYTES).toString('hex')
  return { salt, hash: hashCredential(credential, salt) }
}

/**
 * @param credential - text that a caller presented
 * @param stored - salt and hash of the right one
 * @returns whether it is the right one, in constant time
 */
export function verifyCredential (credential: string, stored: KeyHash): boolean {
  const presented = Buffer.from(hashCredential(credential, stored.salt), 'hex')
  const expected = Buffer.from(stored.hash, 'hex')
  return presented.length === expected.length && timingSafeEqual(presented, expected)
}
