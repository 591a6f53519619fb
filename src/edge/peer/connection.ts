import type { WebSocket } from 'ws'
import { decodeMessage, encodeMessage } from '../../protocol/codec.js'
import { PROTOCOL_VERSION } from '../../protocol/messages.js'
import type { Hello, Message, ProcessRef } from '../../protocol/messages.js'
import { createChallenge, signChallenge, verifyProof } from '../security/cluster-proof.js'
import type { ConnectionSide } from '../security/cluster-proof.js'

/** Timeout of the handshake, that is until both `hello` messages arrived, in ms. */
export const HANDSHAKE_TIMEOUT_MS = 2_000

/** Maximum number of unsent bytes on a connection; above it the connection counts as stalled and is closed. */
const SEND_BUFFER_MAX_BYTES = 64 * 1024 * 1024

/** Receives the events of a connection. */
export interface ConnectionListener {
  handleOpen (connection: PeerConnection, peer: ProcessRef): void
  handleMessage (connection: PeerConnection, message: Message): void
  handleClose (connection: PeerConnection, reason: string): void
}

/** What a connection needs to authenticate this process to the peer. */
export interface ConnectionIdentity {
  readonly self: ProcessRef
  readonly clusterSecret: string
  /** @returns the configuration version in force */
  readonly getConfigVersion: () => number
}

/**
 * One authenticated connection to a peer. Each side first sends a `hello` with a
 * nonce, then a `hello` with a proof over the other side's nonce. Other messages
 * are accepted only after the peer's proof was verified.
 */
export class PeerConnection {
  /** Whether this side opened the connection. */
  readonly dialled: boolean
  readonly #socket: WebSocket
  readonly #identity: ConnectionIdentity
  readonly #listener: ConnectionListener
  readonly #nonce = createChallenge()
  readonly #timer: NodeJS.Timeout
  #peer: ProcessRef | undefined
  #peerNonce: string | undefined
  #closed = false

  private constructor (socket: WebSocket, dialled: boolean, identity: ConnectionIdentity, listener: ConnectionListener) {
    this.#socket = socket
    this.dialled = dialled
    this.#identity = identity
    this.#listener = listener
    this.#timer = setTimeout(() => { this.close('handshake timeout') }, HANDSHAKE_TIMEOUT_MS)
    socket.binaryType = 'nodebuffer'
    socket.on('message', data => { this.#handleData(data as Buffer) })
    socket.on('close', () => { this.#finish('closed by peer') })
    socket.on('error', error => { this.#finish(error.message) })
    if (dialled) socket.on('open', () => { this.#sendHello('') })
    else this.#sendHello('')
  }

  /**
   * @param socket - WebSocket, open or connecting
   * @param dialled - whether this side opened it
   * @param identity - identity of this process
   * @param listener - receives the events of the connection
   * @returns the connection
   */
  static create (socket: WebSocket, dialled: boolean, identity: ConnectionIdentity, listener: ConnectionListener): PeerConnection {
    return new PeerConnection(socket, dialled, identity, listener)
  }

  /** The peer, once its proof was verified. */
  get peer (): ProcessRef | undefined {
    return this.#peer
  }

  /**
   * Sends a message, or closes the connection when too many bytes are unsent.
   *
   * @param message - dropped unless the connection is open
   */
  send (message: Message): void {
    if (this.#closed || this.#socket.readyState !== this.#socket.OPEN) return
    if (this.#socket.bufferedAmount > SEND_BUFFER_MAX_BYTES) {
      this.close('send buffer is full')
      return
    }
    this.#socket.send(encodeMessage(message))
  }

  /**
   * Closes the connection.
   *
   * @param reason - passed to the listener
   */
  close (reason: string): void {
    if (this.#closed) return
    this.#finish(reason)
    this.#socket.terminate()
  }

  #finish (reason: string): void {
    if (this.#closed) return
    this.#closed = true
    clearTimeout(this.#timer)
    this.#listener.handleClose(this, reason)
  }

  #sendHello (proof: string): void {
    const { self, getConfigVersion } = this.#identity
    this.send({ kind: 'hello', protocol: PROTOCOL_VERSION, process: self, configVersion: getConfigVersion(), nonce: this.#nonce, proof })
  }

  #handleData (data: Buffer): void {
    if (this.#closed) return
    decodeMessage(data).caseOf({
      Left: reason => { this.close(reason) },
      Right: message => {
        if (message.kind === 'hello') this.#handleHello(message)
        else if (this.#peer === undefined) this.close('message received before the handshake was complete')
        else this.#listener.handleMessage(this, message)
      }
    })
  }

  #handleHello (hello: Hello): void {
    if (hello.protocol !== PROTOCOL_VERSION) {
      this.close(`peer uses protocol version ${String(hello.protocol)}, expected ${PROTOCOL_VERSION}`)
      return
    }
    const { self, clusterSecret } = this.#identity
    if (this.#peerNonce === undefined) {
      this.#peerNonce = hello.nonce
      this.#sendHello(signChallenge(clusterSecret, { challenge: hello.nonce, side: this.#getSide(this.dialled), process: self }))
      return
    }
    const subject = { challenge: this.#nonce, side: this.#getSide(!this.dialled), process: hello.process }
    if (this.#peer !== undefined || !verifyProof(clusterSecret, subject, hello.proof)) {
      this.close('invalid proof of the cluster secret')
      return
    }
    clearTimeout(this.#timer)
    this.#peer = hello.process
    this.#listener.handleOpen(this, hello.process)
  }

  #getSide (dialled: boolean): ConnectionSide {
    return dialled ? 'dialler' : 'listener'
  }
}
