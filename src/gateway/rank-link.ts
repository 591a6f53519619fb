/** Carries requests of gateways to the agents on the hosts of the ranks, over UDP: reads, orders and permits. */

import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import type { PermitReply } from '../plugins/gateway/permits.js'
import type { Address } from './model.js'
import { decodeReply, decodeRequest, encodeEnvelope, isDeflated } from './rank-messages.js'
import type { AgentReply, AgentRequest, PermitRequest, RankReply, RankRequest } from './rank-messages.js'

/** Interval in ms at which a request for a permit is sent again while there is no answer. */
const PERMIT_RESEND_MS = 25

/** Share of its timeout after which a read is sent again; a single lost datagram would void the reading of a whole group. */
const READ_RESEND_SHARE = 0.5

/** Called with the bytes of each datagram that is exchanged with an agent. */
export type NoteBytes = (purpose: AgentRequest['kind'], host: string, bytes: number) => void

/** Sends requests to agents and matches the replies to them. */
export class RankClient {
  readonly #socket: Socket
  readonly #port: number
  readonly #noteBytes: NoteBytes
  /** Hosts whose agents have sent a deflated reply, and so take deflated requests. */
  readonly #inflatingHosts = new Set<string>()
  readonly #pending = new Map<number, { readonly kind: AgentRequest['kind'], readonly finish: (reply: AgentReply | undefined) => void }>()
  #nextId = 1

  private constructor (port: number, handleError: (reason: string) => void, noteBytes: NoteBytes) {
    this.#port = port
    this.#noteBytes = noteBytes
    this.#socket = createSocket('udp4')
    this.#socket.on('message', (bytes, sender) => {
      decodeReply(bytes).caseOf({
        Left: reason => { if (reason === 'unusable') handleError(`unusable reply of ${sender.address}`) },
        Right: ({ id, content }) => {
          const pending = this.#pending.get(id)
          if (pending === undefined) return
          noteBytes(pending.kind, sender.address, bytes.length)
          if (isDeflated(bytes)) this.#inflatingHosts.add(sender.address)
          pending.finish(content)
        }
      })
    })
    this.#socket.on('error', error => { handleError(error.message) })
  }

  /**
   * @param port - port that agents listen on
   * @param handleError - called with errors of the socket
   * @param noteBytes - counts datagrams
   * @returns a client that is not bound yet
   */
  static create (port: number, handleError: (reason: string) => void, noteBytes: NoteBytes = () => {}): RankClient {
    return new RankClient(port, handleError, noteBytes)
  }

  /** @throws Error when the address is already in use */
  async start ({ host, port }: Address): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, host, () => { resolve() })
    })
  }

  /** Sends a request to the agent on a host. @returns the reply; undefined when none arrived within `timeoutMs` */
  async sendRequest (host: string, request: RankRequest, timeoutMs: number): Promise<RankReply | undefined> {
    return await this.#exchange(host, request, timeoutMs, request.kind === 'read' ? READ_RESEND_SHARE * timeoutMs : Infinity) as RankReply | undefined
  }

  /** Asks the agent on a host for a permit. @returns the reply; undefined when none arrived within `timeoutMs` */
  async requestPermit (host: string, request: PermitRequest, timeoutMs: number): Promise<PermitReply | undefined> {
    // A permit that is reserved twice, because the first reply was lost, is only wasted.
    return await this.#exchange(host, request, timeoutMs, PERMIT_RESEND_MS) as PermitReply | undefined
  }

  async #exchange (host: string, request: AgentRequest, timeoutMs: number, resendMs: number): Promise<AgentReply | undefined> {
    const id = this.#nextId++
    const bytes = encodeEnvelope(id, request.kind === 'read' ? { ...request, inflates: true } : request, this.#inflatingHosts.has(host))
    return await new Promise(resolve => {
      const finish = (reply: AgentReply | undefined): void => {
        clearTimeout(timer)
        clearInterval(resendTimer)
        this.#pending.delete(id)
        resolve(reply)
      }
      const send = (): void => {
        this.#noteBytes(request.kind, host, bytes.length)
        this.#socket.send(bytes, this.#port, host)
      }
      const timer = setTimeout(() => { finish(undefined) }, timeoutMs)
      const resendTimer = resendMs < timeoutMs ? setInterval(send, resendMs) : undefined
      this.#pending.set(id, { kind: request.kind, finish })
      send()
    })
  }

  stop (): void {
    this.#socket.close()
  }
}

/** Answers requests of gateways. */
export class RankServer {
  readonly #socket: Socket

  private constructor (answer: (request: AgentRequest) => Promise<AgentReply>, handleError: (reason: string) => void) {
    this.#socket = createSocket('udp4')
    this.#socket.on('message', (bytes: Buffer, sender: RemoteInfo) => {
      decodeRequest(bytes).caseOf({
        Left: reason => { if (reason === 'unusable') handleError(`unusable request of ${sender.address}`) },
        Right: ({ id, content }) => {
          answer(content).then(
            reply => { this.#socket.send(encodeEnvelope(id, reply, content.kind === 'read' && content.inflates === true), sender.port, sender.address) },
            (error: unknown) => { handleError(String(error)) }
          )
        }
      })
    })
    this.#socket.on('error', error => { handleError(error.message) })
  }

  /**
   * @param answer - answers one request
   * @param handleError - called with errors of the socket and of `answer`
   * @returns a server that does not listen yet
   */
  static create (answer: (request: AgentRequest) => Promise<AgentReply>, handleError: (reason: string) => void): RankServer {
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
