import type { Context } from '../../kernel/plugin.js'
import type { HomeMove, RequestKey } from '../../protocol/messages.js'

/** Time in ms for which a move is kept: the retention time of records plus one window. */
const MOVE_RETENTION_MS = 930_000

/** Time in ms for which a move is gossiped to other entries, and the largest count of moves in one message. */
const MOVE_GOSSIP_MS = 30_000
const MOVES_PER_MESSAGE_MAX = 3

/** Largest count of consecutive moves followed from the home of a key. */
const SUCCESSOR_HOPS_MAX = 4

/** The process that serves a key, and whether it is connected. */
export type HomeState =
  | { readonly kind: 'connected', readonly id: string }
  /** Not connected, but may connect later. */
  | { readonly kind: 'absent', readonly id: string }
  /** The process was restarted: another incarnation is connected. */
  | { readonly kind: 'replaced', readonly id: string }

interface Move extends HomeMove {
  readonly learnedAtMs: number
}

/** Finds the process that serves a key, also after its home handed its keys over to a successor. */
export class HomeDirectory {
  readonly #moves = new Map<string, Move>()

  private constructor () {}

  /** @returns a directory without moves */
  static create (): HomeDirectory {
    return new HomeDirectory()
  }

  /** Records the successor of a leaving home, as announced by the home or by another entry. */
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

  /** @returns the latest moves, for entries that are not connected to the leaving home */
  listRecentMoves (nowMs: number): readonly HomeMove[] {
    const recent: HomeMove[] = []
    for (const { home, incarnation, to, learnedAtMs } of [...this.#moves.values()].reverse()) {
      if (nowMs - learnedAtMs > MOVE_GOSSIP_MS || recent.length >= MOVES_PER_MESSAGE_MAX) break
      recent.push({ home, incarnation, to })
    }
    return recent
  }

  /**
   * Finds the process that serves a key, following the moves of planned leaves.
   *
   * @param key - the key with the home that it names
   * @param context - provides the connected peers
   * @returns the process and whether it is connected
   */
  findHome (key: RequestKey, context: Context): HomeState {
    let id = key.home
    let incarnation: number | undefined = key.incarnation
    for (let hop = 0; hop < SUCCESSOR_HOPS_MAX; hop += 1) {
      const connectedIncarnation = context.getPort('membership').findPeer(id)?.process.incarnation
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
 * Whether the home named in the key is connected. While it leaves, it still runs
 * work to which its successor cannot attach attempts.
 *
 * @param key - the key
 * @param context - provides the connected peers
 * @returns true if the same incarnation is connected
 */
export function isNamedHomeConnected (key: RequestKey, context: Context): boolean {
  return context.getPort('membership').findPeer(key.home)?.process.incarnation === key.incarnation
}

function formatHomeId (id: string, incarnation: number): string {
  return `${id}#${incarnation}`
}
