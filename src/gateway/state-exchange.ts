/**
 * Tells other gateways the state of this one and finds out which of them are alive. With
 * few gateways each sends full heartbeats to all others; with more, a bounded number of
 * pings a second detects failures and carries load, and only what is urgent goes to all.
 */

import { assertNever } from '../kernel/errors.js'
import { encodeCounts } from '../plugins/gateway/count-table.js'
import { GatewayMembers, encodeState } from '../plugins/gateway/members.js'
import type { MemberChange, MemberIdentity } from '../plugins/gateway/members.js'
import type { GatewayState } from '../plugins/gateway/peers.js'
import { GatewayProber, PING_INTERVAL_MS } from '../plugins/gateway/prober.js'
import type { MemberMessage } from '../plugins/gateway/prober.js'
import type { GatewayContext } from './context.js'
import { computeRepeatMs } from './evidence-sync.js'
import type { GatewayLink } from './link.js'
import type { Heartbeat } from './link-messages.js'
import type { Address } from './model.js'

/** Most other gateways with which full heartbeats are exchanged. */
export const FULL_EXCHANGE_MAX = 16

/** Base interval in ms of heartbeats, and the addition for each other gateway. */
const HEARTBEAT_INTERVAL_MS = 200
const HEARTBEAT_INTERVAL_PER_PEER_MS = 12

/** Time in ms for which a gateway that has sent periodic heartbeats gets some in return. */
const HEARTBEAT_REPLY_MS = 10_000

/** Number of heartbeats that say that there is nothing urgent any more, in case some are lost. */
const QUIET_HEARTBEATS = 3

/** Times in ms after which an announcement is repeated, in case some of its datagrams were lost. */
const ANNOUNCEMENT_REPEATS_MS = [300, 800]

/** Time in ms for which an encoded table of requests in flight is used again. */
const COUNTS_REUSE_MS = 50

/** Share by which the interval of pings varies, so that gateways that start together do not ping together. */
const PING_JITTER = 0.1

/** How gateways learn of each other. */
export type ExchangeMode = 'full' | 'bounded'

/** Dependencies of a `StateExchange`. */
export interface StateExchangeOptions {
  readonly context: Pick<GatewayContext, 'boundary' | 'clock' | 'crashes' | 'domainTraffic' | 'getNowMs' | 'liveness' | 'log' | 'metrics' | 'namedLimits' | 'partCrashes' | 'paces' | 'peers' | 'pickFloat' | 'selection'>
  readonly link: Pick<GatewayLink, 'addTarget' | 'countTargets' | 'listTargets' | 'sendHeartbeat' | 'sendMember'>
  readonly identity: Omit<MemberIdentity, 'host' | 'port'>
  /** Address of the link to other gateways. */
  readonly address: Address
  /** Whether this gateway can serve callers. */
  isReady (): boolean
  /** Called when a gateway is found that was not alive before. */
  handleJoined (id: string): void
}

/** Exchange of state with the other gateways. */
export class StateExchange {
  readonly #options: StateExchangeOptions
  readonly #members: GatewayMembers
  readonly #prober: GatewayProber
  /** Monotonic times in ms of the last periodic heartbeats by sender. */
  readonly #senders = new Map<string, number>()
  #mode: ExchangeMode = 'full'
  #quietLeft = 0
  #counts: Uint8Array = Buffer.alloc(0)
  #countsAtMs = -Infinity

