/** Limits the additional load that retries of all gateways together put on a service. */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { NamedWindows } from './window.js'

/** Retry budget that the settings allow. */
export interface RetryBounds {
  /** Retries allowed per request of a service. */
  readonly ratio: number
  readonly windowMs: number
  /** Retries allowed in a window in addition to the ratio, for all gateways together. */
  readonly extra: number
}

/** Share of the budget that is used; the rest covers windows that span a restart. */
const USED_SHARE = 0.75

/** Retry budget of one gateway. */
export interface RetriesPort {
  setBounds (bounds: RetryBounds): void
  noteRequest (service: string, nowMs: number): void
  /**
   * Spends one retry.
   *
   * @param gateways - number of gateways that share the budget
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

  /** @returns a budget that allows no retries until its bounds are set */
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
    // After a restart it is unknown what was spent in the window before, so the shared part grows from 0.
    this.#startedAtMs ??= nowMs
    const rampUp = Math.min(1, (nowMs - this.#startedAtMs) / windowMs)
    const allowed = USED_SHARE * (ratio * this.#requests.get(service).count(nowMs) + rampUp * extra / Math.max(1, gateways))
    if (retries.count(nowMs) + 1 > allowed) return false
    retries.add(nowMs)
    return true
  }
}

registerPlugin({ name: 'retries', roles: ['gateway'], create: () => RetriesPlugin.create() })
