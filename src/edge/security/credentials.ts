/**
 * Credentials of teams and operators: `<prefix>_<name>_<64 hexadecimal digits>`.
 * Only salted SHA-256 hashes are stored; the secrets are 32 random bytes, so a
 * slow password hash would add cost but no security.
 */

import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type { KeyHash, Team } from '../../kernel/configuration.js'

/** Prefix of a team's keys. */
export const TEAM_PREFIX = 'hd'

/** Prefix of an operator's credentials. */
export const OPERATOR_PREFIX = 'hdop'

/** Prefix of a credential, which tells its kind. */
export type CredentialPrefix = typeof TEAM_PREFIX | typeof OPERATOR_PREFIX

const SECRET_BYTES = 32
const SALT_BYTES = 16
const CREDENTIAL_FORMAT = /^(hd|hdop)_([a-z0-9][a-z0-9-]{0,62})_[0-9a-f]{64}$/

/* Compared when the name is unknown, so that the duration does not reveal whether a name exists. */
const UNKNOWN_NAME_HASHES: readonly KeyHash[] = [{ salt: '00'.repeat(SALT_BYTES), hash: '00'.repeat(SECRET_BYTES) }]

/** Source of random bytes; tests provide their own. */
export type RandomSource = (count: number) => Buffer

/** A new credential and its stored form. */
export interface NewCredential {
  /** Shown once, never stored. */
  readonly text: string
  /** `salt:hash`, for the configuration file or the operator keys file. */
  readonly stored: string
}

/**
 * @param prefix - kind of credential
 * @param name - team or operator
 * @param random - source of random bytes
 * @returns a new credential
 */
export function createCredential (prefix: CredentialPrefix, name: string, random: RandomSource = randomBytes): NewCredential {
  const text = `${prefix}_${name}_${random(SECRET_BYTES).toString('hex')}`
  const salt = random(SALT_BYTES).toString('hex')
  return { text, stored: `${salt}:${hashCredential(salt, text)}` }
}

/**
 * @param salt - hexadecimal digits
 * @param text - the credential
 * @returns SHA-256 of both, in hexadecimal digits
 */
export function hashCredential (salt: string, text: string): string {
  return createHash('sha256').update(Buffer.from(salt, 'hex')).update(text).digest('hex')
}

/**
 * @param prefix - expected kind
 * @param text - what a caller sent
 * @returns the name in the credential; undefined when the text is not a credential of this kind
 */
export function parseCredentialName (prefix: CredentialPrefix, text: string): string | undefined {
  const match = CREDENTIAL_FORMAT.exec(text)
  return match?.[1] === prefix ? match[2] : undefined
}

/**
 * Compares a credential with every stored hash, in constant time.
 *
 * @param text - what a caller sent
 * @param hashes - stored hashes
 * @returns whether one of them matches
 */
export function verifyCredential (text: string, hashes: readonly KeyHash[]): boolean {
  let isMatch = false
  for (const { salt, hash } of hashes) {
    const actual = Buffer.from(hashCredential(salt, text), 'hex')
    const stored = Buffer.from(hash, 'hex')
    if (stored.length === actual.length && timingSafeEqual(stored, actual)) isMatch = true
  }
  return isMatch
}

/**
 * @param header - value of the `authorization` header
 * @returns the bearer credential in the header; undefined when there is none
 */
export function parseBearer (header: string | undefined): string | undefined {
  return /^Bearer ([\x21-\x7e]{1,256})$/i.exec(header ?? '')?.[1]
}

/**
 * Authenticates a caller by its `authorization` header.
 *
 * @param header - value of the header
 * @param findTeam - looks a team up in the configuration in force
 * @returns the team; undefined when the credential is missing or wrong
 */
export function verifyTeamHeader (header: string | undefined, findTeam: (name: string) => Team | undefined): Team | undefined {
  const text = parseBearer(header)
  const name = text === undefined ? undefined : parseCredentialName(TEAM_PREFIX, text)
  if (text === undefined || name === undefined) return undefined
  const team = findTeam(name)
  return verifyCredential(text, team?.keys ?? UNKNOWN_NAME_HASHES) ? team : undefined
}

/** Credentials of operators that a process accepts. */
export class OperatorKeys {
  readonly #hashes: ReadonlyMap<string, readonly KeyHash[]>

  private constructor (hashes: ReadonlyMap<string, readonly KeyHash[]>) {
    this.#hashes = hashes
  }

  /**
   * @param text - one line for each credential, `<name> <salt>:<hash>`; lines that start with `#` are comments
   * @returns the credentials
   * @throws Error when a line is malformed; it gives the number of the line and not its text
   */
  static create (text: string): OperatorKeys {
    const hashes = new Map<string, readonly KeyHash[]>()
    for (const [index, line] of text.split('\n').entries()) {
      if (line.trim() === '' || line.startsWith('#')) continue
      const match = /^([a-z0-9][a-z0-9-]{0,62}) ([0-9a-f]{32}):([0-9a-f]{64})$/.exec(line.trim())
      if (match === null) throw new Error(`line ${index + 1} of the operators' credentials is not <name> <salt>:<hash>`)
      const [, name = '', salt = '', hash = ''] = match
      hashes.set(name, [...hashes.get(name) ?? [], { salt, hash }])
    }
    return new OperatorKeys(hashes)
  }

  /**
   * @param header - value of the `authorization` header
   * @returns the operator's name; undefined when the credential is missing or wrong
   */
  verifyHeader (header: string | undefined): string | undefined {
    const text = parseBearer(header)
    const name = text === undefined ? undefined : parseCredentialName(OPERATOR_PREFIX, text)
    if (text === undefined || name === undefined) return undefined
    return verifyCredential(text, this.#hashes.get(name) ?? UNKNOWN_NAME_HASHES) ? name : undefined
  }
}
