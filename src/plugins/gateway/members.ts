/** Member table of a gateway (SWIM): states and incarnations of all gateways, and the updates to gossip. */

import { hashName } from '../../kernel/hash.js'
import { assertNever } from '../../kernel/errors.js'

/** An update is sent this many times for each doubling of the count of members. */
const RETRANSMIT_FACTOR = 3

/** Number of times that an update is sent which its gateway has announced to all itself. */
const ANNOUNCED_RETRANSMITS = 3

/** Size in bytes of an encoded update without its name. */
const UPDATE_FIXED_BYTES = 13

/** Time in ms for which a lost gateway stays in the table. */
const LOST_KEPT_MS = 600_000

/** States in order of precedence within one incarnation; the last one wins. */
export const MEMBER_STATES = ['alive', 'suspect', 'lost'] as const
export type MemberState = typeof MEMBER_STATES[number]

/** Who a gateway is; fixed for the life of its process. */
export interface MemberIdentity {
  readonly id: string
  /** Start of the process in Unix ms. */
  readonly bornMs: number
  /** Address that callers connect to. */
  readonly callerAddress: string
  readonly domain: string
  /** Address of its link to other gateways. */
  readonly host: string
  readonly port: number
}

/** State of a gateway as gossip carries it; `code` holds the state and whether the gateway is ready. */
export type MemberUpdate = readonly [id: string, incarnation: number, code: number]

/** Largest `code` of an update. */
export const CODE_MAX = MEMBER_STATES.length * 2 - 1

/** A gateway with all that another one must know of it. */
export interface MemberEntry extends MemberIdentity {
  readonly incarnation: number
  readonly code: number
}

/** A gateway in the table. */
export interface Member {
  readonly identity: MemberIdentity
  /** Increases with each change of the readiness of the gateway and each refutation. */
  readonly incarnation: number
  readonly isReady: boolean
  readonly state: MemberState
  /** Monotonic time in ms of the last change of the state. */
  readonly sinceMs: number
  /** Whether this gateway raised the suspicion or took it over, and has to check it. */
  readonly isOwn: boolean
  /** Whether another gateway says that this one, which is suspected here, is lost. */
  readonly isClaimedLost: boolean
}

/** How the table changed. */
export interface MemberChange {
  readonly kind: 'joined' | 'updated' | 'suspected' | 'cleared' | 'lost'
  readonly member: Member
}

/** Callbacks of a table. */
export interface MembersHandlers {
  handleChange (change: MemberChange): void
  /** Called when other gateways count this one as lost, or know it by an earlier start. */
  handleRefuted (): void
}

/** Table of the other gateways with the queue of updates to gossip. */
export class GatewayMembers {
  readonly #self: MemberIdentity
  readonly #handlers: MembersHandlers
  readonly #members = new Map<string, Member>()
  readonly #suspects = new Set<string>()
  readonly #lost = new Set<string>()
  /** Remaining transmissions of the latest update of each gateway. */
  readonly #sendsLeft = new Map<string, number>()
  #incarnation: number
  #isReady = false
  /** Sum of the hashes of the running members other than this one. */
  #sum = 0

  private constructor (self: MemberIdentity, handlers: MembersHandlers) {
    this.#self = self
    this.#handlers = handlers
    this.#incarnation = self.bornMs
  }

  /**
   * @param self - this gateway
   * @param handlers - called with changes
   * @returns a table without other gateways
   */
  static create (self: MemberIdentity, handlers: MembersHandlers): GatewayMembers {
    return new GatewayMembers(self, handlers)
  }

