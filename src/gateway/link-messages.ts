/** Messages between gateways, and their decoder. */

import { unpack } from 'msgpackr'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { Strikes } from '../plugins/gateway/crashes.js'
import { isSharedStatements } from '../plugins/gateway/named-limits.js'
import type { SharedStatements } from '../plugins/gateway/named-limits.js'
import { isCountsTable } from '../plugins/gateway/count-table.js'
import { CODE_MAX } from '../plugins/gateway/members.js'
import type { CrashEvidence } from '../plugins/gateway/part-crashes.js'
import type { GatewayState } from '../plugins/gateway/peers.js'
import type { MemberMessage } from '../plugins/gateway/prober.js'
import { isAddress, parseAddress } from './addresses.js'
import { isEvidence, isEvidenceMessage } from './evidence-messages.js'
import type { EvidenceMessage, EvidenceRequest } from './evidence-messages.js'
import type { Address } from './model.js'
import { isAbsentOr, isBetween, isCount, isFlag, isInteger, isListOf, isOneOf, isRecordOf, isTableOf, isText } from './shapes.js'
import type { Check } from './shapes.js'
import { FOLLOWED_KINDS } from './watch-roles.js'
import type { WatchNews } from './watch-roles.js'

/** Version of the message format; messages of other versions are ignored. */
export const LINK_VERSION = 1

/** Content of a heartbeat. */
export interface Heartbeat {
  readonly version: number
  readonly state: GatewayState
  /** Address at which the sender receives heartbeats. */
  readonly address: Address
  readonly strikes: readonly Strikes[]
  /** Evidence that has changed recently, in case a datagram with it was lost; absent from older versions. */
  readonly evidence?: readonly CrashEvidence[] | undefined
  /**
   * Incarnation of a sender whose failure is detected by pings and whose state holds no
   * requests in flight; absent when it sends heartbeats periodically.
   */
  readonly incarnation?: number | undefined
}

/** Asks a gateway for one of its shares of an endpoint. */
export interface ShareRequest {
  readonly version: number
  readonly kind: 'share-request'
  readonly requestId: number
  readonly endpoint: string
}

/** Reply to a `ShareRequest`. */
export interface ShareReply {
  readonly version: number
  readonly kind: 'share-reply'
  readonly requestId: number
  readonly isLent: boolean
}

/** Tells other gateways what endpoints said about the rates that they take. */
export interface LimitsMessage {
  readonly version: number
  readonly kind: 'limits'
  readonly limits: SharedStatements
}

/** Tells other gateways what a watcher has seen of the store. */
export interface WatchMessage {
  readonly version: number
  readonly kind: 'watch-news'
  readonly news: WatchNews
}

/** A message of the failure detection as sent. */
export type MemberDatagram = MemberMessage & { readonly version: number }

/** Message of another gateway. */
export type LinkMessage = Heartbeat | MemberDatagram | ShareRequest | ShareReply | LimitsMessage | EvidenceRequest | EvidenceMessage | WatchMessage

/** Largest load or slowdown factor of an endpoint that makes sense. */
const LOAD_MAX = 1e9

const isLoadTable = isTableOf(isBetween(0, LOAD_MAX))
const isSender: Check = value => isRecordOf({ host: isText, port: isInteger })(value) && isAddress(value as Address)

/** Most gateways, and updates, in one datagram. */
const ENTRIES_MAX = 64
const UPDATES_MAX = 128

const isName: Check = value => isText(value) && value !== ''
const isStateCode: Check = value => isInteger(value) && isBetween(0, CODE_MAX)(value)
const isUpdate: Check = value => Array.isArray(value) && value.length === 3 && isName(value[0]) && isCount(value[1]) && isStateCode(value[2])
const isUpdateList: Check = value => Array.isArray(value) && value.length <= UPDATES_MAX && value.every(isUpdate)

const isEntry: Check = isRecordOf({
  id: isName,
  bornMs: isCount,
  callerAddress: text => parseAddress(text) !== undefined,
  domain: isText,
  host: isText,
  port: isInteger,
  incarnation: isCount,
  code: isStateCode
})
const isEntryList: Check = value => Array.isArray(value) && value.length <= ENTRIES_MAX && value.every(entry => isEntry(entry) && isAddress(entry as Address))

const isPing = isRecordOf({ sender: isUpdate, sequence: isCount, digest: isCount, counts: isCountsTable, updates: isUpdateList })

const isHeartbeat = isRecordOf({
  state: isRecordOf({
    id: isName,
    bornMs: isCount,
    callerAddress: text => parseAddress(text) !== undefined,
    domain: isText,
    isReady: isFlag,
    inFlight: isLoadTable,
    paces: isAbsentOr(isLoadTable),
    limits: isAbsentOr(isSharedStatements),
    silent: isAbsentOr(isListOf(isText))
  }),
  address: isSender,
  strikes: isListOf(isRecordOf({ fingerprint: isText, count: isCount })),
  evidence: isAbsentOr(isEvidence),
  incarnation: isAbsentOr(isCount)
})

const isRevisionList: Check = value => isListOf(isCount)(value) && (value as readonly unknown[]).length === FOLLOWED_KINDS.length

const isWatchNews = isRecordOf({
  id: value => isText(value) && value !== '',
  era: isAbsentOr(isCount),
  isHearing: isFlag,
  changed: isRevisionList,
  seen: isRevisionList
})

const isRequest = isOneOf({
  'share-request': isRecordOf({ requestId: isInteger, endpoint: isText }),
  'share-reply': isRecordOf({ requestId: isInteger, isLent: isFlag }),
  limits: isRecordOf({ limits: isSharedStatements }),
  'evidence-request': () => true,
  evidence: value => isEvidenceMessage(value as object),
  'watch-news': isRecordOf({ news: isWatchNews }),
  ping: isPing,
  ack: isPing,
  'ping-request': isRecordOf({ sender: isUpdate, sequence: isCount, target: isName, updates: isUpdateList }),
  'members-request': isRecordOf({ sender: isUpdate }),
  members: isRecordOf({ sender: isUpdate, entries: isEntryList })
})

/** Why bytes are not passed on as a message: they are none of this version, or hold values that cannot be used. */
export type MessageFault = 'foreign' | 'unusable'

/** @returns the message, or why there is none */
export function decodeMessage (bytes: Buffer): Either<MessageFault, LinkMessage> {
  const unpacked = decodeObject(bytes)
  if (unpacked?.version !== LINK_VERSION) return Left('foreign')
  const isMessage = unpacked.kind === undefined ? isHeartbeat : isRequest
  return isMessage(unpacked) ? Right(unpacked as LinkMessage) : Left('unusable')
}

/** @returns the object that the bytes hold; undefined when they hold none */
export function decodeObject (bytes: Buffer): { readonly version?: unknown, readonly kind?: unknown } | undefined {
  try {
    const value = unpack(bytes) as unknown
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    // The datagram is not a message of this protocol. Ignoring it is safe, as heartbeats are repeated and requests time out.
    return undefined
  }
}
