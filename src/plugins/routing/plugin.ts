/** Choice of endpoints at an entry. */

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

/** Interval in ms of the comparison of endpoints. */
const EJECT_INTERVAL_MS = 1_000

/** Time in ms after the first connection in which endpoints get no slow start: they did not return, this entry did. */
const WARM_UP_MS = 10_000

interface Known extends LoadCounters {
  incarnation: number
  wasUsable: boolean
}

class RoutingPlugin implements Plugin {
  readonly name = 'routing'
  readonly subscribesTo = ['tick', 'peer-connected', 'message-received', 'configuration-changed'] as const
  readonly #known = new Map<string, Known>()
  readonly #ejector = Ejector.create()
  readonly ports: { readonly routing: RoutingPort } = {
    routing: {
      chooseEndpoint: (request, context) => this.#chooseEndpoint(request, context),
      chooseHomes: (service, context) => this.#chooseHomes(service, context),
      noteStart: (endpoint, context) => { this.#get(endpoint, context).inFlight += 1 },
      noteEnd: (endpoint, result, elapsedMs, context) => { this.#noteEnd(endpoint, result, elapsedMs, context) }
    }
  }

  #firstAtMs: number | undefined
  #nextEjectMs = 0

  private constructor () {}

  static create (): RoutingPlugin {
    return new RoutingPlugin()
  }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'tick':
        this.#updateRamps(context)
        this.#updateEjections(context)
        break
      case 'peer-connected':
        if (event.peer.role === 'endpoint') this.#noteConnected(event.peer, context)
        break
      case 'message-received':
        if (event.message.kind === 'heartbeat' && event.message.endpoint !== undefined) this.#noteReport(event.peer.id, context)
        break
      case 'configuration-changed':
        this.#updateRamps(context)
        this.#removeUnknown(context)
        break
      default:
    }
  }

  #get (id: string, context: Context): Known {
    let known = this.#known.get(id)
    if (known === undefined) {
      known = { incarnation: 0, inFlight: 0, inFlightAtReport: 0, reportedAtMs: context.nowMs, slowStartAtMs: -Infinity, wasUsable: false }
      this.#known.set(id, known)
    }
    return known
  }

  #noteConnected (peer: ProcessRef, context: Context): void {
    this.#firstAtMs ??= context.nowMs
    const known = this.#get(peer.id, context)
    if (known.incarnation === peer.incarnation) return
    known.incarnation = peer.incarnation
    known.wasUsable = false
    this.#ejector.remove(peer.id)
  }

  #noteReport (id: string, context: Context): void {
    const known = this.#get(id, context)
    known.inFlightAtReport = known.inFlight
    known.reportedAtMs = context.nowMs
    this.#updateRamp(id, context)
  }

  #updateRamps (context: Context): void {
    for (const id of this.#known.keys()) this.#updateRamp(id, context)
  }

  /** Forgets endpoints that left the configuration. */
  #removeUnknown (context: Context): void {
    for (const [id, known] of this.#known) {
      if (known.inFlight > 0 || context.port('configuration').findEndpoint(id) !== undefined) continue
      this.#known.delete(id)
      this.#ejector.remove(id)
    }
  }

  /** Starts the slow start when an endpoint becomes usable again. */
  #updateRamp (id: string, context: Context): void {
    const known = this.#get(id, context)
    const view = context.port('membership').findPeer(id)
    if (view === undefined) {
      if (context.nowMs - known.reportedAtMs > WARM_UP_MS) known.wasUsable = false
      return
    }
    const usable = isUsable(view, context) && !this.#ejector.isEjected(id, context.nowMs)
    const starting = context.nowMs - (this.#firstAtMs ?? context.nowMs) < WARM_UP_MS
    if (usable && !known.wasUsable && !starting) known.slowStartAtMs = context.nowMs
    known.wasUsable = usable
  }

  #noteEnd (id: string, result: 'ok' | 'refused' | 'failed', elapsedMs: number, context: Context): void {
    const known = this.#get(id, context)
    known.inFlight = Math.max(0, known.inFlight - 1)
    if (result === 'ok') this.#ejector.noteSuccess(id, elapsedMs)
    if (result === 'failed') this.#ejector.noteFailure(id)
  }

  #updateEjections (context: Context): void {
    if (context.nowMs < this.#nextEjectMs) return
    this.#nextEjectMs = context.nowMs + EJECT_INTERVAL_MS
    const byService = new Map<string, { id: string, stepMs?: number }[]>()
    for (const view of context.port('membership').listPeers()) {
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
    const configuration = context.port('configuration')
    const allowed = configuration.findProfile(configuration.findService(service)?.profile ?? '')?.domains
    const candidates = this.#listCandidates(service, context).filter(({ domain }) => allowed === undefined || allowed.includes(domain))
    const own = candidates.filter(({ domain }) => domain === context.self.domain)
    const first = pickLessLoadedOfTwo(own.length > 0 ? own : candidates, context.random.pickHex(8), context.random)
    const others = candidates.filter(({ domain }) => domain !== first?.domain)
    const rest = others.length > 0 ? others : candidates.filter(({ id }) => id !== first?.id)
    const second = pickLessLoadedOfTwo(rest, context.random.pickHex(8), context.random)
    return [first, second].flatMap(candidate => candidate === undefined ? [] : this.#buildHome(candidate, context))
  }

  #buildHome ({ id, domain }: Candidate, context: Context): readonly Home[] {
    const view = context.port('membership').findPeer(id)
    if (view?.endpoint === undefined) return []
    return [{ id, domain, incarnation: view.process.incarnation, window: view.endpoint.window }]
  }

  /** Lists usable endpoints of a service; ejected ones only when no other is left. */
  #listCandidates (service: string, context: Context): readonly Candidate[] {
    const usable = context.port('membership').listPeers().filter((view): view is UsableView =>
      view.endpoint?.service === service && isUsable(view, context))
    const admitted = usable.filter(view => !this.#ejector.isEjected(view.process.id, context.nowMs))
    return (admitted.length > 0 ? admitted : usable).map(view => ({
      id: view.process.id,
      domain: view.process.domain,
      ...computeLoad(view.endpoint, this.#get(view.process.id, context), context.nowMs)
    }))
  }
}

type UsableView = PeerView & { readonly endpoint: EndpointState }

/** Whether new work may go to the endpoint: configured, in service, healthy, not leaving. */
function isUsable (view: PeerView, context: Context): view is UsableView {
  const { process, endpoint } = view
  if (endpoint === undefined || !endpoint.healthy || endpoint.leaving || endpoint.cap <= 0) return false
  const configuration = context.port('configuration')
  const spec = configuration.findEndpoint(process.id)
  if (spec === undefined || spec.service !== endpoint.service) return false
  return configuration.isInService(spec) && !context.port('membership').isHostLeaving(spec.host)
}

registerPlugin({ name: 'routing', roles: ['entry'], create: () => RoutingPlugin.create() })
