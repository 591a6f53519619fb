/** Failure detection between entries (SWIM): direct and indirect probes, suspicion. */

import type { Context } from '../../kernel/plugin.js'
import type { Message, Probe, ProbeAck, ProbeRequest } from '../../protocol/messages.js'
import type { Connections } from './connections.js'
import type { Members } from './members.js'

/** Interval in ms between probes. */
const PROBE_INTERVAL_MS = 1_000

/** Time in ms without an acknowledgement after which other members are asked to probe. */
const DIRECT_TIMEOUT_MS = 400

/** Time in ms without any acknowledgement after which the member is suspected. */
const INDIRECT_TIMEOUT_MS = 1_500

/** Time in ms after which a suspected member is declared dead. */
export const SUSPICION_TIMEOUT_MS = 3_000

/** Largest count of members asked to probe on behalf of this entry. */
const INDIRECT_PROBES_MAX = 3

/** Largest size in bytes of the member updates and home moves in one message. */
const GOSSIP_MAX_BYTES = 600

/** Size in bytes of an encoded home move without its strings. */
const MOVE_FIXED_BYTES = 40

/** Time in ms after which an indirect probe requested by another member is dropped. */
const RELAY_TIMEOUT_MS = 3_000

interface PendingProbe {
  readonly target: string
  readonly sequence: number
  readonly sentAtMs: number
  isIndirectRequested: boolean
}

interface Relay {
  readonly requester: string
  readonly sequence: number
  readonly target: string
  readonly expiresAtMs: number
  sentSequence: number | undefined
}

/** Failure detector of one entry. */
export class Prober {
  readonly #members: Members
  readonly #connections: Connections
  #probeOrder: string[] = []
  /** Members whose connection was lost; they are probed before all others. */
  #disconnected: string[] = []
  #nextProbeMs = 0
  /** Time of the last tick; a gap means that this process was paused, so missing acknowledgements prove nothing and pending probes are dropped. */
  #lastTickMs: number | undefined
  #sequence = 0
  #pending: PendingProbe[] = []
  #relays: Relay[] = []

  private constructor (members: Members, connections: Connections) {
    this.#members = members
    this.#connections = connections
  }

  /**
   * @param members - table in which suspected and dead members are recorded
   * @param connections - connections to the members
   * @returns a prober without pending probes
   */
  static create (members: Members, connections: Connections): Prober {
    return new Prober(members, connections)
  }

  /** @returns ids of members that must be connected for indirect probes */
  listRelayTargets (): readonly string[] {
    return this.#relays.map(relay => relay.target)
  }

