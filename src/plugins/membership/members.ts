/** Member table of an entry (SWIM): states and incarnations of all entries, and the updates to gossip. */

import type { Context } from '../../kernel/plugin.js'
import type { MemberUpdate, ProcessRef } from '../../protocol/messages.js'

/** Size in bytes of an encoded update without its strings: field names, numbers and length prefixes. */
const UPDATE_FIXED_BYTES = 100

/** An update is sent this many times for each doubling of the count of members. */
const RETRANSMIT_FACTOR = 3

/** Time in ms for which a dead member that is not configured stays in the table. */
const TOMBSTONE_MS = 300_000

export type MemberState = MemberUpdate['state']

/** State of one entry in the table. */
export interface Member {
  readonly process: ProcessRef
  readonly state: MemberState
  readonly configVersion: number
  readonly sinceMs: number
}

/** Precedence of states with the same incarnation; the higher one wins. */
const STATE_ORDER: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 }

/** Table of members with the queue of updates to gossip. */
export class Members {
  readonly #members = new Map<string, Member>()
  /** Remaining transmissions of the latest update of each member. */
  readonly #sendsLeft = new Map<string, number>()
  readonly #self: ProcessRef
  #incarnation: number
  #leaving = false
  #rotation = 0
  /** Increases with each change of the table. */
  revision = 0
  /** Increases when the list of running members changes. */
  runningRevision = 0

  private constructor (self: ProcessRef) {
    this.#self = self
    this.#incarnation = self.incarnation
  }

  /**
   * @param self - this entry
   * @returns a table that contains only this entry
   */
  static create (self: ProcessRef): Members {
    const members = new Members(self)
    members.#queueUpdate(self.id)
    return members
  }

  /** @returns the member; undefined when it is unknown or this entry itself */
  findMember (id: string): Member | undefined {
    return this.#members.get(id)
  }

