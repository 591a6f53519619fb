/** Finds out whether endpoints that broke off answers have crashed, and which requests and prompt parts must not be sent again. */

import { hashRendezvous } from '../kernel/hash.js'
import type { LogEvent } from '../kernel/log-events.js'
import type { LogFields } from '../edge/log/logger.js'
import type { Metrics } from '../edge/metrics/metrics.js'
import type { CrashesPort } from '../plugins/gateway/crashes.js'
import type { EndpointsPort, EndpointView } from '../plugins/gateway/endpoints.js'
import type { LivenessPort } from '../plugins/gateway/liveness.js'
import type { CrashEvidence, PartCrashesPort, Suspect } from '../plugins/gateway/part-crashes.js'
import type { PeersPort } from '../plugins/gateway/peers.js'
import { CrashProbe } from './crash-probe.js'
import { formatParts } from './part-names.js'
import { hasBegun } from './running-attempt.js'
import type { RunningAttempt } from './running-attempt.js'

const CRASH_SEPARATOR = '/'

/** Sends evidence to all other gateways. */
export type SendEvidence = (evidence: readonly CrashEvidence[]) => void

/** Parts of a gateway that the monitor uses. */
export interface CrashMonitorOptions {
  readonly self: string
  readonly crashes: CrashesPort
  readonly partCrashes: PartCrashesPort
  readonly endpoints: EndpointsPort
  readonly liveness: LivenessPort
  readonly peers: PeersPort
  readonly metrics: Metrics
  readonly sendEvidence: SendEvidence
  /** Creates the probe that finds out whether an endpoint has crashed. */
  readonly createProbe?: (handleCrash: (endpoint: EndpointView, suspects: readonly Suspect[]) => void) => Pick<CrashProbe<Suspect>, 'check'>
  /** Called with each crash that becomes known. */
  noteCrash (endpoint: EndpointView, atMs: number): void
  getNowMs (): number
  log (event: LogEvent, fields: LogFields): void
}

/** A request, as far as crashes are concerned. */
export interface MonitoredRequest {
  readonly requestId: string
  readonly fingerprint: string
  readonly team: string
  readonly parts: readonly string[]
}

/** Attributes crashes of endpoints to requests and to parts of prompts. */
export class CrashMonitor {
  readonly #options: CrashMonitorOptions
  readonly #probe: Pick<CrashProbe<Suspect>, 'check'>

  private constructor (options: CrashMonitorOptions) {
    this.#options = options
    const { createProbe = CrashProbe.create<Suspect> } = options
    this.#probe = createProbe((endpoint, suspects) => { this.#handleCrash(endpoint, suspects) })
  }

  /**
   * @param options - tables and services of the gateway
   * @returns a monitor without crashes
   */
  static create (options: CrashMonitorOptions): CrashMonitor {
    return new CrashMonitor(options)
  }

