/** Text of an explanation, for people. */

import type { ShareDecision } from '../plugins/gateway/domain-shares.js'
import { assertNever } from '../kernel/errors.js'
import type { EndpointExclusion, EndpointReport, ExplainedAdmission, ExplainedRoute, ExplainedService, ExplainedStart, RefusalReason } from '../gateway/request-explainer.js'
import type { RetryRange } from '../plugins/gateway/retry-after.js'
import { formatTable } from './table.js'

const COLUMNS = ['endpoint', 'failure domain', 'score', 'load', 'distance', 'slots', 'slowdown', 'failures', 'pace', 'in flight', 'access', 'standing']

/** Endpoints that a line names. */
const NAMES_MAX = 5

/**
 * @param explanation - what the gateway said
 * @param host - host of the request
 * @param path - path of the request
 * @returns lines of text
 */
export function formatExplanation (explanation: ExplainedRoute, host: string, path: string): string {
  const { gateway, domain, version, route, team, priority, priorityOf, countsAgeMs, services } = explanation
  return [
    `${host}${path} at gateway ${gateway} in failure domain ${domain}, configuration ${version}\n`,
    `route ${route}, ${team === undefined ? 'no team' : `team ${team}`}, priority ${priority} (of the ${priorityOf}); counts of other gateways are ${countsAgeMs} ms old\n`,
    ...services.map(service => formatService(service, domain))
  ].join('')
}

function formatService (service: ExplainedService, domain: string): string {
  const { candidates, endpoints, excluded, leavingDomainCost, leaving } = service
  const causes = Object.entries(excluded).map(([cause, count]) => `${count} ${cause}`)
  return [
    `\nservice ${service.service}, picked with a probability of ${formatNumber(service.probability)}\n`,
    `  ${formatAdmission(service.admission)}\n`,
    leavingDomainCost === undefined ? '' : `  leaving failure domain ${domain} changes the best score by ${leavingDomainCost < 0 ? '' : '+'}${formatNumber(leavingDomainCost)}\n`,
    leaving === undefined ? '' : `  ${formatLeaving(leaving, domain)}\n`,
    `  ${endpoints} endpoints${causes.length === 0 ? '' : `, excluded: ${causes.join(', ')}`}${candidates.length < endpoints ? `; the first ${candidates.length}:` : ''}\n`,
    ...candidates.length === 0 ? [] : formatTable([COLUMNS, ...candidates.map(buildRow)]).split('\n').map(line => line === '' ? '' : `  ${line}\n`)
  ].join('')
}

function formatLeaving ({ share, ownWaitMs, otherWaitMs, costMs }: ShareDecision, domain: string): string {
  const format = (waitMs: number | undefined): string => waitMs === undefined ? 'unknown' : `${Math.round(waitMs)} ms`
  return `${Math.round(100 * share)} in 100 requests leave failure domain ${domain} at once: expected wait ${format(ownWaitMs)} there, ${format(otherWaitMs)} elsewhere, leaving costs ${Math.round(costMs)} ms`
}

function formatAdmission (admission: ExplainedAdmission): string {
  switch (admission.kind) {
    case 'start': return `starts now ${formatStart(admission)}`
    case 'wait': return formatWait(admission)
    case 'refuse': return `is refused with ${admission.error}: ${describeReason(admission.reason)}; the caller comes back after ${formatRange(admission.retryAfterMs)}`
    default: return assertNever(admission)
  }
}

function formatStart ({ access, endpoints, choices, sampleSize, reservedSlots }: ExplainedStart): string {
  const names = `${endpoints.slice(0, NAMES_MAX).join(', ')}${choices > NAMES_MAX ? ', ...' : ''}`
  const target = sampleSize === undefined
    ? choices === 1 ? `at ${names}` : `at one of ${choices} (${names}), picked at random`
    : `at the best of ${sampleSize} that are picked at random of ${choices} (${names}), as the counts of other gateways are old`
  switch (access) {
    case 'unlimited': return target
    case 'permit': return `${target}, if its agent grants a permit${reservedSlots === 0 ? '' : ` and ${reservedSlots} more of its slots stay free`}`
    case 'share': return `${target}, with a share of its limit`
    case 'borrowed-share': return `${target}, if another gateway lends a share of its limit`
    default: return assertNever(access)
  }
}

function formatWait (admission: Extract<ExplainedAdmission, { readonly kind: 'wait' }>): string {
  const { longestMs } = admission
  switch (admission.for) {
    case 'outage': return `waits until its group works again, expected in ${admission.expectedMs} ms; for ${longestMs} ms at most`
    case 'slot': return `waits for a slot behind ${admission.earlier} of ${admission.waiting} requests; for ${longestMs} ms at most`
    case 'permit': return `waits for a permit of ${admission.endpoint}${admission.expectedMs === undefined ? '' : `, expected in ${admission.expectedMs} ms`}; for ${longestMs} ms at most`
    default: return assertNever(admission)
  }
}

function describeReason (reason: RefusalReason): string {
  switch (reason) {
    case 'leaving': return 'the gateway stops'
    case 'memory': return 'the gateway has no memory for bodies'
    case 'requests': return 'the gateway has too many requests in flight'
    case 'address': return 'the address has too many requests in flight'
    case 'team': return 'the team has too many requests in flight'
    case 'outage': return 'the group has lost a rank'
    case 'queue': return 'too many requests wait for a slot'
    case 'limited': return 'every endpoint is at its limit'
    case 'no-endpoint': return 'no endpoint takes requests'
    default: return assertNever(reason)
  }
}

function formatRange ({ minMs, maxMs }: RetryRange): string {
  return minMs === maxMs ? `${minMs} ms` : `${minMs} to ${maxMs} ms`
}

function buildRow ({ endpoint, domain, score, terms, slots, inFlight, access, coldMs, standing }: EndpointReport): readonly string[] {
  const numbers = [score, terms?.load, terms?.distance, slots, terms?.slowdown, terms?.failures, terms?.pace, inFlight]
  return [endpoint, domain, ...numbers.map(value => value === undefined ? '-' : formatNumber(value)), `${access ?? '-'}${coldMs > 0 ? ` (cold for ${coldMs} ms)` : ''}`, describeStanding(standing)]
}

function describeStanding (standing: EndpointReport['standing']): string {
  switch (standing.kind) {
    case 'compared': return 'compared'
    case 'may-be-sampled': return 'may be sampled'
    case 'excluded': return `excluded: ${describeExclusion(standing.by)}`
    default: return assertNever(standing)
  }
}

function describeExclusion (exclusion: EndpointExclusion): string {
  switch (exclusion.kind) {
    case 'denied': return `its agent expects a permit in ${Math.round(exclusion.remainingMs)} ms`
    case 'no-share': return `the shares of this gateway are spent, ${exclusion.owners} others have some`
    case 'tried': return 'tried already'
    case 'unreachable': return `it accepted no connection; again in ${Math.round(exclusion.remainingMs)} ms`
    case 'unresponsive': return 'it does not respond'
    case 'silent-domain': return 'agents of its failure domain do not answer'
    case 'other-domain': return 'its failure domain is another one, and the own one has room'
    case 'contended': return 'its permits are contended'
    case 'draining': return 'the store lists it as draining'
    case 'domain-out': return 'its failure domain is out of service'
    case 'leaving': return 'it has said that it leaves'
    case 'paused': return `it wants no requests for ${Math.round(exclusion.remainingMs)} ms`
    case 'group-lost': return 'its group has lost a rank'
    default: return assertNever(exclusion)
  }
}

function formatNumber (value: number): string {
  return String(Number(value.toFixed(3)))
}
