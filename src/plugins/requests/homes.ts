import type { Context } from '../../kernel/plugin.js'
import type { HomeMove, RequestKey } from '../../protocol/messages.js'

/** Time in ms for which a move is remembered: the retention of records and one window. */
const MOVE_KEPT_MS = 930_000

/** Time in ms for which a move is told to other entries, and the count in one message. */
const MOVE_SPREAD_MS = 30_000
const MOVES_PER_MESSAGE = 3

/** Successors followed in a row. */
const HOPS_MAX = 4

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
    const name = formatHome(move.home, move.incarnation)
    if (this.#moves.get(name)?.to === move.to) return
    this.#moves.delete(name)
    this.#moves.set(name, { ...move, learnedAtMs: nowMs })
    for (const [old, { learnedAtMs }] of this.#moves) {
      if (nowMs - learnedAtMs <= MOVE_KEPT_MS) break
      this.#moves.delete(old)
    }
  }

  /** @returns the latest moves, so that entries without a connection to a leaver learn of it */
  listRecentMoves (nowMs: number): readonly HomeMove[] {
    const fresh: HomeMove[] = []
    for (const { home, incarnation, to, learnedAtMs } of [...this.#moves.values()].reverse()) {
      if (nowMs - learnedAtMs > MOVE_SPREAD_MS || fresh.length >= MOVES_PER_MESSAGE) break
      fresh.push({ home, incarnation, to })
    }
    return fresh
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
    for (let hop = 0; hop < HOPS_MAX; hop += 1) {
      const present = context.port('membership').findPeer(id)?.process.incarnation
      incarnation ??= present
      const move = incarnation === undefined ? undefined : this.#moves.get(formatHome(id, incarnation))
      if (move === undefined) {
        if (present === undefined) return { kind: 'absent', id }
        return present === incarnation ? { kind: 'connected', id } : { kind: 'replaced', id }
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

function formatHome (id: string, incarnation: number): string {
  return `${id}#${incarnation}`
}
