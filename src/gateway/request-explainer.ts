/** Says where a request that came now would go, and why. Reads the state that decides and changes none of it. */

import { assertNever } from '../kernel/errors.js'
import type { ErrorKind } from '../kernel/errors.js'
import type { ShareDecision } from '../plugins/gateway/domain-shares.js'
import type { ExplainedCandidate, Exclusion, ScoreTerms, Standing } from '../plugins/gateway/candidate-standing.js'
import type { EndpointAccess } from '../plugins/gateway/cold-limits.js'
import type { EndpointView } from '../plugins/gateway/endpoints.js'
import type { RetryRange } from '../plugins/gateway/retry-after.js'
import type { RouteDecision } from '../plugins/gateway/routes.js'
import type { AdmittedAccess } from './admission.js'
import type { GatewayContext } from './context.js'
import type { Route, TeamRef } from './model.js'
import { buildRoomWait, computePermitWaitMs } from './request-work.js'
import { buildRefusalCause } from './responses.js'
import { FULL_RETRY_MS, LEAVING_RETRY_MS } from './server.js'
import { isWorthHolding } from './start-gate.js'

/** Endpoints that an explanation lists by name; the others are counted. */
const CANDIDATES_MAX = 200

/** Whom a request is explained for. */
export type ExplainedCaller =
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'credential', readonly credential: string }
  | { readonly kind: 'team', readonly team: string }

/** A request that is not sent: the first attempt of a caller that names no deadline. */
export interface ExplainedQuestion {
  readonly host: string
  readonly path: string
  readonly caller: ExplainedCaller
  readonly promptTokens?: number | undefined
  readonly answerTokens?: number | undefined
}

/** Why an endpoint of the service would not get the request. */
export type EndpointExclusion =
  | Exclusion
  /** The store lists it as draining. */
  | { readonly kind: 'draining' }
  /** Its failure domain is out of service. */
  | { readonly kind: 'domain-out' }
  /** It has said that it leaves. */
  | { readonly kind: 'leaving' }
  /** It has said that it wants no requests for `remainingMs`. */
  | { readonly kind: 'paused', readonly remainingMs: number }
  /** Its group has lost a rank. */
  | { readonly kind: 'group-lost' }

/** An endpoint as an explanation lists it. */
export interface EndpointReport {
  readonly endpoint: string
  readonly domain: string
  readonly slots: number
  /** Remaining time in ms for which it is cold. */
  readonly coldMs: number
  /** Absent when the endpoint was excluded before access and score are computed. */
  readonly access?: EndpointAccess['kind']
  readonly inFlight?: number
  readonly terms?: ScoreTerms
  readonly score?: number
  readonly standing: Exclude<Standing, { readonly kind: 'excluded' }> | { readonly kind: 'excluded', readonly by: EndpointExclusion }
}

/** Why a request would be refused. */
export type RefusalReason = 'leaving' | 'memory' | 'requests' | 'address' | 'team' | 'outage' | 'queue' | 'limited' | 'no-endpoint'

/** A request that would be sent now. */
export interface ExplainedStart {
  readonly kind: 'start'
  readonly access: AdmittedAccess
  /** Endpoints of which one is picked at random: the best score, and any equal to it; all that a sample is drawn of; those of which others may have a share. */
  readonly endpoints: readonly string[]
  /** Number of these endpoints, of which at most 200 are named. */
  readonly choices: number
  /** Endpoints that are drawn and compared because the counts of other gateways are old; absent when all are compared. */
  readonly sampleSize?: number
  /** Slots that the endpoint must have free besides the one for the request. */
  readonly reservedSlots: number
}

/** What would become of the request. */
export type ExplainedAdmission =
  /** It would be sent now. With the access `permit` the agent of the endpoint is asked first, with `borrowed-share` another gateway. */
  | ExplainedStart
  /** It would be held until its group works again. */
  | { readonly kind: 'wait', readonly for: 'outage', readonly expectedMs: number, readonly longestMs: number }
  /** It would wait for a slot behind `earlier` of the `waiting` requests. */
  | { readonly kind: 'wait', readonly for: 'slot', readonly waiting: number, readonly earlier: number, readonly longestMs: number }
  /** It would wait for a permit of an endpoint, if that comes within `longestMs`. */
  | { readonly kind: 'wait', readonly for: 'permit', readonly endpoint: string, readonly expectedMs: number | undefined, readonly longestMs: number }
  | { readonly kind: 'refuse', readonly reason: RefusalReason, readonly error: ErrorKind, readonly retryAfterMs: RetryRange }

