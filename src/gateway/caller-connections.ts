/** The connections of one HTTP server, within its bounds. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { TurnQueue } from './turn-queue.js'
import { CallerConnection } from './caller-connection.js'
import type { ConnectionHandlers, ReceivedRequest } from './caller-connection.js'
import { STALLED_MS, decideConnection } from './caller-limits.js'
import type { Bound, CallerBounds } from './caller-limits.js'
import { assertNever } from '../kernel/errors.js'

/** Answers to bytes that are no request; the connection closes after them. */
const FAREWELLS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}
const FAREWELL_DEFAULT = '400 Bad Request'

/** Connections that read a part of a body that is dropped, about 64 KB, in a turn of the event loop: a few ms, for which the heads of other callers wait. */
const DROPPING_PER_TURN = 16

/** Bounds that connections keep. */
export type ConnectionBounds = Pick<CallerBounds, 'connectionsMax' | 'requestsAhead' | 'unreadMs' | 'heldBytesMax'>

/** How connections use their server. */
export interface ConnectionsOptions {
  readonly getNowMs: () => number
  readonly getBounds: () => ConnectionBounds
  /** Whether a connection may run more than one request now. */
  readonly mayRunAhead: () => boolean
  readonly start: (request: ReceivedRequest) => void
  /** Called each time that a bound ends or refuses something. */
  readonly noteBound: (bound: Bound) => void
}

/** Open connections of a server. */
export class CallerConnections {
  readonly #options: ConnectionsOptions
  readonly #handlers: ConnectionHandlers
  readonly #connections = new Map<Socket, CallerConnection>()
  readonly #turns = TurnQueue.create(setImmediate, DROPPING_PER_TURN)
  #heldBytes = 0

  private constructor (server: Server, options: ConnectionsOptions) {
    this.#options = options
    this.#handlers = {
      getNowMs: options.getNowMs,
      getRequestsAhead: () => options.getBounds().requestsAhead,
      mayRunAhead: options.mayRunAhead,
      start: options.start,
      awaitTurn: readOn => { this.#turns.add(readOn) },
      noteHeld: change => this.#noteHeld(change)
    }
    server.on('connection', socket => { this.#accept(socket) })
    server.on('request', (message, response) => { this.#handleRequest(message, response) })
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.#handleError(error, socket as Socket) })
  }

  /**
   * @param server - server without a listener for requests, which does not listen yet
   * @param options - bounds, and what handles requests
   */
  static create (server: Server, options: ConnectionsOptions): CallerConnections {
    return new CallerConnections(server, options)
  }

  /** Number of open connections. */
  get size (): number {
    return this.#connections.size
  }

  /** Number of requests whose head was read and whose answer has not been sent completely. */
  get openRequests (): number {
    let sum = 0
    for (const { openRequests } of this.#connections.values()) sum += openRequests
    return sum
  }

  /** Closes connections without a request. The method of `node:http` also closes those whose answer is written, but not yet sent. */
  closeIdle (): void {
    for (const connection of this.#connections.values()) if (connection.openRequests === 0) connection.end()
  }

  /**
   * Closes connections that leave an answer unread or a body incomplete for too long.
   *
   * @param isCongested - whether unread answers take so much memory that there is no room for others
   */
  check (isCongested: boolean): void {
    const nowMs = this.#options.getNowMs()
    const { unreadMs } = this.#options.getBounds()
    for (const connection of this.#connections.values()) {
      connection.checkProgress(nowMs)
      const { stalledSinceMs } = connection
      if (stalledSinceMs !== undefined && nowMs - stalledSinceMs >= (isCongested ? STALLED_MS : unreadMs)) this.#give(connection, 'unread')
      else if (connection.isBodyOverdue(nowMs)) this.#give(connection, 'body')
    }
  }

  #accept (socket: Socket): void {
    const nowMs = this.#options.getNowMs()
    const decision = decideConnection(this.#connections.values(), socket.remoteAddress ?? '', this.#options.getBounds().connectionsMax, nowMs)
    switch (decision.kind) {
      case 'accept':
        break
      case 'replace':
        this.#give(decision.connection, 'connections')
        break
      case 'refuse':
        this.#options.noteBound('connections')
        socket.destroy()
        return
      default:
        assertNever(decision)
    }
    this.#connections.set(socket, CallerConnection.create(socket, this.#handlers))
    // A connection that gave way must not be counted or chosen again before its end is reported.
    socket.once('close', () => { this.#connections.delete(socket) })
  }

  /** Closes a connection because of a bound. */
  #give (connection: CallerConnection, bound: Bound): void {
    this.#options.noteBound(bound)
    this.#connections.delete(connection.socket)
    connection.destroy()
  }

  #handleRequest (message: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(message.socket)
    // The connection has just been closed.
    if (connection === undefined) response.destroy()
    else connection.add(message, response)
  }

  #handleError (error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket)
    const code = error.code ?? ''
    if (connection === undefined || !(code.startsWith('HPE_') || code.startsWith('ERR_HTTP_'))) {
      socket.destroy()
      return
    }
    // The head of the next request may be incomplete because it waits here.
    if (code === 'ERR_HTTP_REQUEST_TIMEOUT' && connection.openRequests > 0) return
    connection.endBroken(`HTTP/1.1 ${FAREWELLS[code] ?? FAREWELL_DEFAULT}\r\nConnection: close\r\n\r\n`)
  }

  #noteHeld (change: number): boolean {
    this.#heldBytes += change
    const hasRoom = this.#heldBytes <= this.#options.getBounds().heldBytesMax
    if (!hasRoom && change > 0) this.#options.noteBound('held')
    return hasRoom
  }
}
