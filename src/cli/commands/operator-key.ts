import { OPERATOR_PREFIX, createCredential, parseCredentialName } from '../../edge/security/credentials.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/**
 * Makes a credential for an operator. It is printed once and stored nowhere.
 *
 * @param operator - name of the operator
 * @returns the credential and the line for the file of operators' keys
 */
export function runOperatorKey (operator: string): CommandResult {
  const { text: credential, stored } = createCredential(OPERATOR_PREFIX, operator)
  if (parseCredentialName(OPERATOR_PREFIX, credential) !== operator) {
    return buildFailure(EXIT.badInput, `${JSON.stringify(operator)} is not an operator's name: lower-case letters, digits and hyphens.`)
  }
  const line = `${operator} ${stored}`
  const text = `Credential of operator ${operator}, shown only once; keep it in operator_credential_file:\n${credential}\n\nAdd this line to operator_keys_file of each process:\n${line}\n`
  return buildDone(text, { operator, credential, line })
}