/** What would become of the request if the route's weights picked this service. */
export interface ExplainedService {
  readonly service: string
  /** Probability that the weights of the route pick it. */
  readonly probability: number
  readonly admission: ExplainedAdmission
  /** By how much the best score in other failure domains exceeds the best one in the own; absent unless both have candidates. */
  readonly leavingDomainCost?: number
  /** The decision on leaving the own failure domain; absent where gateways do not decide. */
  readonly leaving?: ShareDecision
  /** Endpoints in the order in which they would be preferred, then the excluded ones. */
  readonly candidates: readonly EndpointReport[]
  /** Number of endpoints of the service, and of those excluded by cause. */
  readonly endpoints: number
  readonly excluded: Readonly<Partial<Record<EndpointExclusion['kind'], number>>>
}

/** Answer to a question. */
export type Explanation =
  | { readonly kind: 'unconfigured' }
  /** The gateway does not know yet what crashed endpoints before it started. */
  | { readonly kind: 'uninformed', readonly version: number }
  | { readonly kind: 'unknown-path', readonly version: number }
  | { readonly kind: 'unauthenticated', readonly version: number }
  | { readonly kind: 'unknown-team', readonly version: number, readonly team: string }
  | ExplainedRoute

/** Explanation of a request that a route allows. */
export interface ExplainedRoute {
  readonly kind: 'explained'
  readonly gateway: string
  readonly domain: string
  /** Version of the configuration in force. */
  readonly version: number
  readonly route: string
  /** Absent on routes without teams. */
  readonly team?: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly priorityOf: 'team' | 'route'
  readonly countsAgeMs: number
  readonly services: readonly ExplainedService[]
}

/** Where and by whom a request is explained. */
export interface ExplainerOptions {
  readonly context: GatewayContext
  readonly gateway: string
  readonly domain: string
  /** Whether a request with this deadline is refused because of a planned stop. */
  readonly isTooLate: (deadlineAtMs: number) => boolean
}

/**
 * Explains what would become of a request now. Follows the order in which `CallerServer`, `StartGate`,
 * `RoomAdmission` and `Admission` decide.
 *
 * @param question - the request
 * @param options - state of the gateway
 */
export function explainRequest (question: ExplainedQuestion, options: ExplainerOptions): Explanation {
  const { context, gateway, domain } = options
  const decision = decideRoute(question, context)
  switch (decision.kind) {
    case 'unconfigured': return { kind: 'unconfigured' }
    case 'unknown-path': return { kind: 'unknown-path', version: decision.version }
    case 'unauthenticated': return describeUnauthenticated(question, decision.version)
    case 'allowed': break
    default: return assertNever(decision)
  }
  const { route, team, version } = decision
  if (team === undefined && question.caller.kind === 'team') return describeUnauthenticated(question, version)
  const nowMs = context.getNowMs()
  const refusal = findEarlyRefusal(route, options, nowMs)
  if (refusal === undefined && !context.isInformed) return { kind: 'uninformed', version }
  const totalWeight = route.shares.reduce((sum, { weight }) => sum + weight, 0)
  const services = route.shares.map(({ service, weight }, at): ExplainedService => {
    // Without any weight the last service is used.
    const probability = totalWeight > 0 ? weight / totalWeight : at === route.shares.length - 1 ? 1 : 0
    const plan: ServicePlan = { question, route, team, service, nowMs, deadlineAtMs: nowMs + route.timeoutMs }
    return { service, probability, ...explainService(plan, refusal ?? findFullRoom(context, team), options) }
  })
  return {
    kind: 'explained',
    gateway,
    domain,
    version,
    route: route.name,
    ...(team === undefined ? {} : { team: team.name }),
    priority: team?.priority ?? route.priority,
    priorityOf: team?.priority === undefined ? 'route' : 'team',
    countsAgeMs: Math.round(context.peers.getCountsAgeMs(nowMs)),
    services
  }
}

interface ServicePlan {
  readonly question: ExplainedQuestion
  readonly route: Route
  readonly team: TeamRef | undefined
  readonly service: string
  readonly nowMs: number
  readonly deadlineAtMs: number
}

function decideRoute ({ host, path, caller }: ExplainedQuestion, { routes }: GatewayContext): RouteDecision {
  switch (caller.kind) {
    case 'anonymous': return routes.decide(host, path, undefined)
    case 'credential': return routes.decide(host, path, caller.credential)
    case 'team': return routes.decideForTeam(host, path, caller.team)
    default: return assertNever(caller)
  }
}

