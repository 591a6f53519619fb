/** Failure detection between gateways (SWIM): direct and indirect pings, suspicion, and gossip of changes. */

import { assertNever } from '../../kernel/errors.js'
import type { GatewayMembers, Member, MemberEntry, MemberUpdate } from './members.js'

/** Interval in ms between pings. */
export const PING_INTERVAL_MS = 250

/** Time in ms without an acknowledgement after which other gateways are asked to ping, and after which the gateway is suspected. */
const DIRECT_TIMEOUT_MS = 300
const INDIRECT_TIMEOUT_MS = 750

/** Time in ms for which a gateway is suspected before it counts as lost. */
const SUSPICION_MS = 1_000

/** Time in ms for which a gateway that others call lost is asked before that is believed. */
const CLAIM_MS = 500

/** Time in ms after which a gateway takes over a suspicion of which it has only heard. */
const TAKEOVER_MS = 3_000

/** Gap in ms between two ticks after which this process counts as having been paused. */
const PAUSE_MS = 600

/** Gateways asked to ping one that did not answer, and one that is suspected already. */
const HELPERS = 3
const SUSPECT_HELPERS = 2

/** Most suspected gateways that are pinged in one tick. */
const SUSPECTS_PINGED_MAX = 8

/** Number of ticks between pings of gateways that are lost or were never heard. */
const ABSENT_TICKS = 4

/** Largest size in bytes of the updates in one message. */
const UPDATES_MAX_BYTES = 900

/** Most gateways described in one datagram. */
const ENTRIES_PER_DATAGRAM_MAX = 12

/**
 * Time in ms without an equal table at any other gateway after which a whole table is
 * requested, after the start and later on, and the shortest time between requests.
 */
const START_DISAGREEMENT_MS = 1_000
const DISAGREEMENT_MS = 5_000

/** Shortest time in ms between announcements that refute a loss. */
const REFUTATION_INTERVAL_MS = 1_000

/** Time in ms after which an indirect ping is forgotten. */
const RELAY_MS = 2_000

/** Most indirect pings that wait for an acknowledgement; of 610 gateways cut off from a third, none holds more than 79. */
const RELAYS_MAX = 1_000

/** A ping or its acknowledgement. */
export interface PingMessage {
  readonly kind: 'ping' | 'ack'
  readonly sender: MemberUpdate
  /** Chosen by the sender of the ping. */
  readonly sequence: number
  /** Hash of the sender's table. */
  readonly digest: number
  /** Requests that the sender has in flight, as a compact table. */
  readonly counts: Uint8Array
  readonly updates: readonly MemberUpdate[]
}

/** Asks a gateway to ping another one. */
export interface PingRequest {
  readonly kind: 'ping-request'
  readonly sender: MemberUpdate
  readonly sequence: number
  readonly target: string
  readonly updates: readonly MemberUpdate[]
}

/** Asks a gateway for its table. */
export interface MembersRequest {
  readonly kind: 'members-request'
  readonly sender: MemberUpdate
}

/** A part of a table. */
export interface MembersMessage {
  readonly kind: 'members'
  readonly sender: MemberUpdate
  readonly entries: readonly MemberEntry[]
}

/** Message of the failure detection. */
export type MemberMessage = PingMessage | PingRequest | MembersRequest | MembersMessage

/** Callbacks of a prober. */
export interface ProberHandlers {
  /** Sends a message to a member. */
  post (target: string, message: MemberMessage): void
  /** Tells all gateways the state of this one. */
  announce (): void
  /** Tells one gateway the state of this one. */
  greet (target: string): void
  /** Lists all gateways that the store lists or that were heard. */
  listTargets (): readonly string[]
  countTargets (): number
  /** @returns requests of this gateway in flight as a compact table */
  encodeCounts (): Uint8Array
  handleCounts (id: string, counts: Uint8Array): void
  /** @returns a random number from 0 to 1 */
  pickFloat (): number
}

