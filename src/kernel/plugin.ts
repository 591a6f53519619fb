import type { Effect } from './effects.js'
import type { EventKind, KernelEvent } from './events.js'
import type { Ports } from './ports.js'
import type { Random } from './random.js'
import type { ProcessRef, Role } from '../protocol/messages.js'

/** What a plug-in may use while it handles an event. */
export interface Context {
  /** Monotonic time of the event in ms. */
  readonly nowMs: number
  readonly random: Random
  /** The process that this kernel runs in. */
  readonly self: ProcessRef
  /**
   * Adds an effect to the result of the dispatch.
   *
   * @param effect - carried out by the edge after the dispatch, in order
   */
  emit (effect: Effect): void
  /**
   * Queues an event for the plug-ins of this kernel, in the same dispatch.
   *
   * @param event - handled after the current event and those queued before
   */
  raise (event: KernelEvent): void
  /**
   * Returns the port of another plug-in.
   *
   * @param name - the port's name
   * @returns the port
   * @throws Error when no plug-in of the role provides it
   */
  getPort<N extends keyof Ports> (name: N): Ports[N]
  /**
   * Returns the port of another plug-in if one provides it.
   *
   * @param name - the port's name
   * @returns the port; undefined when no plug-in of the role provides it
   */
  findPort<N extends keyof Ports> (name: N): Ports[N] | undefined
}

/** A unit of decision logic with its own state. */
export interface Plugin {
  readonly name: string
  readonly subscribesTo: readonly EventKind[]
  /** Ports that this plug-in provides to others. */
  readonly ports?: Partial<Ports>
  /**
   * Called for each event from the edge, of any kind, before a plug-in handles it.
   * Events that are raised here are handled before that event.
   *
   * @param context - context of the dispatch
   */
  checkTime? (context: Context): void
  /**
   * Handles one event of a subscribed kind.
   *
   * @param event - the event
   * @param context - context of the dispatch
   */
  handle (event: KernelEvent, context: Context): void
}

/** Options that plug-ins are created with. */
export interface PluginOptions {
  readonly self: ProcessRef
  /** Name of the service of the endpoint; endpoint role only. */
  readonly service?: string
  readonly settings: KernelSettings
}

/** Process settings that plug-ins use; fixed at start, unlike the configuration. */
export interface KernelSettings {
  /** Secret with which key tokens are signed. */
  readonly clusterSecret: string
  /** Ids and addresses of the peers that are known at start. */
  readonly seeds: readonly { readonly id: string, readonly address: string }[]
  /** Time for which callers may cache an address response, in ms; entries only. */
  readonly addressHoldMs?: number
}

/** Registration of a plug-in: its name, the roles that use it and its factory. */
export interface PluginRegistration {
  readonly name: string
  readonly roles: readonly Role[]
  readonly create: (options: PluginOptions) => Plugin
}

const registrations: PluginRegistration[] = []

/**
 * Registers a plug-in; the plug-in's module calls this when it is imported.
 *
 * @param registration - name, roles and factory
 * @throws Error when a plug-in of this name is registered already
 */
export function registerPlugin (registration: PluginRegistration): void {
  if (registrations.some(existing => existing.name === registration.name)) {
    throw new Error(`plug-in ${registration.name} is registered twice`)
  }
  registrations.push(registration)
}

/**
 * @param role - role of the process
 * @returns the plug-ins registered for the role, in registration order
 */
export function listPlugins (role: Role): readonly PluginRegistration[] {
  return registrations.filter(registration => registration.roles.includes(role))
}