  /**
   * Sends due probes, suspects members that did not acknowledge one and declares members
   * dead after the suspicion timeout.
   *
   * @param neighbours - ids of the members that this entry keeps connections to
   * @param context - current time, random numbers and effects
   */
  handleTick (neighbours: readonly string[], context: Context): void {
    if (this.#lastTickMs !== undefined && context.nowMs - this.#lastTickMs > INDIRECT_TIMEOUT_MS) this.#pending = []
    this.#lastTickMs = context.nowMs
    this.#relays = this.#relays.filter(relay => relay.expiresAtMs > context.nowMs)
    for (const relay of this.#relays) this.#sendRelay(relay, context)
    for (const probe of [...this.#pending]) this.#checkPendingProbe(probe, context)
    for (const member of this.#members.listMembers()) {
      if (member.state === 'suspect' && context.nowMs - member.sinceMs >= SUSPICION_TIMEOUT_MS) this.#members.noteState(member.process.id, 'dead', context)
    }
    if (context.nowMs < this.#nextProbeMs) return
    this.#nextProbeMs = context.nowMs + PROBE_INTERVAL_MS
    const target = this.#pickDisconnected(neighbours, context) ?? this.#pickTarget(neighbours, context)
    if (target === undefined || this.#isDialFresh(target, context)) return
    this.#sequence += 1
    this.#pending.push({ target, sequence: this.#sequence, sentAtMs: context.nowMs, isIndirectRequested: false })
    this.sendProbe(target, this.#sequence, context)
  }

  /** Records a lost connection; the member is probed with priority unless it reconnects. */
  noteDisconnected (id: string): void {
    if (!this.#disconnected.includes(id)) this.#disconnected.push(id)
  }

  /** Sends a probe with updates if the member is connected. */
  sendProbe (target: string, sequence: number, context: Context): void {
    if (this.#connections.findView(target) === undefined) return
    context.emit({ kind: 'send', peer: target, message: { kind: 'probe', sequence, ...this.#buildGossip(target, context) } })
  }

  /** Handles probes, acknowledgements and requests for indirect probes. */
  handleMessage (peer: string, message: Probe | ProbeAck | ProbeRequest, context: Context): void {
    switch (message.kind) {
      case 'probe': {
        this.#members.applyUpdates(message.updates, context)
        const ack: Message = { kind: 'probe-ack', sequence: message.sequence, ...this.#buildGossip(peer, context) }
        context.emit({ kind: 'send', peer, message: ack })
        break
      }
      case 'probe-ack':
        this.#members.applyUpdates(message.updates, context)
        this.#pending = this.#pending.filter(probe => probe.sequence !== message.sequence)
        this.#acknowledgeRelays(peer, message.sequence, context)
        break
      case 'probe-request':
        this.#relays.push({ requester: peer, sequence: message.sequence, target: message.target, expiresAtMs: context.nowMs + RELAY_TIMEOUT_MS, sentSequence: undefined })
        break
    }
  }

  /** Builds the gossip of one message: all recent home moves, then as many member updates as fit. */
  #buildGossip (receiver: string, context: Context): Pick<Probe, 'updates' | 'moves'> {
    const moves = context.findPort('requests')?.listMoves(context.nowMs) ?? []
    const movesBytes = moves.reduce((sum, { home, to }) => sum + MOVE_FIXED_BYTES + home.length + to.length, 0)
    const version = context.getPort('configuration').getCurrent().version
    const updates = this.#members.pickUpdates(receiver, version, GOSSIP_MAX_BYTES - movesBytes)
    return { updates, ...(moves.length === 0 ? {} : { moves }) }
  }

  #pickDisconnected (neighbours: readonly string[], context: Context): string | undefined {
    this.#disconnected = this.#disconnected.filter(id => neighbours.includes(id) && this.#connections.findView(id) === undefined)
    const target = this.#disconnected.find(id => !this.#isDialFresh(id, context))
    this.#disconnected = this.#disconnected.filter(id => id !== target)
    return target
  }

  #pickTarget (neighbours: readonly string[], context: Context): string | undefined {
    if (this.#probeOrder.length === 0) {
      const connected = this.#connections.listViews().filter(view => view.process.role === 'entry').map(view => view.process.id)
      const rest = [...new Set([...neighbours, ...connected])].sort()
      while (rest.length > 0) this.#probeOrder.push(...rest.splice(context.random.pickInt(rest.length), 1))
    }
    return this.#probeOrder.shift()
  }

  /** Whether the member is not connected because its first dial has not had time to succeed; it is not probed then. */
  #isDialFresh (target: string, context: Context): boolean {
    if (this.#connections.findView(target) !== undefined) return false
    const startedAtMs = this.#connections.findDialStartMs(target)
    return startedAtMs === undefined || context.nowMs - startedAtMs < PROBE_INTERVAL_MS
  }

  #checkPendingProbe (probe: PendingProbe, context: Context): void {
    const waitedMs = context.nowMs - probe.sentAtMs
    if (waitedMs >= INDIRECT_TIMEOUT_MS) {
      this.#pending = this.#pending.filter(other => other !== probe)
      if (this.#members.findMember(probe.target)?.state === 'alive') this.#members.noteState(probe.target, 'suspect', context)
      else if (this.#members.findMember(probe.target)?.state === 'leaving') this.#members.noteState(probe.target, 'dead', context)
      return
    }
    if (probe.isIndirectRequested || waitedMs < DIRECT_TIMEOUT_MS) return
    probe.isIndirectRequested = true
    const helpers = this.#connections.listViews()
      .filter(view => view.process.role === 'entry' && view.process.id !== probe.target)
      .map(view => view.process.id)
    for (let left = INDIRECT_PROBES_MAX; left > 0 && helpers.length > 0; left -= 1) {
      const [helper] = helpers.splice(context.random.pickInt(helpers.length), 1)
      if (helper !== undefined) context.emit({ kind: 'send', peer: helper, message: { kind: 'probe-request', sequence: probe.sequence, target: probe.target } })
    }
  }

  #sendRelay (relay: Relay, context: Context): void {
    if (relay.sentSequence !== undefined || this.#connections.findView(relay.target) === undefined) return
    this.#sequence += 1
    relay.sentSequence = this.#sequence
    this.sendProbe(relay.target, this.#sequence, context)
  }

  #acknowledgeRelays (peer: string, sequence: number, context: Context): void {
    for (const relay of this.#relays) {
      if (relay.target !== peer || relay.sentSequence !== sequence) continue
      context.emit({ kind: 'send', peer: relay.requester, message: { kind: 'probe-ack', sequence: relay.sequence, ...this.#buildGossip(relay.requester, context) } })
    }
    this.#relays = this.#relays.filter(relay => relay.sentSequence !== sequence)
  }
}
