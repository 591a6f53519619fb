/** Bounds the connections of one HTTP server. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionGate } from './gate.js'
import type { LimitReason } from './limit-log.js'

/** Interval of the checks of open connections, in ms. */
const CHECK_INTERVAL_MS = 1_000

/** Connections accepted above the bound, each of which takes the place of an idle one. */
const REPLACEMENTS = 8

/** What a table is created with. */
export interface ConnectionLimits {
  readonly connectionsMax: number
  /** Unanswered requests of one connection at which the rest of what it sent stays unread. */
  readonly connectionRequestsMax: number
  /** Longest time for which a caller may read nothing of a response, in ms. */
  readonly unreadTimeoutMs: number
  /** Longest time for receiving a request, in ms. */
  readonly requestTimeoutMs: number
  /** Whether connections use TLS. */
  readonly isTls: boolean
  readonly noteLimit: (reason: LimitReason) => void
}

/** Open connections of one HTTP server. */
export class ConnectionTable {
  readonly #limits: ConnectionLimits
  readonly #gates = new Map<Socket, ConnectionGate>()

  private constructor (server: Server, limits: ConnectionLimits) {
    this.#limits = limits
    server.maxConnections = limits.connectionsMax + REPLACEMENTS
    server.on(limits.isTls ? 'secureConnection' : 'connection', (socket: Socket) => { this.#accept(socket) })
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => { this.#gates.get(request.socket)?.addRequest(request, response) })
    server.on('drop', () => { limits.noteLimit('connections') })
    const timer = setInterval(() => { this.#check() }, CHECK_INTERVAL_MS)
    server.on('close', () => { clearInterval(timer) })
    timer.unref()
  }

  /**
   * @param server - server that does not listen yet, its own listeners set
   * @param limits - bounds of its connections
   * @returns table of its connections
   */
  static create (server: Server, limits: ConnectionLimits): ConnectionTable {
    return new ConnectionTable(server, limits)
  }

  /**
   * Handles a request that the server found overdue.
   *
   * @param socket - its connection
   * @returns whether the request is late only because data of the connection is held back
   */
  isHeldBack (socket: Socket): boolean {
    const gate = this.#gates.get(socket)
    if (gate?.isHolding !== true) return false
    gate.noteTimeout()
    return true
  }

  #accept (socket: Socket): void {
    if (this.#gates.size >= this.#limits.connectionsMax && !this.#replaceIdle()) {
      this.#limits.noteLimit('connections')
      socket.destroy()
      return
    }
    this.#gates.set(socket, ConnectionGate.create(socket, this.#limits.connectionRequestsMax))
    socket.once('close', () => { this.#gates.delete(socket) })
  }

  /** Closes the oldest idle connection of the address that has the most connections, or of any when that has none. */
  #replaceIdle (): boolean {
    const counts = new Map<string, number>()
    for (const { address } of this.#gates.values()) counts.set(address, (counts.get(address) ?? 0) + 1)
    let chosen: readonly [Socket, ConnectionGate] | undefined
    for (const [socket, gate] of this.#gates) {
      if (gate.isIdle && (chosen === undefined || counts.get(gate.address)! > counts.get(chosen[1].address)!)) chosen = [socket, gate]
    }
    if (chosen === undefined) return false
    this.#close(...chosen, 'replaced')
    return true
  }

  #check (): void {
    const { unreadTimeoutMs, requestTimeoutMs } = this.#limits
    for (const [socket, gate] of this.#gates) {
      if (gate.isUnread(unreadTimeoutMs)) this.#close(socket, gate, 'unread')
      else if (gate.isOverdue(requestTimeoutMs)) this.#close(socket, gate, 'overdue')
    }
  }

  #close (socket: Socket, gate: ConnectionGate, reason: LimitReason): void {
    this.#gates.delete(socket)
    this.#limits.noteLimit(reason)
    gate.destroy()
  }
}
