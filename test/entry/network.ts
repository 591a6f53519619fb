/** Kernels connected by a simulated network with delays, lost connections and crashes. */

import '../../src/plugins/index.js'
import { Packr } from 'msgpackr'
import type { Effect } from '../../src/kernel/effects.js'
import type { KernelEvent } from '../../src/kernel/events.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { Random } from '../../src/kernel/random.js'
import type { Message, ProcessRef } from '../../src/protocol/messages.js'
import { registerTokens } from './session.js'

/** Header bytes counted per message (WebSocket frame header). */
export const FRAME_HEADER_BYTES = 4

interface Node {
  readonly self: ProcessRef
  readonly kernel: Kernel
  isUp: boolean
  sentBytes: number
  /** End of a pause; until then events for the process are queued. */
  pausedUntilMs: number
  readonly backlog: KernelEvent[]
}

interface Delivery {
  readonly to: string
  readonly event: KernelEvent
  /** Peer at the other end of the connection; undefined when the event needs no connection. */
  readonly link: string | undefined
}

export interface NetworkOptions {
  readonly seed: number
  readonly stepMs: number
  /** Largest extra delay of a message in steps; a value above 0 can reorder messages. */
  readonly delaySteps?: number
  /** Share of messages that are delivered twice. */
  readonly repeatShare?: number
  readonly measureBytes?: boolean
}

export class Network {
  nowMs = 0
  readonly nodes = new Map<string, Node>()
  readonly #options: NetworkOptions
  readonly #random: Random
  readonly #packr = new Packr({ useRecords: false })
  readonly #byAddress = new Map<string, Node>()
  readonly #links = new Set<string>()
  readonly #scheduled = new Map<number, Delivery[]>()
  /** Largest size in bytes of the updates and moves in a probe or acknowledgement. */
  largestUpdatesBytes = 0
  /** Called for effects that the network does not handle itself. */
  handleEffect: (id: string, effect: Effect) => void = () => {}
  /** Whether two processes can reach each other. */
  isReachable: (a: string, b: string) => boolean = () => true

  private constructor (options: NetworkOptions) {
    this.#options = options
    this.#random = Random.create(options.seed)
    registerTokens()
  }

  static create (options: NetworkOptions): Network {
    return new Network(options)
  }

  add (self: ProcessRef, seeds: readonly ProcessRef[] = [], service?: string): void {
    const settings = { clusterSecret: 's', seeds: seeds.map(({ id, address }) => ({ id, address })) }
    const kernel = Kernel.create({ self, seed: this.#random.pickInt(2 ** 31), settings, ...(service === undefined ? {} : { service }) })
    const node: Node = { self, kernel, isUp: true, sentBytes: 0, pausedUntilMs: 0, backlog: [] }
    this.nodes.set(self.id, node)
    this.#byAddress.set(self.address, node)
  }

  get (id: string): Node {
    const node = this.nodes.get(id)
    if (node === undefined) throw new Error(`node ${id} does not exist`)
    return node
  }

  kill (id: string): void {
    this.get(id).isUp = false
    for (const other of this.nodes.keys()) this.#removeLink(id, other, true)
  }

  pause (id: string, ms: number): void {
    this.get(id).pausedUntilMs = this.nowMs + ms
  }

  dispatch (id: string, event: KernelEvent): void {
    const node = this.get(id)
    if (!node.isUp) return
    if (this.nowMs < node.pausedUntilMs) {
      if (event.kind !== 'tick') node.backlog.push(event)
      return
    }
    for (const waiting of node.backlog.splice(0)) this.#applyEffects(node, node.kernel.dispatch(waiting, this.nowMs))
    this.#applyEffects(node, node.kernel.dispatch(event, this.nowMs))
  }

  advanceTime (ms: number): void {
    for (let passed = 0; passed < ms; passed += this.#options.stepMs) {
      this.nowMs += this.#options.stepMs
      const due = this.#scheduled.get(this.nowMs) ?? []
      this.#scheduled.delete(this.nowMs)
      for (const { to, event, link } of due) {
        if (link === undefined || this.#links.has(formatLink(to, link))) this.dispatch(to, event)
      }
      for (const id of this.nodes.keys()) this.dispatch(id, { kind: 'tick' })
    }
  }

  #applyEffects (node: Node, effects: readonly Effect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send':
          this.#send(node, effect.peer, effect.message)
          break
        case 'connect':
          this.#connect(node, effect.address)
          break
        case 'disconnect':
          this.#removeLink(node.self.id, effect.peer, false)
          break
        default:
          this.handleEffect(node.self.id, effect)
      }
    }
  }

  /** Dispatches an event to a process after a number of steps. */
  scheduleEvent (id: string, event: KernelEvent, steps: number): void {
    this.#schedule(steps, { to: id, link: undefined, event })
  }

  /** Closes the connection of two processes and notifies both. */
  closeLink (a: string, b: string): void {
    this.#removeLink(a, b, true)
  }

  #send (from: Node, to: string, message: Message): void {
    if (this.#options.measureBytes === true) this.#measure(from, message)
    if (!this.#links.has(formatLink(from.self.id, to)) || !this.isReachable(from.self.id, to)) return
    const times = this.#random.pickFloat() < (this.#options.repeatShare ?? 0) ? 2 : 1
    for (let count = 0; count < times; count += 1) {
      this.#schedule(1 + this.#random.pickInt((this.#options.delaySteps ?? 0) + 1), { to, link: from.self.id, event: { kind: 'message-received', peer: from.self, message } })
    }
  }

  #measure (from: Node, message: Message): void {
    from.sentBytes += this.#packr.pack(message).length + FRAME_HEADER_BYTES
    if (message.kind === 'probe' || message.kind === 'probe-ack') {
      this.largestUpdatesBytes = Math.max(this.largestUpdatesBytes, this.#packr.pack([message.updates, message.moves ?? []]).length)
    }
  }

  #connect (from: Node, address: string): void {
    const target = this.#byAddress.get(address)
    const link = formatLink(from.self.id, target?.self.id ?? '')
    if (target === undefined || !target.isUp || this.#links.has(link) || !this.isReachable(from.self.id, target.self.id)) return
    this.#links.add(link)
    this.#schedule(1, { to: from.self.id, link: target.self.id, event: { kind: 'peer-connected', peer: target.self } })
    this.#schedule(1, { to: target.self.id, link: from.self.id, event: { kind: 'peer-connected', peer: from.self } })
  }

  #removeLink (by: string, other: string, notifyBoth: boolean): void {
    if (!this.#links.delete(formatLink(by, other))) return
    const peer = this.nodes.get(by)?.self
    if (peer !== undefined) this.#schedule(1, { to: other, link: undefined, event: { kind: 'peer-disconnected', peer } })
    if (notifyBoth) this.#schedule(1, { to: by, link: undefined, event: { kind: 'peer-disconnected', peer: this.get(other).self } })
  }

  #schedule (steps: number, delivery: Delivery): void {
    const atMs = this.nowMs + steps * this.#options.stepMs
    const list = this.#scheduled.get(atMs)
    if (list === undefined) this.#scheduled.set(atMs, [delivery])
    else list.push(delivery)
  }
}

function formatLink (a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`
}
