/** Exchanges heartbeats between gateways over UDP: liveness, readiness, load and strikes. */

import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { pack, unpack } from 'msgpackr'
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

/** Sends and receives heartbeats. */
export class GatewayLink {
  readonly #self: Address
  readonly #socket: Socket
  readonly #targets = new Map<string, Address>()

  private constructor (self: Address, handle: (heartbeat: Heartbeat) => void, handleError: (reason: string) => void) {
    this.#self = self
    this.#socket = createSocket('udp4')
    this.#socket.on('message', bytes => {
      const heartbeat = decodeHeartbeat(bytes)
      if (heartbeat === undefined) return
      this.#targets.set(heartbeat.state.id, heartbeat.address)
      handle(heartbeat)
    })
    this.#socket.on('error', error => { handleError(error.message) })
  }

  /**
   * @param self - address at which this process receives heartbeats
   * @param handle - called with each heartbeat
   * @param handleError - called with errors of the socket
   * @returns a link that does not listen yet
   */
  static create (self: Address, handle: (heartbeat: Heartbeat) => void, handleError: (reason: string) => void): GatewayLink {
    return new GatewayLink(self, handle, handleError)
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

  stop (): void {
    this.#socket.close()
  }
}

function decodeHeartbeat (bytes: Buffer): Heartbeat | undefined {
  try {
    const heartbeat = unpack(bytes) as Partial<Heartbeat> | null
    return heartbeat?.version === LINK_VERSION && heartbeat.state !== undefined && heartbeat.address !== undefined ? heartbeat as Heartbeat : undefined
  } catch {
    // The datagram is not a heartbeat. Ignoring it is safe, as heartbeats are repeated.
    return undefined
  }
}