interface PendingPing {
  readonly target: string
  readonly incarnation: number
  readonly sentAtMs: number
  isIndirectRequested: boolean
}

interface Relay {
  readonly requester: string
  readonly requesterSequence: number
  readonly target: string
  readonly expiresAtMs: number
}

/** Failure detector of one gateway. */
export class GatewayProber {
  readonly #members: GatewayMembers
  readonly #handlers: ProberHandlers
  readonly #pending = new Map<number, PendingPing>()
  readonly #relays = new Map<number, Relay>()
  #order: string[] = []
  #sequence = 0
  #ticks = 0
  #lastTickMs: number | undefined
  #startedAtMs: number | undefined
  #agreedAtMs: number | undefined
  #requestedAtMs = -Infinity
  #refutedAtMs = -Infinity

  private constructor (members: GatewayMembers, handlers: ProberHandlers) {
    this.#members = members
    this.#handlers = handlers
  }

  /**
   * @param members - table in which suspected and lost gateways are recorded
   * @param handlers - sends messages and receives counts
   * @returns a prober without pending pings
   */
  static create (members: GatewayMembers, handlers: ProberHandlers): GatewayProber {
    return new GatewayProber(members, handlers)
  }

  /** Sends due pings and records gateways that did not acknowledge them; called every `PING_INTERVAL_MS`. */
  tick (nowMs: number): void {
    if (this.#lastTickMs !== undefined && nowMs - this.#lastTickMs > PAUSE_MS) this.#handlePause(nowMs - this.#lastTickMs, nowMs)
    this.#lastTickMs = nowMs
    this.#startedAtMs ??= nowMs
    this.#ticks += 1
    this.#expireRelays(nowMs)
    for (const [sequence, ping] of this.#pending) this.#checkPending(sequence, ping, nowMs)
    this.#checkSuspects(nowMs)
    const target = this.#pickTarget()
    if (target !== undefined) this.#ping(target, nowMs)
    if (this.#ticks % ABSENT_TICKS !== 0) return
    this.#members.expire(nowMs)
    this.#greetAbsent()
  }

  /** Announces this gateway when others count it as lost; rarely, as many may say so at the same time. */
  refute (nowMs: number): void {
    if (nowMs - this.#refutedAtMs < REFUTATION_INTERVAL_MS) return
    this.#refutedAtMs = nowMs
    this.#handlers.announce()
  }

  /**
   * Handles a message of another gateway.
   *
   * @param message - the message
   * @param reply - sends a message to the sender, which may be unknown
   * @param nowMs - monotonic time in ms
   */
  handleMessage (message: MemberMessage, reply: (message: MemberMessage) => void, nowMs: number): void {
    const [sender] = message.sender
    this.#members.apply(message.sender, nowMs)
    switch (message.kind) {
      case 'ping':
        this.#mergePing(message, reply, nowMs)
        reply(this.#buildPing('ack', message.sequence, sender, undefined, this.#members.findCorrection(message.sender)))
        break
      case 'ack':
        this.#mergePing(message, reply, nowMs)
        this.#handleAck(message.sequence, nowMs)
        break
      case 'ping-request':
        for (const update of message.updates) this.#members.apply(update, nowMs)
        this.#relay(message, nowMs)
        break
      case 'members-request':
        this.#sendTable(reply)
        break
      case 'members':
        for (const entry of message.entries) this.#members.applyEntry(entry, entry.id === sender, nowMs)
        break
      default:
        assertNever(message)
    }
  }

  /** @returns number of pings for other gateways that wait for an acknowledgement */
  countRelays (): number {
    return this.#relays.size
  }

  /** After a pause, missing acknowledgements prove nothing, and others may have dropped this gateway. */
  #handlePause (pausedMs: number, nowMs: number): void {
    this.#pending.clear()
    this.#relays.clear()
    for (const { identity } of this.#members.listSuspects()) this.#members.notePostponed(identity.id, nowMs)
    this.#members.raiseIncarnation(this.#members.incarnation)
    if (pausedMs >= INDIRECT_TIMEOUT_MS + SUSPICION_MS) this.refute(nowMs)
  }

  #mergePing ({ sender: [sender], digest, counts, updates }: PingMessage, reply: (message: MemberMessage) => void, nowMs: number): void {
    for (const update of updates) this.#members.apply(update, nowMs)
    this.#handlers.handleCounts(sender, counts)
    if (digest === this.#members.digest) this.#agreedAtMs = nowMs
    else if (this.#shouldRequestTable(nowMs)) {
      this.#requestedAtMs = nowMs
      reply({ kind: 'members-request', sender: this.#members.describeSelf() })
    }
  }

  #shouldRequestTable (nowMs: number): boolean {
    if (this.#members.count() === 0) return nowMs - this.#requestedAtMs > START_DISAGREEMENT_MS
    const [sinceMs, patienceMs] = this.#agreedAtMs === undefined ? [this.#startedAtMs ?? nowMs, START_DISAGREEMENT_MS] : [this.#agreedAtMs, DISAGREEMENT_MS]
    return nowMs - Math.max(sinceMs, this.#requestedAtMs) > patienceMs
  }

  #handleAck (sequence: number, nowMs: number): void {
    const ping = this.#pending.get(sequence)
    this.#pending.delete(sequence)
    if (ping !== undefined) this.#members.notePostponed(ping.target, nowMs)
    const relay = this.#relays.get(sequence)
    if (relay === undefined) return
    this.#relays.delete(sequence)
    if (relay.expiresAtMs <= nowMs) return
    this.#handlers.post(relay.requester, this.#buildPing('ack', relay.requesterSequence, relay.requester, relay.target))
  }

  #checkPending (sequence: number, ping: PendingPing, nowMs: number): void {
    const waitedMs = nowMs - ping.sentAtMs
    if (waitedMs >= INDIRECT_TIMEOUT_MS) {
      this.#pending.delete(sequence)
      const member = this.#members.find(ping.target)
      if (member?.state === 'alive' && member.incarnation === ping.incarnation) this.#members.noteSilent(ping.target, nowMs)
    } else if (waitedMs >= DIRECT_TIMEOUT_MS && !ping.isIndirectRequested) {
      ping.isIndirectRequested = true
      this.#requestPings(ping.target, sequence, HELPERS)
    }
  }

  #checkSuspects (nowMs: number): void {
    let pinged = 0
    for (const { identity: { id }, sinceMs, isOwn, isClaimedLost } of this.#members.listSuspects()) {
      const suspectedMs = nowMs - sinceMs
      if ((isOwn && suspectedMs >= SUSPICION_MS) || (isClaimedLost && suspectedMs >= CLAIM_MS)) this.#members.noteLost(id, nowMs)
      else if (!isOwn && suspectedMs >= TAKEOVER_MS) this.#members.noteSilent(id, nowMs)
      else if (isOwn && pinged < SUSPECTS_PINGED_MAX) {
        pinged += 1
        this.#requestPings(id, this.#ping(id, nowMs), SUSPECT_HELPERS)
      }
    }
  }

  /** Contacts a gateway that is lost or was never heard: it may be back, and may not know of this one. */
  #greetAbsent (): void {
    if (this.#handlers.countTargets() <= this.#members.countRunning()) return
    const absent = this.#handlers.listTargets().filter(id => (this.#members.find(id)?.state ?? 'lost') === 'lost')
    const target = absent[Math.floor(this.#handlers.pickFloat() * absent.length)]
    if (target === undefined) return
    if (this.#members.find(target) === undefined) {
      this.#handlers.greet(target)
      return
    }
    this.#sequence += 1
    this.#handlers.post(target, this.#buildPing('ping', this.#sequence, target))
  }

  #pickTarget (): string | undefined {
    for (;;) {
      if (this.#order.length === 0) this.#order = this.#shuffle(this.#listAlive())
      const id = this.#order.pop()
      if (id === undefined || this.#members.find(id)?.state === 'alive') return id
    }
  }

  #listAlive (): string[] {
    return this.#members.list().filter(({ state }) => state === 'alive').map(({ identity: { id } }) => id)
  }

  #shuffle (ids: string[]): string[] {
    for (let last = ids.length - 1; last > 0; last -= 1) {
      const other = Math.floor(this.#handlers.pickFloat() * (last + 1));
      [ids[last], ids[other]] = [ids[other]!, ids[last]!]
    }
    return ids
  }

  #ping (target: string, nowMs: number): number {
    this.#sequence += 1
    const member: Member | undefined = this.#members.find(target)
    this.#pending.set(this.#sequence, { target, incarnation: member?.incarnation ?? 0, sentAtMs: nowMs, isIndirectRequested: member?.state !== 'alive' })
    this.#handlers.post(target, this.#buildPing('ping', this.#sequence, target))
    return this.#sequence
  }

  #requestPings (target: string, sequence: number, count: number): void {
    for (const helper of this.#pickHelpers(target, count)) {
      this.#handlers.post(helper, { kind: 'ping-request', sender: this.#members.describeSelf(), sequence, target, updates: this.#members.pickUpdates(helper, target, UPDATES_MAX_BYTES) })
    }
  }

  /** Picks other gateways at random, the first of a domain that may still reach both ends when the two domains do not reach each other. */
  #pickHelpers (target: string, count: number): readonly string[] {
    const helpers = this.#listAlive().filter(id => id !== target)
    const domains = new Set([this.#members.domain, this.#members.find(target)?.identity.domain])
    const between = helpers.filter(id => !domains.has(this.#members.find(id)?.identity.domain))
    const picked = new Set<string>()
    for (let left = count; left > 0; left -= 1) {
      const from = picked.size === 0 && between.length > 0 ? between : helpers
      const helper = from[Math.floor(this.#handlers.pickFloat() * from.length)]
      if (helper !== undefined) picked.add(helper)
    }
    return [...picked]
  }

  #relay ({ sender: [requester], sequence: requesterSequence, target }: PingRequest, nowMs: number): void {
    // There are no ticks in the full exchange, but the gateways of the bounded one may ask.
    this.#expireRelays(nowMs)
    if (this.#members.find(target) === undefined) return
    this.#sequence += 1
    this.#relays.set(this.#sequence, { requester, requesterSequence, target, expiresAtMs: nowMs + RELAY_MS })
    const [oldest] = this.#relays.keys()
    if (this.#relays.size > RELAYS_MAX && oldest !== undefined) this.#relays.delete(oldest)
    this.#handlers.post(target, this.#buildPing('ping', this.#sequence, target))
  }

  /** Forgets relays that have expired; the oldest ones come first. */
  #expireRelays (nowMs: number): void {
    for (const [sequence, { expiresAtMs }] of this.#relays) {
      if (expiresAtMs > nowMs) return
      this.#relays.delete(sequence)
    }
  }

  #buildPing (kind: 'ping' | 'ack', sequence: number, receiver: string, subject?: string, correction?: MemberUpdate): PingMessage {
    const picked = this.#members.pickUpdates(receiver, subject, UPDATES_MAX_BYTES)
    const updates = correction === undefined || picked.some(([id]) => id === receiver) ? picked : [correction, ...picked]
    return { kind, sender: this.#members.describeSelf(), sequence, digest: this.#members.digest, counts: this.#handlers.encodeCounts(), updates }
  }

  #sendTable (reply: (message: MemberMessage) => void): void {
    const entries = this.#members.listEntries()
    for (let at = 0; at < entries.length; at += ENTRIES_PER_DATAGRAM_MAX) {
      reply({ kind: 'members', sender: this.#members.describeSelf(), entries: entries.slice(at, at + ENTRIES_PER_DATAGRAM_MAX) })
    }
  }
}
