/** Teams' API keys: `hd_<team>_<64 hexadecimal digits>`. */

import { randomBytes } from 'node:crypto'
import type { KeyHash } from '../../kernel/document.js'
import { verifyCredential } from './hash.js'

/** Length of a key's secret part in bytes. */
const SECRET_BYTES = 32

const TEAM_KEY = /^hd_([a-z0-9-]+)_[0-9a-f]{64}$/

/**
 * @param team - team name
 * @returns a fresh key; only its salted hash is stored
 */
export function createTeamKey (team: string): string {
  return `hd_${team}_${randomBytes(SECRET_BYTES).toString('hex')}`
}

/**
 * @param key - API key
 * @returns the team that it claims; undefined when malformed
 */
export function parseTeamName (key: string): string | undefined {
  return TEAM_KEY.exec(key)?.[1]
}

/**
 * @param key - API key that a caller presented
 * @param stored - salt and hash of one of the team's keys
 * @returns whether it is that key, in constant time
 */
export function verifyTeamKey (key: string, stored: KeyHash): boolean {
  return verifyCredential(key, stored)
}
