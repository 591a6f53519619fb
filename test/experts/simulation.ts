import type { Configuration } from '../../src/kernel/configuration.js'
import { EMPTY_CONFIGURATION } from '../../src/kernel/configuration.js'
import type { Effect } from '../../src/kernel/effects.js'
import type { KernelEvent, PlatformResult } from '../../src/kernel/events.js'
import type { Context, Plugin } from '../../src/kernel/plugin.js'
import type { Ports } from '../../src/kernel/ports.js'
import { Random } from '../../src/kernel/random.js'
import type { Message, ProcessRef } from '../../src/protocol/messages.js'
import { ExpertsPlugin } from '../../src/plugins/experts/endpoint-plugin.js'
import { MapHolderPlugin } from '../../src/plugins/experts/holder-plugin.js'
import type { ChangeRules } from '../../src/plugins/experts/change-coordinator.js'
import { Rebalancer } from '../../src/plugins/experts/placement/rebalancer.js'
import { parseRecord } from '../../src/plugins/experts/record.js'
import type { RankRules } from '../../src/plugins/experts/rank-state.js'
import { INITIAL_ENGINE, applyOrder, buildRestartedEngine, findUsedVersion } from '../../bench/experts/engine.js'
import type { EngineState } from '../../bench/experts/engine.js'

export const TICK_MS = 100
const STEP_MS = 50

export interface SimulationOptions {
  readonly ranks: number
  readonly holders: number
  readonly checksFencing: boolean
  readonly seed: number
  readonly rules?: RankRules
  readonly changeRules?: ChangeRules
  /** False lets the platform ignore the revision of a write. */
  readonly conditionalWrites?: boolean
  /** Tokens by expert in each report; when set, the holder plans with `Rebalancer`. */
  readonly tokens?: readonly number[]
  /** Times at which the holder wants another map. */
  readonly changesAtMs: readonly number[]
}

interface Node {
  readonly self: ProcessRef
  plugin: Plugin
  isAlive: boolean
  isPaused: boolean
  inbox: KernelEvent[]
}

type Route = (from: string, to: string, message: Message) => readonly number[]

/** Simulates processes, engines, network and platform in virtual time, with the real plug-ins. */
export class Simulation {
  readonly log: string[] = []
  readonly engines: EngineState[]
  readonly executed = new Map<number, number>()
  readonly #nodes = new Map<string, Node>()
  readonly #queue: { at: number, sequence: number, run: () => void }[] = []
  readonly #objects = new Map<string, { value: string, revision: number }>()
  readonly #random: Random
  readonly #configuration: Configuration
  nowMs = 0
  /** Delays in ms of each copy of a message; an empty list loses it. */
  route: Route = () => [1]
  isPlatformUp = true
  answersToLose = 0
  /** Ranks whose engines do not step. */
  readonly stalled = new Set<number>()
  lastStepMs = 0
  longestStallMs = 0
  #sequence = 0
  #wanted = 0

