/**
 * Detects unresponsive endpoints: hosts that freeze or lose their network while
 * their connections stay open. Without detection their streams stall until
 * the callers disconnect, although any other endpoint could resume them. When a
 * whole group pauses, its endpoints still answer probes and count as responsive.
 */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Time in ms without activity after which an endpoint is probed; events of a stream arrive every 50 to 120 ms. */
const PROBE_AFTER_MS = 250

/** Shortest time in ms between two probes of one endpoint. */
const PROBE_INTERVAL_MS = 500

/** Tracks endpoints that do not respond although others do. */
export interface LivenessPort {
  /** Records that an endpoint sent data or answered a probe. @returns whether it was unresponsive before */
  noteActivity (endpoint: string, service: string, nowMs: number): boolean
  /** Whether to probe an endpoint at which a request has waited for `waitedMs`; when true, the probe counts as sent. */
  shouldProbe (endpoint: string, waitedMs: number, nowMs: number): boolean
  /** Records an unanswered probe. */
  noteUnanswered (endpoint: string, service: string): void
  /**
   * Decides on endpoints with an unanswered probe: one is unresponsive when another of its
   * service was active after the probe was sent. Otherwise the gateway itself may be disconnected,
   * or all endpoints may be silent.
   *
   * @returns endpoints that were not unresponsive before
   */
  decideUnanswered (): readonly string[]
  isUnresponsive (endpoint: string): boolean
  /** Records that an endpoint is unresponsive to another gateway; it is probed from here too, since only the network path from there may be broken. */
  noteSuspected (endpoint: string): void
  listUnresponsive (): readonly string[]
  /** Unresponsive and suspected endpoints to probe now; their probes count as sent. */
  listDueProbes (nowMs: number): readonly string[]
  /** Forgets an endpoint that is gone or was restarted. */
  forget (endpoint: string): void
}

interface EndpointActivity {
  lastActivityMs: number
  probedAtMs: number
  isUnresponsive: boolean
  /** Service of the endpoint while its last probe is unanswered. */
  unansweredService: string | undefined
  /** Whether it is unresponsive to another gateway and not yet probed from here. */
  isSuspected: boolean
}

/** Tracks activity and probes by endpoint. */
export class LivenessPlugin implements Plugin, LivenessPort {
  readonly name = 'liveness'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'liveness'> = { liveness: this }
  readonly #activity = new Map<string, EndpointActivity>()
  /** The two most recently active endpoints of each service, the latest at the end. */
  readonly #lastActiveEndpoints = new Map<string, readonly { readonly endpoint: string, readonly atMs: number }[]>()

  private constructor () {}

  /** @returns a plug-in without endpoints */
  static create (): LivenessPlugin {
    return new LivenessPlugin()
  }

  handle (): void {}

  noteActivity (endpoint: string, service: string, nowMs: number): boolean {
    const activity = this.#get(endpoint)
    const wasUnresponsive = activity.isUnresponsive
    activity.lastActivityMs = nowMs
    activity.isUnresponsive = false
    activity.unansweredService = undefined
    activity.isSuspected = false
    const before = (this.#lastActiveEndpoints.get(service) ?? []).filter(active => active.endpoint !== endpoint)
    this.#lastActiveEndpoints.set(service, [...before.slice(-1), { endpoint, atMs: nowMs }])
    return wasUnresponsive
  }

  shouldProbe (endpoint: string, waitedMs: number, nowMs: number): boolean {
    const activity = this.#get(endpoint)
    if (waitedMs < PROBE_AFTER_MS || nowMs - activity.lastActivityMs < PROBE_AFTER_MS || nowMs - activity.probedAtMs < PROBE_INTERVAL_MS) return false
    activity.probedAtMs = nowMs
    return true
  }

  noteUnanswered (endpoint: string, service: string): void {
    const activity = this.#get(endpoint)
    if (!activity.isUnresponsive && activity.lastActivityMs <= activity.probedAtMs) activity.unansweredService = service
  }

  decideUnanswered (): readonly string[] {
    const decided = [...this.#activity].filter(([endpoint, { unansweredService, probedAtMs }]) =>
      unansweredService !== undefined && (this.#lastActiveEndpoints.get(unansweredService) ?? []).some(active => active.endpoint !== endpoint && active.atMs > probedAtMs))
    for (const [, activity] of decided) {
      activity.isUnresponsive = true
      activity.unansweredService = undefined
    }
    return decided.map(([endpoint]) => endpoint)
  }

  isUnresponsive (endpoint: string): boolean {
    return this.#activity.get(endpoint)?.isUnresponsive ?? false
  }

  noteSuspected (endpoint: string): void {
    const activity = this.#get(endpoint)
    if (!activity.isUnresponsive) activity.isSuspected = true
  }

  listUnresponsive (): readonly string[] {
    return [...this.#activity].filter(([, { isUnresponsive }]) => isUnresponsive).map(([endpoint]) => endpoint)
  }

  listDueProbes (nowMs: number): readonly string[] {
    const due = [...this.#activity].filter(([, { isUnresponsive, isSuspected, probedAtMs }]) => (isUnresponsive || isSuspected) && nowMs - probedAtMs >= PROBE_INTERVAL_MS)
    for (const [, activity] of due) {
      activity.probedAtMs = nowMs
      activity.isSuspected = false
    }
    return due.map(([endpoint]) => endpoint)
  }

  forget (endpoint: string): void {
    this.#activity.delete(endpoint)
  }

  #get (endpoint: string): EndpointActivity {
    let activity = this.#activity.get(endpoint)
    if (activity === undefined) {
      activity = { lastActivityMs: -Infinity, probedAtMs: -Infinity, isUnresponsive: false, unansweredService: undefined, isSuspected: false }
      this.#activity.set(endpoint, activity)
    }
    return activity
  }
}

registerPlugin({ name: 'liveness', roles: ['gateway'], create: () => LivenessPlugin.create() })
