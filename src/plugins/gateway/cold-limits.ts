/**
 * Limits the requests that all gateways together send to an endpoint that is cold.
 *
 * Endpoints of a service with agents need a permit of their agent for every request,
 * because news of a cold start arrives after the requests that overload the endpoint.
 * The rest of the limit is divided into whole shares that are dealt to gateways, which
 * lend them to each other; they are used while an agent does not answer. Endpoints
 * without an agent are limited by shares alone, from when they are known to be cold.
 */

import type { ServiceSpec } from '../../gateway/model.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import type { EndpointView } from './endpoints.js'
import type { PermitRate } from './permits.js'
import { dealShares } from './shares.js'
import { SlidingWindow } from './window.js'

/** Longest time in ms from the moment at which a permit or share applies until the request is sent. */
export const PERMIT_VALID_MS = 250

/** Share of the rate of a cold endpoint at which its agent grants permits, because of the burst. */
const PERMITS_SHARE = 0.9

/** Permits that an agent may grant at once; with fewer, requests that arrive together would wait. */
const PERMITS_BURST_MAX = 3

/** A share allows one request in this time in ms: the second of the limit, and the time until the request is sent. */
const SHARE_WINDOW_MS = 1_000 + PERMIT_VALID_MS

/** Time in ms for which an agent that did not answer is not asked again. */
const AGENT_SILENT_MS = 1_000

/** Time in ms for which an endpoint whose agent denied a permit counts as contended. */
const CONTENDED_MS = 1_000

/** Time in ms after which the others know of a new gateway and have ceded its shares; heartbeats reach them within 0.7 s. */
const SHARES_SETTLE_MS = 2_000

/** Number of windows of spent shares from which empty ones are removed. */
const SPENT_MAX = 1_000

/** Limit on the requests that reach a cold endpoint in any second: `rate * overshoot + slack`. */
export interface ColdBounds {
  readonly overshoot: number
  readonly slack: number
}

/** Division of the limit of an endpoint. */
export interface ColdBudget {
  /** Permits of its agent; undefined when the service has no agents. */
  readonly permits: PermitRate | undefined
  /** Number of shares that are dealt to the gateways. */
  readonly shares: number
}

/** Whether and how an endpoint may be sent a request. */
export type EndpointAccess =
  | { readonly kind: 'unlimited' }
  | PermitAccess
  | { readonly kind: 'share' }
  /** Own shares are spent; `owners` are other gateways that have some. */
  | { readonly kind: 'borrow', readonly owners: readonly string[], readonly rate: PermitRate | undefined }
  /** `untilMs` is the monotonic time in ms at which its agent expects to have a permit. */
  | { readonly kind: 'denied', readonly untilMs: number, readonly rate: PermitRate }

interface PermitAccess {
  readonly kind: 'permit'
  readonly rate: PermitRate
  /** Whether its agent denied a permit recently. */
  readonly isContended: boolean
}

/** Inputs of an access decision. */
export interface AccessRequest {
  readonly endpoint: EndpointView
  readonly service: ServiceSpec | undefined
  /** Names of all known gateways, this one included. */
  readonly gateways: readonly string[]
}

/** Access to endpoints that are or may be cold. */
export interface ColdLimitsPort {
  setBounds (bounds: ColdBounds): void
  /** Records that this gateway is listed and has read the list; its shares apply from `SHARES_SETTLE_MS` later on. */
  noteListed (nowMs: number): void
  decide (request: AccessRequest, nowMs: number): EndpointAccess
  spendShare (endpoint: string, nowMs: number): void
  /** Spends an own share for another gateway. @returns false when there is none */
  lendShare (request: AccessRequest, nowMs: number): boolean
  /** Records that the agent of an endpoint expects its next permit at `untilMs`. */
  noteDenied (endpoint: string, untilMs: number, nowMs: number): void
  /** Records that the agent of an endpoint did not answer. @returns whether it answered before */
  noteAgentSilent (endpoint: string, nowMs: number): boolean
  noteAgentAnswer (endpoint: string): void
  /** Forgets the agent of an endpoint that is gone; spent shares stay counted. */
  forget (endpoint: string): void
}

interface DealtShares {
  readonly shares: number
  readonly gateways: number
  readonly own: number
  /** Other gateways that have shares. */
  readonly owners: readonly string[]
}

interface AgentState {
  deniedAtMs: number
  deniedUntilMs: number
  silentUntilMs: number
}

/** Division of the limits and state of the agents. */
export class ColdLimitsPlugin implements Plugin, ColdLimitsPort {
  readonly name = 'cold-limits'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'coldLimits'> = { coldLimits: this }
  readonly #self: string
  #bounds: ColdBounds = { overshoot: 1, slack: 0 }
  #budget: { readonly coldPerS: number, readonly hasAgents: boolean, readonly access: PermitAccess | undefined, readonly shares: number } | undefined
  #sharesFromMs = Infinity
  readonly #agents = new Map<string, AgentState>()
  /** Requests by share; kept when an endpoint restarts, since the limit spans its restart. */
  readonly #spent = new Map<string, SlidingWindow>()
  /** Shares by endpoint and gateway, and the numbers of shares and gateways that they were dealt for. */
  readonly #dealt = new Map<string, DealtShares>()

  private constructor (self: string) {
    this.#self = self
  }

  /**
   * @param options - identity of the process
   * @returns limits without overshoot until bounds are set
   */
  static create ({ self }: Pick<PluginOptions, 'self'>): ColdLimitsPlugin {
    return new ColdLimitsPlugin(self.id)
  }

  handle (): void {}

  setBounds (bounds: ColdBounds): void {
    this.#bounds = bounds
    this.#budget = undefined
  }

