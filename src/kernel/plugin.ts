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
   * Asks the edge to carry out an effect.
   *
   * @param effect - carried out after the dispatch, in order
   */
  emit (effect: Effect): void
  /**
   * Queues an event for the plug-ins of this kernel, in the same dispatch.
   *
   * @param event - handled after the present one
   */
  raise (event: KernelEvent): void
  /**
   * Gives the typed port of another plug-in.
   *
   * @param name - the port's name
   * @returns the port
   * @throws Error when no plug-in of the role provides it
   */
  getPort<N extends keyof Ports> (name: N): Ports[N]
  /**
   * Gives the typed port of another plug-in where one provides it.
   *
   * @param name - the port's name
   * @returns the port; undefined when no plug-in of the role provides it
   */
  findPort<N extends keyof Ports> (name: N): Ports[N] | undefined
}

/** A set of decisions with its own state. */
export interface Plugin {
  readonly name: string
  readonly subscribesTo: readonly EventKind[]
  /** Ports that this plug-in provides to others. */
  readonly ports?: Partial<Ports>
  /**
   * Called before any plug-in handles an event of the edge, whatever its kind.
   * What it raises is handled before that event.
   *
   * @param context - time, random numbers and ways out
   */
  checkTime? (context: Context): void
  /**
   * Handles one event of a subscribed kind.
   *
   * @param event - the event
   * @param context - time, random numbers and ways out
   */
  handle (event: KernelEvent, context: Context): void
}

/** Values that plug-ins are created with. */
export interface PluginOptions {
  readonly self: ProcessRef
  /** Name of the service of the endpoint; endpoint role only. */
  readonly service?: string
  readonly settings: KernelSettings
}

/** Settings that change decisions; set at start, not by configuration. */
export interface KernelSettings {
  /** Secret that proves key tokens. */
  readonly clusterSecret: string
  /** Addresses of peers known at start, by process id. */
  readonly seeds: readonly { readonly id: string, readonly address: string }[]
  /** Time for which callers may keep an address answer, in ms; entries only. */
  readonly addressHoldMs?: number
}

/** How a plug-in makes itself known. */
export interface PluginRegistration {
  readonly name: string
  readonly roles: readonly Role[]
  readonly create: (options: PluginOptions) => Plugin
}

const registrations: PluginRegistration[] = []

/**
 * Registers a plug-in; called by its module when imported.
 *
 * @param registration - name, roles and factory
 * @throws Error when the name is taken
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