  /** Whether a request may be sent; a refusal or trial is logged with the crashes that led to it. */
  accept ({ requestId, fingerprint, team, parts }: MonitoredRequest): boolean {
    const { crashes, partCrashes, metrics, log } = this.#options
    const nowMs = this.#options.getNowMs()
    if (crashes.isQuarantined(fingerprint, nowMs)) {
      log('request-quarantined', { request: requestId, fingerprint })
      return false
    }
    const decision = partCrashes.decide({ parts, team, rankForTrial: part => this.#rankForTrial(part) }, nowMs)
    if (decision.kind === 'allowed') return true
    const { part, crashes: ids } = decision
    metrics.count('part_decisions', decision.kind)
    log(decision.kind === 'trial' ? 'part-tried' : 'request-quarantined', { request: requestId, part, crashes: ids.join(' '), ...(decision.kind === 'blocked' ? { remainingMs: Math.round(decision.untilMs - nowMs) } : {}) })
    return decision.kind === 'trial'
  }

  /**
   * Checks whether the endpoint of a broken attempt has crashed.
   *
   * @param running - the attempt
   * @param request - its request
   * @param retry - called when the request may be sent elsewhere: at once, or, if it may have
   *   crashed the endpoint and would crash the next one too, when it is known whether it has
   */
  checkBroken (running: RunningAttempt, { fingerprint, team, parts }: MonitoredRequest, retry: () => void): void {
    const suspect = hasBegun(running) ? undefined : { fingerprint, team, parts, ageMs: this.#options.getNowMs() - running.startedAtMs }
    const mustWait = suspect !== undefined && parts.length > 0
    this.#probe.check(running.endpoint, suspect, mustWait ? retry : () => {})
    if (!mustWait) retry()
  }

  /** Records that the answer of an attempt has gone past its beginning, or is complete. */
  noteBegun ({ team, parts }: MonitoredRequest, startedAtMs: number): void {
    if (parts.length === 0) return
    const cleared = this.#options.partCrashes.noteBegun(parts, team, startedAtMs, this.#options.getNowMs())
    this.#countDropped()
    if (cleared.length === 0) return
    for (const { crash, cleared: clearedParts } of cleared) this.#options.log('suspect-cleared', { crash, parts: formatParts(clearedParts) })
    this.#options.sendEvidence(cleared)
  }

  /**
   * Merges evidence of another gateway.
   *
   * @param evidence - what it knows
   * @param reply - sends it what this gateway can add
   */
  merge (evidence: readonly CrashEvidence[], reply: SendEvidence): void {
    const nowMs = this.#options.getNowMs()
    const replies: CrashEvidence[] = []
    for (const item of evidence) {
      const merged = this.#options.partCrashes.merge(item, nowMs)
      if (merged.reply !== undefined) replies.push(merged.reply)
      if (!merged.isChanged) continue
      this.#logEvidence(item, 'merged')
      const endpoint = this.#options.endpoints.find(item.crash.split(CRASH_SEPARATOR)[0]!)
      if (endpoint !== undefined && formatCrash(endpoint) === item.crash) this.#options.noteCrash(endpoint, nowMs - item.ageMs)
    }
    this.#countDropped()
    if (replies.length > 0) reply(replies)
  }

  /** Merges what another gateway added to evidence of this one, and passes it on to all. */
  mergeReply (evidence: readonly CrashEvidence[]): void {
    const nowMs = this.#options.getNowMs()
    const changed = evidence.filter(item => this.#options.partCrashes.merge(item, nowMs).isChanged)
    for (const item of changed) this.#logEvidence(item, 'added')
    this.#countDropped()
    if (changed.length > 0) this.#options.sendEvidence(changed)
  }

  #handleCrash (endpoint: EndpointView, suspects: readonly Suspect[]): void {
    const { crashes, partCrashes, log } = this.#options
    const { id, service } = endpoint.record
    const nowMs = this.#options.getNowMs()
    const isExpected = !this.#isInService(endpoint)
    log('endpoint-crashed', { endpoint: id, inFlight: suspects.length, isExpected })
    if (isExpected) return
    for (const { fingerprint } of suspects) {
      const count = crashes.noteCrash(fingerprint, nowMs)
      log('request-suspected', { fingerprint, count, endpoint: id })
    }
    const evidence = partCrashes.noteCrash(formatCrash(endpoint), service, suspects, nowMs)
    this.#options.noteCrash(endpoint, nowMs)
    this.#logEvidence(evidence, 'seen')
    this.#countDropped()
    this.#options.sendEvidence([evidence])
  }

  /** Whether an endpoint was expected to work: one that drains, has left or had become unresponsive before accuses no request. */
  #isInService ({ record: { id, bornMs } }: EndpointView): boolean {
    const record = this.#options.endpoints.find(id)?.record
    return record?.state === 'ready' && record.bornMs === bornMs && !this.#options.liveness.isUnresponsive(id)
  }

  #logEvidence ({ crash, accused, harmless, cleared }: CrashEvidence, how: string): void {
    const { partCrashes, getNowMs, log } = this.#options
    log('part-evidence', {
      crash, how, accused: formatParts(accused.map(({ part }) => part)), harmless: formatParts(harmless.map(({ part }) => part)), cleared: formatParts(cleared), blocked: formatParts(partCrashes.listBlocked(getNowMs()))
    })
  }

  /** Counts what was dropped for lack of room; evidence is logged besides, as a part that crashes endpoints may be among it. */
  #countDropped (): void {
    const { partCrashes, metrics, log } = this.#options
    const { accusations, crashes, harmless } = partCrashes.takeDropped()
    for (const [kind, dropped] of Object.entries({ accusations, crashes, harmless })) if (dropped > 0) metrics.count('part_evidence_dropped', kind, dropped)
    if (accusations > 0 || crashes > 0) log('part-evidence-dropped', { accusations, crashes })
  }

  /** Position of this gateway among the live ones by rendezvous hashing, so that they try a part one after the other. */
  #rankForTrial (part: string): number {
    const { self, peers } = this.#options
    const own = hashRendezvous(part, self)
    return peers.listReady().filter(({ id }) => id !== self && hashRendezvous(part, id) > own).length
  }
}

/** Names the crash of an endpoint: each incarnation crashes once. */
function formatCrash ({ record: { id, bornMs } }: EndpointView): string {
  return `${id}${CRASH_SEPARATOR}${bornMs}`
}
