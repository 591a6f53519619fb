import { randomBytes } from 'node:crypto'
import { createKeyHash } from '../../edge/security/hash.js'
import { buildDone } from '../result.js'
import type { CommandResult } from '../result.js'

/** Length of an operator's credential in bytes. */
const CREDENTIAL_BYTES = 32

/**
 * Makes an operator's credential. It is printed once and stored nowhere.
 *
 * @returns the credential and the line for the file of operators' keys
 */
export function runOperatorKey (): CommandResult {
  const credential = randomBytes(CREDENTIAL_BYTES).toString('hex')
  const { salt, hash } = createKeyHash(credential)
  const stored = `${salt}:${hash}`
  const text = `Operator credential, shown only once; keep it in operator_credential_file:\n${credential}\n\nAdd this line to operator_keys_file of each process:\n${stored}\n`
  return buildDone(text, { credential, stored })
}
