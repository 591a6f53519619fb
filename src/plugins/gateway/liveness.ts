/**
 * Detects silent endpoints: hosts that freeze or are cut off from the network
 * while their connections stay open. Without detection their streams stall until
 * the callers disconnect, although any other endpoint could resume them. When a
 * whole group pauses, its endpoints still answer probes and are not silent.
 */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Silence in ms after which an endpoint is probed; events of a stream arrive every 50 to 120 ms. */
const PROBE_AFTER_MS = 250

/** Shortest time in ms between two probes of one endpoint. */
const PROBE_INTERVAL_MS = 500

/** Time in ms within which another endpoint must have responded; otherwise the gateway itself may be cut off. */
const OTHERS_ACTIVE_WITHIN_MS = 400

/** Tracks endpoints that do not respond although others do. */
export interface LivenessPort {
  /** Records activity of an endpoint of a service. @returns whether it was considered silent */
  noteActivity (endpoint: string, service: string, nowMs: number): boolean
  /** Whether to probe an endpoint at which a request has waited for `waitedMs`; when true, the probe counts as sent. */
  shouldProbe (endpoint: string, waitedMs: number, nowMs: number): boolean
  /** Records a probe without an answer. @returns whether the endpoint has become silent by it */
  noteUnanswered (endpoint: string, service: string, nowMs: number): boolean
  isUnresponsive (endpoint: string): boolean
  /** Records that another gateway considers an endpoint silent; it is probed from here too, since only the path from there may be cut. */
  noteSuspected (endpoint: string): void
  listUnresponsive (): readonly string[]
  /** Silent and suspected endpoints to probe now; their probes count as sent. */
  listDueProbes (nowMs: number): readonly string[]
  /** Forgets an endpoint that is gone or was restarted. */
  forget (endpoint: string): void
}

interface EndpointActivity {
  lastActivityMs: number
  probedAtMs: number
  isUnresponsive: boolean
  isSuspected: boolean
}

/** Tracks activity and probes by endpoint. */
export class LivenessPlugin implements Plugin, LivenessPort {
  readonly name = 'liveness'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'liveness'> = { liveness: this }
  readonly #activity = new Map<string, EndpointActivity>()
  /** The two endpoints of each service that responded last, the latest at the end. */
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
