/**
 * Limits the requests that all gateways together send to an endpoint that is cold, or
 * that names the rate that it takes. Whichever limit is lower counts.
 *
 * Endpoints of a service with agents need a permit of their agent for every request,
 * because news of a cold start arrives after the requests that overload the endpoint.
 * The rest of the limit is divided into whole shares that are dealt to gateways, which
 * lend them to each other; they are used while an agent does not answer. Endpoints
 * without an agent are limited by shares alone, from when they are known to be cold.
 * A limit that an endpoint names is kept in the same ways, from when it is known.
 */

import type { ServiceSpec } from '../../gateway/model.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import type { EndpointView } from './endpoints.js'
import { NAMED_WINDOW_MS, PERMIT_VALID_MS, computeColdBudget, computeNamedBudget } from './limit-budgets.js'
import type { ColdBounds } from './limit-budgets.js'
import type { SharedStatement } from './named-limits.js'
import type { PermitRate } from './permits.js'
import { dealShares } from './shares.js'
import { SlidingWindow } from './window.js'

/** A share of the limit of a cold endpoint allows one request in this time in ms: the second of the limit, and the time until the request is sent. */
const COLD_WINDOW_MS = 1_000 + PERMIT_VALID_MS

/** Time in ms for which an agent that did not answer is not asked again. */
const AGENT_SILENT_MS = 1_000

/** Time in ms for which an endpoint whose agent denied a permit counts as contended. */
const CONTENDED_MS = 1_000

/** Time in ms after which the others know of a new gateway and have ceded its shares; heartbeats reach them within 0.7 s. */
const SHARES_SETTLE_MS = 2_000

/** Number of windows of spent shares from which empty ones are removed. */
const SPENT_MAX = 1_000

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
  /** What the endpoint last said about the rate that it takes. */
  readonly named: SharedStatement | undefined
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

/** Limits whose shares are counted separately, since their periods differ. */
type LimitKind = 'cold' | 'named'

