/** Proof that a peer has the cluster secret, sent in `hello` messages. */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { ProcessRef } from '../../protocol/messages.js'

/** Side of the connection that makes the proof. It is part of the proof, so that a proof cannot be reflected to its sender. */
export type ConnectionSide = 'dialler' | 'listener'

/** What a proof covers. */
export interface ProofSubject {
  /** Random text from the verifying side, new for each connection. */
  readonly challenge: string
  /** Side that makes the proof. */
  readonly side: ConnectionSide
  /** Process that makes the proof. */
  readonly process: Pick<ProcessRef, 'id' | 'role' | 'incarnation'>
}

const CHALLENGE_BYTES = 32

/** @returns a challenge of 64 hexadecimal digits for one connection */
export function createChallenge (): string {
  return randomBytes(CHALLENGE_BYTES).toString('hex')
}

/**
 * @param secret - cluster secret
 * @param subject - challenge of the other side and identity of this process
 * @returns HMAC-SHA-256 in hexadecimal digits
 */
export function signChallenge (secret: string, subject: ProofSubject): string {
  const { challenge, side, process } = subject
  return createHmac('sha256', secret)
    .update(JSON.stringify(['hello', challenge, side, process.id, process.role, process.incarnation]))
    .digest('hex')
}

/**
 * @param secret - cluster secret
 * @param subject - challenge of this side and the identity that the other side claims
 * @param proof - proof that the other side sent
 * @returns whether the other side has the secret
 */
export function verifyProof (secret: string, subject: ProofSubject, proof: string): boolean {
  const expected = Buffer.from(signChallenge(secret, subject))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
