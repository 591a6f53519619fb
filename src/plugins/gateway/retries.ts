/** Bounds the extra load of retries that all gateways together put on a service. */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { NamedWindows } from './window.js'

/** What the deployment allows; from its settings. */
export interface RetryBounds {
  /** Retries for each request of a service. */
  readonly ratio: number
  readonly windowMs: number
  /** Retries in a window beyond the ratio, for all gateways together. */
  readonly extra: number
}

/** Part of the bounds that is used; the rest covers windows that overlap a restart. */
const USED_SHARE = 0.75

/** Retry budget of one gateway. */
export interface RetriesPort {
  setBounds (bounds: RetryBounds): void
  noteRequest (service: string, nowMs: number): void
  /**
   * Spends one retry.
   *
   * @param gateways - count of gateways that share the budget
   * @returns false when the budget does not allow it
   */
  acceptRetry (service: string, gateways: number, nowMs: number): boolean
}

/** Sliding windows of requests and retries by service. */
export class RetriesPlugin implements Plugin, RetriesPort {
  readonly name = 'retries'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'retries'> = { retries: this }
  #requests = NamedWindows.create(1_000)
  #retries = NamedWindows.create(1_000)
  #startedAtMs: number | undefined
  #bounds: RetryBounds = { ratio: 0, windowMs: 1_000, extra: 0 }

  private constructor () {}

  /** @returns a budget that allows nothing until its bounds are set */
  static create (): RetriesPlugin {
    return new RetriesPlugin()
  }

  handle (): void {}

  setBounds (bounds: RetryBounds): void {
    this.#bounds = bounds
    this.#requests = NamedWindows.create(bounds.windowMs)
    this.#retries = NamedWindows.create(bounds.windowMs)
  }

  noteRequest (service: string, nowMs: number): void {
    this.#startedAtMs ??= nowMs
    this.#requests.get(service).add(nowMs)
  }

  acceptRetry (service: string, gateways: number, nowMs: number): boolean {
    const retries = this.#retries.get(service)
    const { ratio, extra, windowMs } = this.#bounds
    // A process that was restarted does not know what it has spent in the window before.
    this.#startedAtMs ??= nowMs
    const rampUp = Math.min(1, (nowMs - this.#startedAtMs) / windowMs)
    const allowed = USED_SHARE * (ratio * this.#requests.get(service).count(nowMs) + rampUp * extra / Math.max(1, gateways))
    if (retries.count(nowMs) + 1 > allowed) return false
    retries.add(nowMs)
    return true
  }
}

registerPlugin({ name: 'retries', roles: ['gateway'], create: () => RetriesPlugin.create() })
