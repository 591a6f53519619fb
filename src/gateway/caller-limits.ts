/** Bounds on what callers may take of a gateway together, and how the room is shared. */

/** Requests of one connection that run at a time, and time in ms for which answers may stay unread, when the settings do not name them. */
export const REQUESTS_AHEAD_DEFAULT = 8
export const UNREAD_DEFAULT_MS = 60_000

/** Descriptors kept for files, and for the store, links, agents and listeners. */
const FILE_DESCRIPTORS = 200
const OWN_DESCRIPTORS = 64

/** Smallest limit of descriptors with which a gateway starts. */
export const DESCRIPTORS_MIN = 320

/** Descriptors that are used at most, whatever the limit of the process. */
const DESCRIPTORS_MAX = 20_000

/** Shares of the remaining descriptors: connections of callers, requests in flight, and each of three listeners for operators and the directory. */
const CONNECTIONS_SHARE = 0.4
const REQUESTS_SHARE = 0.4
const LISTENER_SHARE = 0.06

/** Share of the requests in flight up to which connections may run more than one. */
const AHEAD_SHARE = 0.5

/** Share of the memory that requests read ahead, but not started, may take. */
const HELD_SHARE = 0.06

/** How many times the free room one address or team may take: alone 4 of 5 parts, with another one like it 4 of 9 each. */
const FREE_ROOM_FACTOR = 4

/** Time in ms without progress after which a connection with an unread answer gives way when there is no room. */
export const STALLED_MS = 2_000

/** Settings of the bounds. */
export interface CallerBoundSettings {
  /** Descriptors of the process; undefined when only its own limit bounds them. */
  readonly descriptorsMax?: number | undefined
  /** Requests of one connection that run at a time. */
  readonly requestsAhead?: number | undefined
  /** Time in ms for which answers may stay unread. */
  readonly unreadMs?: number | undefined
}

/** Bounds of one process. */
export interface CallerBounds {
  /** Open connections of callers. */
  readonly connectionsMax: number
  /** Requests in flight; each has a connection to an endpoint. */
  readonly requestsMax: number
  /** Requests in flight from which on each connection runs one at a time. */
  readonly aheadMax: number
  readonly requestsAhead: number
  readonly unreadMs: number
  /** Bytes that wait unread behind requests in flight. */
  readonly heldBytesMax: number
  /** Open connections of the directory, and as many for each listener for operators. */
  readonly listenerConnectionsMax: number
}

/** A bound that can be met; the label of the metric `bounds_met`. */
export type Bound = 'connections' | 'requests' | 'address' | 'team' | 'held' | 'unread' | 'body'

/**
 * @param limit - descriptors that the settings and the process allow
 * @param memoryBytes - memory of the process
 * @param settings - bounds that the settings name
 * @returns bounds whose descriptors together stay below the limit
 */
export function computeCallerBounds (limit: number, memoryBytes: number, { requestsAhead = REQUESTS_AHEAD_DEFAULT, unreadMs = UNREAD_DEFAULT_MS }: CallerBoundSettings = {}): CallerBounds {
  const room = Math.max(DESCRIPTORS_MIN, Math.min(limit, DESCRIPTORS_MAX)) - FILE_DESCRIPTORS - OWN_DESCRIPTORS
  const requestsMax = Math.floor(room * REQUESTS_SHARE)
  return {
    connectionsMax: Math.floor(room * CONNECTIONS_SHARE),
    requestsMax,
    aheadMax: Math.floor(requestsMax * AHEAD_SHARE),
    requestsAhead,
    unreadMs,
    heldBytesMax: memoryBytes * HELD_SHARE,
    listenerConnectionsMax: Math.max(2, Math.floor(room * LISTENER_SHARE))
  }
}

/**
 * @param configured - descriptors that the settings allow
 * @param own - limit of the process; undefined when it is not known
 * @returns descriptors that the process may open
 */
export function computeDescriptorsMax (configured: number | undefined, own: number | undefined): number {
  return Math.min(configured ?? DESCRIPTORS_MAX, own ?? DESCRIPTORS_MAX)
}

/** Whether one of several that share a room may take more of it. */
function hasShare (taken: number, total: number, max: number): boolean {
  return total < max && taken < FREE_ROOM_FACTOR * (max - total)
}

/** What a request is counted for. */
export interface RequestOrigin {
  readonly address: string
  /** Undefined on routes without teams. */
  readonly team: string | undefined
}

/** Result of asking for room. */
export type RoomResult = 'taken' | Extract<Bound, 'requests' | 'address' | 'team'>

/** Requests in flight, by address and team. */
export class RequestRoom {
  #bounds: Pick<CallerBounds, 'requestsMax' | 'aheadMax'>
  readonly #owners = new Map<object, RequestOrigin>()
  readonly #addresses = new Map<string, number>()
  readonly #teams = new Map<string, number>()

