/** Chooses endpoints for requests and homes for key tokens at an entry. */

import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { Home, PeerView, RouteChoice, RouteRequest, RoutingPort } from '../../kernel/ports.js'
import type { EndpointState, ProcessRef } from '../../protocol/messages.js'
import { chooseCandidate, pickLessLoadedOfTwo } from './choice.js'
import type { Candidate } from './choice.js'
import { Ejector } from './ejection.js'
import { computeLoad } from './load.js'
import type { LoadCounters } from './load.js'

/** Interval in ms between checks for outliers. */
const EJECTION_INTERVAL_MS = 1_000

/**
 * Time in ms after the first connection during which endpoints get no slow start,
 * because this entry has just started and not the endpoints. Also the time since
 * the last report after which a disconnected endpoint counts as returning.
 */
const SLOW_START_GRACE_MS = 10_000

interface TrackedEndpoint extends LoadCounters {
  incarnation: number
  wasUsable: boolean
}

class RoutingPlugin implements Plugin {
  readonly name = 'routing'
  readonly subscribesTo = ['tick', 'peer-connected', 'message-received', 'configuration-changed'] as const
  readonly #tracked = new Map<string, TrackedEndpoint>()
  readonly #ejector = Ejector.create()
  readonly ports: { readonly routing: RoutingPort } = {
    routing: {
      chooseEndpoint: (request, context) => this.#chooseEndpoint(request, context),
      chooseHomes: (service, context) => this.#chooseHomes(service, context),
      noteStart: (endpoint, context) => { this.#get(endpoint, context).inFlight += 1 },
      noteEnd: (endpoint, result, elapsedMs, context) => { this.#noteEnd(endpoint, result, elapsedMs, context) }
    }
  }

  #firstConnectedAtMs: number | undefined
  #nextEjectionCheckMs = 0

  private constructor () {}

  static create (): RoutingPlugin {
    return new RoutingPlugin()
  }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'tick':
        this.#updateSlowStarts(context)
        this.#updateEjections(context)
        break
      case 'peer-connected':
        if (event.peer.role === 'endpoint') this.#noteConnected(event.peer, context)
        break
      case 'message-received':
        if (event.message.kind === 'heartbeat' && event.message.endpoint !== undefined) this.#noteReport(event.peer.id, context)
        break
      case 'configuration-changed':
        this.#updateSlowStarts(context)
        this.#removeUnconfigured(context)
        break
      default:
    }
  }

