/**
 * Which endpoints have fallen silent. Answers hosts that freeze or are cut off
 * while their connections stay open: their streams wait until callers leave,
 * though every other endpoint would go on with them. A group that stands still
 * as a whole is no reason: its endpoints answer when they are asked.
 */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Silence in ms after which an endpoint is asked; events of a stream come every 50 to 120 ms. */
const PROBE_AFTER_MS = 250

/** Least time in ms between two questions to one endpoint. */
const PROBE_INTERVAL_MS = 500

/** Time in ms in which another endpoint must have been heard; otherwise the gateway itself may be cut off. */
const OTHERS_HEARD_WITHIN_MS = 400

/** Endpoints that do not answer although others do. */
export interface SilencePort {
  /** Notes a sign of life of an endpoint of a service. @returns whether it was taken for silent */
  noteHeard (endpoint: string, service: string, nowMs: number): boolean
  /** Whether an endpoint should be asked, as a request has waited at it for `waitedMs`. */
  shouldProbe (endpoint: string, waitedMs: number, nowMs: number): boolean
  /** Notes a question without an answer. @returns whether the endpoint is taken for silent since now */
  noteUnanswered (endpoint: string, service: string, nowMs: number): boolean
  isSilent (endpoint: string): boolean
  /** Notes that another gateway takes an endpoint for silent; it is asked here too, as only paths from there may be cut. */
  noteSuspected (endpoint: string): void
  listSilent (): readonly string[]
  /** Silent and suspected endpoints that should be asked now. */
  listDueProbes (nowMs: number): readonly string[]
  /** Forgets an endpoint that is gone or was started anew. */
  forget (endpoint: string): void
}

interface EndpointActivity {
  heardAtMs: number
  probedAtMs: number
  isSilent: boolean
  isSuspected: boolean
}

/** Signs of life by endpoint. */
export class SilencePlugin implements Plugin, SilencePort {
  readonly name = 'silence'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'silence'> = { silence: this }
  readonly #activity = new Map<string, EndpointActivity>()
  /** Last two endpoints of each service that were heard, the latest last. */
  readonly #lastHeard = new Map<string, readonly { readonly endpoint: string, readonly atMs: number }[]>()

  private constructor () {}

  /** @returns signs of no endpoint */
  static create (): SilencePlugin {
    return new SilencePlugin()
  }

  handle (): void {}

  noteHeard (endpoint: string, service: string, nowMs: number): boolean {
    const activity = this.#get(endpoint)
    const wasSilent = activity.isSilent
    activity.heardAtMs = nowMs
    activity.isSilent = false
    activity.isSuspected = false
    const before = (this.#lastHeard.get(service) ?? []).filter(heard => heard.endpoint !== endpoint)
    this.#lastHeard.set(service, [...before.slice(-1), { endpoint, atMs: nowMs }])
    return wasSilent
  }

  shouldProbe (endpoint: string, waitedMs: number, nowMs: number): boolean {
    const activity = this.#get(endpoint)
    if (waitedMs < PROBE_AFTER_MS || nowMs - activity.heardAtMs < PROBE_AFTER_MS || nowMs - activity.probedAtMs < PROBE_INTERVAL_MS) return false
    activity.probedAtMs = nowMs
    return true
  }

  noteUnanswered (endpoint: string, service: string, nowMs: number): boolean {
    const activity = this.#get(endpoint)
    const areOthersHeard = (this.#lastHeard.get(service) ?? []).some(heard => heard.endpoint !== endpoint && nowMs - heard.atMs < OTHERS_HEARD_WITHIN_MS)
    if (activity.isSilent || activity.heardAtMs > activity.probedAtMs || !areOthersHeard) return false
    activity.isSilent = true
    return true
  }

  isSilent (endpoint: string): boolean {
    return this.#activity.get(endpoint)?.isSilent ?? false
  }

  noteSuspected (endpoint: string): void {
    const activity = this.#get(endpoint)
    if (!activity.isSilent) activity.isSuspected = true
  }

  listSilent (): readonly string[] {
    return [...this.#activity].filter(([, { isSilent }]) => isSilent).map(([endpoint]) => endpoint)
  }

  listDueProbes (nowMs: number): readonly string[] {
    const due = [...this.#activity].filter(([, { isSilent, isSuspected, probedAtMs }]) => (isSilent || isSuspected) && nowMs - probedAtMs >= PROBE_INTERVAL_MS)
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
      activity = { heardAtMs: -Infinity, probedAtMs: -Infinity, isSilent: false, isSuspected: false }
      this.#activity.set(endpoint, activity)
    }
    return activity
  }
}

registerPlugin({ name: 'silence', roles: ['gateway'], create: () => SilencePlugin.create() })
