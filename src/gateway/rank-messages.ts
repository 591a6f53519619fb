/** Messages between gateways and agents, and their decoders. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { pack } from 'msgpackr'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { isSharedStatement } from '../plugins/gateway/named-limits.js'
import type { RoomRequest } from '../plugins/gateway/engine-load.js'
import type { PermitRate, PermitReply } from '../plugins/gateway/permits.js'
import type { OrderResult, RankOrder, RankState } from '../plugins/lockstep/rank.js'
import type { EncodedCounters } from './counter-deltas.js'
import { decodeObject } from './link-messages.js'
import type { MessageFault } from './link-messages.js'
import { isCountList, isCountTable, isGroupMap } from './number-lists.js'
import { isAbsentOr, isBetween, isCount, isFlag, isInteger, isOneOf, isRecordOf, isText } from './shapes.js'
import type { Check } from './shapes.js'

/** Version of the message format; messages of other versions are ignored. */
const RANK_LINK_VERSION = 1

/** Longest time in ms in a message; timers take no longer one. */
const DURATION_MAX_MS = 2 ** 31 - 1

/** Largest slowdown factor of a rank that makes sense. */
const PACE_MAX = 1_000

/** First byte of a deflated message, which no packed message begins with. */
const DEFLATED = 0xc1

/** Bytes from which a message is deflated: counters and maps, of which most numbers are alike. */
const DEFLATE_MIN_BYTES = 512

/** Largest size in bytes of a message; a datagram of 64 KB can be inflated to a thousand times its size. */
const MESSAGE_BYTES_MAX = 1024 * 1024

/** Request of a map coordinator to the agent of a rank. */
export type RankRequest =
  /** `countsSince` is the reading of the counters that the gateway has, if any; `inflates` tells that the reply may be deflated. */
  | { readonly kind: 'read', readonly wantsCounts: boolean, readonly wantsMap: boolean, readonly countsSince?: number, readonly inflates?: boolean }
  | { readonly kind: 'order', readonly epoch: number, readonly order: RankOrder }

/** Asks an agent for a permit to send a request to its worker. */
export interface PermitRequest {
  readonly kind: 'permit'
  readonly rate: PermitRate
  /** Longest time in ms for which the request can wait. */
  readonly waitMaxMs: number
  /** Room that the endpoint must have; absent when any load will do. */
  readonly room?: RoomRequest
}

/** Request to an agent. */
export type AgentRequest = RankRequest | PermitRequest

/** Reply of an agent to a map coordinator; the state is read after the order is carried out. */
export interface RankReply extends Partial<EncodedCounters> {
  /** Undefined when the rank does not answer the agent. */
  readonly state: RankState | undefined
  /** Experts of this rank by layer. */
  readonly experts?: readonly (readonly number[])[]
  readonly result?: OrderResult
}

/** Reply of an agent. */
export type AgentReply = RankReply | PermitReply

/** A request or reply with the id that matches them. */
export interface Envelope<T> {
  readonly id: number
  readonly content: T
}

/** Smallest positive rate and slowdown factor that make sense. */
const POSITIVE_MIN = 1e-6

const RESULTS: ReadonlySet<unknown> = new Set<OrderResult>(['accepted', 'done', 'refused', 'no-answer'])

const isDuration = isBetween(0, DURATION_MAX_MS)
const isRate = isRecordOf({ perS: isBetween(POSITIVE_MIN, Number.MAX_VALUE), burst: isBetween(1, Number.MAX_VALUE), named: isAbsentOr(isSharedStatement) })

const isOrder = isOneOf({
  prepare: isRecordOf({ version: isInteger, map: isGroupMap }),
  arm: isRecordOf({ version: isInteger, step: isInteger }),
  disarm: isRecordOf({ version: isInteger }),
  hold: isRecordOf({ step: isInteger }),
  release: isRecordOf({ step: isInteger })
})

