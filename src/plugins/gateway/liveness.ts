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

/** Time in ms within which another endpoint of the service must have been active for an unanswered probe to count; otherwise the gateway itself may be disconnected. */
const OTHERS_ACTIVE_WITHIN_MS = 400

/** Tracks endpoints that do not respond although others do. */
export interface LivenessPort {
  /** Records that an endpoint sent data or answered a probe. @returns whether it was unresponsive before */
  noteActivity (endpoint: string, service: string, nowMs: number): boolean
  /** Whether to probe an endpoint at which a request has waited for `waitedMs`; when true, the probe counts as sent. */
  shouldProbe (endpoint: string, waitedMs: number, nowMs: number): boolean
  /** Records an unanswered probe. @returns whether it makes the endpoint unresponsive */
  noteUnanswered (endpoint: string, service: string, nowMs: number): boolean
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

  noteUnanswered (endpoint: string, service: string, nowMs: number): boolean {
    const activity = this.#get(endpoint)
    const areOthersActive = (this.#lastActiveEndpoints.get(service) ?? []).some(active => active.endpoint !== endpoint && nowMs - active.atMs < OTHERS_ACTIVE_WITHIN_MS)
    if (activity.isUnresponsive || activity.lastActivityMs > activity.probedAtMs || !areOthersActive) return false
    activity.isUnresponsive = true
    return true
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
      activity = { lastActivityMs: -Infinity, probedAtMs: -Infinity, isUnresponsive: false, isSuspected: false }
      this.#activity.set(endpoint, activity)
    }
    return activity
  }
}

registerPlugin({ name: 'liveness', roles: ['gateway'], create: () => LivenessPlugin.create() })
