/** Connections to peers: dialling with backoff, heartbeats and detection of silent peers. */

import type { Context } from '../../kernel/plugin.js'
import type { PeerView } from '../../kernel/ports.js'
import type { Heartbeat, ProcessRef } from '../../protocol/messages.js'

/** Interval in ms between heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 1_000

/** Time in ms without a message after which a connection is closed, and dialled again if the peer is wanted. */
export const SILENCE_TIMEOUT_MS = 3_000

/** Time in ms after which a dial that has not led to a connection counts as failed. */
const DIAL_TIMEOUT_MS = 3_000

/** First and largest backoff in ms between two dials of one peer. */
const BACKOFF_BASE_MS = 250
const BACKOFF_MAX_MS = 10_000

/** Time in ms for which a connection is kept after it is no longer wanted. */
const UNWANTED_GRACE_MS = 10_000

/** A gap between two ticks above this length in ms means that this process was paused. */
const PAUSE_MS = 2_000

interface Peer {
  readonly process: ProcessRef
  readonly connectedAtMs: number
  readonly isDialled: boolean
  view: PeerView
  unwantedSinceMs: number | undefined
}

interface Dial {
  failures: number
  nextAtMs: number
  startedAtMs: number | undefined
}

/** Callbacks that the owner of the table provides. */
export interface ConnectionsOptions {
  /** Builds the heartbeat of this process. */
  readonly buildHeartbeat: (context: Context) => Heartbeat
  /** Whether the state has changed so much that a heartbeat should be sent before the next interval. */
  readonly isEarlyHeartbeatDue: (context: Context) => boolean
  /** Whether a connection must stay open even if it is no longer wanted. */
  readonly isInUse: (peer: string, context: Context) => boolean
}

/** Table of the connections of this process. */
export class Connections {
  readonly #options: ConnectionsOptions
  readonly #peers = new Map<string, Peer>()
  readonly #dials = new Map<string, Dial>()
  #wanted: ReadonlyMap<string, string> = new Map()
  #lastTickMs: number | undefined
  #nextHeartbeatMs = 0

  private constructor (options: ConnectionsOptions) {
    this.#options = options
  }

  /**
   * @param options - callbacks of the owner
   * @returns an empty table
   */
  static create (options: ConnectionsOptions): Connections {
    return new Connections(options)
  }

  /** @returns the view of a peer; undefined when it is not connected */
  findView (id: string): PeerView | undefined {
    return this.#peers.get(id)?.view
  }