const isAgentRequest = isOneOf({
  read: isRecordOf({ wantsCounts: isFlag, wantsMap: isFlag, countsSince: isAbsentOr(isInteger), inflates: isAbsentOr(isFlag) }),
  order: isRecordOf({ epoch: isInteger, order: isOrder }),
  permit: isRecordOf({ rate: isRate, waitMaxMs: isBetween(-DURATION_MAX_MS, DURATION_MAX_MS), room: isAbsentOr(isRecordOf({ loadMax: isBetween(0, Number.MAX_VALUE), tokens: isBetween(0, Number.MAX_VALUE) })) })
})

const isRankState = isRecordOf({
  group: isText,
  epoch: isInteger,
  rank: isCount,
  size: value => isCount(value) && value !== 0,
  isOpen: isFlag,
  bornMs: isCount,
  pace: isBetween(POSITIVE_MIN, PACE_MAX),
  step: isInteger,
  map: isInteger,
  prepared: isAbsentOr(isInteger),
  armed: isAbsentOr(isRecordOf({ version: isInteger, step: isInteger })),
  held: isAbsentOr(isInteger)
})

const isPermitReply = isOneOf({ granted: isRecordOf({ delayMs: isDuration, load: isAbsentOr(isCount) }), denied: isRecordOf({ retryMs: isDuration }), busy: isRecordOf({ load: isCount }) })

const isRankReply = isRecordOf({
  kind: value => value === undefined,
  state: isAbsentOr(isRankState),
  experts: isAbsentOr(isCountTable),
  result: isAbsentOr(value => RESULTS.has(value)),
  counts: isAbsentOr(isCountList),
  countsId: isAbsentOr(isInteger),
  countsSince: isAbsentOr(isInteger)
})

/**
 * @param isDeflated - whether the receiver takes deflated messages; small ones are never deflated
 * @returns the bytes of a request or reply
 */
export function encodeEnvelope<T> (id: number, content: T, isDeflated = false): Buffer {
  const bytes = pack({ version: RANK_LINK_VERSION, id, content })
  return isDeflated && bytes.length >= DEFLATE_MIN_BYTES ? Buffer.concat([Buffer.of(DEFLATED), deflateRawSync(bytes, { level: 1 })]) : bytes
}

/** Whether a message is deflated, so that its sender also takes deflated ones. */
export function isDeflated (bytes: Buffer): boolean {
  return bytes[0] === DEFLATED
}

/** @returns the request, or why there is none */
export function decodeRequest (bytes: Buffer): Either<MessageFault, Envelope<AgentRequest>> {
  return decodeEnvelope(bytes, isAgentRequest)
}

/** @returns the reply, or why there is none */
export function decodeReply (bytes: Buffer): Either<MessageFault, Envelope<AgentReply>> {
  return decodeEnvelope(bytes, value => isPermitReply(value) || isRankReply(value))
}

/** @returns the state; undefined when one of its values cannot be used */
export function checkRankState (state: RankState): RankState | undefined {
  return isRankState(state) ? state : undefined
}

/** @returns the packed message; empty when it cannot be inflated */
function inflate (bytes: Buffer): Buffer {
  if (!isDeflated(bytes)) return bytes
  try {
    return inflateRawSync(bytes.subarray(1), { maxOutputLength: MESSAGE_BYTES_MAX })
  } catch {
    // Not a message of this protocol; whoever asked asks again.
    return Buffer.alloc(0)
  }
}

function decodeEnvelope<T> (bytes: Buffer, hasForm: Check): Either<MessageFault, Envelope<T>> {
  const message = decodeObject(inflate(bytes)) as { readonly version?: unknown, readonly id?: unknown, readonly content?: unknown } | undefined
  if (message?.version !== RANK_LINK_VERSION) return Left('foreign')
  const { id, content } = message
  return isInteger(id) && hasForm(content) ? Right({ id: id as number, content: content as T }) : Left('unusable')
}
