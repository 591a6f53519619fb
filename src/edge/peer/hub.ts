import { createServer as createHttpServer } from 'node:http'
import type { Server } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { Server as HttpsServer } from 'node:https'
import { WebSocket, WebSocketServer } from 'ws'
import { MESSAGE_MAX_BYTES } from '../../protocol/codec.js'
import type { Message, ProcessRef } from '../../protocol/messages.js'
import type { TlsSource } from '../security/tls.js'
import { PeerConnection } from './connection.js'
import type { ConnectionIdentity, ConnectionListener } from './connection.js'

/** Timeout for opening a connection in ms. */
const CONNECT_TIMEOUT_MS = 2_000

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
  readonly #server: Server
  readonly #sockets: WebSocketServer
  readonly #openByPeer = new Map<string, PeerConnection>()
  readonly #unauthenticated = new Set<PeerConnection>()
  readonly #dialling = new Map<string, PeerConnection>()

  private constructor (identity: ConnectionIdentity, listener: HubListener, tls: PeerTls) {
    this.#identity = identity
    this.#listener = listener
    this.#tls = tls
    this.#server = tls.listener === undefined ? createHttpServer() : createHttpsServer(tls.listener.getOptions())
    if (tls.listener !== undefined) tls.listener.addServer(this.#server as HttpsServer)
    this.#sockets = new WebSocketServer({ server: this.#server, maxPayload: MESSAGE_MAX_BYTES, perMessageDeflate: false })
    this.#sockets.on('connection', socket => {
      this.#unauthenticated.add(PeerConnection.create(socket, false, identity, this))
    })
  }

  /**
   * @param identity - identity of this process
   * @param listener - receives the events of the hub
   * @param tls - key material; plain TCP when absent
   * @returns a hub that does not listen yet
   */
  static create (identity: ConnectionIdentity, listener: HubListener, tls: PeerTls = {}): PeerHub {
    return new PeerHub(identity, listener, tls)
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
