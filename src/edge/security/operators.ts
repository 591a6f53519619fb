import { readFileSync } from 'node:fs'
import type { KeyHash } from '../../kernel/document.js'
import { verifyCredential } from './hash.js'

/** Scheme of the `authorization` header. */
const BEARER = 'Bearer '

/** One line of the file: salt and hash in hexadecimal digits. */
const KEY_LINE = /^([0-9a-f]{32}):([0-9a-f]{64})$/

/** Checks the credentials of operators. */
export class OperatorAuthenticator {
  readonly #keys: readonly KeyHash[]

  private constructor (keys: readonly KeyHash[]) {
    this.#keys = keys
  }

  /**
   * @param path - file with one `salt:hash` a line; nobody is an operator when absent
   * @returns the check
   * @throws Error when the file cannot be read or a line is malformed
   */
  static create (path: string | undefined): OperatorAuthenticator {
    if (path === undefined) return new OperatorAuthenticator([])
    const lines = readFileSync(path, 'utf8').split('\n').map(line => line.trim()).filter(line => line !== '')
    return new OperatorAuthenticator(lines.map((line, index) => parseKeyLine(line, `${path}:${index + 1}`)))
  }

  /**
   * @param authorization - value of the header
   * @returns whether it bears an operator's credential
   */
  isOperator (authorization: string | undefined): boolean {
    if (authorization === undefined || !authorization.startsWith(BEARER)) return false
    const credential = authorization.slice(BEARER.length)
    return this.#keys.some(key => verifyCredential(credential, key))
  }
}

function parseKeyLine (line: string, place: string): KeyHash {
  const [, salt, hash] = KEY_LINE.exec(line) ?? []
  if (salt === undefined || hash === undefined) throw new Error(`${place}: expected 32 and 64 hexadecimal digits with a colon between`)
  return { salt, hash }
}
