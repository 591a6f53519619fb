/**
 * Chooses the endpoint for a request. Balances load although a gateway knows
 * only its own requests and the slightly outdated counts of the other gateways.
 */

import type { EndpointAccess } from './cold-limits.js'
import type { EndpointView } from './endpoints.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Weight of the latest answer in the moving averages of latency and failures. */
const AVERAGE_WEIGHT = 0.15

/** Load, in requests, added to an endpoint in another failure domain. */
const REMOTE_PENALTY = 0.4

/** Load, as a share of its slots, added to an endpoint whose answers all fail. */
const FAILURE_PENALTY = 2

/** First and longest backoff in ms of an endpoint that accepts no connections. */
const UNREACHABLE_BACKOFF_FIRST_MS = 400
const UNREACHABLE_BACKOFF_MAX_MS = 3_000

/**
 * Load, as a share of its slots, added to an endpoint whose agent denied a permit recently or
 * that can be used by shares only: it is probably cold, or its host is down. Without it, an
 * endpoint that is empty because it has just started would be asked first by every request.
 */
const LIMITED_PENALTY = 0.6

/** How an attempt ended. */
export type AttemptResult = 'ok' | 'failed' | 'refused' | 'unreachable' | 'silent' | 'cancelled' | 'not-sent'

/** Inputs of a choice. */
export interface SelectionRequest {
  readonly candidates: readonly EndpointView[]
  /** Endpoints already tried; used again only when no other is left. */
  readonly exclude: ReadonlySet<string>
  /** Whether and how an endpoint may be sent a request. */
  getAccess (endpoint: EndpointView): EndpointAccess
  /** Random number from 0 to 1 that decides between equal endpoints; otherwise all gateways would choose the same one. */
  readonly fraction: number
  /** Requests that other gateways have in flight at an endpoint. */
  countElsewhere (endpoint: string): number
  /** Whether an endpoint is unresponsive although others of its service are active. */
  isUnresponsive (endpoint: string): boolean
  /** Slowdown factor of an endpoint: its time for the same work relative to a healthy one. */
  getPace (endpoint: string): number
}

/** The endpoint chosen and its load. */
export interface Selection {
  readonly endpoint: EndpointView
  /** Requests in flight there as far as this gateway knows, without the new one. */
  readonly inFlight: number
  readonly access: EndpointAccess
}

/** Chooses endpoints and measures their attempts. */
export interface SelectionPort {
  choose (request: SelectionRequest, nowMs: number): Selection | undefined
  noteStart (endpoint: EndpointView): void
  noteEnd (endpoint: string, result: AttemptResult, elapsedMs: number, nowMs: number): void
  /** Requests that this gateway has in flight, by endpoint. */
  listInFlight (): Readonly<Record<string, number>>
  /** Forgets the measurements of an endpoint that is gone or was restarted. */
  forget (endpoint: string): void
}

interface EndpointMeasures {
  inFlight: number
  latencyMs: number
  failures: number
  unreachableUntilMs: number
  consecutiveUnreachable: number
}

/** Chooses endpoints by load, measured latency and failure rate. */
export class SelectionPlugin implements Plugin, SelectionPort {
  readonly name = 'selection'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'selection'> = { selection: this }
  readonly #domain: string
  readonly #measures = new Map<string, EndpointMeasures>()

  private constructor (options: PluginOptions) {
    this.#domain = options.self.domain
  }

  /**
   * @param options - identity of the process
   * @returns a plug-in without measurements
   */
  static create (options: PluginOptions): SelectionPlugin {
    return new SelectionPlugin(options)
  }

  handle (_event: unknown, _context: Context): void {}

  choose (request: SelectionRequest, nowMs: number): Selection | undefined {
    const eligible = request.candidates.map(endpoint => ({ endpoint, access: request.getAccess(endpoint) })).filter(({ access }) => access.kind !== 'denied' && access.kind !== 'borrow')
    const untried = eligible.filter(({ endpoint: { record } }) => !request.exclude.has(record.id))
    const reachable = untried.filter(({ endpoint: { record } }) => this.#get(record.id).unreachableUntilMs <= nowMs && !request.isUnresponsive(record.id))
    const pool = reachable.length > 0 ? reachable : untried.length > 0 ? untried : eligible
    const fastestMs = Math.min(...pool.map(({ endpoint: { record } }) => this.#get(record.id).latencyMs || Infinity))
    let best: Selection | undefined
    let bestScore = Infinity
    const first = Math.floor(request.fraction * pool.length)
    for (const { endpoint, access } of [...pool.slice(first), ...pool.slice(0, first)]) {
      const inFlight = this.#get(endpoint.record.id).inFlight + request.countElsewhere(endpoint.record.id)
      const isLimited = access.kind === 'share' || (access.kind === 'permit' && access.isContended)
      const load = inFlight + (isLimited ? LIMITED_PENALTY * endpoint.record.slots : 0)
      const score = this.#computeScore(endpoint, load, fastestMs) * request.getPace(endpoint.record.id)
      if (score >= bestScore) continue
      best = { endpoint, inFlight, access }
      bestScore = score
    }
    return best
  }

  noteStart (endpoint: EndpointView): void {
    this.#get(endpoint.record.id).inFlight += 1
  }

  noteEnd (endpoint: string, result: AttemptResult, elapsedMs: number, nowMs: number): void {
    const record = this.#measures.get(endpoint)
    if (record === undefined) return
    record.inFlight = Math.max(0, record.inFlight - 1)
    if (result === 'not-sent') return
    if (result === 'unreachable') {
      record.unreachableUntilMs = nowMs + Math.min(UNREACHABLE_BACKOFF_MAX_MS, UNREACHABLE_BACKOFF_FIRST_MS * 2 ** record.consecutiveUnreachable)
      record.consecutiveUnreachable += 1
      return
    }
    record.consecutiveUnreachable = 0
    if (result === 'cancelled' || result === 'refused' || result === 'silent') return
    record.failures += AVERAGE_WEIGHT * ((result === 'failed' ? 1 : 0) - record.failures)
    if (result === 'ok') record.latencyMs = record.latencyMs === 0 ? elapsedMs : record.latencyMs + AVERAGE_WEIGHT * (elapsedMs - record.latencyMs)
  }

  listInFlight (): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (const [id, { inFlight }] of this.#measures) if (inFlight > 0) counts[id] = inFlight
    return counts
  }

  forget (endpoint: string): void {
    this.#measures.delete(endpoint)
  }

  /** Expected wait relative to an idle endpoint with the lowest latency; lower is better. */
  #computeScore ({ record }: EndpointView, load: number, fastestMs: number): number {
    const { latencyMs, failures } = this.#get(record.id)
    const slowdown = latencyMs === 0 || !Number.isFinite(fastestMs) ? 1 : Math.sqrt(latencyMs / fastestMs)
    const remotePenalty = record.domain === this.#domain ? 0 : REMOTE_PENALTY
    return (load + 1 + remotePenalty) / record.slots * slowdown + FAILURE_PENALTY * failures * failures
  }

  #get (id: string): EndpointMeasures {
    let record = this.#measures.get(id)
    if (record === undefined) {
      record = { inFlight: 0, latencyMs: 0, failures: 0, unreachableUntilMs: 0, consecutiveUnreachable: 0 }
      this.#measures.set(id, record)
    }
    return record
  }
}

registerPlugin({ name: 'selection', roles: ['gateway'], create: options => SelectionPlugin.create(options) })
