import { OPERATOR_PREFIX, createCredential, parseCredentialName } from '../../edge/security/credentials.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/**
 * Makes an operator's credential. It is printed once and stored nowhere.
 *
 * @param operator - operator name
 * @returns the credential and the line for the file of operators' keys
 */
export function runOperatorKey (operator: string): CommandResult {
  const { text: credential, stored } = createCredential(OPERATOR_PREFIX, operator)
  if (parseCredentialName(OPERATOR_PREFIX, credential) !== operator) {
    return buildFailure(EXIT.badInput, `${JSON.stringify(operator)} is not an operator name: lower-case letters, digits and hyphens.`)
  }
  const line = `${operator} ${stored}`
  const text = `Operator credential, shown only once; keep it in operator_credential_file:\n${credential}\n\nAdd this line to operator_keys_file of each process:\n${line}\n`
  return buildDone(text, { operator, credential, stored: line })
}
