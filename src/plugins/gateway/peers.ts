/** What is known of the other gateways: which of them are alive, and how many requests they have in flight at each endpoint. */

import { hashName } from '../../kernel/hash.js'
import { decodeCounts } from './count-table.js'
import type { EndpointView } from './endpoints.js'
import type { MemberIdentity } from './members.js'
import type { SharedStatements } from './named-limits.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Time in ms without a heartbeat after which a gateway that is no member counts as lost; heartbeats are sent several times a second. */
export const HEARTBEAT_TIMEOUT_MS = 1_500

/** What a gateway reports about itself in a heartbeat. */
export interface GatewayState {
  readonly id: string
  /** Start of the process in Unix ms. */
  readonly bornMs: number
  /** Address that callers connect to. */
  readonly callerAddress: string
  readonly domain: string
  readonly isReady: boolean
  /** Requests in flight by endpoint. */
  readonly inFlight: Readonly<Record<string, number>>
  /** Slowdown factors of slow endpoints, as the leader reads them from the ranks; absent from older versions. */
  readonly paces?: Readonly<Record<string, number>>
  /** What endpoints said about the rates that they take; absent from older versions. */
  readonly limits?: SharedStatements
  /** Endpoints that are unresponsive to this gateway although others of their service are active. */
  readonly silent?: readonly string[]
}

/** State of the other gateways. */
export interface PeersPort {
  /** Records a heartbeat. @returns whether the gateway was not considered alive before */
  noteHeartbeat (state: GatewayState, nowMs: number): boolean
  /** Removes gateways whose heartbeats have stopped, unless they are members. @returns their ids */
  expire (nowMs: number): readonly string[]
  /** Records a member: a gateway whose failure is detected by pings. @returns whether the gateway was not considered alive before */
  noteMember (identity: MemberIdentity, isReady: boolean, nowMs: number): boolean
  /** Removes a member, unless its heartbeats still arrive. @returns whether it was removed */
  removeMember (id: string, nowMs: number): boolean
  /** Records the requests that a member has in flight, as a table of `count-table.ts`. */
  noteCounts (id: string, counts: Uint8Array, nowMs: number): void
  /** Records slowdown factors that a member reports. */
  notePaces (id: string, paces: Readonly<Record<string, number>>): void
  listReady (): readonly GatewayState[]
  /** Records a gateway that the store lists. */
  noteListed (id: string): void
  /**
   * Lists the gateways that may be serving, this one included. Gateways behind a
   * partition send no heartbeats here but still use their part of the shared limits,
   * so that none is ever removed.
   */
  listKnown (): readonly string[]
  countKnown (): number
  countAlive (): number
  /** Whether a gateway is a member or its heartbeats arrive. */
  isAlive (id: string): boolean
  /** Requests that other gateways have in flight at an endpoint. */
  countInFlight (endpoint: string): number
  /**
   * Sums `countInFlight` over the endpoints of a service. Cheap while the list is the same object as in the last call for the service.
   *
   * @param service - name of the service
   * @param endpoints - its endpoints; the list must not change afterwards
   * @returns requests that other gateways have in flight at all of them
   */
  countInFlightOf (service: string, endpoints: readonly EndpointView[]): number
  /** Mean age in ms of the counts of the ready gateways; 0 when there are none. */
  getCountsAgeMs (nowMs: number): number
  /** Slowdown factor of an endpoint as other gateways report it; 1 when none does. */
  getPace (endpoint: string): number
}

/** What is known of another gateway. */
interface Peer {
  readonly state: GatewayState
  /** Monotonic time in ms of the last heartbeat; undefined when none was received. */
  readonly heartbeatAtMs: number | undefined
  readonly isMember: boolean
  /** Compact table of the requests in flight, in place of the counts in `state`. */
  readonly counts: Uint8Array | undefined
  readonly countsAtMs: number
}

/** Requests in flight at other gateways at all endpoints of one service. */
interface ServiceTotal {
  readonly endpoints: readonly EndpointView[]
  /** How many of the endpoints have a name with this hash. */
  readonly namesByHash: ReadonlyMap<number, number>
  sum: number
}

/** Last reports of the other gateways. */
export class PeersPlugin implements Plugin, PeersPort {
  readonly name = 'peers'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'peers'> = { peers: this }
  readonly #peers = new Map<string, Peer>()
  /** Gateways listed by the store, or whose heartbeats arrived, since this process started, this one included. */
  readonly #known = new Set<string>()
  #knownList: readonly string[] | undefined
  /** Requests in flight at other gateways by the hash of the endpoint's name. */
  readonly #inFlight = new Map<number, number>()
  readonly #totals = new Map<string, ServiceTotal>()

  private constructor (self: string) {
    this.#known.add(self)
  }

  /**
   * @param self - name of this gateway
   * @returns a table without other gateways
   */
  static create (self: string): PeersPlugin {
    return new PeersPlugin(self)
  }

  handle (): void {}

  noteHeartbeat (state: GatewayState, nowMs: number): boolean {
    const previous = this.#peers.get(state.id)
    if (previous !== undefined && previous.state.bornMs > state.bornMs) return false
    this.#set({ state, heartbeatAtMs: nowMs, isMember: previous?.isMember ?? false, counts: undefined, countsAtMs: nowMs })
    return previous === undefined
  }

