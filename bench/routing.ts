/**
 * Routing compared with round robin in simulated time, while a failure domain
 * leaves and returns cold. Endpoints are simulated queues; routing is done by the
 * plug-ins of an entry, which are driven through events and ports.
 */

import '../src/plugins/index.js'
import { build as buildHistogram } from 'hdr-histogram-js'
import type { Configuration, Profile } from '../src/kernel/configuration.js'
import { Kernel } from '../src/kernel/kernel.js'
import type { Context } from '../src/kernel/plugin.js'
import { Random } from '../src/kernel/random.js'
import type { EndpointState, ProcessRef } from '../src/protocol/messages.js'
import type { BenchResult } from './result.js'

const DOMAINS = ['a', 'b', 'c']
const ENDPOINTS_PER_DOMAIN = 5
const WARM_CAP = 8
const COLD_CAP = 2

/** Time that a returning endpoint needs to become warm, in ms. */
const WARM_UP_MS = 30_000

/** Mean service time of one request on an idle warm endpoint, in ms. */
const SERVICE_MS = 400

/** Request rate: 55 % of the capacity of all endpoints. */
const REQUESTS_PER_S = 165

/** Ends of the phases in ms: all domains in, one out, and the domain returned until the end of the load. */
const OUT_AT_MS = 30_000
const BACK_AT_MS = 60_000
const END_MS = 120_000

/** Time after the last arrival in which responses still count, in ms. */
const DRAIN_MS = 20_000

const TIME_STEP_MS = 10
const HEARTBEAT_INTERVAL_MS = 1_000

const PROFILE: Profile = {
  name: 'p', priority: 'normal', idempotency: 'always', deadlineMs: 20_000, queueMax: 100, teamShareMax: 1, attemptsMax: 1, backoffBaseMs: 100
}

interface Job {
  readonly atMs: number
  readonly serviceMs: number
}

/** Simulated endpoint that runs as many jobs concurrently as its cap allows and queues the rest. */
class SimulatedEndpoint {
  readonly ref: ProcessRef
  readonly #running: { readonly job: Job, readonly endMs: number }[] = []
  readonly #queue: Job[] = []
  coldSinceMs = -Infinity

  private constructor (ref: ProcessRef) {
    this.ref = ref
  }

  static create (ref: ProcessRef): SimulatedEndpoint {
    return new SimulatedEndpoint(ref)
  }

  /** @returns the number of jobs that it can run concurrently at a time */
  getCap (nowMs: number): number {
    const warmth = Math.min(1, (nowMs - this.coldSinceMs) / WARM_UP_MS)
    return Math.floor(COLD_CAP + (WARM_CAP - COLD_CAP) * warmth)
  }

  enqueue (job: Job): void {
    this.#queue.push(job)
  }

  /** Ends jobs that are due and starts queued ones; returns the ended jobs. */
  run (nowMs: number): readonly { readonly job: Job, readonly endMs: number }[] {
    const ended = this.#running.filter(({ endMs }) => endMs <= nowMs)
    for (const done of ended) this.#running.splice(this.#running.indexOf(done), 1)
    while (this.#running.length < this.getCap(nowMs)) {
      const job = this.#queue.shift()
      if (job === undefined) break
      this.#running.push({ job, endMs: nowMs + job.serviceMs })
    }
    return ended
  }