/** Numbers of shares of the limits in force. */
type ShareCounts = Partial<Readonly<Record<LimitKind, number>>>

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
  readonly #spent = new Map<string, Readonly<Record<LimitKind, SlidingWindow>>>()
  /** Shares by endpoint and limit, and the numbers of shares and gateways that they were dealt for. */
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

  decide ({ endpoint, service, gateways, named }: AccessRequest, nowMs: number): EndpointAccess {
    const coldPerS = service?.coldPerS ?? 0
    const hasAgents = service?.engine !== undefined
    const isCold = coldPerS > 0 && (hasAgents || endpoint.coldUntilMs > nowMs)
    const namedPerS = named?.perS ?? undefined
    if (!isCold && namedPerS === undefined) return { kind: 'unlimited' }
    const { id } = endpoint.record
    const cold = isCold ? this.#getBudget(coldPerS, hasAgents) : undefined
    const access = hasAgents ? buildPermitAccess(cold, named) : undefined
    const agent = this.#agents.get(id)
    if (access === undefined || (agent !== undefined && agent.silentUntilMs > nowMs)) {
      const shares = listShares(cold?.shares, namedPerS, hasAgents)
      return this.#hasShare(id, shares, gateways, nowMs) ? { kind: 'share' } : { kind: 'borrow', owners: this.#listOwners(id, shares, gateways), rate: access?.rate }
    }
    if (agent !== undefined && agent.deniedUntilMs > nowMs) return { kind: 'denied', untilMs: agent.deniedUntilMs, rate: access.rate }
    return agent !== undefined && nowMs - agent.deniedAtMs < CONTENDED_MS ? { ...access, isContended: true } : access
  }

  spendShare (endpoint: string, nowMs: number): void {
    let windows = this.#spent.get(endpoint)
    if (windows === undefined) {
      this.#pruneSpent(nowMs)
      windows = { cold: SlidingWindow.create(COLD_WINDOW_MS), named: SlidingWindow.create(NAMED_WINDOW_MS) }
      this.#spent.set(endpoint, windows)
    }
    windows.cold.add(nowMs)
    windows.named.add(nowMs)
  }

  lendShare ({ endpoint, service, gateways, named }: AccessRequest, nowMs: number): boolean {
    const { id } = endpoint.record
    const coldPerS = service?.coldPerS ?? 0
    const hasAgents = service?.engine !== undefined
    const shares = listShares(coldPerS > 0 ? this.#getBudget(coldPerS, hasAgents).shares : undefined, named?.perS ?? undefined, hasAgents)
    // A gateway that knows of no limit sends without shares, so it has none to lend.
    if (Object.keys(shares).length === 0 || !this.#hasShare(id, shares, gateways, nowMs)) return false
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
    for (const kind of LIMIT_KINDS) this.#dealt.delete(formatDealtKey(endpoint, kind))
  }

  #getBudget (coldPerS: number, hasAgents: boolean): { readonly access: PermitAccess | undefined, readonly shares: number } {
    if (this.#budget?.coldPerS !== coldPerS || this.#budget.hasAgents !== hasAgents) {
      const { permits, shares } = computeColdBudget(coldPerS, this.#bounds, hasAgents)
      this.#budget = { coldPerS, hasAgents, shares, access: permits === undefined ? undefined : { kind: 'permit', rate: permits, isContended: false } }
    }
    return this.#budget
  }

  #hasShare (endpoint: string, shares: ShareCounts, gateways: readonly string[], nowMs: number): boolean {
    return nowMs >= this.#sharesFromMs && LIMIT_KINDS.every(kind => {
      const count = shares[kind]
      return count === undefined || (this.#spent.get(endpoint)?.[kind].count(nowMs) ?? 0) < this.#dealShares(endpoint, kind, count, gateways).own
    })
  }

  /** Lists the other gateways that have shares of every limit in force. */
  #listOwners (endpoint: string, shares: ShareCounts, gateways: readonly string[]): readonly string[] {
    const lists = LIMIT_KINDS.flatMap(kind => {
      const count = shares[kind]
      return count === undefined ? [] : [this.#dealShares(endpoint, kind, count, gateways).owners]
    })
    return lists.reduce((all, owners) => all.filter(owner => owners.includes(owner)))
  }

  #pruneSpent (nowMs: number): void {
    if (this.#spent.size < SPENT_MAX) return
    for (const [endpoint, { named }] of this.#spent) if (named.count(nowMs) === 0) this.#spent.delete(endpoint)
  }

  #dealShares (endpoint: string, kind: LimitKind, shares: number, gateways: readonly string[]): DealtShares {
    const key = formatDealtKey(endpoint, kind)
    const known = this.#dealt.get(key)
    // Gateways are only ever added, so that their number identifies the list.
    if (known?.shares === shares && known.gateways === gateways.length) return known
    const counts = dealShares(endpoint, gateways, shares)
    const dealt = { shares, gateways: gateways.length, own: counts.get(this.#self) ?? 0, owners: [...counts.keys()].filter(gateway => gateway !== this.#self) }
    this.#dealt.set(key, dealt)
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

const LIMIT_KINDS = ['cold', 'named'] as const

function formatDealtKey (endpoint: string, kind: LimitKind): string {
  return `${kind} ${endpoint}`
}

function listShares (coldShares: number | undefined, namedPerS: number | undefined, hasAgents: boolean): ShareCounts {
  return {
    ...(coldShares === undefined ? {} : { cold: coldShares }),
    ...(namedPerS === undefined ? {} : { named: computeNamedBudget(namedPerS, hasAgents).shares })
  }
}

/** Combines the permits of the limits in force; undefined when one of them has only shares. */
function buildPermitAccess (cold: { readonly access: PermitAccess | undefined } | undefined, named: SharedStatement | undefined): PermitAccess | undefined {
  if (named === undefined) return cold?.access
  if (cold !== undefined && cold.access === undefined) return undefined
  const rates = [...cold?.access === undefined ? [] : [cold.access.rate], ...named.perS === null ? [] : [computeNamedBudget(named.perS, true).permits]]
  return { kind: 'permit', rate: { perS: Math.min(...rates.map(({ perS }) => perS)), burst: Math.min(...rates.map(({ burst }) => burst)), named }, isContended: false }
}

registerPlugin({ name: 'cold-limits', roles: ['gateway'], create: options => ColdLimitsPlugin.create(options) })
