/** Values that HTTP can carry: what comes in from a caller or an endpoint is checked once, before it is sent on. */

import { validateHeaderName, validateHeaderValue } from 'node:http'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { RawHeaders } from './model.js'

declare const sendable: unique symbol

/** Headers that `node:http` accepts. */
export type SendableHeaders = RawHeaders & { readonly [sendable]: true }

/** Characters that `node:http` refuses in a path. */
const UNSENDABLE_IN_PATH = /[^\u0021-\u00ff]/

/** Longest part of a rejected name in characters that a reason contains. */
const SHOWN_CHARS_MAX = 40

/**
 * Checks headers that a parser accepted; the parser of `node:http` is more lenient than its writer.
 *
 * @param headers - names and values alternating
 * @returns the same headers, or why they cannot be sent; the reason contains no value
 */
export function checkHeaders (headers: RawHeaders): Either<string, SendableHeaders> {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at]!
    if (!isHeaderName(name)) return Left(`header name ${JSON.stringify(name.slice(0, SHOWN_CHARS_MAX))}`)
    if (!isHeaderValue(headers[at + 1]!)) return Left(`value of header ${name.slice(0, SHOWN_CHARS_MAX)}`)
  }
  return Right(headers as SendableHeaders)
}

/** Whether a path can stand in the first line of a request; the parser accepts tabs in it. */
export function isSendablePath (path: string): boolean {
  return !UNSENDABLE_IN_PATH.test(path)
}

/** Whether a text can be the value of a header. */
export function isHeaderValue (text: string): boolean {
  return isAccepted(() => { validateHeaderValue('x', text) })
}

function isHeaderName (text: string): boolean {
  return isAccepted(() => { validateHeaderName(text) })
}

/** Calls a validator of `node:http`, which reports its result only by throwing. */
function isAccepted (validate: () => void): boolean {
  try {
    validate()
    return true
  } catch {
    // The callers of this module report what was rejected.
    return false
  }
}
