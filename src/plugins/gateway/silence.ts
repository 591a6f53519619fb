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
const ASK_AFTER_MS = 250

/** Least time in ms between two questions to one endpoint. */
const ASK_EVERY_MS = 500

/** Time in ms in which another endpoint must have been heard; otherwise the gateway itself may be cut off. */
const OTHERS_HEARD_MS = 400

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

interface Signs {
  heardAtMs: number
  askedAtMs: number
  isSilent: boolean
  isSuspected: boolean
}

/** Signs of life by endpoint. */
export class SilencePlugin implements Plugin, SilencePort {
  readonly name = 'silence'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'silence'> = { silence: this }
  readonly #signs = new Map<string, Signs>()
  /** Last two endpoints of each service that were heard, the latest last. */
  readonly #heardLast = new Map<string, readonly { readonly endpoint: string, readonly atMs: number }[]>()

  private constructor () {}

  /** @returns signs of no endpoint */
  static create (): SilencePlugin {
    return new SilencePlugin()
  }

  handle (): void {}

  noteHeard (endpoint: string, service: string, nowMs: number): boolean {
    const signs = this.#get(endpoint)
    const wasSilent = signs.isSilent
    signs.heardAtMs = nowMs
    signs.isSilent = false
    signs.isSuspected = false
    const before = (this.#heardLast.get(service) ?? []).filter(heard => heard.endpoint !== endpoint)
    this.#heardLast.set(service, [...before.slice(-1), { endpoint, atMs: nowMs }])
    return wasSilent
  }

  shouldProbe (endpoint: string, waitedMs: number, nowMs: number): boolean {
    const signs = this.#get(endpoint)
    if (waitedMs < ASK_AFTER_MS || nowMs - signs.heardAtMs < ASK_AFTER_MS || nowMs - signs.askedAtMs < ASK_EVERY_MS) return false
    signs.askedAtMs = nowMs
    return true
  }

  noteUnanswered (endpoint: string, service: string, nowMs: number): boolean {
    const signs = this.#get(endpoint)
    const areOthersHeard = (this.#heardLast.get(service) ?? []).some(heard => heard.endpoint !== endpoint && nowMs - heard.atMs < OTHERS_HEARD_MS)
    if (signs.isSilent || signs.heardAtMs > signs.askedAtMs || !areOthersHeard) return false
    signs.isSilent = true
    return true
  }

  isSilent (endpoint: string): boolean {
    return this.#signs.get(endpoint)?.isSilent ?? false
  }

  noteSuspected (endpoint: string): void {
    const signs = this.#get(endpoint)
    if (!signs.isSilent) signs.isSuspected = true
  }

  listSilent (): readonly string[] {
    return [...this.#signs].filter(([, { isSilent }]) => isSilent).map(([endpoint]) => endpoint)
  }

  listDueProbes (nowMs: number): readonly string[] {
    const due = [...this.#signs].filter(([, { isSilent, isSuspected, askedAtMs }]) => (isSilent || isSuspected) && nowMs - askedAtMs >= ASK_EVERY_MS)
    for (const [, signs] of due) {
      signs.askedAtMs = nowMs
      signs.isSuspected = false
    }
    return due.map(([endpoint]) => endpoint)
  }

  forget (endpoint: string): void {
    this.#signs.delete(endpoint)
  }

  #get (endpoint: string): Signs {
    let signs = this.#signs.get(endpoint)
    if (signs === undefined) {
      signs = { heardAtMs: -Infinity, askedAtMs: -Infinity, isSilent: false, isSuspected: false }
      this.#signs.set(endpoint, signs)
    }
    return signs
  }
}

registerPlugin({ name: 'silence', roles: ['gateway'], create: () => SilencePlugin.create() })
