/** Tracks which other gateways are alive and how many requests they have in flight at each endpoint. */

import type { SharedStatements } from './named-limits.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Time in ms without a heartbeat after which a gateway counts as lost; heartbeats are sent several times a second. */
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
  /** Removes gateways whose heartbeats have stopped. @returns their ids */
  expire (nowMs: number): readonly string[]
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
  /** Whether heartbeats of a gateway arrive. */
  isAlive (id: string): boolean
  /** Requests that other gateways have in flight at an endpoint. */
  countInFlight (endpoint: string): number
  /** @returns mean age in ms of the counts of requests in flight that ready gateways have sent; 0 without any */
  getCountsAgeMs (nowMs: number): number
  /** Slowdown factor of an endpoint as other gateways report it; 1 when none does. */
  getPace (endpoint: string): number
}

/** Last heartbeats of the other gateways. */
export class PeersPlugin implements Plugin, PeersPort {
  readonly name = 'peers'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'peers'> = { peers: this }
  readonly #heartbeats = new Map<string, { readonly state: GatewayState, readonly atMs: number }>()
  /** Gateways listed by the store, or whose heartbeats arrived, since this process started, this one included. */
  readonly #known = new Set<string>()
  #knownList: readonly string[] | undefined
  readonly #inFlight = new Map<string, number>()

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
    const previous = this.#heartbeats.get(state.id)
    if (previous !== undefined && previous.state.bornMs > state.bornMs) return false
    if (previous !== undefined) this.#addLoad(previous.state, -1)
    this.#heartbeats.set(state.id, { state, atMs: nowMs })
    this.noteListed(state.id)
    this.#addLoad(state, 1)
    return previous === undefined
  }

  expire (nowMs: number): readonly string[] {
    const expired = [...this.#heartbeats].filter(([, { atMs }]) => nowMs - atMs > HEARTBEAT_TIMEOUT_MS)
    for (const [id, { state }] of expired) {
      this.#heartbeats.delete(id)
      this.#addLoad(state, -1)
    }
    return expired.map(([id]) => id)
  }

  listReady (): readonly GatewayState[] {
    return [...this.#heartbeats.values()].map(({ state }) => state).filter(({ isReady }) => isReady)
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

  isAlive (id: string): boolean {
    return this.#heartbeats.has(id)
  }

  countInFlight (endpoint: string): number {
    return this.#inFlight.get(endpoint) ?? 0
  }

  getCountsAgeMs (nowMs: number): number {
    const ages = [...this.#heartbeats.values()].flatMap(({ state, atMs }) => state.isReady ? [nowMs - atMs] : [])
    return ages.length === 0 ? 0 : ages.reduce((sum, ageMs) => sum + ageMs, 0) / ages.length
  }

  getPace (endpoint: string): number {
    return Math.max(1, ...[...this.#heartbeats.values()].map(({ state }) => state.paces?.[endpoint] ?? 1))
  }

  #addLoad (state: GatewayState, sign: 1 | -1): void {
    for (const [endpoint, count] of Object.entries(state.inFlight)) {
      const sum = (this.#inFlight.get(endpoint) ?? 0) + sign * count
      if (sum <= 0) this.#inFlight.delete(endpoint)
      else this.#inFlight.set(endpoint, sum)
    }
  }
}

registerPlugin({ name: 'peers', roles: ['gateway'], create: options => PeersPlugin.create(options.self.id) })