  /** @returns views of all connected peers */
  listViews (): readonly PeerView[] {
    return [...this.#peers.values()].map(peer => peer.view)
  }

  /** @returns monotonic time in ms of the first dial since the peer was last connected; undefined without such a dial */
  findDialStartMs (id: string): number | undefined {
    return this.#dials.get(id)?.startedAtMs
  }

  /**
   * Sets the peers that this process should be connected to.
   *
   * @param wanted - address by peer id
   */
  updateWanted (wanted: ReadonlyMap<string, string>): void {
    this.#wanted = wanted
    for (const id of this.#dials.keys()) {
      if (!wanted.has(id)) this.#dials.delete(id)
    }
  }

  /** Dials a wanted peer without the initial jittered delay, because a request is waiting for the connection. */
  dialNow (id: string, context: Context): void {
    const address = this.#wanted.get(id)
    const dial = this.#dials.get(id)
    if (address === undefined || this.#peers.has(id) || (dial !== undefined && dial.failures > 0)) return
    this.#dials.set(id, { failures: 0, nextAtMs: context.nowMs, startedAtMs: undefined })
    this.#dial(id, address, context)
  }

  /** Adds a new connection and sends the first heartbeat over it. */
  addPeer (process: ProcessRef, context: Context): void {
    const isDialled = this.#dials.delete(process.id)
    const view = { process, heardAtMs: context.nowMs, configVersion: 0 }
    this.#peers.set(process.id, { process, connectedAtMs: context.nowMs, isDialled, view, unwantedSinceMs: undefined })
    context.emit({ kind: 'log', event: 'peer-connected', fields: { peer: process.id, role: process.role } })
    context.emit({ kind: 'send', peer: process.id, message: this.#options.buildHeartbeat(context) })
  }

  /** Removes a closed connection and schedules a new dial if the peer is still wanted. */
  removePeer (id: string, context: Context): void {
    if (!this.#peers.delete(id)) return
    if (this.#wanted.has(id)) this.#scheduleDial(id, 0, context)
    context.emit({ kind: 'log', event: 'peer-disconnected', fields: { peer: id } })
  }

  /** Records that a message arrived from a peer, and the contents of a heartbeat. */
  noteHeard (id: string, heartbeat: Heartbeat | undefined, context: Context): void {
    const peer = this.#peers.get(id)
    if (peer === undefined) return
    if (heartbeat === undefined) {
      peer.view = { ...peer.view, heardAtMs: context.nowMs }
      return
    }
    const { configVersion, endpoint } = heartbeat
    peer.view = { process: peer.process, heardAtMs: context.nowMs, configVersion, ...(endpoint === undefined ? {} : { endpoint }) }
  }

  /** Closes silent and unwanted connections, dials wanted peers and sends heartbeats that are due. */
  handleTick (context: Context): void {
    this.#notePause(context)
    for (const [id, peer] of this.#peers) {
      if (context.nowMs - peer.view.heardAtMs > SILENCE_TIMEOUT_MS) this.#disconnectSilent(id, peer, context)
      else this.#closeUnwanted(id, peer, context)
    }
    for (const [id, address] of this.#wanted) {
      if (!this.#peers.has(id) && id !== context.self.id) this.#dial(id, address, context)
    }
    if (context.nowMs >= this.#nextHeartbeatMs || this.#options.isEarlyHeartbeatDue(context)) this.sendHeartbeats(context)
  }

  /** Sends a heartbeat over every connection. */
  sendHeartbeats (context: Context): void {
    this.#nextHeartbeatMs = context.nowMs + HEARTBEAT_INTERVAL_MS
    if (this.#peers.size === 0) return
    const message = this.#options.buildHeartbeat(context)
    for (const peer of this.#peers.keys()) context.emit({ kind: 'send', peer, message })
  }

  /** After a pause of this process, messages of the peers are still unread, so the silence of each peer is measured from now. */
  #notePause (context: Context): void {
    if (this.#lastTickMs !== undefined && context.nowMs - this.#lastTickMs > PAUSE_MS) {
      for (const peer of this.#peers.values()) peer.view = { ...peer.view, heardAtMs: context.nowMs }
    }
    this.#lastTickMs = context.nowMs
  }

  #disconnectSilent (id: string, peer: Peer, context: Context): void {
    const silentMs = context.nowMs - peer.view.heardAtMs
    context.emit({ kind: 'log', event: 'peer-silent', fields: { peer: id, silentMs } })
    this.#disconnect(id, peer, context)
  }

  /**
   * Closes a connection that has been unwanted for the grace period. Entries close
   * connections that neither they nor a request in flight needs. An endpoint
   * process never closes a connection to an entry, even if it dialled it, because
   * it cannot know whether the entry is about to send work.
   */
  #closeUnwanted (id: string, peer: Peer, context: Context): void {
    const isEntry = context.self.role === 'entry'
    const mayClose = isEntry ? peer.isDialled || peer.process.role === 'endpoint' : peer.isDialled && peer.process.role === 'endpoint'
    if (!mayClose || this.#wanted.has(id)) {
      peer.unwantedSinceMs = undefined
      return
    }
    peer.unwantedSinceMs ??= context.nowMs
    if (context.nowMs - peer.unwantedSinceMs < UNWANTED_GRACE_MS || this.#options.isInUse(id, context)) return
    this.#disconnect(id, peer, context)
  }

  #disconnect (id: string, peer: Peer, context: Context): void {
    context.emit({ kind: 'disconnect', peer: id })
    context.raise({ kind: 'peer-disconnected', peer: peer.process })
    this.removePeer(id, context)
  }

  #dial (id: string, address: string, context: Context): void {
    const dial = this.#dials.get(id) ?? this.#scheduleDial(id, 0, context)
    if (context.nowMs < dial.nextAtMs) return
    if (dial.startedAtMs === undefined) dial.startedAtMs = context.nowMs
    context.emit({ kind: 'connect', peer: id, address })
    dial.failures += 1
    const backoffMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** dial.failures)
    dial.nextAtMs = context.nowMs + DIAL_TIMEOUT_MS + backoffMs * context.random.pickFloat()
  }

  #scheduleDial (id: string, failures: number, context: Context): Dial {
    const dial = { failures, nextAtMs: context.nowMs + BACKOFF_BASE_MS * context.random.pickFloat(), startedAtMs: undefined }
    this.#dials.set(id, dial)
    return dial
  }
}