  private constructor (bounds: Pick<CallerBounds, 'requestsMax' | 'aheadMax'>) {
    this.#bounds = bounds
  }

  /**
   * @param bounds - largest number of requests
   * @returns a room without requests
   */
  static create (bounds: Pick<CallerBounds, 'requestsMax' | 'aheadMax'>): RequestRoom {
    return new RequestRoom(bounds)
  }

  updateBounds (bounds: Pick<CallerBounds, 'requestsMax' | 'aheadMax'>): void {
    this.#bounds = bounds
  }

  /** Whether connections may run more than one request. */
  get mayRunAhead (): boolean {
    return this.#owners.size < this.#bounds.aheadMax
  }

  /** @returns requests in flight */
  countRequests (): number {
    return this.#owners.size
  }

  /**
   * Takes room for a request, unless there is none or its address or team has too much of it.
   *
   * @param owner - the request
   * @param origin - where it comes from
   */
  take (owner: object, origin: RequestOrigin): RoomResult {
    const { address, team } = origin
    const bound = this.findBound(origin)
    if (bound !== undefined) return bound
    this.#owners.set(owner, origin)
    addCount(this.#addresses, address, 1)
    if (team !== undefined) addCount(this.#teams, team, 1)
    return 'taken'
  }

  /** @returns the bound that leaves no room for a request; undefined when there is room */
  findBound ({ address, team }: { readonly address?: string, readonly team: string | undefined }): Exclude<RoomResult, 'taken'> | undefined {
    const { requestsMax } = this.#bounds
    const total = this.#owners.size
    if (total >= requestsMax) return 'requests'
    if (address !== undefined && !hasShare(this.#addresses.get(address) ?? 0, total, requestsMax)) return 'address'
    return team !== undefined && !hasShare(this.#teams.get(team) ?? 0, total, requestsMax) ? 'team' : undefined
  }

  release (owner: object): void {
    const origin = this.#owners.get(owner)
    if (origin === undefined) return
    this.#owners.delete(owner)
    addCount(this.#addresses, origin.address, -1)
    if (origin.team !== undefined) addCount(this.#teams, origin.team, -1)
  }
}

/** Adds to a count, and forgets it at zero. */
function addCount (counts: Map<string, number>, key: string, change: number): void {
  const count = (counts.get(key) ?? 0) + change
  if (count === 0) counts.delete(key)
  else counts.set(key, count)
}

/** What decides whether a connection gives way. */
export interface ConnectionState {
  readonly address: string
  /** Monotonic time in ms since which it has no request; undefined when it has one. */
  readonly idleSinceMs: number | undefined
  /** Monotonic time in ms since which its caller has read nothing of an answer; undefined when nothing waits. */
  readonly stalledSinceMs: number | undefined
}

/** What happens to a new connection. */
export type ConnectionDecision<C> =
  | { readonly kind: 'accept' }
  /** Another connection gives way. */
  | { readonly kind: 'replace', readonly connection: C }
  | { readonly kind: 'refuse' }

/**
 * Decides on a new connection. Without room the connection that has been idle longest gives way,
 * then the one whose answer has been unread longest, of the addresses that have at least as many
 * connections; an address with too large a share only gets the place of one of its own.
 *
 * @param connections - open connections without the new one
 * @param address - address of the new caller
 * @param max - largest number of connections
 * @param nowMs - monotonic time in ms
 */
export function decideConnection<C extends ConnectionState> (connections: Iterable<C>, address: string, max: number, nowMs: number): ConnectionDecision<C> {
  const open = [...connections]
  const counts = new Map<string, number>()
  for (const connection of open) addCount(counts, connection.address, 1)
  const own = counts.get(address) ?? 0
  if (hasShare(own, open.length, max)) return { kind: 'accept' }
  const candidates = open.filter(connection => open.length < max ? connection.address === address : (counts.get(connection.address) ?? 0) >= own)
  const connection = findLongest(candidates, ({ idleSinceMs }) => idleSinceMs) ?? findStalled(candidates, nowMs)
  return connection === undefined ? { kind: 'refuse' } : { kind: 'replace', connection }
}

/** Finds the connection whose answer has been unread longest, if its caller counts as gone when there is no room. */
export function findStalled<C extends ConnectionState> (connections: Iterable<C>, nowMs: number): C | undefined {
  const stalled = findLongest(connections, ({ stalledSinceMs }) => stalledSinceMs)
  return stalled?.stalledSinceMs !== undefined && nowMs - stalled.stalledSinceMs >= STALLED_MS ? stalled : undefined
}

function findLongest<C extends ConnectionState> (connections: Iterable<C>, getSinceMs: (connection: C) => number | undefined): C | undefined {
  let longest: C | undefined
  for (const connection of connections) {
    if ((getSinceMs(connection) ?? Infinity) < (longest === undefined ? Infinity : getSinceMs(longest) ?? Infinity)) longest = connection
  }
  return longest
}
