/** When peers were last heard, and cancels that came before their submit. */

import type { ProcessRef } from '../../protocol/messages.js'

/** Silence in ms after which a peer's attempts are dropped. */
export const PEER_TIMEOUT_MS = 3_000
/** Cancelled attempts that are remembered in case their submit arrives later. */
const CANCELS_MAX = 10_000

interface LastHeard {
  readonly incarnation: number
  readonly atMs: number
}

/** Peers that send work. */
export class Peers {
  readonly #lastHeard = new Map<string, LastHeard>()
  readonly #cancelled = new Set<string>()

  private constructor () {}

  static create (): Peers {
    return new Peers()
  }

  /** @returns whether the peer is a new incarnation of one that was heard before */
  noteHeard (peer: ProcessRef, nowMs: number): boolean {
    const previous = this.#lastHeard.get(peer.id)
    this.#lastHeard.set(peer.id, { incarnation: peer.incarnation, atMs: nowMs })
    return previous !== undefined && previous.incarnation < peer.incarnation
  }

  /** Counts silence from now: after a pause of this process the peers' messages wait unread. */
  notePause (nowMs: number): void {
    for (const [id, lastHeard] of this.#lastHeard) this.#lastHeard.set(id, { ...lastHeard, atMs: nowMs })
  }

  /** @returns the peers that have been silent for too long; each is named once */
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