  #get (id: string, context: Context): TrackedEndpoint {
    let tracked = this.#tracked.get(id)
    if (tracked === undefined) {
      tracked = { incarnation: 0, inFlight: 0, inFlightAtReport: 0, reportedAtMs: context.nowMs, slowStartAtMs: -Infinity, wasUsable: false }
      this.#tracked.set(id, tracked)
    }
    return tracked
  }

  #noteConnected (peer: ProcessRef, context: Context): void {
    this.#firstConnectedAtMs ??= context.nowMs
    const tracked = this.#get(peer.id, context)
    if (tracked.incarnation === peer.incarnation) return
    tracked.incarnation = peer.incarnation
    tracked.wasUsable = false
    this.#ejector.remove(peer.id)
  }

  #noteReport (id: string, context: Context): void {
    const tracked = this.#get(id, context)
    tracked.inFlightAtReport = tracked.inFlight
    tracked.reportedAtMs = context.nowMs
    this.#updateSlowStart(id, context)
  }

  #updateSlowStarts (context: Context): void {
    for (const id of this.#tracked.keys()) this.#updateSlowStart(id, context)
  }

  /** Removes endpoints that are no longer configured and have no requests in flight. */
  #removeUnconfigured (context: Context): void {
    for (const [id, tracked] of this.#tracked) {
      if (tracked.inFlight > 0 || context.getPort('configuration').findEndpoint(id) !== undefined) continue
      this.#tracked.delete(id)
      this.#ejector.remove(id)
    }
  }

  /** Begins a slow start when an endpoint becomes usable again. */
  #updateSlowStart (id: string, context: Context): void {
    const tracked = this.#get(id, context)
    const view = context.getPort('membership').findPeer(id)
    if (view === undefined) {
      if (context.nowMs - tracked.reportedAtMs > SLOW_START_GRACE_MS) tracked.wasUsable = false
      return
    }
    const usable = isUsable(view, context) && !this.#ejector.isEjected(id, context.nowMs)
    const isStartingUp = context.nowMs - (this.#firstConnectedAtMs ?? context.nowMs) < SLOW_START_GRACE_MS
    if (usable && !tracked.wasUsable && !isStartingUp) tracked.slowStartAtMs = context.nowMs
    tracked.wasUsable = usable
  }

  #noteEnd (id: string, result: 'ok' | 'refused' | 'failed', elapsedMs: number, context: Context): void {
    const tracked = this.#get(id, context)
    tracked.inFlight = Math.max(0, tracked.inFlight - 1)
    if (result === 'ok') this.#ejector.noteSuccess(id, elapsedMs)
    if (result === 'failed') this.#ejector.noteFailure(id)
  }

  #updateEjections (context: Context): void {
    if (context.nowMs < this.#nextEjectionCheckMs) return
    this.#nextEjectionCheckMs = context.nowMs + EJECTION_INTERVAL_MS
    const byService = new Map<string, { id: string, stepMs?: number }[]>()
    for (const view of context.getPort('membership').listPeers()) {
      if (!isUsable(view, context)) continue
      const { service, stepMs } = view.endpoint
      const list = byService.get(service) ?? []
      list.push({ id: view.process.id, ...(stepMs === undefined ? {} : { stepMs }) })
      byService.set(service, list)
    }
    for (const candidates of byService.values()) {
      for (const { id, reason } of this.#ejector.ejectOutliers(candidates, context.nowMs)) {
        context.emit({ kind: 'log', event: 'endpoint-ejected', fields: { endpoint: id, reason } })
        this.#get(id, context).wasUsable = false
      }
    }
  }

  #chooseEndpoint (request: RouteRequest, context: Context): RouteChoice | undefined {
    const { profile, fingerprint, prefixHash } = request
    const candidates = this.#listCandidates(request.service, context).filter(({ id, domain }) =>
      !request.exclude.has(id) && (profile.domains === undefined || profile.domains.includes(domain)))
    const suspect = context.findPort('quarantine')?.isSuspect(fingerprint) ?? false
    return chooseCandidate({ candidates, domain: context.self.domain, fingerprint, suspect, ...(prefixHash === undefined ? {} : { prefixHash }) }, context.random)
  }

  #chooseHomes (service: string, context: Context): readonly Home[] {
    const configuration = context.getPort('configuration')
    const allowed = configuration.findProfile(configuration.findService(service)?.profile ?? '')?.domains
    const candidates = this.#listCandidates(service, context).filter(({ domain }) => allowed === undefined || allowed.includes(domain))
    const local = candidates.filter(({ domain }) => domain === context.self.domain)
    const first = pickLessLoadedOfTwo(local.length > 0 ? local : candidates, context.random.pickHex(8), context.random)
    const remote = candidates.filter(({ domain }) => domain !== first?.domain)
    const rest = remote.length > 0 ? remote : candidates.filter(({ id }) => id !== first?.id)
    const second = pickLessLoadedOfTwo(rest, context.random.pickHex(8), context.random)
    return [first, second].flatMap(candidate => candidate === undefined ? [] : this.#buildHome(candidate, context))
  }

  #buildHome ({ id, domain }: Candidate, context: Context): readonly Home[] {
    const view = context.getPort('membership').findPeer(id)
    if (view?.endpoint === undefined) return []
    return [{ id, domain, incarnation: view.process.incarnation, window: view.endpoint.window }]
  }

  /** Lists the usable endpoints of a service; includes ejected ones only when all are ejected. */
  #listCandidates (service: string, context: Context): readonly Candidate[] {
    const usable = context.getPort('membership').listPeers().filter((view): view is UsableView =>
      view.endpoint?.service === service && isUsable(view, context))
    const notEjected = usable.filter(view => !this.#ejector.isEjected(view.process.id, context.nowMs))
    return (notEjected.length > 0 ? notEjected : usable).map(view => ({
      id: view.process.id,
      domain: view.process.domain,
      ...computeLoad(view.endpoint, this.#get(view.process.id, context), context.nowMs)
    }))
  }
}

type UsableView = PeerView & { readonly endpoint: EndpointState }

/** Whether new requests may go to the endpoint: it is configured, in service, healthy and not leaving. */
function isUsable (view: PeerView, context: Context): view is UsableView {
  const { process, endpoint } = view
  if (endpoint === undefined || !endpoint.healthy || endpoint.leaving || endpoint.cap <= 0) return false
  const configuration = context.getPort('configuration')
  const spec = configuration.findEndpoint(process.id)
  if (spec === undefined || spec.service !== endpoint.service) return false
  return configuration.isInService(spec) && !context.getPort('membership').isHostLeaving(spec.host)
}

registerPlugin({ name: 'routing', roles: ['entry'], create: () => RoutingPlugin.create() })
