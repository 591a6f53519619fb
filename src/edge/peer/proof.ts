import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { ProcessRef } from '../../protocol/messages.js'

/** Length of a nonce in bytes. */
const NONCE_BYTES = 16

/** @returns a fresh nonce in hexadecimal digits */
export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('hex')
}

/**
 * Signs a process identity for one connection.
 *
 * @param secret - cluster secret
 * @param process - identity that is claimed
 * @param theirNonce - nonce of the side that verifies
 * @param ownNonce - nonce of the side that signs
 * @returns HMAC-SHA-256 in hexadecimal digits
 */
export function signProof (secret: string, process: ProcessRef, theirNonce: string, ownNonce: string): string {
  const text = JSON.stringify([process.id, process.role, process.domain, process.host, process.address, process.incarnation, theirNonce, ownNonce])
  return createHmac('sha256', secret).update(text).digest('hex')
}

/**
 * @param proof - proof from the other side
 * @param expected - proof computed here
 * @returns whether both are equal, in constant time
 */
export function verifyProof (proof: string, expected: string): boolean {
  const left = Buffer.from(proof)
  const right = Buffer.from(expected)
  return left.length === right.length && timingSafeEqual(left, right)
}