  private constructor (options: StateExchangeOptions) {
    this.#options = options
    const { context, link, identity, address } = options
    this.#members = GatewayMembers.create({ ...identity, host: address.host, port: address.port }, {
      handleChange: change => { this.#handleChange(change) },
      handleRefuted: () => { this.#prober.refute(context.getNowMs()) }
    })
    this.#prober = GatewayProber.create(this.#members, {
      post: (target, message) => { link.sendMember(target, message) },
      announce: () => { this.announce() },
      greet: target => { this.#sendAnnouncement([target]) },
      listTargets: () => link.listTargets(),
      countTargets: () => link.countTargets(),
      encodeCounts: () => this.#encodeCounts(),
      handleCounts: (id, counts) => { if (this.#mode === 'bounded') context.peers.noteCounts(id, counts, context.getNowMs()) },
      pickFloat: () => context.pickFloat()
    })
  }

  /**
   * @param options - parts of the gateway
   * @returns an exchange that has not started
   */
  static create (options: StateExchangeOptions): StateExchange {
    return new StateExchange(options)
  }

  get mode (): ExchangeMode {
    return this.#mode
  }

  /** Starts to send heartbeats and pings. */
  start (): void {
    this.#scheduleHeartbeat()
    this.#schedulePing()
  }

  /** Tells all gateways the state of this one now. */
  announce (): void {
    if (this.#mode === 'full') {
      this.#sendHeartbeat()
      return
    }
    this.#members.setReady(this.#options.isReady())
    this.#sendAnnouncement(this.#options.link.listTargets())
    for (const delayMs of ANNOUNCEMENT_REPEATS_MS) this.#options.context.clock.schedule(delayMs, () => { this.#sendAnnouncement(this.#options.link.listTargets()) })
  }

  /** Chooses the mode, announces a change of readiness and drops gateways that are silent. */
  runHousekeeping (): void {
    const { context, link, isReady } = this.#options
    const nowMs = context.getNowMs()
    if (this.#mode === 'full' && link.countTargets() > FULL_EXCHANGE_MAX) this.#startBounded()
    else if (this.#mode === 'bounded' && isReady() !== this.#members.isReady) this.announce()
    for (const gateway of context.peers.expire(nowMs)) this.#noteLost(gateway)
    context.metrics.observe('gateways_alive', context.peers.countAlive())
    context.metrics.observe('counts_age_ms', context.peers.getCountsAgeMs(nowMs))
  }

  handleHeartbeat ({ state, address, strikes, incarnation }: Heartbeat): void {
    const { context } = this.#options
    const nowMs = context.getNowMs()
    context.crashes.merge(strikes, nowMs)
    context.domainTraffic.noteHost(address.host, state.domain)
    for (const endpoint of state.silent ?? []) context.liveness.noteSuspected(endpoint)
    if (incarnation === undefined) this.#senders.set(state.id, nowMs)
    else {
      this.#senders.delete(state.id)
      const { id, bornMs, callerAddress, domain } = state
      this.#members.applyEntry({ id, bornMs, callerAddress, domain, host: address.host, port: address.port, incarnation, code: encodeState('alive', state.isReady) }, true, nowMs)
      if (this.#mode === 'bounded') {
        context.peers.notePaces(id, state.paces ?? {})
        return
      }
    }
    if (context.peers.noteHeartbeat(state, nowMs)) this.#noteJoined(state.id, state.domain)
  }

  handleMember (message: MemberMessage, reply: (message: MemberMessage) => void): void {
    this.#prober.handleMessage(message, reply, this.#options.context.getNowMs())
  }

  #startBounded (): void {
    const { context, link } = this.#options
    this.#mode = 'bounded'
    context.log('exchange-bounded', { gateways: link.countTargets() })
    const nowMs = context.getNowMs()
    for (const { identity, isReady, state } of this.#members.list()) if (state !== 'lost') context.peers.noteMember(identity, isReady, nowMs)
    this.announce()
  }

  #scheduleHeartbeat (): void {
    this.#options.context.clock.schedule(this.#computeHeartbeatIntervalMs(), () => {
      this.#options.context.boundary.run('housekeeping', () => { this.#sendHeartbeat() })
      this.#scheduleHeartbeat()
    })
  }

  #schedulePing (): void {
    const { context } = this.#options
    context.clock.schedule(PING_INTERVAL_MS * (1 + PING_JITTER * (2 * context.pickFloat() - 1)), () => {
      if (this.#mode === 'bounded') context.boundary.run('housekeeping', () => { this.#prober.tick(context.getNowMs()) })
      this.#schedulePing()
    })
  }

