/**
 * Decides which part of the requests of a service is sent to other failure domains. Answers load that is
 * uneven between failure domains, where each byte between them is slower and costs money: a request stays
 * while the wait that leaving would spare it is worth less than the bytes and the latency of leaving.
 */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Interval in ms at which the share of a service is adjusted, and the longest time that counts between two adjustments. */
const ADJUST_INTERVAL_MS = 250
const ADJUST_MS_MAX = 1_000

/**
 * Largest change of a share in a second. What gateways are told follows a change after about a request's
 * duration; a faster one would let all gateways of a failure domain leave and return together.
 */
const RISE_PER_S = 0.25
const FALL_PER_S = 0.1

/** Spared wait, as a part of a request's duration, from which a share rises at its largest rate. */
const FULL_RISE_SHARE = 0.1

/** Wait in ms, and part of the cost, that leaving must spare beyond its cost before a share rises. */
const GAIN_MIN_MS = 5
const HYSTERESIS = 0.5

/** Endpoints that a request can choose between, so that their slots count together. */
const POOLED_ENDPOINTS = 3

/** Occupancy up to which the estimate of a steady state is used; beyond it the backlog decides. */
const STEADY_OCCUPANCY_MAX = 0.97

/** Round trips that leaving makes longer: the permit, the connection and the request. */
const ROUND_TRIPS = 3

/** Weight of the latest value in the moving averages of bytes and round trips. */
const AVERAGE_WEIGHT = 0.05

/** Duration of a request in ms while none was measured. */
const DURATION_DEFAULT_MS = 1_000

const BYTES_PER_MB = 1_000_000

/** Room of a service in one failure domain. */
export interface DomainRoom {
  readonly domain: string
  /** Endpoints that can be sent requests. */
  readonly endpoints: number
  /** Requests that one endpoint runs at a time. */
  readonly slots: number
  /** Mean number of requests that an endpoint holds; undefined when nothing recent is known. */
  readonly load: number | undefined
}

/** Why a share is what it is, for logs and explanations. */
export interface ShareDecision {
  /** Part of the requests that leaves, from 0 to 1. */
  readonly share: number
  /** Expected wait in ms for a slot in the own failure domain and in the best other one; undefined when unknown. */
  readonly ownWaitMs: number | undefined
  readonly otherWaitMs: number | undefined
  /** What leaving costs a request, in ms of waiting. */
  readonly costMs: number
}

/** Shares of requests that leave the own failure domain, by service. */
export interface DomainSharesPort {
  /**
   * @param waitMsPerMb - waiting time in ms that is worth as much as a megabyte between failure domains; undefined when
   *   gateways do not decide on leaving, which is so at first
   */
  setPrice (waitMsPerMb: number | undefined): void
  /** Whether gateways decide on leaving. */
  readonly isActive: boolean
  /** Records the bytes of a request and its answer. */
  noteRequest (service: string, bytes: number): void
  /** Records the time in ms in which an agent in a failure domain answered. */
  noteRoundTrip (domain: string, elapsedMs: number): void
  /** Whether it is time to adjust the share of a service. */
  isDue (service: string, nowMs: number): boolean
  /**
   * Adjusts the share of a service.
   *
   * @param rooms - its room by failure domain; of some nothing may be known
   * @param durationMs - mean duration of a request in ms; undefined when none was measured
   * @returns the decision
   */
  adjust (service: string, rooms: readonly DomainRoom[], durationMs: number | undefined, nowMs: number): ShareDecision
  getDecision (service: string): ShareDecision
}

interface ServiceShare {
  decision: ShareDecision
  adjustedAtMs: number | undefined
  /** Moving average of the bytes of a request and its answer. */
  bytes: number
}

const STAYING: ShareDecision = { share: 0, ownWaitMs: undefined, otherWaitMs: undefined, costMs: 0 }

/**
 * Estimates the wait for a slot: the approximation of Sakasegawa (1977) for several servers while there is a
 * steady state, else the time until the backlog has been worked off.
 *
 * @param room - endpoints and their load
 * @param durationMs - mean duration of a request in ms
 * @returns the wait in ms; undefined when the load is unknown
 */
export function estimateWaitMs ({ endpoints, slots, load }: Omit<DomainRoom, 'domain'>, durationMs: number): number | undefined {
  if (load === undefined) return undefined
  const occupancy = load / slots
  const steady = Math.min(occupancy, STEADY_OCCUPANCY_MAX)
  const servers = slots * Math.min(POOLED_ENDPOINTS, endpoints)
  const steadyWait = steady ** (Math.sqrt(2 * (servers + 1)) - 1) / (servers * (1 - steady))
  return durationMs * (Math.min(1, steadyWait) + Math.max(0, occupancy - 1))
}