function describeUnauthenticated ({ caller }: ExplainedQuestion, version: number): Explanation {
  return caller.kind === 'team' ? { kind: 'unknown-team', version, team: caller.team } : { kind: 'unauthenticated', version }
}

/** Finds a refusal that comes before the question whether the gateway is informed. */
function findEarlyRefusal (route: Route, { context, isTooLate }: ExplainerOptions, nowMs: number): ExplainedAdmission | undefined {
  if (isTooLate(nowMs + route.timeoutMs)) return describeRefusal('leaving', 'leaving', { minMs: LEAVING_RETRY_MS, maxMs: LEAVING_RETRY_MS })
  return context.memory.isCongested ? describeRefusal('memory', 'overloaded', { minMs: FULL_RETRY_MS, maxMs: FULL_RETRY_MS }) : undefined
}

/** Finds a bound on requests in flight that is met; that of the caller's address is not known. */
function findFullRoom ({ requestRoom }: GatewayContext, team: TeamRef | undefined): ExplainedAdmission | undefined {
  const bound = requestRoom.findBound({ team: team?.name })
  return bound === undefined ? undefined : describeRefusal(bound, 'overloaded', { minMs: FULL_RETRY_MS, maxMs: FULL_RETRY_MS })
}

function describeRefusal (reason: RefusalReason, error: ErrorKind, { minMs, maxMs }: RetryRange): ExplainedAdmission {
  return { kind: 'refuse', reason, error, retryAfterMs: { minMs: Math.round(minMs), maxMs: Math.round(maxMs) } }
}

function explainService (plan: ServicePlan, refusal: ExplainedAdmission | undefined, { context, domain }: ExplainerOptions): Omit<ExplainedService, 'service' | 'probability'> {
  const { service, nowMs } = plan
  const candidates = context.explainChoice(service, nowMs)
  const chosen = new Set(candidates.map(({ endpoint }) => endpoint.record.id))
  const others = context.endpoints.listAll().filter(({ record }) => record.service === service && !chosen.has(record.id))
  const reports = [...candidates.map(candidate => reportCandidate(candidate, nowMs)), ...others.map(endpoint => reportExcluded(endpoint, context, nowMs))]
  const cost = computeLeavingCost(candidates, domain)
  return {
    admission: refusal ?? explainAdmission(plan, candidates, context),
    ...(cost === undefined ? {} : { leavingDomainCost: cost }),
    ...(context.domainShares.isActive ? { leaving: context.domainShares.getDecision(service) } : {}),
    candidates: reports.slice(0, CANDIDATES_MAX),
    endpoints: reports.length,
    excluded: countExcluded(reports)
  }
}

/** Follows a first attempt from the gate to the endpoint. */
function explainAdmission (plan: ServicePlan, candidates: readonly ExplainedCandidate[], context: GatewayContext): ExplainedAdmission {
  const { question, route, team, service, nowMs, deadlineAtMs } = plan
  const remainingMs = context.recovery.findRemainingMs(service)
  if (remainingMs !== undefined) {
    const held = { service, priority: team?.priority ?? route.priority, receivedAtMs: nowMs, deadlineAtMs }
    if (!isWorthHolding(false, remainingMs) || !context.recovery.mayHold(held, remainingMs)) return explainRefusal(plan, 'outage', 'overloaded', context)
    return { kind: 'wait', for: 'outage', expectedMs: Math.round(remainingMs), longestMs: Math.round(context.recovery.computeHoldMs(held)) }
  }
  const wait = buildRoomWait({
    request: { requestId: '', ...(question.promptTokens === undefined ? {} : { promptTokens: question.promptTokens }), ...(question.answerTokens === undefined ? {} : { answerTokensMax: question.answerTokens }) },
    team,
    route,
    service,
    receivedAtMs: nowMs
  }, deadlineAtMs, context.roomQueue.getFirstEventMs(service))
  const outlook = context.roomQueue.explain(wait)
  if (outlook.earlier > 0) {
    if (outlook.isHopeless || wait.untilMs <= nowMs) return explainRefusal(plan, 'queue', 'overloaded', context)
    return { kind: 'wait', for: 'slot', waiting: outlook.waiting, earlier: outlook.earlier, longestMs: Math.round(wait.untilMs - nowMs) }
  }
  const first = candidates[0]
  if (first === undefined || first.standing.kind === 'excluded') return explainWithoutEndpoint(plan, context)
  const { access, standing, total } = first
  if (access.kind === 'denied' || access.kind === 'borrow') throw new Error(`candidate compared without access: ${access.kind}`)
  if (standing.kind === 'may-be-sampled') {
    const sampled = candidates.filter(candidate => candidate.standing.kind === 'may-be-sampled')
    return { ...buildStart(access.kind, sampled), sampleSize: standing.sampleSize, reservedSlots: access.kind === 'permit' ? outlook.reservedSlots : 0 }
  }
  return buildStart(access.kind, candidates.filter(candidate => candidate.standing.kind === 'compared' && candidate.total === total))
}

