/**
 * Chooses the endpoint for a request. Balances load although a gateway knows
 * only its own requests and the slightly outdated counts of the other gateways.
 */

import { compareCandidates } from './candidate-standing.js'
import type { ExplainedCandidate, Exclusion, ScoreTerms, Standing } from './candidate-standing.js'
import type { EndpointAccess } from './cold-limits.js'
import type { EndpointView } from './endpoints.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Weight of the latest answer in the moving averages of latency and failures. */
const AVERAGE_WEIGHT = 0.15

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

/**
 * Most requests, in endpoints that they fill, that other gateways may have started since they sent
 * their counts for all endpoints to be compared. Beyond it gateways with the same old counts would
 * send more requests to the same few endpoints than these take, so each compares only some.
 */
const UNSEEN_ENDPOINTS_MAX = 3

/** Endpoints that are compared when the counts are old, and how many of them by reach are in the own failure domain when it has as many. */
const SAMPLE_SIZE = 3
const SAMPLE_OWN_DOMAIN = { near: 3, any: 2, far: 1 } as const

/** Moving average of failures from which an endpoint is no reason to stay in the own failure domain. */
const FAILING_MIN = 0.5

/** Duration of a request in ms while none was measured. */
const DURATION_DEFAULT_MS = 1_000

/** Which failure domains are compared: the own one while it has room, all, or all and others first. */
export type Reach = keyof typeof SAMPLE_OWN_DOMAIN

/** How an attempt ended. */
export type AttemptResult = 'ok' | 'failed' | 'refused' | 'unreachable' | 'silent' | 'cancelled' | 'not-sent'

/** Inputs of a choice. */
export interface SelectionRequest {
  readonly candidates: readonly EndpointView[]
  /** Endpoints already tried; used again only when no other is left. */
  readonly exclude: ReadonlySet<string>
  /** Failure domains in which an agent has just not answered this request; used only when there are no others. */
  readonly avoidedDomains: ReadonlySet<string>
  /** Whether and how an endpoint may be sent a request. */
  getAccess (endpoint: EndpointView): EndpointAccess
  readonly reach: Reach
  /** Load, in requests, added to an endpoint in another failure domain. */
  readonly distance: number
  /** Random number from 0 to 1 that decides between equal endpoints; otherwise all gateways would choose the same one. */
  readonly fraction: number
  /** Mean age in ms of the counts of other gateways. */
  readonly countsAgeMs: number
  /** Mean duration of a request in ms; undefined when none was measured. */
  readonly durationMs: number | undefined
  /** @returns a random number from 0 to 1, for samples */
  pickFloat (): number
  /** Requests that other gateways have in flight at the endpoints of the service. */
  readonly inFlightElsewhere: number
  /** Requests that other gateways have in flight at an endpoint. */
  countElsewhere (endpoint: string): number
  /** Whether an endpoint is unresponsive although others of its service are active. */
  isUnresponsive (endpoint: string): boolean
  /** Slowdown factor of an endpoint: its time for the same work relative to a healthy one. */
  getPace (endpoint: string): number
}

/** Inputs of an explanation, which draws no random numbers. */
export type ExplainedRequest = Omit<SelectionRequest, 'fraction' | 'pickFloat'>

/** The endpoint chosen and its load. */
export interface Selection {
  readonly endpoint: EndpointView
  /** Requests in flight there as far as this gateway knows, without the new one. */
  readonly inFlight: number
  readonly access: EndpointAccess
  /** Whether only a sample was compared, because the counts of other gateways are old. */
  readonly isSampled: boolean
  /** Whether only the own failure domain was compared, while it had room. */
  readonly isNear?: boolean
}

/** Chooses endpoints and measures their attempts. */
export interface SelectionPort {
  choose (request: SelectionRequest, nowMs: number): Selection | undefined
  /** Lists the candidates, the one that `choose` would take now first; changes nothing. */
  explain (request: ExplainedRequest, nowMs: number): readonly ExplainedCandidate[]
  noteStart (endpoint: EndpointView): void
  noteEnd (endpoint: string, result: AttemptResult, elapsedMs: number, nowMs: number): void
  /** Requests that this gateway has in flight, by endpoint. */
  listInFlight (): Readonly<Record<string, number>>
  /** Forgets the measurements of an endpoint that is gone or was restarted. */
  forget (endpoint: string): void
}

interface Candidate {
  readonly endpoint: EndpointView
  readonly access: EndpointAccess
}