  private constructor (readonly options: SimulationOptions) {
    this.#random = Random.create(options.seed)
    this.engines = Array.from({ length: options.ranks }, () => INITIAL_ENGINE)
    this.#configuration = {
      ...EMPTY_CONFIGURATION,
      version: 1,
      groups: [{ name: 'g', service: 's', ranks: options.ranks, layers: 1, expertsPerLayer: options.ranks, slotsPerRank: 2 }],
      endpoints: this.engines.map((_, rank) => ({
        id: `r${rank}`, host: `h${rank}`, domain: 'a', service: 's', peerAddress: '', checksFencing: options.checksFencing, warmCap: 1, coldCap: 1, group: 'g', rank
      }))
    }
    for (let rank = 0; rank < options.ranks; rank += 1) this.#addNode(`r${rank}`, 'endpoint')
    for (let holder = 0; holder < options.holders; holder += 1) this.#addNode(`e${holder}`, 'entry')
  }

  static create (options: SimulationOptions): Simulation {
    return new Simulation(options)
  }

  /** Replaces the process by a new one without state. */
  startProcess (id: string): void {
    const node = this.#nodes.get(id)!
    this.#addNode(id, node.self.role, node.self.incarnation + 1)
    this.#note(`${id} replaced`)
  }

  stopProcess (id: string): void {
    this.#nodes.get(id)!.isAlive = false
    this.#note(`${id} killed`)
  }

  setPaused (id: string, isPaused: boolean): void {
    const node = this.#nodes.get(id)!
    node.isPaused = isPaused
    this.#note(`${id} ${isPaused ? 'paused' : 'resumed'}`)
    if (!isPaused) for (const event of node.inbox.splice(0)) this.dispatch(id, event)
  }

  restartEngine (rank: number): void {
    this.engines[rank] = buildRestartedEngine(this.engines[rank]!)
    this.#note(`engine ${rank} restarted`)
  }

  run (untilMs: number, actions: readonly (readonly [atMs: number, run: (world: Simulation) => void])[] = []): this {
    for (const [at, run] of actions) this.#schedule(at - this.nowMs, () => { run(this) })
    while (this.nowMs < untilMs) {
      this.nowMs += 10
      this.#queue.sort((a, b) => a.at - b.at || a.sequence - b.sequence)
      while (this.#queue.length > 0 && this.#queue[0]!.at <= this.nowMs) this.#queue.shift()!.run()
      if (this.nowMs % TICK_MS === 0) this.#tick()
      if (this.nowMs % STEP_MS === 0) this.#stepEngines()
    }
    return this
  }

  dispatch (id: string, event: KernelEvent): void {
    const node = this.#nodes.get(id)
    if (node === undefined || !node.isAlive) return
    if (node.isPaused) {
      if (event.kind !== 'tick') node.inbox.push(event)
      return
    }
    const effects: Effect[] = []
    const context: Context = {
      nowMs: this.nowMs,
      random: this.#random,
      self: node.self,
      emit: effect => { effects.push(effect) },
      raise: () => {},
      getPort: name => this.#getPort(name),
      findPort: () => undefined
    }
    node.plugin.handle(event, context)
    for (const effect of effects) this.#apply(node, effect)
  }

  #tick (): void {
    for (const [id, node] of this.#nodes) {
      const rank = Number(id.slice(1))
      if (node.self.role === 'endpoint') {
        const { startId, step } = this.engines[rank]!
        this.dispatch(id, { kind: 'endpoint-reported', report: { healthy: true, startId: String(startId), warmth: 1, step, stepMs: STEP_MS, ...this.#countTokens(rank) } })
      }
      this.dispatch(id, { kind: 'tick' })
    }
  }

  /** Counts tokens by slot; the replicas of an expert in the map that the rank uses share its tokens. */
  #countTokens (rank: number): { readonly expertCounts?: readonly (readonly number[])[] } {
    const { tokens } = this.options
    const value = this.#objects.get('map/g')?.value
    const version = findUsedVersion(this.engines[rank]!)
    if (tokens === undefined || value === undefined || version === undefined) return {}
    const record = parseRecord(value)!
    const map = record.map.version === version ? record.map : record.previous!
    const countReplicas = (expert: number): number => map.ranks.filter(held => held[0]!.includes(expert)).length
    return { expertCounts: map.ranks[rank]!.map(experts => experts.map(expert => tokens[expert]! / countReplicas(expert))) }
  }

  /** Lock-step: a rank executes a step only when no rank is behind it. */
  #stepEngines (): void {
    const group = Math.min(...this.engines.map(engine => engine.step))
    this.engines.forEach((engine, rank) => {
      const version = findUsedVersion(engine)
      if (engine.step > group || version === undefined || this.stalled.has(rank)) return
      const other = this.executed.get(engine.step)
      if (other !== undefined && other !== version) throw new Error(`step ${engine.step}: rank ${rank} uses map ${version}, another rank ${other}`)
      if (other === undefined) this.executed.set(engine.step, version)
      this.engines[rank] = { ...engine, step: engine.step + 1 }
      if (engine.step > 0) this.longestStallMs = Math.max(this.longestStallMs, this.nowMs - this.lastStepMs)
      this.lastStepMs = this.nowMs
    })
  }

  #apply (node: Node, effect: Effect): void {
    const { id } = node.self
    switch (effect.kind) {
      case 'send': {
        if (effect.message.kind !== 'expert-load') this.#note(`${id} to ${effect.peer}: ${formatMessage(effect.message)}`)
        for (const delay of this.route(id, effect.peer, effect.message)) {
          this.#schedule(delay, () => { this.dispatch(effect.peer, { kind: 'message-received', peer: node.self, message: effect.message }) })
        }
        return
      }
      case 'order': {
        const rank = Number(id.slice(1))
        const { startId } = this.engines[rank]!
        this.#note(`${id} orders ${formatOrder(effect)}`)
        this.#schedule(20, () => {
          const engine = this.engines[rank]!
          if (engine.startId !== startId) return
          const [next, accepted] = applyOrder(engine, effect.order, effect.fence, this.options.checksFencing)
          this.engines[rank] = next
          this.dispatch(id, { kind: 'order-answered', orderId: effect.orderId, accepted, fence: next.fence })
        })
        return
      }
      case 'platform-call': {
        const { self } = node
        this.#schedule(5, () => {
          const result = this.#runPlatformCall(id, effect.operation)
          this.#schedule(5, () => {
            if (this.#nodes.get(id)?.self === self) this.dispatch(id, { kind: 'platform-answered', callId: effect.callId, result })
          })
        })
        return
      }
      case 'log':
        if (effect.event !== 'map-stalled') this.#note(`${id} ${effect.event} ${JSON.stringify(effect.fields)}`)
    }
  }

  #runPlatformCall (id: string, operation: Extract<Effect, { kind: 'platform-call' }>['operation']): PlatformResult {
    if (!this.isPlatformUp) return { kind: 'unavailable' }
    const found = this.#objects.get(operation.key)
    if (operation.kind === 'read') return found === undefined ? { kind: 'missing' } : { kind: 'found', ...found }
    if ((found?.revision ?? 0) !== operation.revision && this.options.conditionalWrites !== false) return { kind: 'conflict' }
    const revision = (found?.revision ?? 0) + 1
    this.#objects.set(operation.key, { value: operation.value, revision })
    const { version, decision, fence, map } = JSON.parse(operation.value) as { version?: number, decision?: string, fence: number, map?: { version: number } }
    if (version !== undefined) this.#note(`${id} writes version ${version} ${decision} fence ${fence} map ${map?.version}`)
    if (this.answersToLose > 0 && version !== undefined) {
      this.answersToLose -= 1
      return { kind: 'unknown' }
    }
    return { kind: 'written', revision }
  }

  #getPort<N extends keyof Ports> (name: N): Ports[N] {
    const live = [...this.#nodes.values()].filter(node => node.isAlive)
    const ports = {
      configuration: {
        getCurrent: () => this.#configuration,
        findEndpoint: (id: string) => this.#configuration.endpoints.find(endpoint => endpoint.id === id)
      },
      membership: {
        isLeaving: () => false,
        findPeer: (id: string) => this.#nodes.get(id),
        listPeers: () => live.map(node => ({ process: node.self })),
        listEntries: () => live.filter(node => node.self.role === 'entry').map(node => node.self)
      }
    }
    return ports[name as keyof typeof ports] as unknown as Ports[N]
  }

  #addNode (id: string, role: ProcessRef['role'], incarnation = 1): void {
    const plugin = role === 'endpoint' ? ExpertsPlugin.create(this.options.rules) : MapHolderPlugin.create((group, shape) => this.options.tokens === undefined ? this.#createPlanner() : Rebalancer.create(group, shape), this.options.changeRules)
    this.#nodes.set(id, { self: { id, role, domain: 'a', host: id, address: '', incarnation }, plugin, isAlive: true, isPaused: false, inbox: [] })
  }

  /** Creates a planner that rotates the experts among the ranks once for each time in `changesAtMs`. */
  #createPlanner (): ReturnType<Parameters<typeof MapHolderPlugin.create>[0]> {
    return {
      noteLoad: () => {},
      listSpeeds: () => [],
      noteChange: committed => { if (committed) this.#wanted += 1 },
      choosePlacement: inForce => {
        const at = this.options.changesAtMs[this.#wanted]
        return at === undefined || this.nowMs < at ? undefined : [...inForce.ranks.slice(1), inForce.ranks[0]!]
      }
    }
  }

  #schedule (delayMs: number, run: () => void): void {
    this.#sequence += 1
    this.#queue.push({ at: this.nowMs + delayMs, sequence: this.#sequence, run })
  }

  #note (text: string): void {
    this.log.push(`${this.nowMs} ${text}`)
  }
}

function formatMessage (message: Message): string {
  switch (message.kind) {
    case 'map-prepare': return `prepare ${message.version} from step ${message.step} fence ${message.fence}`
    case 'map-prepared': return `prepared ${message.version} ${message.accepted}`
    case 'map-decided': return `decided ${message.version} ${message.decision} map ${message.mapVersion}`
    case 'map-query': return `query ${message.version}`
    default: return message.kind
  }
}

function formatOrder ({ order, fence }: Extract<Effect, { kind: 'order' }>): string {
  const detail = order.kind === 'load-map' ? order.version : order.kind === 'release-hold' ? '' : order.kind === 'use-map' ? `${order.version} from step ${order.step}` : order.step
  return `${order.kind} ${detail} (fence ${fence})`
}
