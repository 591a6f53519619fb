/** Exchanges heartbeats between gateways over UDP (liveness, readiness, load and strikes), and lends shares of limits. */

import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { pack, unpack } from 'msgpackr'
import { assertNever } from '../kernel/errors.js'
import type { Strikes } from '../plugins/gateway/crashes.js'
import type { GatewayState } from '../plugins/gateway/peers.js'
import type { Address } from './model.js'

/** Version of the message format; messages of other versions are ignored. */
const LINK_VERSION = 1

/** Most strikes in one heartbeat, so that it fits into one datagram. */
const STRIKES_PER_HEARTBEAT_MAX = 16

/** Content of a heartbeat. */
export interface Heartbeat {
  readonly version: number
  readonly state: GatewayState
  /** Address at which the sender receives heartbeats. */
  readonly address: Address
  readonly strikes: readonly Strikes[]
}

/** Asks a gateway for one of its shares of an endpoint. */
interface ShareRequest {
  readonly version: number
  readonly kind: 'share-request'
  readonly requestId: number
  readonly endpoint: string
}

/** Reply to a `ShareRequest`. */
interface ShareReply {
  readonly version: number
  readonly kind: 'share-reply'
  readonly requestId: number
  readonly isLent: boolean
}

/** Callbacks of a link. */
export interface LinkHandlers {
  handleHeartbeat (heartbeat: Heartbeat): void
  /** Lends a share of an endpoint. @returns whether there was one */
  lendShare (endpoint: string): boolean
  handleError (reason: string): void
}

/** Sends and receives heartbeats and requests for shares. */
export class GatewayLink {
  readonly #self: Address
  readonly #handlers: LinkHandlers
  readonly #socket: Socket
  readonly #targets = new Map<string, Address>()
  readonly #pending = new Map<number, (isLent: boolean) => void>()
  #nextRequestId = 1

  private constructor (self: Address, handlers: LinkHandlers) {
    this.#self = self
    this.#handlers = handlers
    this.#socket = createSocket('udp4')
    this.#socket.on('message', (bytes, sender) => { this.#handleMessage(bytes, sender) })
    this.#socket.on('error', error => { handlers.handleError(error.message) })
  }

  /**
   * @param self - address at which this process receives messages
   * @param handlers - called with messages and errors
   * @returns a link that does not listen yet
   */
  static create (self: Address, handlers: LinkHandlers): GatewayLink {
    return new GatewayLink(self, handlers)
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(this.#self.port, this.#self.host, () => { resolve() })
    })
  }

  /** Adds a gateway that the store lists, unless it is this one. */
  addTarget (id: string, address: Address): void {
    if (address.host !== this.#self.host || address.port !== this.#self.port) this.#targets.set(id, address)
  }

  countTargets (): number {
    return this.#targets.size
  }

  /** Sends a heartbeat to every known gateway. */
  send (state: GatewayState, strikes: readonly Strikes[]): void {
    const heartbeat: Heartbeat = { version: LINK_VERSION, state, address: this.#self, strikes: strikes.slice(0, STRIKES_PER_HEARTBEAT_MAX) }
    const bytes = pack(heartbeat)
    for (const [id, { host, port }] of this.#targets) if (id !== state.id) this.#socket.send(bytes, port, host)
  }

  /**
   * Asks another gateway for one of its shares of an endpoint.
   *
   * @param owner - name of the gateway
   * @param endpoint - name of the endpoint
   * @param timeoutMs - longest wait for the reply in ms
   * @returns whether it lent one; undefined when it did not reply in time
   */
  async requestShare (owner: string, endpoint: string, timeoutMs: number): Promise<boolean | undefined> {
    const target = this.#targets.get(owner)
    if (target === undefined) return undefined
    const requestId = this.#nextRequestId++
    const request: ShareRequest = { version: LINK_VERSION, kind: 'share-request', requestId, endpoint }
    return await new Promise(resolve => {
      const finish = (isLent: boolean | undefined): void => {
        clearTimeout(timer)
        this.#pending.delete(requestId)
        resolve(isLent)
      }
      const timer = setTimeout(() => { finish(undefined) }, timeoutMs)
      this.#pending.set(requestId, finish)
      this.#socket.send(pack(request), target.port, target.host)
    })
  }

  stop (): void {
    this.#socket.close()
  }

  #handleMessage (bytes: Buffer, sender: RemoteInfo): void {
    const message = decodeMessage(bytes)
    if (message === undefined) return
    if (!('kind' in message)) {
      this.#targets.set(message.state.id, message.address)
      this.#handlers.handleHeartbeat(message)
      return
    }
    switch (message.kind) {
      case 'share-request': {
        const reply: ShareReply = { version: LINK_VERSION, kind: 'share-reply', requestId: message.requestId, isLent: this.#handlers.lendShare(message.endpoint) }
        this.#socket.send(pack(reply), sender.port, sender.address)
        break
      }
      case 'share-reply':
        this.#pending.get(message.requestId)?.(message.isLent)
        break
      default:
        assertNever(message)
    }
  }
}

function decodeMessage (bytes: Buffer): Heartbeat | ShareRequest | ShareReply | undefined {
  try {
    const message = unpack(bytes) as Partial<Heartbeat & { kind: string, requestId: number, endpoint: string, isLent: boolean }> | null
    if (message?.version !== LINK_VERSION) return undefined
    const isRequest = message.kind === 'share-request' && typeof message.requestId === 'number' && typeof message.endpoint === 'string'
    const isReply = message.kind === 'share-reply' && typeof message.requestId === 'number' && typeof message.isLent === 'boolean'
    const isHeartbeat = message.kind === undefined && message.state !== undefined && message.address !== undefined
    return isRequest || isReply || isHeartbeat ? message as Heartbeat | ShareRequest | ShareReply : undefined
  } catch {
    // The datagram is not a message of this protocol. Ignoring it is safe, as heartbeats are repeated and requests time out.
    return undefined
  }
}
