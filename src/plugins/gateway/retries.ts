/** Limits the additional load that retries of all gateways together put on a service. */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { dealShares } from './shares.js'
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
  /** Records that this gateway is listed and has read the list; until then it has no part of the shared budget. */
  noteListed (nowMs: number): void
  noteRequest (service: string, nowMs: number): void
  /**
   * Spends one retry.
   *
   * @param gateways - names of all known gateways, this one included
   * @returns false when the budget does not allow it
   */
  acceptRetry (service: string, gateways: readonly string[], nowMs: number): boolean
}

/** Sliding windows of requests and retries by service. */
export class RetriesPlugin implements Plugin, RetriesPort {
  readonly name = 'retries'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'retries'> = { retries: this }
  #requests = NamedWindows.create(1_000)
  #retries = NamedWindows.create(1_000)
  #listedAtMs = Infinity
  readonly #self: string
  readonly #ownShares = new Map<string, { readonly gateways: number, readonly own: number }>()
  #bounds: RetryBounds = { ratio: 0, windowMs: 1_000, extra: 0 }

  private constructor (self: string) {
    this.#self = self
  }

  /**
   * @param self - name of this gateway
   * @returns a budget that allows no retries until its bounds are set
   */
  static create (self: string): RetriesPlugin {
    return new RetriesPlugin(self)
  }

  handle (): void {}

  setBounds (bounds: RetryBounds): void {
    this.#bounds = bounds
    this.#requests = NamedWindows.create(bounds.windowMs)
    this.#retries = NamedWindows.create(bounds.windowMs)
    this.#ownShares.clear()
  }

  noteListed (nowMs: number): void {
    this.#listedAtMs = Math.min(this.#listedAtMs, nowMs)
  }

  noteRequest (service: string, nowMs: number): void {
    this.#requests.get(service).add(nowMs)
  }

  acceptRetry (service: string, gateways: readonly string[], nowMs: number): boolean {
    const retries = this.#retries.get(service)
    const { ratio, windowMs } = this.#bounds
    // What was spent in the window before a restart is unknown, and others count a new gateway with a delay, so the shared part grows from 0.
    const rampUp = Math.max(0, Math.min(1, (nowMs - this.#listedAtMs) / windowMs))
    const allowed = USED_SHARE * ratio * this.#requests.get(service).count(nowMs) + rampUp * this.#countOwnShares(service, gateways)
    if (retries.count(nowMs) + 1 > allowed) return false
    retries.add(nowMs)
    return true
  }

  /** Counts the shared retries of a window that belong to this gateway; whole ones, as a fraction of one would be no retry at all. */
  #countOwnShares (service: string, gateways: readonly string[]): number {
    const known = this.#ownShares.get(service)
    // Gateways are only ever added, so that their number identifies the list.
    if (known?.gateways === gateways.length) return known.own
    const own = dealShares(service, gateways, Math.floor(USED_SHARE * this.#bounds.extra)).get(this.#self) ?? 0
    this.#ownShares.set(service, { gateways: gateways.length, own })
    return own
  }
}

registerPlugin({ name: 'retries', roles: ['gateway'], create: options => RetriesPlugin.create(options.self.id) })
