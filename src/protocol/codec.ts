/** Encoding of messages between heatherdoor's own processes. */

import { Packr } from 'msgpackr'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { Message } from './messages.js'

/** Maximum size of an encoded message in bytes; larger than any request body or handover part. */
export const MESSAGE_MAX_BYTES = 16 * 1024 * 1024

const packr = new Packr({ useRecords: false, mapsAsObjects: true })

/**
 * @param message - message to a peer
 * @returns MessagePack bytes
 */
export function encodeMessage (message: Message): Uint8Array {
  return packr.pack(message)
}

/**
 * @param bytes - MessagePack bytes from a peer
 * @returns the message, or the reason why the bytes are not a valid message
 */
export function decodeMessage (bytes: Uint8Array): Either<string, Message> {
  if (bytes.length > MESSAGE_MAX_BYTES) return Left(`message of ${bytes.length} bytes exceeds ${MESSAGE_MAX_BYTES}`)
  try {
    const value: unknown = packr.unpack(bytes)
    if (typeof value === 'object' && value !== null && 'kind' in value && typeof value.kind === 'string') {
      return Right(value as Message)
    }
    return Left('message has no kind')
  } catch (error) {
    return Left(`message cannot be decoded: ${String(error)}`)
  }
}