/** Shares by service, and what leaving costs. */
export class DomainSharesPlugin implements Plugin, DomainSharesPort {
  readonly name = 'domain-shares'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'domainShares'> = { domainShares: this }
  readonly #domain: string
  readonly #services = new Map<string, ServiceShare>()
  readonly #roundTripMs = new Map<string, number>()
  #waitMsPerMb: number | undefined

  private constructor (domain: string) {
    this.#domain = domain
  }

  /**
   * @param domain - own failure domain
   * @returns shares of 0, which are not in force until there is a price
   */
  static create (domain: string): DomainSharesPlugin {
    return new DomainSharesPlugin(domain)
  }

  handle (): void {}

  setPrice (waitMsPerMb: number | undefined): void {
    this.#waitMsPerMb = waitMsPerMb
  }

  get isActive (): boolean {
    return this.#waitMsPerMb !== undefined
  }

  noteRequest (service: string, bytes: number): void {
    const known = this.#get(service)
    known.bytes = known.bytes === 0 ? bytes : known.bytes + AVERAGE_WEIGHT * (bytes - known.bytes)
  }

  noteRoundTrip (domain: string, elapsedMs: number): void {
    const known = this.#roundTripMs.get(domain)
    this.#roundTripMs.set(domain, known === undefined ? elapsedMs : known + AVERAGE_WEIGHT * (elapsedMs - known))
  }

  isDue (service: string, nowMs: number): boolean {
    const adjustedAtMs = this.#services.get(service)?.adjustedAtMs
    return this.isActive && (adjustedAtMs === undefined || nowMs - adjustedAtMs >= ADJUST_INTERVAL_MS)
  }

  adjust (service: string, rooms: readonly DomainRoom[], durationMs = DURATION_DEFAULT_MS, nowMs: number): ShareDecision {
    const known = this.#get(service)
    const elapsedS = Math.min(ADJUST_MS_MAX, nowMs - (known.adjustedAtMs ?? nowMs)) / 1_000
    known.adjustedAtMs = nowMs
    const own = rooms.find(({ domain, endpoints }) => domain === this.#domain && endpoints > 0)
    const ownWaitMs = own === undefined ? undefined : estimateWaitMs(own, durationMs)
    const other = this.#findBest(rooms, durationMs, known.bytes)
    const gainMs = ownWaitMs === undefined || other === undefined ? undefined : ownWaitMs - other.waitMs
    const costMs = other?.costMs ?? this.#computeCostMs(undefined, known.bytes)
    known.decision = { share: clampShare(known.decision.share + elapsedS * computeRate(gainMs, costMs, durationMs)), ownWaitMs, otherWaitMs: other?.waitMs, costMs }
    return known.decision
  }

  getDecision (service: string): ShareDecision {
    return this.#services.get(service)?.decision ?? STAYING
  }

  /** Finds the other failure domain in which a request would be served soonest, its cost included. */
  #findBest (rooms: readonly DomainRoom[], durationMs: number, bytes: number): { readonly waitMs: number, readonly costMs: number } | undefined {
    let best: { readonly waitMs: number, readonly costMs: number } | undefined
    for (const room of rooms) {
      const waitMs = room.domain === this.#domain || room.endpoints === 0 ? undefined : estimateWaitMs(room, durationMs)
      if (waitMs === undefined) continue
      const costMs = this.#computeCostMs(room.domain, bytes)
      if (best === undefined || waitMs + costMs < best.waitMs + best.costMs) best = { waitMs, costMs }
    }
    return best
  }

  #computeCostMs (domain: string | undefined, bytes: number): number {
    const ownMs = this.#roundTripMs.get(this.#domain) ?? 0
    const otherMs = domain === undefined ? ownMs : this.#roundTripMs.get(domain) ?? ownMs
    return ROUND_TRIPS * Math.max(0, otherMs - ownMs) + (this.#waitMsPerMb ?? 0) * bytes / BYTES_PER_MB
  }

  #get (service: string): ServiceShare {
    let known = this.#services.get(service)
    if (known === undefined) {
      known = { decision: STAYING, adjustedAtMs: undefined, bytes: 0 }
      this.#services.set(service, known)
    }
    return known
  }
}

/** @returns change of a share in a second; where the gain is unknown requests return, since endpoints without room say so themselves */
function computeRate (gainMs: number | undefined, costMs: number, durationMs: number): number {
  if (gainMs === undefined || gainMs < costMs) return -FALL_PER_S
  const excessMs = gainMs - (1 + HYSTERESIS) * costMs - GAIN_MIN_MS
  return excessMs <= 0 ? 0 : RISE_PER_S * Math.min(1, excessMs / (FULL_RISE_SHARE * durationMs))
}

function clampShare (share: number): number {
  return Math.max(0, Math.min(1, share))
}

registerPlugin({ name: 'domain-shares', roles: ['gateway'], create: ({ self }) => DomainSharesPlugin.create(self.domain) })