/** The candidates that remain, and what decides between them. */
interface Pool {
  readonly members: readonly Candidate[]
  readonly isSampled: boolean
  readonly isOutlived: boolean
  readonly fastestMs: number
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
    const getMeasures = (id: string): EndpointMeasures => this.#get(id)
    const pool = this.#buildPool(request, nowMs, getMeasures)
    const { members, isSampled } = pool
    const compared = isSampled ? this.#pickSample(members, request) : members
    let best: Selection | undefined
    let bestScore = Infinity
    const first = Math.floor(request.fraction * compared.length)
    for (const { endpoint, access } of [...compared.slice(first), ...compared.slice(0, first)]) {
      const { inFlight, total } = this.#computeScore({ endpoint, access }, request, pool, getMeasures)
      if (total >= bestScore) continue
      best = { endpoint, inFlight, access, isSampled, ...(request.reach === 'near' && endpoint.record.domain === this.#domain ? { isNear: true } : {}) }
      bestScore = total
    }
    return best
  }

  explain (request: ExplainedRequest, nowMs: number): readonly ExplainedCandidate[] {
    const getMeasures = (id: string): Readonly<EndpointMeasures> => this.#measures.get(id) ?? NO_MEASURES
    const pool = this.#buildPool(request, nowMs, getMeasures)
    const sampled = pool.isSampled ? new Set(listSampled(pool.members).map(({ endpoint }) => endpoint)) : undefined
    const sampleSize = Math.min(SAMPLE_SIZE, sampled?.size ?? 0)
    const members = new Set(pool.members.map(({ endpoint }) => endpoint))
    return request.candidates.map((endpoint): ExplainedCandidate => {
      const access = request.getAccess(endpoint)
      const { inFlight, terms, total } = this.#computeScore({ endpoint, access }, request, pool, getMeasures)
      const describe = (): Standing => {
        if (!members.has(endpoint)) return { kind: 'excluded', by: describeExclusion({ endpoint, access }, request, getMeasures(endpoint.record.id), nowMs) }
        if (sampled === undefined) return { kind: 'compared' }
        return sampled.has(endpoint) ? { kind: 'may-be-sampled', sampleSize } : { kind: 'excluded', by: { kind: 'contended' } }
      }
      return { endpoint, access, inFlight, terms, total, standing: describe() }
    }).sort(compareCandidates)
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

  /** Whether other gateways have probably started too many requests since they sent their counts: as many as are in flight in the time that one takes. */
  #areCountsOld ({ candidates, inFlightElsewhere, countsAgeMs, durationMs }: ExplainedRequest): boolean {
    const slots = candidates[0]?.record.slots ?? 1
    return inFlightElsewhere * countsAgeMs / (durationMs ?? DURATION_DEFAULT_MS) > UNSEEN_ENDPOINTS_MAX * slots
  }

  /** Leaves out other failure domains while an endpoint in the own one works and, where that is known, has a free slot. */
  #limitToNear (pool: readonly Candidate[], { countElsewhere }: ExplainedRequest, isSampled: boolean, getMeasures: GetMeasures): readonly Candidate[] {
    const near = pool.filter(({ endpoint: { record } }) => record.domain === this.#domain && getMeasures(record.id).failures < FAILING_MIN)
    const hasRoom = near.some(({ endpoint: { record }, access }) => !isContended(access) && (isSampled || getMeasures(record.id).inFlight + countElsewhere(record.id) < record.slots))
    return hasRoom ? near : pool
  }

  /** Picks some endpoints at random, in the own failure domain as far as the reach says; contended ones only when there are no others. */
  #pickSample (pool: readonly Candidate[], { pickFloat, reach }: SelectionRequest): readonly Candidate[] {
    const preferred = listSampled(pool)
    const near = preferred.filter(({ endpoint: { record } }) => record.domain === this.#domain)
    const far = preferred.filter(({ endpoint: { record } }) => record.domain !== this.#domain)
    const own = pickSome(near, SAMPLE_OWN_DOMAIN[reach], pickFloat)
    const rest = reach === 'far' && far.length > 0 ? far : preferred.filter(candidate => !own.includes(candidate))
    return [...own, ...pickSome(rest, SAMPLE_SIZE - own.length, pickFloat)]
  }

  /** Finds the candidates that a choice compares, or draws a sample of. */
  #buildPool (request: ExplainedRequest, nowMs: number, getMeasures: GetMeasures): Pool {
    const eligible = request.candidates.map(endpoint => ({ endpoint, access: request.getAccess(endpoint) })).filter(({ access }) => access.kind !== 'denied' && access.kind !== 'borrow')
    const untried = eligible.filter(({ endpoint: { record } }) => !request.exclude.has(record.id))
    const reachable = untried.filter(({ endpoint: { record } }) => getMeasures(record.id).unreachableUntilMs <= nowMs && !request.isUnresponsive(record.id))
    const isSampled = this.#areCountsOld(request)
    const elsewhere = reachable.filter(({ endpoint: { record } }) => isSampled && !request.avoidedDomains.has(record.domain))
    const usable = [elsewhere, reachable, untried].find(candidates => candidates.length > 0) ?? eligible
    const members = request.reach === 'near' ? this.#limitToNear(usable, request, isSampled, getMeasures) : usable
    return {
      members,
      isSampled,
      // Requests that were in flight longer ago than one takes have ended since.
      isOutlived: isSampled && request.countsAgeMs > (request.durationMs ?? DURATION_DEFAULT_MS),
      fastestMs: Math.min(...members.map(({ endpoint: { record } }) => getMeasures(record.id).latencyMs || Infinity))
    }
  }

  /** Expected wait relative to an idle endpoint with the lowest latency; lower is better. */
  #computeScore ({ endpoint: { record }, access }: Candidate, request: ExplainedRequest, { isOutlived, fastestMs }: Pool, getMeasures: GetMeasures): { readonly inFlight: number, readonly terms: ScoreTerms, readonly total: number } {
    const { inFlight: own, latencyMs, failures } = getMeasures(record.id)
    const inFlight = own + (isOutlived ? 0 : request.countElsewhere(record.id))
    const terms = {
      load: inFlight + (isContended(access) ? LIMITED_PENALTY * record.slots : 0) + 1,
      distance: record.domain === this.#domain ? 0 : request.distance,
      slowdown: latencyMs === 0 || !Number.isFinite(fastestMs) ? 1 : Math.sqrt(latencyMs / fastestMs),
      failures: FAILURE_PENALTY * failures * failures,
      pace: request.getPace(record.id)
    }
    return { inFlight, terms, total: ((terms.load + terms.distance) / record.slots * terms.slowdown + terms.failures) * terms.pace }
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

type GetMeasures = (id: string) => Readonly<EndpointMeasures>

const NO_MEASURES: Readonly<EndpointMeasures> = { inFlight: 0, latencyMs: 0, failures: 0, unreachableUntilMs: 0, consecutiveUnreachable: 0 }

/** Says why a candidate is not in the pool: the conditions of `#buildPool` in their order. */
function describeExclusion ({ endpoint: { record }, access }: Candidate, { exclude, avoidedDomains, isUnresponsive }: ExplainedRequest, { unreachableUntilMs }: Readonly<EndpointMeasures>, nowMs: number): Exclusion {
  if (access.kind === 'denied') return { kind: 'denied', remainingMs: access.untilMs - nowMs }
  if (access.kind === 'borrow') return { kind: 'no-share', owners: access.owners.length }
  if (exclude.has(record.id)) return { kind: 'tried' }
  if (unreachableUntilMs > nowMs) return { kind: 'unreachable', remainingMs: unreachableUntilMs - nowMs }
  if (isUnresponsive(record.id)) return { kind: 'unresponsive' }
  return avoidedDomains.has(record.domain) ? { kind: 'silent-domain' } : { kind: 'other-domain' }
}

/** Lists the candidates of which samples are drawn: contended ones only when there are no others. */
function listSampled (pool: readonly Candidate[]): readonly Candidate[] {
  const open = pool.filter(({ access }) => !isContended(access))
  return open.length > 0 ? open : pool
}

/** Whether requests for the endpoint are being denied, or only shares of its limit are left. */
function isContended (access: EndpointAccess): boolean {
  return access.kind === 'share' || (access.kind === 'permit' && access.isContended)
}

/** @returns up to `count` different items, picked at random */
function pickSome<T> (items: readonly T[], count: number, pickFloat: () => number): readonly T[] {
  const left = [...items]
  return Array.from({ length: Math.min(count, items.length) }, () => left.splice(Math.floor(pickFloat() * left.length), 1)[0]!)
}

registerPlugin({ name: 'selection', roles: ['gateway'], create: options => SelectionPlugin.create(options) })