function buildStart (access: AdmittedAccess, choices: readonly { readonly endpoint: EndpointView }[]): ExplainedStart {
  return { kind: 'start', access, endpoints: choices.slice(0, CANDIDATES_MAX).map(({ endpoint }) => endpoint.record.id), choices: choices.length, reservedSlots: 0 }
}

/** Follows an attempt for which no endpoint can be chosen at once. */
function explainWithoutEndpoint (plan: ServicePlan, context: GatewayContext): ExplainedAdmission {
  const { route, service, nowMs, deadlineAtMs } = plan
  const lenders = context.listLenders(service, nowMs)
  if (lenders.length > 0) return buildStart('borrowed-share', lenders)
  const soonest = context.chooseSoonest(service, nowMs)
  if (soonest === undefined) {
    return context.listAvailable(service).length === 0 ? explainRefusal(plan, 'no-endpoint', 'no-endpoint', context) : explainRefusal(plan, 'limited', 'overloaded', context)
  }
  const { access } = soonest
  return {
    kind: 'wait',
    for: 'permit',
    endpoint: soonest.endpoint.record.id,
    expectedMs: access.kind === 'denied' ? Math.round(access.untilMs - nowMs) : undefined,
    longestMs: Math.round(computePermitWaitMs(route, deadlineAtMs - nowMs))
  }
}

function explainRefusal ({ service, nowMs, deadlineAtMs }: ServicePlan, reason: RefusalReason, error: ErrorKind, context: GatewayContext): ExplainedAdmission {
  const cause = buildRefusalCause(context, { service, error, isGroupLost: false, deadlineAtMs })
  return describeRefusal(reason, error, context.retryAfter.explain(service, cause, nowMs))
}

function reportCandidate ({ endpoint, access, inFlight, terms, total, standing }: ExplainedCandidate, nowMs: number): EndpointReport {
  return { ...reportEndpoint(endpoint, nowMs), access: access.kind, inFlight, terms, score: total, standing }
}

function reportExcluded (endpoint: EndpointView, context: GatewayContext, nowMs: number): EndpointReport {
  return { ...reportEndpoint(endpoint, nowMs), standing: { kind: 'excluded', by: findExclusion(endpoint, context, nowMs) } }
}

function reportEndpoint ({ record: { id, domain, slots }, coldUntilMs }: EndpointView, nowMs: number): Pick<EndpointReport, 'endpoint' | 'domain' | 'slots' | 'coldMs'> {
  return { endpoint: id, domain, slots, coldMs: Math.max(0, Math.round(coldUntilMs - nowMs)) }
}

/** Says why an endpoint is no candidate. */
function findExclusion ({ record }: EndpointView, { endpoints, notices }: GatewayContext, nowMs: number): EndpointExclusion {
  if (record.state === 'draining') return { kind: 'draining' }
  if (endpoints.listEvacuated().includes(record.domain)) return { kind: 'domain-out' }
  const availability = notices.describe(record, nowMs)
  switch (availability.kind) {
    case 'leaving': return { kind: 'leaving' }
    case 'paused': return { kind: 'paused', remainingMs: availability.untilMs - nowMs }
    case 'open': return { kind: 'group-lost' }
    default: return assertNever(availability)
  }
}

function computeLeavingCost (candidates: readonly ExplainedCandidate[], domain: string): number | undefined {
  const open = candidates.filter(({ standing }) => standing.kind !== 'excluded')
  const own = open.find(({ endpoint }) => endpoint.record.domain === domain)
  const other = open.find(({ endpoint }) => endpoint.record.domain !== domain)
  return own === undefined || other === undefined ? undefined : other.total - own.total
}

function countExcluded (reports: readonly EndpointReport[]): ExplainedService['excluded'] {
  const counts: Partial<Record<EndpointExclusion['kind'], number>> = {}
  for (const { standing } of reports) if (standing.kind === 'excluded') counts[standing.by.kind] = (counts[standing.by.kind] ?? 0) + 1
  return counts
}