  noteListed (nowMs: number): void {
    this.#sharesFromMs = Math.min(this.#sharesFromMs, nowMs + SHARES_SETTLE_MS)
  }

  decide ({ endpoint, service, gateways }: AccessRequest, nowMs: number): EndpointAccess {
    const coldPerS = service?.coldPerS ?? 0
    if (coldPerS === 0) return { kind: 'unlimited' }
    const hasAgents = service?.engine !== undefined
    if (!hasAgents && endpoint.coldUntilMs <= nowMs) return { kind: 'unlimited' }
    const { id } = endpoint.record
    const { access, shares } = this.#getBudget(coldPerS, hasAgents)
    const agent = this.#agents.get(id)
    if (access === undefined || (agent !== undefined && agent.silentUntilMs > nowMs)) {
      const dealt = this.#dealShares(id, shares, gateways)
      return this.#hasShare(id, dealt, nowMs) ? { kind: 'share' } : { kind: 'borrow', owners: dealt.owners, rate: access?.rate }
    }
    if (agent !== undefined && agent.deniedUntilMs > nowMs) return { kind: 'denied', untilMs: agent.deniedUntilMs, rate: access.rate }
    return agent !== undefined && nowMs - agent.deniedAtMs < CONTENDED_MS ? { ...access, isContended: true } : access
  }

  spendShare (endpoint: string, nowMs: number): void {
    let window = this.#spent.get(endpoint)
    if (window === undefined) {
      this.#pruneSpent(nowMs)
      window = SlidingWindow.create(SHARE_WINDOW_MS)
      this.#spent.set(endpoint, window)
    }
    window.add(nowMs)
  }

  lendShare ({ endpoint, service, gateways }: AccessRequest, nowMs: number): boolean {
    const { id } = endpoint.record
    const { shares } = this.#getBudget(service?.coldPerS ?? 0, service?.engine !== undefined)
    if (!this.#hasShare(id, this.#dealShares(id, shares, gateways), nowMs)) return false
    this.spendShare(id, nowMs)
    return true
  }

  noteDenied (endpoint: string, untilMs: number, nowMs: number): void {
    const agent = this.#getAgent(endpoint)
    agent.deniedAtMs = nowMs
    agent.deniedUntilMs = untilMs
  }

  noteAgentSilent (endpoint: string, nowMs: number): boolean {
    const agent = this.#getAgent(endpoint)
    const didAnswer = agent.silentUntilMs === 0
    agent.silentUntilMs = nowMs + AGENT_SILENT_MS
    return didAnswer
  }

  noteAgentAnswer (endpoint: string): void {
    this.#getAgent(endpoint).silentUntilMs = 0
  }

  forget (endpoint: string): void {
    this.#agents.delete(endpoint)
    this.#dealt.delete(endpoint)
  }

  #getBudget (coldPerS: number, hasAgents: boolean): { readonly access: PermitAccess | undefined, readonly shares: number } {
    if (this.#budget?.coldPerS !== coldPerS || this.#budget.hasAgents !== hasAgents) {
      const { permits, shares } = computeColdBudget(coldPerS, this.#bounds, hasAgents)
      this.#budget = { coldPerS, hasAgents, shares, access: permits === undefined ? undefined : { kind: 'permit', rate: permits, isContended: false } }
    }
    return this.#budget
  }

  #hasShare (endpoint: string, { own }: DealtShares, nowMs: number): boolean {
    return nowMs >= this.#sharesFromMs && (this.#spent.get(endpoint)?.count(nowMs) ?? 0) < own
  }

  #pruneSpent (nowMs: number): void {
    if (this.#spent.size < SPENT_MAX) return
    for (const [endpoint, window] of this.#spent) if (window.count(nowMs) === 0) this.#spent.delete(endpoint)
  }

  #dealShares (endpoint: string, shares: number, gateways: readonly string[]): DealtShares {
    const known = this.#dealt.get(endpoint)
    // Gateways are only ever added, so that their number identifies the list.
    if (known?.shares === shares && known.gateways === gateways.length) return known
    const counts = dealShares(endpoint, gateways, shares)
    const dealt = { shares, gateways: gateways.length, own: counts.get(this.#self) ?? 0, owners: [...counts.keys()].filter(gateway => gateway !== this.#self) }
    this.#dealt.set(endpoint, dealt)
    return dealt
  }

  #getAgent (endpoint: string): AgentState {
    let agent = this.#agents.get(endpoint)
    if (agent === undefined) {
      agent = { deniedAtMs: -Infinity, deniedUntilMs: 0, silentUntilMs: 0 }
      this.#agents.set(endpoint, agent)
    }
    return agent
  }
}

/**
 * Divides the limit of an endpoint so that permits and shares together stay within it
 * in every second, however long each request takes from its permit to its sending.
 *
 * @param coldPerS - requests per second that a cold endpoint tolerates
 * @param bounds - limit relative to that rate
 * @param hasAgents - whether the endpoints of the service have agents
 */
export function computeColdBudget (coldPerS: number, { overshoot, slack }: ColdBounds, hasAgents: boolean): ColdBudget {
  const limit = Math.floor(coldPerS * overshoot + slack)
  if (!hasAgents) return { permits: undefined, shares: limit }
  const validS = 1 + PERMIT_VALID_MS / 1_000
  const perS = Math.min(PERMITS_SHARE * coldPerS, (limit - 1) / validS)
  if (perS <= 0) return { permits: undefined, shares: limit }
  const burst = Math.max(1, Math.min(PERMITS_BURST_MAX, Math.floor(limit - perS * validS)))
  return { permits: { perS, burst }, shares: Math.max(0, Math.floor(limit - burst - perS * validS)) }
}

registerPlugin({ name: 'cold-limits', roles: ['gateway'], create: options => ColdLimitsPlugin.create(options) })
