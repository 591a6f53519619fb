/**
 * Kernels of entries and endpoint processes in simulated time, connected by a
 * fake network, in front of fake endpoints. The same seed gives the same run.
 */

import { hashPart } from '../../src/kernel/hash.js'
import type { Configuration, ConfigurationRoot } from '../../src/kernel/configuration.js'
import type { Effect } from '../../src/kernel/effects.js'
import type { KernelEvent, RequestReceived } from '../../src/kernel/events.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { Random } from '../../src/kernel/random.js'
import '../../src/plugins/index.js'
import type { Message, ProcessRef } from '../../src/protocol/messages.js'
import { VirtualClock } from './clock.js'
import { FakeEndpoint } from './endpoint.js'
import type { FakeEndpointOptions } from './endpoint.js'

/** Interval of the kernels' ticks in ms. */
const TICK_INTERVAL_MS = 100

/** Interval of the endpoints' reports in ms. */
const REPORT_INTERVAL_MS = 500

/** Delay with which an endpoint's report reaches its process, in ms. */
const REPORT_LAG_MS = 300

/** Options of a fleet. */
export interface FleetOptions {
  readonly seed: number
  readonly configuration: Configuration
  /** One-way latency between processes in ms. */
  readonly latencyMs: number
  readonly endpoints: (id: string) => FakeEndpointOptions
  /** Receives each reply to a caller. */
  readonly handleReply: (entry: string, effect: Effect) => void
}

interface Node {
  readonly ref: ProcessRef
  kernel: Kernel
  isAlive: boolean
  isPaused: boolean
  hasLeft: boolean
  readonly inbox: KernelEvent[]
  readonly links: Set<string>
  readonly fakeEndpoint?: FakeEndpoint
}

/** Kernels, network and endpoints of one deployment. */
export class Fleet {
  readonly clock = VirtualClock.create()
  readonly #options: FleetOptions
  readonly #nodes = new Map<string, Node>()
  readonly #random: Random
  readonly #partitionedLinks = new Set<string>()
  readonly #lastArrivalMs = new Map<string, number>()
  #messages = 0
  #disconnects = 0