  /** @returns all other members */
  listMembers (): readonly Member[] {
    return [...this.#members.values()]
  }

  /** @returns members that are not dead, including suspected and leaving ones */
  listRunning (): readonly Member[] {
    return this.listMembers().filter(isRunning)
  }

  /** Marks this entry as leaving and queues the update. */
  noteLeaving (): void {
    this.#leaving = true
    this.#incarnation += 1
    this.revision += 1
    this.#queueUpdate(this.#self.id)
  }

  /**
   * Adds configured entries, which count as alive until shown otherwise. Removes
   * unconfigured entries that were never seen running, and unconfigured dead ones
   * after `TOMBSTONE_MS`.
   */
  addConfigured (entries: readonly ProcessRef[], nowMs: number): void {
    const configured = new Set(entries.map(entry => entry.id))
    for (const entry of entries) {
      if (entry.id !== this.#self.id && !this.#members.has(entry.id)) this.#set({ process: entry, state: 'alive', configVersion: 0, sinceMs: nowMs })
    }
    for (const [id, member] of this.#members) {
      const isExpired = member.state === 'dead' && nowMs - member.sinceMs > TOMBSTONE_MS
      if (!configured.has(id) && (member.process.incarnation === 0 || isExpired)) this.#remove(id)
    }
  }

  /**
   * Merges updates received from another member.
   *
   * @param updates - states of members
   * @param context - current time and log output
   */
  applyUpdates (updates: readonly MemberUpdate[], context: Context): void {
    for (const update of updates) this.#applyUpdate(update, context)
  }

  /** Records a state that this entry detected itself. */
  noteState (id: string, state: MemberState, context: Context): void {
    const member = this.#members.get(id)
    if (member === undefined) return
    this.#applyUpdate({ process: member.process, state, configVersion: member.configVersion }, context)
  }

  /** Records that a process is connected to this entry, and thus alive. */
  noteConnected (process: ProcessRef, context: Context): void {
    const known = this.#members.get(process.id)
    if (known !== undefined && known.process.incarnation >= process.incarnation) return
    this.#applyUpdate({ process, state: 'alive', configVersion: known?.configVersion ?? 0 }, context)
  }

  /**
   * Picks the updates for one message: first a state of the receiver that it may
   * have to refute, then queued updates, those with the most remaining transmissions
   * first, then one member by rotation.
   *
   * @param receiver - id of the receiver
   * @param configVersion - configuration version in force at this entry
   * @param maxBytes - largest encoded size of all updates in bytes
   * @returns updates within that size
   */
  pickUpdates (receiver: string, configVersion: number, maxBytes: number): readonly MemberUpdate[] {
    const ids = [...this.#sendsLeft].sort((a, b) => b[1] - a[1]).map(([id]) => id)
    const receiverMember = this.#members.get(receiver)
    if (receiverMember !== undefined && receiverMember.state !== 'alive') ids.unshift(receiver)
    const nextInRotation = this.#pickNextInRotation()
    if (nextInRotation !== undefined) ids.push(nextInRotation)
    const updates: MemberUpdate[] = []
    let bytes = 0
    for (const id of new Set(ids)) {
      const update = this.#buildUpdate(id, configVersion)
      if (update === undefined) continue
      const size = computeUpdateBytes(update)
      if (bytes + size > maxBytes) break
      bytes += size
      updates.push(update)
      this.#noteSent(id)
    }
    return updates
  }

  #pickNextInRotation (): string | undefined {
    const ids = [...this.#members.keys()]
    if (ids.length === 0) return undefined
    this.#rotation = (this.#rotation + 1) % ids.length
    return ids[this.#rotation]
  }

  #buildUpdate (id: string, configVersion: number): MemberUpdate | undefined {
    if (id === this.#self.id) {
      const process = { ...this.#self, incarnation: this.#incarnation }
      return { process, state: this.#leaving ? 'leaving' : 'alive', configVersion }
    }
    const member = this.#members.get(id)
    return member === undefined ? undefined : { process: member.process, state: member.state, configVersion: member.configVersion }
  }

  #applyUpdate (update: MemberUpdate, context: Context): void {
    const { process, state } = update
    if (process.role !== 'entry') return
    if (process.id === this.#self.id) {
      this.#refute(update)
      return
    }
    const known = this.#members.get(process.id)
    if (known !== undefined) {
      const isOlder = process.incarnation < known.process.incarnation
      const isSameIncarnation = process.incarnation === known.process.incarnation
      if (isOlder || (isSameIncarnation && STATE_ORDER[state] <= STATE_ORDER[known.state])) return
    }
    this.#set({ process, state, configVersion: update.configVersion, sinceMs: context.nowMs })
    // Entries learn a new incarnation of a live member from its own messages; gossiping it would flood the network at every start.
    if (known?.state === state) return
    this.#queueUpdate(process.id)
    logChange(update, context)
  }

  /** Refutes a wrong state of this entry by announcing a higher incarnation. */
  #refute (update: MemberUpdate): void {
    const ownState: MemberState = this.#leaving ? 'leaving' : 'alive'
    if (update.process.incarnation < this.#incarnation || update.state === ownState) return
    this.#incarnation = update.process.incarnation + 1
    this.#queueUpdate(this.#self.id)
  }

  #set (member: Member): void {
    const known = this.#members.get(member.process.id)
    if (known === undefined || isRunning(known) !== isRunning(member)) this.runningRevision += 1
    this.#members.set(member.process.id, member)
    this.revision += 1
  }

  #remove (id: string): void {
    this.#members.delete(id)
    this.#sendsLeft.delete(id)
    this.revision += 1
    this.runningRevision += 1
  }

  #queueUpdate (id: string): void {
    this.#sendsLeft.set(id, Math.ceil(RETRANSMIT_FACTOR * Math.log2(this.#members.size + 2)))
  }

  #noteSent (id: string): void {
    const sendsLeft = this.#sendsLeft.get(id)
    if (sendsLeft === undefined) return
    if (sendsLeft <= 1) this.#sendsLeft.delete(id)
    else this.#sendsLeft.set(id, sendsLeft - 1)
  }
}

function isRunning (member: Member): boolean {
  return member.state !== 'dead'
}

/** Computes an upper bound of the encoded size of an update in bytes. */
function computeUpdateBytes ({ process }: MemberUpdate): number {
  return UPDATE_FIXED_BYTES + process.id.length + process.domain.length + process.host.length + process.address.length
}

function logChange (update: MemberUpdate, context: Context): void {
  const fields = { member: update.process.id, incarnation: update.process.incarnation }
  switch (update.state) {
    case 'alive':
      context.emit({ kind: 'log', event: 'member-joined', fields })
      break
    case 'suspect':
      context.emit({ kind: 'log', event: 'member-suspected', fields })
      break
    case 'leaving':
      context.emit({ kind: 'log', event: 'member-leaving', fields })
      break
    case 'dead':
      context.emit({ kind: 'log', event: 'member-dead', fields })
      break
  }
}