  expire (nowMs: number): readonly string[] {
    const expired: string[] = []
    for (const [id, peer] of this.#peers) if (!peer.isMember && !isHeard(peer, nowMs)) expired.push(id)
    for (const id of expired) this.#remove(id)
    return expired
  }

  noteMember ({ id, bornMs, callerAddress, domain }: MemberIdentity, isReady: boolean, nowMs: number): boolean {
    const previous = this.#peers.get(id)
    const known = previous?.state.bornMs === bornMs ? previous : undefined
    const state = { inFlight: {}, ...known?.state, id, bornMs, callerAddress, domain, isReady }
    this.#set({ state, heartbeatAtMs: known?.heartbeatAtMs, isMember: true, counts: known?.counts, countsAtMs: known?.countsAtMs ?? nowMs })
    return previous === undefined
  }

  removeMember (id: string, nowMs: number): boolean {
    const peer = this.#peers.get(id)
    if (peer === undefined) return false
    if (isHeard(peer, nowMs)) {
      this.#peers.set(id, { ...peer, isMember: false })
      return false
    }
    this.#remove(id)
    return true
  }

  noteCounts (id: string, counts: Uint8Array, nowMs: number): void {
    const peer = this.#peers.get(id)
    if (peer === undefined) return
    if (peer.counts !== undefined && Buffer.compare(peer.counts, counts) === 0) this.#peers.set(id, { ...peer, countsAtMs: nowMs })
    else this.#set({ ...peer, state: { ...peer.state, inFlight: {} }, counts, countsAtMs: nowMs })
  }

  notePaces (id: string, paces: Readonly<Record<string, number>>): void {
    const peer = this.#peers.get(id)
    if (peer === undefined || (peer.state.paces === undefined && Object.keys(paces).length === 0)) return
    this.#peers.set(id, { ...peer, state: { ...peer.state, paces } })
  }

  listReady (): readonly GatewayState[] {
    return [...this.#peers.values()].map(({ state }) => state).filter(({ isReady }) => isReady)
  }

  noteListed (id: string): void {
    if (this.#known.has(id)) return
    this.#known.add(id)
    this.#knownList = undefined
  }

  listKnown (): readonly string[] {
    this.#knownList ??= [...this.#known]
    return this.#knownList
  }

  countKnown (): number {
    return this.#known.size
  }

  countAlive (): number {
    return this.#peers.size
  }

  isAlive (id: string): boolean {
    return this.#peers.has(id)
  }

  countInFlight (endpoint: string): number {
    return this.#inFlight.get(hashName(endpoint)) ?? 0
  }

  countInFlightOf (service: string, endpoints: readonly EndpointView[]): number {
    const known = this.#totals.get(service)
    if (known?.endpoints === endpoints) return known.sum
    const namesByHash = new Map<number, number>()
    for (const { record: { id } } of endpoints) namesByHash.set(hashName(id), (namesByHash.get(hashName(id)) ?? 0) + 1)
    const sum = [...namesByHash].reduce((total, [hash, names]) => total + names * (this.#inFlight.get(hash) ?? 0), 0)
    this.#totals.set(service, { endpoints, namesByHash, sum })
    return sum
  }

  getCountsAgeMs (nowMs: number): number {
    let ageMs = 0
    let ready = 0
    for (const { state, countsAtMs } of this.#peers.values()) {
      if (!state.isReady) continue
      ageMs += nowMs - countsAtMs
      ready += 1
    }
    return ready === 0 ? 0 : ageMs / ready
  }

  getPace (endpoint: string): number {
    return Math.max(1, ...[...this.#peers.values()].map(({ state }) => state.paces?.[endpoint] ?? 1))
  }

  #set (peer: Peer): void {
    const previous = this.#peers.get(peer.state.id)
    if (previous !== undefined) this.#addLoad(previous, -1)
    this.#peers.set(peer.state.id, peer)
    this.noteListed(peer.state.id)
    this.#addLoad(peer, 1)
  }

  #remove (id: string): void {
    const peer = this.#peers.get(id)
    if (peer === undefined) return
    this.#peers.delete(id)
    this.#addLoad(peer, -1)
  }

  #addLoad ({ state, counts }: Peer, sign: 1 | -1): void {
    const listed = counts === undefined ? Object.entries(state.inFlight).map(([endpoint, count]) => [hashName(endpoint), count] as const) : decodeCounts(counts)
    for (const [hash, count] of listed) {
      const previous = this.#inFlight.get(hash) ?? 0
      const sum = Math.max(0, previous + sign * count)
      if (sum === 0) this.#inFlight.delete(hash)
      else this.#inFlight.set(hash, sum)
      for (const total of this.#totals.values()) total.sum += (total.namesByHash.get(hash) ?? 0) * (sum - previous)
    }
  }
}

function isHeard ({ heartbeatAtMs }: Peer, nowMs: number): boolean {
  return heartbeatAtMs !== undefined && nowMs - heartbeatAtMs <= HEARTBEAT_TIMEOUT_MS
}

registerPlugin({ name: 'peers', roles: ['gateway'], create: options => PeersPlugin.create(options.self.id) })