  private constructor (options: FleetOptions) {
    this.#options = options
    this.#random = Random.create(options.seed)
    const { entries, endpoints } = options.configuration
    for (const entry of entries) this.#addNode({ id: entry.id, role: 'entry', domain: entry.domain, host: entry.host, address: entry.peerAddress, incarnation: 1 })
    for (const endpoint of endpoints) this.#addNode({ id: endpoint.id, role: 'endpoint', domain: endpoint.domain, host: endpoint.host, address: endpoint.peerAddress, incarnation: 1 })
    for (const node of this.#nodes.values()) this.#scheduleTicks(node)
    this.applyConfiguration(options.configuration, entries.map(entry => entry.id))
  }

  /**
   * @param options - deployment, network and endpoints
   * @returns a fleet at 0 ms in which every entry has the configuration
   */
  static create (options: FleetOptions): Fleet {
    return new Fleet(options)
  }

  /** Number of messages sent so far. */
  get messageCount (): number { return this.#messages }

  /** Number of connections that processes themselves have closed so far. */
  get disconnectCount (): number { return this.#disconnects }

  /** @returns ids of live entries that are not leaving */
  listEntries (): readonly string[] {
    return [...this.#nodes.values()].filter(node => node.ref.role === 'entry' && node.isAlive && !node.hasLeft).map(node => node.ref.id)
  }

  /**
   * @param id - id of an endpoint process
   * @returns the fake endpoint of that process
   */
  getFakeEndpoint (id: string): FakeEndpoint {
    const fakeEndpoint = this.#nodes.get(id)?.fakeEndpoint
    if (fakeEndpoint === undefined) throw new Error(`${id} is not an endpoint process`)
    return fakeEndpoint
  }

  /**
   * @param id - id of a process
   * @returns its kernel
   */
  getKernel (id: string): Kernel {
    return this.#getNode(id).kernel
  }

  /**
   * Gives a newer configuration to some entries, as if they had read it from the
   * platform; the other processes receive it from them.
   *
   * @param configuration - configuration with a higher version than the current one
   * @param entries - ids of the entries that read it
   */
  applyConfiguration (configuration: Configuration, entries: readonly string[]): void {
    const { root, parts } = formatConfiguration(configuration)
    for (const id of entries) this.dispatch(id, { kind: 'configuration-read', root, parts, source: 'platform' })
  }

  /**
   * @param entry - id of the entry that receives the request
   * @param request - request of a caller
   */
  request (entry: string, request: RequestReceived): void {
    this.dispatch(entry, request)
  }

  /** Ends a process without notice and closes its connections. */
  kill (id: string): void {
    const node = this.#getNode(id)
    node.isAlive = false
    for (const peer of [...node.links]) this.#breakLink(node, this.#getNode(peer))
  }

  /** Replaces a killed process by a new one without state and with a higher incarnation. */
  restart (id: string): void {
    const node = this.#getNode(id)
    const ref = { ...node.ref, incarnation: node.ref.incarnation + 1 }
    const restarted: Node = { ...node, ref, kernel: this.#createKernel(ref), isAlive: true, isPaused: false, hasLeft: false, inbox: [], links: new Set() }
    this.#nodes.set(id, restarted)
    this.#scheduleTicks(restarted)
  }

  /** Pauses the event loop of a process; its events are kept until `resume`. */
  pause (id: string): void {
    this.#getNode(id).isPaused = true
  }

  /** Resumes a paused process, which first handles the events kept meanwhile. */
  resume (id: string): void {
    const node = this.#getNode(id)
    node.isPaused = false
    for (const event of node.inbox.splice(0)) this.dispatch(id, event)
  }

  /** Drops all messages between two processes without closing their connection. */
  partition (a: string, b: string): void {
    this.#partitionedLinks.add(`${a} ${b}`).add(`${b} ${a}`)
  }

  /** Delivers messages between two partitioned processes again. */
  endPartition (a: string, b: string): void {
    this.#partitionedLinks.delete(`${a} ${b}`)
    this.#partitionedLinks.delete(`${b} ${a}`)
  }

  /**
   * @param id - id of a process
   * @param event - event for its kernel, handled now or, if the process is paused, on `resume`
   */
  dispatch (id: string, event: KernelEvent): void {
    const node = this.#getNode(id)
    if (!node.isAlive) return
    if (node.isPaused) {
      node.inbox.push(event)
      return
    }
    for (const effect of node.kernel.dispatch(event, Math.floor(this.clock.nowMs))) this.#applyEffect(node, effect)
  }

  #applyEffect (node: Node, effect: Effect): void {
    switch (effect.kind) {
      case 'send': return this.#send(node, effect.peer, effect.message)
      case 'connect': return this.#connect(node, effect.peer)
      case 'disconnect': return this.#disconnect(node, effect.peer)
      case 'run': return this.#run(node, effect)
      case 'abort-run': return node.fakeEndpoint?.abort(effect.workId)
      case 'leave-finished':
        node.hasLeft = true
        return this.kill(node.ref.id)
      case 'platform-call':
        return this.clock.schedule(1, () => { this.dispatch(node.ref.id, { kind: 'platform-answered', callId: effect.callId, result: { kind: 'unavailable' } }) })
      default:
        this.#options.handleReply(node.ref.id, effect)
    }
  }

  #send (node: Node, peer: string, message: Message): void {
    if (!node.links.has(peer)) return
    this.#messages += 1
    const { ref } = node
    this.clock.schedule(this.#computeDeliveryDelay(ref.id, peer), () => {
      const target = this.#nodes.get(peer)
      if (target === undefined || !target.links.has(ref.id) || this.#partitionedLinks.has(`${ref.id} ${peer}`)) return
      this.dispatch(peer, { kind: 'message-received', peer: ref, message })
    })
  }

  #connect (node: Node, peer: string): void {
    this.clock.schedule(this.#computeLatency() * 2, () => {
      const target = this.#nodes.get(peer)
      if (target === undefined || !target.isAlive || !node.isAlive || node.links.has(peer) || this.#partitionedLinks.has(`${node.ref.id} ${peer}`)) return
      node.links.add(peer)
      target.links.add(node.ref.id)
      this.dispatch(node.ref.id, { kind: 'peer-connected', peer: target.ref })
      this.dispatch(peer, { kind: 'peer-connected', peer: node.ref })
    })
  }

  #disconnect (node: Node, peer: string): void {
    node.links.delete(peer)
    const target = this.#nodes.get(peer)
    if (target?.links.delete(node.ref.id) !== true) return
    this.#disconnects += 1
    this.clock.schedule(this.#computeDeliveryDelay(node.ref.id, peer), () => { this.dispatch(peer, { kind: 'peer-disconnected', peer: node.ref }) })
  }

  #breakLink (node: Node, other: Node): void {
    node.links.delete(other.ref.id)
    other.links.delete(node.ref.id)
    this.clock.schedule(this.#computeDeliveryDelay(node.ref.id, other.ref.id), () => { this.dispatch(other.ref.id, { kind: 'peer-disconnected', peer: node.ref }) })
  }

  #run (node: Node, effect: Extract<Effect, { kind: 'run' }>): void {
    const { workId, key } = effect.work
    const raise = (event: KernelEvent): void => { if (this.#nodes.get(node.ref.id) === node) this.dispatch(node.ref.id, event) }
    node.fakeEndpoint?.run(workId, key?.text ?? effect.work.requestId, {
      handleHead: () => { raise({ kind: 'endpoint-head', workId, status: 200, headers: [] }) },
      handleChunk: () => { raise({ kind: 'endpoint-chunk', workId, data: CHUNK }) },
      handleEnd: () => { raise({ kind: 'endpoint-ended', workId }) },
      handleFailure: () => { this.clock.schedule(0, () => { raise({ kind: 'endpoint-failed', workId, sent: true }) }) }
    })
  }

  #scheduleTicks (node: Node): void {
    const isCurrent = (): boolean => node.isAlive && this.#nodes.get(node.ref.id) === node
    const tick = (): void => {
      if (!isCurrent()) return
      if (!node.isPaused) this.dispatch(node.ref.id, { kind: 'tick' })
      this.clock.schedule(TICK_INTERVAL_MS, tick)
    }
    this.clock.schedule(this.#random.pickInt(TICK_INTERVAL_MS), tick)
    if (node.fakeEndpoint === undefined) return
    const fakeEndpoint = node.fakeEndpoint
    const report = (): void => {
      if (!isCurrent()) return
      const value = { healthy: fakeEndpoint.isUp, startId: fakeEndpoint.startId, warmth: fakeEndpoint.isUp ? fakeEndpoint.computeWarmth() : 0 }
      this.clock.schedule(REPORT_LAG_MS, () => { if (isCurrent()) this.dispatch(node.ref.id, { kind: 'endpoint-reported', report: value }) })
      this.clock.schedule(REPORT_INTERVAL_MS, report)
    }
    report()
  }

  #addNode (ref: ProcessRef): void {
    const fakeEndpoint = ref.role === 'endpoint' ? FakeEndpoint.create(this.clock, this.#options.endpoints(ref.id), true) : undefined
    this.#nodes.set(ref.id, { ref, kernel: this.#createKernel(ref), isAlive: true, isPaused: false, hasLeft: false, inbox: [], links: new Set(), ...(fakeEndpoint === undefined ? {} : { fakeEndpoint }) })
  }

  #createKernel (self: ProcessRef): Kernel {
    const service = this.#options.configuration.endpoints.find(endpoint => endpoint.id === self.id)?.service
    const seeds = this.#options.configuration.entries.map(entry => ({ id: entry.id, address: entry.peerAddress }))
    return Kernel.create({ self, seed: this.#random.pickInt(2 ** 31 - 1), settings: { clusterSecret: 'bench', seeds, addressHoldMs: 5_000 }, ...(service === undefined ? {} : { service }) })
  }

  /** Computes the delay of the next message in ms; messages of one connection keep their order. */
  #computeDeliveryDelay (from: string, to: string): number {
    const link = `${from} ${to}`
    const arrivalMs = Math.max(this.clock.nowMs + this.#computeLatency(), this.#lastArrivalMs.get(link) ?? 0)
    this.#lastArrivalMs.set(link, arrivalMs)
    return arrivalMs - this.clock.nowMs
  }

  #computeLatency (): number {
    return this.#options.latencyMs * (0.8 + 0.4 * this.#random.pickFloat())
  }

  #getNode (id: string): Node {
    const node = this.#nodes.get(id)
    if (node === undefined) throw new Error(`process ${id} does not exist`)
    return node
  }
}

const CHUNK = new Uint8Array(1)

/** Formats a configuration as it is stored in the platform. */
function formatConfiguration (configuration: Configuration): { readonly root: string, readonly parts: readonly (readonly [string, string])[] } {
  const { domains, entries, endpoints, groups, services, profiles, teams } = configuration
  const texts = {
    topology: JSON.stringify({ domains: domains.map(({ name, region }) => ({ name, region })), entries, endpoints, groups }),
    services: JSON.stringify({ services, profiles }),
    'teams-00': JSON.stringify(teams)
  }
  const hashes = Object.fromEntries(Object.entries(texts).map(([name, text]) => [name, hashPart(text)]))
  const root: ConfigurationRoot = {
    version: configuration.version,
    parts: hashes,
    domainStates: Object.fromEntries(domains.map(domain => [domain.name, domain.state])),
    drainingHosts: configuration.drainingHosts,
    changedBy: 'bench',
    changedAt: '2026-01-01T00:00:00Z',
    reason: 'bench'
  }
  return { root: JSON.stringify(root), parts: Object.values(texts).map(text => [hashPart(text), text] as const) }
}
