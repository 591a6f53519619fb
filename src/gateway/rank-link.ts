/** Carries requests of map coordinators to the agents on the hosts of the ranks, over UDP. */

import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { pack, unpack } from 'msgpackr'
import type { OrderResult, RankOrder, RankState } from '../plugins/lockstep/rank.js'
import type { Address } from './model.js'

/** Version of the message format; messages of other versions are ignored. */
const RANK_LINK_VERSION = 1

/** Request to an agent. */
export type RankRequest =
  | { readonly kind: 'read', readonly wantsCounts: boolean, readonly wantsMap: boolean }
  | { readonly kind: 'order', readonly epoch: number, readonly order: RankOrder }

/** Reply of an agent; the state is read after the order is carried out. */
export interface RankReply {
  /** Undefined when the rank does not answer the agent. */
  readonly state: RankState | undefined
  /** Tokens counted since the rank started, by layer and expert. */
  readonly counts?: readonly number[]
  /** Experts of this rank by layer. */
  readonly experts?: readonly (readonly number[])[]
  readonly result?: OrderResult
}

interface Envelope<T> {
  readonly version: number
  readonly id: number
  readonly content: T
}

/** Sends requests to agents and matches the replies to them. */
export class RankClient {
  readonly #socket: Socket
  readonly #port: number
  readonly #pending = new Map<number, (reply: RankReply | undefined) => void>()
  #nextId = 1

  private constructor (port: number, handleError: (reason: string) => void) {
    this.#port = port
    this.#socket = createSocket('udp4')
    this.#socket.on('message', bytes => {
      const reply = decodeEnvelope<RankReply>(bytes)
      if (reply !== undefined) this.#pending.get(reply.id)?.(reply.content)
    })
    this.#socket.on('error', error => { handleError(error.message) })
  }

  /**
   * @param port - port that agents listen on
   * @param handleError - called with errors of the socket
   * @returns a client that is not bound yet
   */
  static create (port: number, handleError: (reason: string) => void): RankClient {
    return new RankClient(port, handleError)
  }

  async start ({ host, port }: Address): Promise<void> {
    await new Promise<void>(resolve => { this.#socket.bind(port, host, () => { resolve() }) })
  }

  /** Sends a request to the agent on a host. @returns the reply; undefined when none arrived within `timeoutMs` */
  async sendRequest (host: string, request: RankRequest, timeoutMs: number): Promise<RankReply | undefined> {
    const id = this.#nextId++
    return await new Promise(resolve => {
      const finish = (reply: RankReply | undefined): void => {
        clearTimeout(timer)
        this.#pending.delete(id)
        resolve(reply)
      }
      const timer = setTimeout(() => { finish(undefined) }, timeoutMs)
      this.#pending.set(id, finish)
      this.#socket.send(encodeEnvelope(id, request), this.#port, host)
    })
  }

  stop (): void {
    this.#socket.close()
  }
}

/** Answers requests of map coordinators. */
export class RankServer {
  readonly #socket: Socket

  private constructor (answer: (request: RankRequest) => Promise<RankReply>, handleError: (reason: string) => void) {
    this.#socket = createSocket('udp4')
    this.#socket.on('message', (bytes: Buffer, sender: RemoteInfo) => {
      const request = decodeEnvelope<RankRequest>(bytes)
      if (request === undefined) return
      answer(request.content).then(
        reply => { this.#socket.send(encodeEnvelope(request.id, reply), sender.port, sender.address) },
        (error: unknown) => { handleError(String(error)) }
      )
    })
    this.#socket.on('error', error => { handleError(error.message) })
  }

  /**
   * @param answer - answers one request
   * @param handleError - called with errors of the socket and of `answer`
   * @returns a server that does not listen yet
   */
  static create (answer: (request: RankRequest) => Promise<RankReply>, handleError: (reason: string) => void): RankServer {
    return new RankServer(answer, handleError)
  }

  async start ({ host, port }: Address): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, host, () => { resolve() })
    })
  }

  stop (): void {
    this.#socket.close()
  }
}

function encodeEnvelope<T> (id: number, content: T): Buffer {
  const envelope: Envelope<T> = { version: RANK_LINK_VERSION, id, content }
  return pack(envelope)
}

function decodeEnvelope<T> (bytes: Buffer): Envelope<T> | undefined {
  try {
    const envelope = unpack(bytes) as Partial<Envelope<T>> | null
    return envelope?.version === RANK_LINK_VERSION && typeof envelope.id === 'number' && envelope.content !== undefined ? envelope as Envelope<T> : undefined
  } catch {
    // The datagram is not a message of this protocol. Ignoring it is safe, as unanswered requests are repeated.
    return undefined
  }
}