  /** Hash of the table; tables of running members that are equal have equal hashes. */
  get digest (): number {
    return (this.#sum + hashMember(this.#self, this.#incarnation, this.#isReady)) >>> 0
  }

  /** Failure domain of this gateway. */
  get domain (): string {
    return this.#self.domain
  }

  get isReady (): boolean {
    return this.#isReady
  }

  get incarnation (): number {
    return this.#incarnation
  }

  find (id: string): Member | undefined {
    return this.#members.get(id)
  }

  count (): number {
    return this.#members.size
  }

  /** @returns number of the other gateways that are not lost */
  countRunning (): number {
    return this.#members.size - this.#lost.size
  }

  list (): readonly Member[] {
    return [...this.#members.values()]
  }

  listSuspects (): readonly Member[] {
    return [...this.#suspects].flatMap(id => this.#members.get(id) ?? [])
  }

  /** @returns state of this gateway */
  describeSelf (): MemberUpdate {
    return [this.#self.id, this.#incarnation, encodeState('alive', this.#isReady)]
  }

  /** @returns all running gateways, this one included */
  listEntries (): readonly MemberEntry[] {
    const [, incarnation, code] = this.describeSelf()
    const others = this.list().filter(({ state }) => state !== 'lost')
    return [{ ...this.#self, incarnation, code }, ...others.map(member => ({ ...member.identity, incarnation: member.incarnation, code: encodeState(member.state, member.isReady) }))]
  }

  /** Records whether this gateway is ready. @returns whether that has changed */
  setReady (isReady: boolean): boolean {
    if (isReady === this.#isReady) return false
    this.#isReady = isReady
    this.raiseIncarnation(this.#incarnation)
    return true
  }

  /** Announces an incarnation of this gateway after `known`, which overrides what others believe of it. */
  raiseIncarnation (known: number): void {
    this.#incarnation = Math.max(this.#incarnation, known) + 1
    this.#sendsLeft.set(this.#self.id, this.#computeSends())
  }

  /**
   * Merges an update of another gateway; one of an unknown gateway is ignored, as that cannot be reached.
   *
   * @param update - the update
   * @param nowMs - monotonic time in ms
   * @param sends - number of times that it is passed on if it is news
   */
  apply ([id, incarnation, code]: MemberUpdate, nowMs: number, sends = this.#computeSends()): void {
    const { state, isReady } = decodeState(code)
    if (id === this.#self.id) {
      this.#refute(incarnation, state)
      return
    }
    const known = this.#members.get(id)
    if (known === undefined || incarnation < known.incarnation) return
    if (known.state === 'lost' && state === 'lost') {
      this.#set({ ...known, incarnation, isReady })
      return
    }
    if (incarnation > known.incarnation) {
      // A gateway that was not suspected here is not dropped on hearsay: it is asked first.
      this.#change({ ...known, incarnation, isReady, state: state === 'alive' ? 'alive' : 'suspect', sinceMs: nowMs, isOwn: state === 'lost', isClaimedLost: state === 'lost' }, sends)
      return
    }
    switch (state) {
      case 'alive':
        break
      case 'suspect':
        if (known.state === 'alive') this.#change({ ...known, state, sinceMs: nowMs, isOwn: false, isClaimedLost: false }, sends)
        break
      case 'lost':
        if (known.state === 'alive') this.#change({ ...known, state: 'suspect', sinceMs: nowMs, isOwn: true, isClaimedLost: true }, sends)
        else if (known.state === 'suspect') this.#members.set(id, { ...known, isClaimedLost: true })
        break
      default:
        assertNever(state)
    }
  }

  /**
   * Merges an entry of a table.
   *
   * @param entry - the entry
   * @param isOwnWord - whether the gateway that it describes has sent it
   * @param nowMs - monotonic time in ms
   */
  applyEntry (entry: MemberEntry, isOwnWord: boolean, nowMs: number): void {
    const { id, incarnation, code } = entry
    const known = this.#members.get(id)
    if (known?.incarnation === incarnation && known.state === 'alive' && known.identity.bornMs === entry.bornMs) return
    const { bornMs, callerAddress, domain, host, port } = entry
    const identity = { id, bornMs, callerAddress, domain, host, port }
    if (id === this.#self.id) {
      this.apply([id, incarnation, code], nowMs)
      return
    }
    if (known === undefined) {
      const { state, isReady } = decodeState(code)
      // A gateway that joins announces itself to all; those that miss it read it from a table.
      if (state !== 'lost') this.#change({ identity, incarnation, isReady, state, sinceMs: nowMs, isOwn: false, isClaimedLost: false }, 0)
      return
    }
    const isNewer = incarnation > known.incarnation || (incarnation === known.incarnation && (isOwnWord || identity.bornMs > known.identity.bornMs))
    if (isNewer && hasChanged(known.identity, identity)) {
      const member = { ...known, identity }
      this.#set(member)
      if (member.state !== 'lost') this.#handlers.handleChange({ kind: 'updated', member })
    }
    this.apply([id, incarnation, code], nowMs, ANNOUNCED_RETRANSMITS)
  }

  /** Records that this gateway found another one silent. */
  noteSilent (id: string, nowMs: number): void {
    const known = this.#members.get(id)
    if (known !== undefined && known.state !== 'lost') this.#change({ ...known, state: 'suspect', sinceMs: nowMs, isOwn: true, isClaimedLost: false })
  }

  /** Restarts the time of a suspicion that this gateway checks. */
  notePostponed (id: string, nowMs: number): void {
    const known = this.#members.get(id)
    if (known?.state === 'suspect') this.#members.set(id, { ...known, sinceMs: nowMs, isClaimedLost: false })
  }

  /** Drops a suspected gateway. */
  noteLost (id: string, nowMs: number): void {
    const known = this.#members.get(id)
    if (known?.state === 'suspect') this.#change({ ...known, state: 'lost', sinceMs: nowMs })
  }

  /** Forgets gateways that were lost long ago. */
  expire (nowMs: number): void {
    for (const id of this.#lost) {
      if (nowMs - this.#members.get(id)!.sinceMs < LOST_KEPT_MS) continue
      this.#members.delete(id)
      this.#lost.delete(id)
      this.#sendsLeft.delete(id)
    }
  }

  /**
   * Picks the updates for one message: first the state of the receiver if it has to
   * refute it, then queued updates, those with the most remaining transmissions first.
   *
   * @param receiver - name of the receiver
   * @param subject - another gateway whose state the receiver should know; undefined when there is none
   * @param maxBytes - largest encoded size of all updates
   */
  pickUpdates (receiver: string, subject: string | undefined, maxBytes: number): readonly MemberUpdate[] {
    const ids = this.#sendsLeft.size === 0 ? [] : [...this.#sendsLeft].sort(([, a], [, b]) => b - a).map(([id]) => id)
    if (subject !== undefined) ids.unshift(subject)
    const known = this.#members.get(receiver)
    if (known !== undefined && known.state !== 'alive') ids.unshift(receiver)
    const updates: MemberUpdate[] = []
    let bytes = 0
    for (const id of new Set(ids)) {
      const update = this.#build(id)
      if (update === undefined) continue
      bytes += UPDATE_FIXED_BYTES + id.length
      if (bytes > maxBytes) break
      updates.push(update)
      this.#noteSent(id)
    }
    return updates
  }

  /** @returns what this gateway knows of another one that has said something older; undefined when there is nothing to correct */
  findCorrection ([id, incarnation]: MemberUpdate): MemberUpdate | undefined {
    const known = this.#members.get(id)
    return known !== undefined && (known.incarnation > incarnation || known.state !== 'alive') ? this.#build(id) : undefined
  }

  #refute (incarnation: number, state: MemberState): void {
    if (incarnation < this.#incarnation || (incarnation === this.#incarnation && state === 'alive')) return
    const wasForeign = incarnation > this.#incarnation
    this.raiseIncarnation(incarnation)
    if (wasForeign || state === 'lost') this.#handlers.handleRefuted()
  }

  #build (id: string): MemberUpdate | undefined {
    if (id === this.#self.id) return this.describeSelf()
    const member = this.#members.get(id)
    return member === undefined ? undefined : [id, member.incarnation, encodeState(member.state, member.isReady)]
  }

  #change (member: Member, sends = this.#computeSends()): void {
    const { id } = member.identity
    const previous = this.#members.get(id)
    this.#set(member)
    if (sends > 0) this.#sendsLeft.set(id, sends)
    else this.#sendsLeft.delete(id)
    const wasAbsent = previous === undefined || previous.state === 'lost'
    // A gateway that is only heard of as suspect counts as running until it is lost.
    if (wasAbsent && member.state !== 'lost') this.#handlers.handleChange({ kind: 'joined', member })
    if (member.state === 'lost' && !wasAbsent) this.#handlers.handleChange({ kind: 'lost', member })
    if (member.state === 'suspect' && previous?.state !== 'suspect') this.#handlers.handleChange({ kind: 'suspected', member })
    if (member.state === 'alive' && previous?.state === 'suspect') this.#handlers.handleChange({ kind: 'cleared', member })
    if (!wasAbsent && member.state !== 'lost' && (member.isReady !== previous.isReady)) this.#handlers.handleChange({ kind: 'updated', member })
  }

  #set (member: Member): void {
    const previous = this.#members.get(member.identity.id)
    if (previous !== undefined && previous.state !== 'lost') this.#sum -= hashMember(previous.identity, previous.incarnation, previous.isReady)
    if (member.state !== 'lost') this.#sum += hashMember(member.identity, member.incarnation, member.isReady)
    this.#members.set(member.identity.id, member)
    if (member.state === 'suspect') this.#suspects.add(member.identity.id)
    else this.#suspects.delete(member.identity.id)
    if (member.state === 'lost') this.#lost.add(member.identity.id)
    else this.#lost.delete(member.identity.id)
  }

  #computeSends (): number {
    return Math.ceil(RETRANSMIT_FACTOR * Math.log2(this.#members.size + 2))
  }

  #noteSent (id: string): void {
    const sendsLeft = this.#sendsLeft.get(id)
    if (sendsLeft === undefined) return
    if (sendsLeft <= 1) this.#sendsLeft.delete(id)
    else this.#sendsLeft.set(id, sendsLeft - 1)
  }
}

/** @returns the number that stands for a state in updates */
export function encodeState (state: MemberState, isReady: boolean): number {
  return MEMBER_STATES.indexOf(state) * 2 + (isReady ? 1 : 0)
}

function decodeState (code: number): { readonly state: MemberState, readonly isReady: boolean } {
  return { state: MEMBER_STATES[Math.floor(code / 2)] ?? 'suspect', isReady: code % 2 === 1 }
}

function hasChanged (known: MemberIdentity, told: MemberIdentity): boolean {
  return known.bornMs !== told.bornMs || known.callerAddress !== told.callerAddress || known.domain !== told.domain || known.host !== told.host || known.port !== told.port
}

function hashMember ({ id, callerAddress }: MemberIdentity, incarnation: number, isReady: boolean): number {
  return hashName(`${id} ${callerAddress} ${incarnation} ${isReady ? 1 : 0}`)
}