  #sendHeartbeat (): void {
    const { context, link } = this.#options
    const nowMs = context.getNowMs()
    const state = this.#describeState()
    const strikes = context.crashes.list(nowMs)
    const evidence = context.partCrashes.list(nowMs - computeRepeatMs(this.#computeHeartbeatIntervalMs()), nowMs)
    switch (this.#mode) {
      case 'full':
        link.sendHeartbeat('heartbeat', link.listTargets(), { state, strikes, evidence })
        break
      case 'bounded': {
        const senders = this.#listSenders(nowMs)
        const { incarnation, isReady } = this.#members
        // With the incarnation, receivers in the bounded exchange do not take this for a periodic heartbeat to reply to.
        link.sendHeartbeat('heartbeat', senders, { state: { ...state, isReady }, strikes, evidence, incarnation })
        if (!this.#isUrgent(state, strikes.length + evidence.length)) break
        const others = link.listTargets().filter(id => !senders.includes(id))
        link.sendHeartbeat('heartbeat', others, { state: { ...state, inFlight: {}, isReady }, strikes, evidence, incarnation })
        break
      }
      default:
        assertNever(this.#mode)
    }
  }

  /** Whether all gateways must hear of something in a heartbeat, or that it is over. */
  #isUrgent ({ paces = {}, silent = [], limits = {} }: GatewayState, items: number): boolean {
    if (items + Object.keys(paces).length + silent.length + Object.keys(limits).length > 0) {
      this.#quietLeft = QUIET_HEARTBEATS
      return true
    }
    this.#quietLeft -= 1
    return this.#quietLeft >= 0
  }

  #sendAnnouncement (ids: readonly string[]): void {
    this.#options.link.sendHeartbeat('announcement', ids, { state: { ...this.#describeState(), inFlight: {}, isReady: this.#members.isReady }, strikes: [], incarnation: this.#members.incarnation })
  }

  /** Lists gateways that send periodic heartbeats: older versions, and those that know of few others. */
  #listSenders (nowMs: number): readonly string[] {
    for (const [id, atMs] of this.#senders) if (nowMs - atMs > HEARTBEAT_REPLY_MS) this.#senders.delete(id)
    return [...this.#senders.keys()]
  }

  #computeHeartbeatIntervalMs (): number {
    const { context, link } = this.#options
    const targets = this.#mode === 'full' ? link.countTargets() : Math.max(this.#listSenders(context.getNowMs()).length, this.#quietLeft > 0 ? link.countTargets() : 0)
    return HEARTBEAT_INTERVAL_MS + HEARTBEAT_INTERVAL_PER_PEER_MS * targets
  }

  #describeState (): GatewayState {
    const { context, identity, isReady } = this.#options
    return {
      ...identity, isReady: isReady(), inFlight: context.selection.listInFlight(), paces: context.paces, silent: context.liveness.listUnresponsive(), limits: context.namedLimits.list('own', context.getNowMs())
    }
  }

  #handleChange ({ kind, member: { identity, incarnation, isReady } }: MemberChange): void {
    const { context, link } = this.#options
    const { id, domain, host, port } = identity
    const nowMs = context.getNowMs()
    switch (kind) {
      case 'joined':
      case 'updated':
        link.addTarget(id, { host, port })
        context.domainTraffic.noteHost(host, domain)
        if (this.#mode === 'bounded' && context.peers.noteMember(identity, isReady, nowMs)) this.#noteJoined(id, domain)
        break
      case 'suspected':
        context.metrics.count('gateways_suspected')
        context.log('gateway-suspected', { gateway: id, domain, incarnation })
        break
      case 'cleared':
        context.log('gateway-cleared', { gateway: id, domain, incarnation })
        break
      case 'lost':
        if (context.peers.removeMember(id, nowMs)) this.#noteLost(id)
        break
      default:
        assertNever(kind)
    }
  }

  #encodeCounts (): Uint8Array {
    const { context } = this.#options
    const nowMs = context.getNowMs()
    if (nowMs - this.#countsAtMs > COUNTS_REUSE_MS) {
      this.#counts = encodeCounts(context.selection.listInFlight())
      this.#countsAtMs = nowMs
    }
    return this.#counts
  }

  #noteJoined (id: string, domain: string): void {
    this.#options.context.log('gateway-joined', { gateway: id, domain })
    this.#options.handleJoined(id)
  }

  #noteLost (id: string): void {
    this.#options.context.metrics.count('gateways_lost')
    this.#options.context.log('gateway-lost', { gateway: id })
  }
}
