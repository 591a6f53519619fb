/** Proof that a peer holds the cluster secret, carried in `hello`. */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { ProcessRef } from '../../protocol/messages.js'

/** Which end of a connection the prover is; part of the proof, so that a proof cannot be sent back to its author. */
export type ConnectionSide = 'dialler' | 'listener'

/** What a proof covers. */
export interface ProofSubject {
  /** Random text from the verifying end, new for each connection. */
  readonly challenge: string
  /** The end that makes the proof. */
  readonly side: ConnectionSide
  /** The process that makes the proof. */
  readonly process: Pick<ProcessRef, 'id' | 'role' | 'incarnation'>
}

const CHALLENGE_BYTES = 32

/** @returns a challenge of 64 hexadecimal digits for one connection */
export function createChallenge (): string {
  return randomBytes(CHALLENGE_BYTES).toString('hex')
}

/**
 * @param secret - cluster secret
 * @param subject - challenge of the other end and the own identity
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
 * @param subject - own challenge and the identity that the other end states
 * @param proof - proof that the other end sent
 * @returns whether the other end holds the secret
 */
export function verifyProof (secret: string, subject: ProofSubject, proof: string): boolean {
  const expected = Buffer.from(signChallenge(secret, subject))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
