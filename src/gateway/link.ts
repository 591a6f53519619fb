/** Exchanges heartbeats (readiness, load and strikes), pings and evidence of crashes between gateways over UDP, and lends shares of limits. */

import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket } from 'node:dgram'
import { pack } from 'msgpackr'
import { assertNever } from '../kernel/errors.js'
import type { Strikes } from '../plugins/gateway/crashes.js'
import type { CrashEvidence } from '../plugins/gateway/part-crashes.js'
import type { GatewayState } from '../plugins/gateway/peers.js'
import type { MemberMessage } from '../plugins/gateway/prober.js'
import type { SharedStatements } from '../plugins/gateway/named-limits.js'
import { splitEvidence } from './evidence-messages.js'
import type { EvidenceMessage, EvidenceRequest } from './evidence-messages.js'
import { LINK_VERSION, decodeMessage } from './link-messages.js'
import type { Heartbeat, LimitsMessage, LinkMessage, MemberDatagram, ShareReply, ShareRequest, WatchMessage } from './link-messages.js'
import type { Address } from './model.js'
import type { WatchNews } from './watch-roles.js'

/** Most strikes in one heartbeat, so that it fits into one datagram. */
const STRIKES_PER_HEARTBEAT_MAX = 16

/** Why a datagram is sent, for the metrics. */
export type LinkPurpose = 'heartbeat' | 'announcement' | 'ping' | 'table' | 'evidence' | 'limits' | 'share' | 'watch'

/** Content of a heartbeat that a gateway sends. */
export type HeartbeatContent = Pick<Heartbeat, 'state' | 'strikes' | 'evidence' | 'incarnation'>

/** Callbacks of a link. */
export interface LinkHandlers {
  handleHeartbeat (heartbeat: Heartbeat): void
  /** Lends a share of an endpoint. @returns whether there was one */
  lendShare (endpoint: string): boolean
  /** Handles evidence; `reply` sends the sender what can be added to it. */
  handleEvidence (message: Pick<EvidenceMessage, 'purpose' | 'evidence'>, reply: (evidence: readonly CrashEvidence[]) => void): void
  /** Lists all evidence for a gateway that asks for it; undefined when it should ask another. */
  listEvidence (): readonly CrashEvidence[] | undefined
  handleLimits (limits: SharedStatements): void
  /** Lists all limits for a gateway that has just started. */
  listLimits (): SharedStatements
  /** Handles what a watcher has seen of the store. */
  handleNews (news: WatchNews): void
  /** Handles a message of the failure detection; `reply` answers its sender, which may be unknown. */
  handleMember? (message: MemberMessage, reply: (message: MemberMessage) => void): void
  /** Counts a datagram that is sent to a host. */
  handleSent? (purpose: LinkPurpose, bytes: number, host: string): void
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
  /** Number of heartbeats sent to each gateway, which chooses the evidence that the next one repeats. */
  readonly #heartbeats = new Map<string, number>()

