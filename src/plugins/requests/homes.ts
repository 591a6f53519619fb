import type { Context } from '../../kernel/plugin.js'
import type { HomeMove, RequestKey } from '../../protocol/messages.js'

/** Time in ms for which a move is remembered: the retention of records and one window. */
const MOVE_RETENTION_MS = 930_000

/** Time in ms for which a move is told to other entries, and the count in one message. */
const MOVE_GOSSIP_MS = 30_000
const MOVES_PER_MESSAGE_MAX = 3

/** Successors followed in a row. */
const SUCCESSOR_HOPS_MAX = 4

/** Where a key is served. */
export type HomeState =
  | { readonly kind: 'connected', readonly id: string }
  /** Not connected; may return. */
  | { readonly kind: 'absent', readonly id: string }
  /** Another incarnation runs in its place. */
  | { readonly kind: 'replaced', readonly id: string }

interface Move extends HomeMove {
  readonly learnedAtMs: number
}

/** Homes that handed their keys to a successor. */
export class HomeDirectory {
  readonly #moves = new Map<string, Move>()

  private constructor () {}

  /** @returns a table without moves */
  static create (): HomeDirectory {
    return new HomeDirectory()
  }

  /** Notes a successor that a leaving home or another entry names. */
  noteMove (move: HomeMove, nowMs: number): void {
    const homeId = formatHomeId(move.home, move.incarnation)
    if (this.#moves.get(homeId)?.to === move.to) return
    this.#moves.delete(homeId)
    this.#moves.set(homeId, { ...move, learnedAtMs: nowMs })
    for (const [oldHomeId, { learnedAtMs }] of this.#moves) {
      if (nowMs - learnedAtMs <= MOVE_RETENTION_MS) break
      this.#moves.delete(oldHomeId)
    }
  }

  /** @returns the latest moves, so that entries without a connection to a leaver learn of it */
  listRecentMoves (nowMs: number): readonly HomeMove[] {
    const recent: HomeMove[] = []
    for (const { home, incarnation, to, learnedAtMs } of [...this.#moves.values()].reverse()) {
      if (nowMs - learnedAtMs > MOVE_GOSSIP_MS || recent.length >= MOVES_PER_MESSAGE_MAX) break
      recent.push({ home, incarnation, to })
    }
    return recent
  }

  /**
   * Finds the process that serves a key, following planned moves.
   *
   * @param key - the key with the home that it names
   * @param context - gives the connected peers
   * @returns the process and whether it can be reached
   */
  findHome (key: RequestKey, context: Context): HomeState {
    let id = key.home
    let incarnation: number | undefined = key.incarnation
    for (let hop = 0; hop < SUCCESSOR_HOPS_MAX; hop += 1) {
      const connectedIncarnation = context.port('membership').findPeer(id)?.process.incarnation
      incarnation ??= connectedIncarnation
      const move = incarnation === undefined ? undefined : this.#moves.get(formatHomeId(id, incarnation))
      if (move === undefined) {
        if (connectedIncarnation === undefined) return { kind: 'absent', id }
        return connectedIncarnation === incarnation ? { kind: 'connected', id } : { kind: 'replaced', id }
      }
      id = move.to
      incarnation = undefined
    }
    return { kind: 'absent', id }
  }
}

/**
 * Whether the process that the key names is connected. While it leaves, it
 * still runs work that its successor cannot join.
 *
 * @param key - the key
 * @param context - gives the connected peers
 * @returns true for the same incarnation
 */
export function isNamedHomeConnected (key: RequestKey, context: Context): boolean {
  return context.port('membership').findPeer(key.home)?.process.incarnation === key.incarnation
}

function formatHomeId (id: string, incarnation: number): string {
  return `${id}#${incarnation}`
}
