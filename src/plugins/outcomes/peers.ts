/** Time of the last message of each peer, and cancels that arrived before their submit. */

import type { ProcessRef } from '../../protocol/messages.js'

/** Silence in ms after which the attempts of a peer are detached. */
export const PEER_TIMEOUT_MS = 3_000
/** Largest count of cancelled attempts that are kept in case their submit arrives later. */
const CANCELS_MAX = 10_000

interface LastHeard {
  readonly incarnation: number
  readonly atMs: number
}

/** Tracks the peers that submit work. */
export class Peers {
  readonly #lastHeard = new Map<string, LastHeard>()
  readonly #cancelled = new Set<string>()

  private constructor () {}

  static create (): Peers {
    return new Peers()
  }

  /**
   * Records that a peer has connected or sent a message.
   *
   * @returns whether the peer has restarted since the previous call
   */
  noteHeard (peer: ProcessRef, nowMs: number): boolean {
    const previous = this.#lastHeard.get(peer.id)
    this.#lastHeard.set(peer.id, { incarnation: peer.incarnation, atMs: nowMs })
    return previous !== undefined && previous.incarnation < peer.incarnation
  }

  /** Restarts the silence timeout of each peer: during a pause of this process, messages of peers are not read. */
  notePause (nowMs: number): void {
    for (const [id, lastHeard] of this.#lastHeard) this.#lastHeard.set(id, { ...lastHeard, atMs: nowMs })
  }

  /** @returns ids of the peers that were silent for longer than `PEER_TIMEOUT_MS`; they are no longer tracked */
  removeSilent (nowMs: number): readonly string[] {
    const silent = [...this.#lastHeard].filter(([, lastHeard]) => nowMs - lastHeard.atMs > PEER_TIMEOUT_MS).map(([id]) => id)
    for (const id of silent) this.#lastHeard.delete(id)
    return silent
  }

  noteCancelled (workId: string): void {
    this.#cancelled.add(workId)
    for (const oldest of this.#cancelled) {
      if (this.#cancelled.size <= CANCELS_MAX) return
      this.#cancelled.delete(oldest)
    }
  }

  isCancelled (workId: string): boolean {
    return this.#cancelled.has(workId)
  }
}
