import type { Effect } from './effects.js'
import type { EventKind, KernelEvent } from './events.js'
import { listPlugins } from './plugin.js'
import type { Context, Plugin, PluginOptions } from './plugin.js'
import type { Ports } from './ports.js'
import type { ProcessRef } from '../protocol/messages.js'
import { Random } from './random.js'

/** Options of a kernel. */
export interface KernelOptions extends PluginOptions {
  /** Seed of the random numbers; 32-bit integer. */
  readonly seed: number
}

/** Deterministic core of a process: takes an event and the time, returns effects and does no I/O. */
export class Kernel {
  readonly #options: KernelOptions
  readonly #plugins: readonly Plugin[]
  readonly #subscribers = new Map<EventKind, Plugin[]>()
  readonly #ports: Partial<Ports>
  readonly #random: Random

  private constructor (options: KernelOptions, plugins: readonly Plugin[]) {
    this.#options = options
    this.#plugins = plugins
    this.#random = Random.create(options.seed)
    this.#ports = Object.assign({}, ...plugins.map(plugin => plugin.ports ?? {})) as Partial<Ports>
    for (const plugin of plugins) {
      for (const kind of plugin.subscribesTo) {
        const list = this.#subscribers.get(kind)
        if (list === undefined) this.#subscribers.set(kind, [plugin])
        else list.push(plugin)
      }
    }
  }

  /**
   * Creates a kernel with every plug-in that is registered for the role.
   *
   * @param options - identity, settings and seed
   * @returns a kernel in its initial state
   */
  static create (options: KernelOptions): Kernel {
    return new Kernel(options, listPlugins(options.self.role).map(registration => registration.create(options)))
  }

  /**
   * Handles one event, and all events that plug-ins raise meanwhile.
   *
   * @param event - the event
   * @param nowMs - monotonic time in ms
   * @returns effects in the order in which plug-ins emitted them
   */
  dispatch (event: KernelEvent, nowMs: number): readonly Effect[] {
    const effects: Effect[] = []
    const queue: KernelEvent[] = []
    const context: Context = {
      nowMs,
      random: this.#random,
      self: this.#options.self,
      emit: effect => { effects.push(effect) },
      raise: raised => { queue.push(raised) },
      getPort: name => this.getPort(name),
      findPort: name => this.#ports[name] as Ports[typeof name] | undefined
    }
    for (const plugin of this.#plugins) plugin.checkTime?.(context)
    this.#dispatchAll(queue, context)
    queue.push(event)
    this.#dispatchAll(queue, context)
    return effects
  }

  #dispatchAll (queue: KernelEvent[], context: Context): void {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      for (const plugin of this.#subscribers.get(next.kind) ?? []) plugin.handle(next, context)
    }
  }

  /**
   * Returns the port of a plug-in, for use by the edge.
   *
   * @param name - the port's name
   * @returns the port
   * @throws Error when no plug-in provides it
   */
  getPort<N extends keyof Ports> (name: N): Ports[N] {
    const port = this.#ports[name]
    if (port === undefined) throw new Error(`no plug-in provides the port ${name}`)
    return port as Ports[N]
  }

  /** The process that this kernel runs in. */
  get self (): ProcessRef {
    return this.#options.self
  }

  /** @returns the names of the plug-ins in order */
  listPluginNames (): readonly string[] {
    return this.#plugins.map(plugin => plugin.name)
  }
}