  buildState (nowMs: number): EndpointState {
    const cap = this.getCap(nowMs)
    return { service: 's', window: 0, running: this.#running.length, queued: this.#queue.length, cap, warmth: cap / WARM_CAP, healthy: true, leaving: false }
  }
}

type ChooseEndpoint = (nowMs: number, fingerprint: string) => string | undefined

function buildConfiguration (version: number, isOut: boolean, endpoints: readonly SimulatedEndpoint[]): Configuration {
  return {
    version,
    domains: DOMAINS.map(name => ({ name, region: 'r', state: isOut && name === 'a' ? 'out' : 'in' })),
    drainingHosts: [],
    entries: [],
    endpoints: endpoints.map(({ ref }) => ({ id: ref.id, host: ref.host, domain: ref.domain, service: 's', peerAddress: ref.address, checksFencing: false, warmCap: WARM_CAP, coldCap: COLD_CAP })),
    services: [{ name: 's', kind: 'model', profile: 'p' }],
    profiles: [PROFILE],
    teams: [],
    groups: []
  }
}

/** Runs one policy through all phases; returns latencies in ms by phase and the share of requests answered within twice their service time. */
function runPolicy (name: string, seed: number): readonly (readonly (string | number)[])[] {
  const random = Random.create(seed)
  const endpoints = DOMAINS.flatMap(domain => Array.from({ length: ENDPOINTS_PER_DOMAIN }, (_, index) =>
    SimulatedEndpoint.create({ id: `${domain}${index}`, role: 'endpoint', domain, host: `h-${domain}${index}`, address: `127.0.0.1:${domain}${index}`, incarnation: 1 })))
  const byId = new Map(endpoints.map(endpoint => [endpoint.ref.id, endpoint]))
  const self: ProcessRef = { id: 'entry', role: 'entry', domain: 'b', host: 'h', address: '127.0.0.1:1', incarnation: 1 }
  const kernel = Kernel.create({ self, seed, settings: { clusterSecret: 's', seeds: [] } })
  const routing = kernel.getPort('routing')
  let version = 1
  kernel.dispatch({ kind: 'configuration-offered', configuration: buildConfiguration(version, false, endpoints), source: 'bench' }, 0)
  const report = (endpoint: SimulatedEndpoint, nowMs: number): void => {
    kernel.dispatch({ kind: 'message-received', peer: endpoint.ref, message: { kind: 'heartbeat', incarnation: 1, configVersion: version, endpoint: endpoint.buildState(nowMs) } }, nowMs)
  }
  for (const endpoint of endpoints) {
    kernel.dispatch({ kind: 'peer-connected', peer: endpoint.ref }, 0)
    report(endpoint, 0)
  }
  const choiceRandom = Random.create(seed + 1)
  const buildContext = (nowMs: number): Context => ({ nowMs, random: choiceRandom, self, emit: () => {}, raise: () => {}, getPort: port => kernel.getPort(port), findPort: () => undefined })
  let nextIndex = 0
  const chooseRoundRobin: ChooseEndpoint = () => {
    const inService = endpoints.filter(({ ref }) => kernel.getPort('configuration').isInService(ref))
    nextIndex += 1
    return inService[nextIndex % inService.length]?.ref.id
  }
  const chooseRouted: ChooseEndpoint = (nowMs, fingerprint) =>
    routing.chooseEndpoint({ service: 's', profile: PROFILE, fingerprint, exclude: new Set() }, buildContext(nowMs))?.endpoint
  const choose = name === 'round robin' ? chooseRoundRobin : chooseRouted
  const phases = ['all in', 'one out', 'return', 'after'].map(phase => ({ phase, histogram: buildHistogram(), withinTarget: 0, count: 0 }))
  let nextArrivalMs = 0
  let sent = 0
  for (let nowMs = TIME_STEP_MS; nowMs <= END_MS + DRAIN_MS; nowMs += TIME_STEP_MS) {
    if (nowMs === OUT_AT_MS || nowMs === BACK_AT_MS) {
      version += 1
      const isOut = nowMs === OUT_AT_MS
      if (!isOut) for (const endpoint of endpoints) if (endpoint.ref.domain === 'a') endpoint.coldSinceMs = nowMs
      kernel.dispatch({ kind: 'configuration-offered', configuration: buildConfiguration(version, isOut, endpoints), source: 'bench' }, nowMs)
    }
    for (const endpoint of endpoints) {
      for (const { job, endMs } of endpoint.run(nowMs)) {
        const elapsedMs = endMs - job.atMs
        routing.noteEnd(endpoint.ref.id, 'ok', elapsedMs, buildContext(nowMs))
        const phase = phases[job.atMs < OUT_AT_MS ? 0 : job.atMs < BACK_AT_MS ? 1 : job.atMs < BACK_AT_MS + WARM_UP_MS ? 2 : 3]
        phase?.histogram.recordValue(Math.round(elapsedMs))
        if (phase !== undefined) phase.withinTarget += elapsedMs <= 2 * job.serviceMs ? 1 : 0
      }
      if (nowMs % HEARTBEAT_INTERVAL_MS === 0) report(endpoint, nowMs)
    }
    if (nowMs % 100 === 0) kernel.dispatch({ kind: 'tick' }, nowMs)
    for (; nextArrivalMs <= Math.min(nowMs, END_MS); nextArrivalMs += -Math.log(1 - random.pickFloat()) * 1_000 / REQUESTS_PER_S) {
      const serviceMs = SERVICE_MS * (0.5 + random.pickFloat())
      const phase = phases[nowMs < OUT_AT_MS ? 0 : nowMs < BACK_AT_MS ? 1 : nowMs < BACK_AT_MS + WARM_UP_MS ? 2 : 3]
      if (phase !== undefined) phase.count += 1
      const id = choose(nowMs, `fp${sent += 1}`)
      if (id === undefined) continue
      routing.noteStart(id, buildContext(nowMs))
      byId.get(id)?.enqueue({ atMs: nowMs, serviceMs })
    }
  }
  return phases.map(({ phase, histogram, withinTarget, count }) => [
    name, phase, count, histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(95), histogram.getValueAtPercentile(99), Number((100 * withinTarget / count).toFixed(1))
  ])
}

/**
 * Runs both policies on the same arrivals.
 *
 * @param options - seed of arrivals and choices
 * @returns latencies in ms by policy and phase, and the share of requests answered within twice their service time
 */
export function run (options: { readonly seed: number }): BenchResult {
  return {
    name: 'routing while a failure domain leaves and returns',
    columns: ['policy', 'phase', 'requests', 'p50 ms', 'p95 ms', 'p99 ms', 'in time %'],
    rows: ['round robin', 'heatherdoor'].flatMap(name => runPolicy(name, options.seed))
  }
}
