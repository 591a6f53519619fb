import { createServer as createHttpServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { Server as HttpsServer } from 'node:https'
import type { Socket } from 'node:net'
import { WebSocket, WebSocketServer } from 'ws'
import { MESSAGE_MAX_BYTES } from '../../protocol/codec.js'
import type { Message, ProcessRef } from '../../protocol/messages.js'
import type { TlsSource } from '../security/tls.js'
import { ConnectionGate } from '../connections/gate.js'
import type { LimitReason } from '../connections/limit-log.js'
import { HANDSHAKE_TIMEOUT_MS, PeerConnection } from './connection.js'
import type { ConnectionIdentity, ConnectionListener } from './connection.js'

/** Timeout for opening a connection in ms. */
const CONNECT_TIMEOUT_MS = 2_000

/** Interval of the check for connections that send no request, in ms. */
const REQUEST_CHECK_INTERVAL_MS = 500

/** Bytes that a connection may send before its proof was verified. Messages that follow the proof may arrive together with it. */
const HELLO_MAX_BYTES = 128 * 1024

/** Unanswered plain requests of one connection at which the rest of what it sent stays unread. */
const PLAIN_REQUESTS_MAX = 2

/** Bounds on connections whose other side has not proved yet that it is a peer. */
export interface HandshakeLimits {
  readonly handshakesMax: number
  readonly noteLimit: (limit: LimitReason) => void
}

const UNLIMITED: HandshakeLimits = { handshakesMax: Number.POSITIVE_INFINITY, noteLimit: () => undefined }

/** Receives the events of a hub. */
export interface HubListener {
  handlePeerConnected (peer: ProcessRef): void
  handlePeerDisconnected (peer: ProcessRef, reason: string): void
  handlePeerMessage (peer: ProcessRef, message: Message): void
  /** A connection ended before its peer was authenticated. */
  handlePeerRefused (reason: string): void
}

/** TLS options of the peer listener and of outgoing connections; plain TCP where absent. */
export interface PeerTls {
  readonly listener?: TlsSource
  readonly dialler?: TlsSource
}

/** Keeps at most one authenticated connection to each peer. */
export class PeerHub implements ConnectionListener {
  readonly #identity: ConnectionIdentity
  readonly #listener: HubListener
  readonly #tls: PeerTls
  readonly #limits: HandshakeLimits
  /** Accepted connections without a verified proof, by the address and port of the other side. */
  readonly #handshakes = new Map<string, Socket>()
  readonly #server: Server
  readonly #sockets: WebSocketServer
  /** What holds back the data of accepted connections until they speak WebSocket. */
  readonly #gates = new WeakMap<Socket, ConnectionGate>()
  readonly #openByPeer = new Map<string, PeerConnection>()
  readonly #unauthenticated = new Set<PeerConnection>()
  readonly #dialling = new Map<string, PeerConnection>()

  private constructor (identity: ConnectionIdentity, listener: HubListener, tls: PeerTls, limits: HandshakeLimits) {
    this.#limits = limits
    this.#identity = identity
    this.#listener = listener
    this.#tls = tls
    const options = { headersTimeout: HANDSHAKE_TIMEOUT_MS, requestTimeout: HANDSHAKE_TIMEOUT_MS, connectionsCheckingInterval: REQUEST_CHECK_INTERVAL_MS }
    this.#server = tls.listener === undefined
      ? createHttpServer(options, refuseRequest)
      : createHttpsServer({ ...options, handshakeTimeout: HANDSHAKE_TIMEOUT_MS, ...tls.listener.getOptions() }, refuseRequest)
    this.#server.on('connection', (socket: Socket) => { this.#acceptHandshake(socket) })
    this.#server.on(tls.listener === undefined ? 'connection' : 'secureConnection', (socket: Socket) => { this.#addGate(socket) })
    this.#server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => { this.#gates.get(request.socket)?.addRequest(request, response) })
    if (tls.listener !== undefined) tls.listener.addServer(this.#server as HttpsServer)
    this.#sockets = new WebSocketServer({ noServer: true, maxPayload: MESSAGE_MAX_BYTES, perMessageDeflate: false })
    this.#server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => { this.#upgrade(request, socket, head) })
  }

  /**
   * @param identity - identity of this process
   * @param listener - receives the events of the hub
   * @param tls - key material; plain TCP when absent
   * @param limits - bounds on connections without a verified proof; unlimited when absent
   * @returns a hub that does not listen yet
   */
  static create (identity: ConnectionIdentity, listener: HubListener, tls: PeerTls = {}, limits: HandshakeLimits = UNLIMITED): PeerHub {
    return new PeerHub(identity, listener, tls, limits)
  }

  /**
   * @param ip - address to listen on
   * @param port - TCP port
   * @returns resolved when listening
   * @throws Error when the port is taken
   */
  async start (ip: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, ip, () => {
        this.#server.removeListener('error', reject)
        resolve()
      })
    })
  }

  /**
   * Opens a connection unless one is open or being opened.
   *
   * @param peer - process id
   * @param address - `ip:port`
   */
  connect (peer: string, address: string): void {
    if (this.#openByPeer.has(peer) || this.#dialling.has(peer)) return
    const dialler = this.#tls.dialler
    const options = { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MESSAGE_MAX_BYTES }
    const socket = dialler === undefined
      ? new WebSocket(`ws://${address}`, options)
      : new WebSocket(`wss://${address}`, { ...options, ...dialler.getOptions() })
    this.#dialling.set(peer, PeerConnection.create(socket, true, this.#identity, this))
  }

  /**
   * @param peer - process id
   * @param message - dropped when there is no open connection
   */
  send (peer: string, message: Message): void {
    this.#openByPeer.get(peer)?.send(message)
  }

  /**
   * Closes the connection to a peer. `handlePeerDisconnected` is not called, since
   * the caller knows of it.
   *
   * @param peer - process id
   */
  disconnect (peer: string): void {
    this.#dialling.get(peer)?.close('disconnected')
    const connection = this.#openByPeer.get(peer)
    this.#openByPeer.delete(peer)
    connection?.close('disconnected')
  }

  /** Closes the listener and every connection. */
  async stop (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    this.#sockets.close()
    for (const connection of [...this.#openByPeer.values(), ...this.#dialling.values(), ...this.#unauthenticated]) connection.close('this process is stopping')
    await closed
  }

  handleOpen (connection: PeerConnection, peer: ProcessRef): void {
    this.#removeOpening(connection)
    const existing = this.#openByPeer.get(peer.id)
    if (existing !== undefined) {
      if (!this.#isPreferred(connection, existing, peer)) {
        connection.close('duplicate connection')
        return
      }
      existing.close('replaced by a newer connection')
    }
    this.#openByPeer.set(peer.id, connection)
    this.#listener.handlePeerConnected(peer)
  }

  handleMessage (connection: PeerConnection, message: Message): void {
    const peer = connection.peer
    if (peer === undefined || this.#openByPeer.get(peer.id) !== connection) return
    this.#listener.handlePeerMessage(peer, message)
  }

  handleClose (connection: PeerConnection, reason: string): void {
    this.#removeOpening(connection)
    const peer = connection.peer
    if (peer === undefined) {
      this.#listener.handlePeerRefused(reason)
    } else if (this.#openByPeer.get(peer.id) === connection) {
      this.#openByPeer.delete(peer.id)
      this.#listener.handlePeerDisconnected(peer, reason)
    }
  }

  #acceptHandshake (socket: Socket): void {
    if (this.#handshakes.size >= this.#limits.handshakesMax) {
      this.#limits.noteLimit('handshakes')
      socket.destroy()
      return
    }
    const key = formatRemote(socket)
    this.#handshakes.set(key, socket)
    socket.once('close', () => { if (this.#handshakes.get(key) === socket) this.#handshakes.delete(key) })
  }

  /** Until a connection is closed, Node.js keeps each request that was sent ahead with its response, so that few are read. */
  #addGate (socket: Socket): void {
    if (!socket.destroyed) this.#gates.set(socket, ConnectionGate.create(socket, PLAIN_REQUESTS_MAX))
  }

  #upgrade (request: IncomingMessage, socket: Socket, head: Buffer): void {
    const held = this.#gates.get(socket)?.release() ?? Buffer.alloc(0)
    this.#sockets.handleUpgrade(request, socket, Buffer.concat([head, held]), webSocket => {
      const connection = PeerConnection.create(webSocket, false, this.#identity, this)
      this.#unauthenticated.add(connection)
      this.#watchHello(connection, socket)
    })
  }

  /** Ends a connection that sends too much before its proof; later it is bounded by the size of one message. */
  #watchHello (connection: PeerConnection, socket: Socket): void {
    const key = formatRemote(socket)
    const handleData = (): void => {
      if (connection.peer !== undefined) {
        socket.removeListener('data', handleData)
        this.#handshakes.delete(key)
      } else if (socket.bytesRead > HELLO_MAX_BYTES) {
        this.#limits.noteLimit('hello')
        connection.close('too much was sent before the handshake was complete')
      }
    }
    socket.on('data', handleData)
  }

  #removeOpening (connection: PeerConnection): void {
    this.#unauthenticated.delete(connection)
    for (const [peer, opening] of this.#dialling) {
      if (opening === connection) this.#dialling.delete(peer)
    }
  }

  /**
   * Decides whether a new connection replaces the existing one. Two processes that
   * dial each other at the same time must keep the same connection, which is the
   * one opened by the process with the smaller id. A newer connection in the same
   * direction, or of a newer incarnation, replaces the existing one.
   */
  #isPreferred (connection: PeerConnection, existing: PeerConnection, peer: ProcessRef): boolean {
    const existingIncarnation = existing.peer?.incarnation ?? 0
    if (peer.incarnation !== existingIncarnation) return peer.incarnation > existingIncarnation
    if (connection.dialled === existing.dialled) return true
    const isOpenedBySmallerId = connection.dialled === (this.#identity.self.id < peer.id)
    return isOpenedBySmallerId
  }
}

/** Answers plain HTTP, for which this listener has no use, and closes its connection. */
function refuseRequest (_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(426, { connection: 'close' }).end()
}

function formatRemote (socket: Socket): string {
  return `${socket.remoteAddress ?? ''} ${socket.remotePort ?? 0}`
}