  private constructor (self: Address, handlers: LinkHandlers) {
    this.#self = self
    this.#handlers = handlers
    this.#socket = createSocket('udp4')
    this.#socket.on('message', (bytes, sender) => {
      try {
        this.#handleDatagram(bytes, sender)
      } catch (error) {
        handlers.handleError(String(error))
      }
    })
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
  send (state: GatewayState, strikes: readonly Strikes[], evidence: readonly CrashEvidence[] = []): void {
    this.sendHeartbeat('heartbeat', this.listTargets(), { state, strikes, evidence })
  }

  /**
   * Sends a heartbeat to some gateways. Evidence that is too much for one datagram is spread over successive heartbeats.
   *
   * @param purpose - whether the heartbeat is sent periodically or announces a change
   * @param ids - names of gateways; unknown ones and this one are ignored
   * @param content - what it says
   */
  sendHeartbeat (purpose: 'heartbeat' | 'announcement', ids: readonly string[], { state, strikes, evidence = [], incarnation }: HeartbeatContent): void {
    const heartbeats = splitEvidence(evidence).map((list): Heartbeat => ({
      version: LINK_VERSION, state, address: this.#self, strikes: strikes.slice(0, STRIKES_PER_HEARTBEAT_MAX), evidence: list, ...(incarnation === undefined ? {} : { incarnation })
    }))
    const packed = new Map<number, Buffer>()
    for (const id of ids) {
      const target = this.#targets.get(id)
      if (target === undefined || id === state.id) continue
      const sent = this.#heartbeats.get(id) ?? 0
      this.#heartbeats.set(id, sent + 1)
      const at = sent % heartbeats.length
      const bytes = packed.get(at) ?? pack(heartbeats[at])
      packed.set(at, bytes)
      this.#post(purpose, bytes, target)
    }
  }

  /** Sends a message of the failure detection to a gateway; unknown ones are ignored. */
  sendMember (id: string, message: MemberMessage): void {
    const target = this.#targets.get(id)
    if (target !== undefined) this.#postMember(message, target)
  }

  /** Sends evidence of crashes to every known gateway. */
  sendEvidence (evidence: readonly CrashEvidence[]): void {
    this.#postEvidence('news', evidence, [...this.#targets.values()])
  }

  /** Sends what an endpoint said about the rate that it takes to every known gateway. */
  sendLimits (limits: SharedStatements): void {
    for (const target of this.#targets.values()) this.#postLimits(limits, target)
  }

  /**
   * Asks other gateways for all their evidence.
   *
   * @param ids - names of gateways; unknown ones are ignored
   */
  requestEvidence (ids: readonly string[]): void {
    const request: EvidenceRequest = { version: LINK_VERSION, kind: 'evidence-request' }
    const bytes = pack(request)
    for (const target of ids.flatMap(id => this.#targets.get(id) ?? [])) this.#post('evidence', bytes, target)
  }

  /** Sends what this gateway has seen of the store to gateways; unknown ones are ignored. */
  sendNews (news: WatchNews, ids: readonly string[]): void {
    const message: WatchMessage = { version: LINK_VERSION, kind: 'watch-news', news }
    const bytes = pack(message)
    for (const target of ids.flatMap(id => this.#targets.get(id) ?? [])) this.#post('watch', bytes, target)
  }

  /** @returns names of the gateways that messages are sent to */
  listTargets (): readonly string[] {
    return [...this.#targets.keys()]
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
      this.#post('share', pack(request), target)
    })
  }

  stop (): void {
    this.#socket.close()
  }

  #post (purpose: LinkPurpose, bytes: Buffer, { host, port }: Address): void {
    this.#handlers.handleSent?.(purpose, bytes.length, host)
    this.#socket.send(bytes, port, host)
  }

  #postMember (message: MemberMessage, target: Address): void {
    const datagram: MemberDatagram = { version: LINK_VERSION, ...message }
    this.#post(message.kind === 'members' || message.kind === 'members-request' ? 'table' : 'ping', pack(datagram), target)
  }

  #postLimits (limits: SharedStatements, target: Address): void {
    const message: LimitsMessage = { version: LINK_VERSION, kind: 'limits', limits }
    this.#post('limits', pack(message), target)
  }

  /** Sends evidence in as many datagrams as it takes; a table without evidence takes one, which tells that there is none. */
  #postEvidence (purpose: EvidenceMessage['purpose'], evidence: readonly CrashEvidence[], targets: readonly Address[]): void {
    for (const list of splitEvidence(evidence)) {
      const message: EvidenceMessage = { version: LINK_VERSION, kind: 'evidence', purpose, evidence: list }
      const bytes = pack(message)
      for (const target of targets) this.#post('evidence', bytes, target)
    }
  }

  #handleDatagram (bytes: Buffer, sender: RemoteInfo): void {
    decodeMessage(bytes).caseOf({
      Left: reason => { if (reason === 'unusable') this.#handlers.handleError(`unusable message of ${sender.address}`) },
      Right: message => { this.#handleMessage(message, sender) }
    })
  }

  #handleMessage (message: LinkMessage, { address, port }: RemoteInfo): void {
    const sender = { host: address, port }
    if (!('kind' in message)) {
      this.#targets.set(message.state.id, message.address)
      this.#handlers.handleHeartbeat(message)
      if (message.state.limits !== undefined) this.#handlers.handleLimits(message.state.limits)
      if (message.evidence !== undefined && message.evidence.length > 0) {
        this.#handlers.handleEvidence({ purpose: 'news', evidence: message.evidence }, evidence => { this.#postEvidence('addition', evidence, [sender]) })
      }
      return
    }
    switch (message.kind) {
      case 'share-request': {
        const reply: ShareReply = { version: LINK_VERSION, kind: 'share-reply', requestId: message.requestId, isLent: this.#handlers.lendShare(message.endpoint) }
        this.#post('share', pack(reply), sender)
        break
      }
      case 'share-reply':
        this.#pending.get(message.requestId)?.(message.isLent)
        break
      case 'evidence-request': {
        const evidence = this.#handlers.listEvidence()
        if (evidence === undefined) break
        this.#postLimits(this.#handlers.listLimits(), sender)
        this.#postEvidence('table', evidence, [sender])
        break
      }
      case 'limits':
        this.#handlers.handleLimits(message.limits)
        break
      case 'evidence':
        this.#handlers.handleEvidence(message, evidence => { this.#postEvidence('addition', evidence, [sender]) })
        break
      case 'watch-news':
        this.#handlers.handleNews(message.news)
        break
      case 'ping':
      case 'ack':
      case 'ping-request':
      case 'members-request':
      case 'members':
        this.#handlers.handleMember?.(message, reply => { this.#postMember(reply, sender) })
        break
      default:
        assertNever(message)
    }
  }
}
