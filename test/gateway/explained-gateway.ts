/** Context of a gateway in virtual time, whose random numbers are seeded and counted. */

import { platformDialect } from '../../platform/dialect.js'
import { Logger } from '../../src/edge/log/logger.js'
import { Metrics } from '../../src/edge/metrics/metrics.js'
import { GatewayContext } from '../../src/gateway/context.js'
import type { EndpointRecord, EngineSpec, Route } from '../../src/gateway/model.js'
import { explainRequest } from '../../src/gateway/request-explainer.js'
import type { ExplainedQuestion, ExplainedService, Explanation } from '../../src/gateway/request-explainer.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { Random } from '../../src/kernel/random.js'
import '../../src/plugins/gateway/index.js'

export const QUESTION: ExplainedQuestion = { host: 'h', path: '/a/x', caller: { kind: 'team', team: 't1' } }

/** Gateway `g` in failure domain `a` with the service `s`. */
export class ExplainedGateway {
  nowMs = 10_000
  draws = 0
  isTooLate = false
  readonly lines: string[] = []
  readonly metrics = Metrics.create({ role: 'gateway' })
  readonly context: GatewayContext

  private constructor (seed: number) {
    const random = Random.create(seed)
    const kernel = Kernel.create({ self: { id: 'g', role: 'gateway', domain: 'a', host: 'g', address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } })
    this.context = GatewayContext.create({
      kernel,
      dialect: platformDialect,
      logger: Logger.create({ processId: 'g', write: line => { this.lines.push(line) } }),
      metrics: this.metrics,
      clock: {
        getNowMs: () => this.nowMs,
        getWallMs: () => this.nowMs,
        schedule: () => () => {},
        pickFloat: () => {
          this.draws += 1
          return random.pickFloat()
        }
      },
      askPermit: async () => undefined,
      askShare: async () => undefined
    })
    this.context.coldLimits.setBounds({ overshoot: 1.5, slack: 5 })
  }

  static create (seed = 1): ExplainedGateway {
    return new ExplainedGateway(seed)
  }

  applyConfiguration (changes: Partial<Route> = {}, coldPerS = 0, engine?: EngineSpec): void {
    const route: Route = {
      name: 'r', host: 'h', pathPrefix: '/a/', repeat: 'idempotent', timeoutMs: 2_000, latencyTargetMs: 100, priority: 1, shares: [{ service: 's', weight: 1 }], attemptsMax: 2, isPublic: false, ...changes
    }
    this.context.routes.accept({
      version: 1,
      routes: new Map([['h', [route]]]),
      services: new Map([['s', { name: 's', coldPerS, ...(engine === undefined ? {} : { engine }) }]]),
      teams: new Map([['k1', { name: 't1' }], ['k2', { name: 't2', priority: 0 }]]),
      limits: { headerBytesMax: 16_384, bodyBytesMax: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
    })
  }

  add (id: string, changes: Partial<EndpointRecord> = {}): void {
    this.context.endpoints.upsert({ id, bornMs: 1, service: 's', address: { host: id, port: 1 }, domain: 'a', state: 'ready', slots: 8, coldRemainingMs: 0, ...changes }, this.nowMs)
  }

  /** Reports requests that another gateway has in flight. */
  noteElsewhere (inFlight: Readonly<Record<string, number>>): void {
    this.context.peers.noteHeartbeat({ id: 'g2', bornMs: 1, callerAddress: '', domain: 'b', isReady: true, inFlight }, this.nowMs)
  }

  /** Records attempts at an endpoint: `started` of them stay in flight. */
  note (id: string, started: number, ended: readonly ('ok' | 'failed' | 'unreachable')[] = [], elapsedMs = 20): void {
    const endpoint = this.context.endpoints.find(id)!
    for (const result of ended) {
      this.context.selection.noteStart(endpoint)
      this.context.selection.noteEnd(id, result, elapsedMs, this.nowMs)
    }
    for (let at = 0; at < started; at += 1) this.context.selection.noteStart(endpoint)
  }

  explain (question: Partial<ExplainedQuestion> = {}): Explanation {
    return explainRequest({ ...QUESTION, ...question }, { context: this.context, gateway: 'g', domain: 'a', isTooLate: () => this.isTooLate })
  }

  /** Explains a request that a route allows. */
  explainService (): ExplainedService {
    const explanation = this.explain()
    if (explanation.kind !== 'explained') throw new Error(explanation.kind)
    return explanation.services[0]!
  }

  choose (): string | undefined {
    return this.context.choose('s', new Set(), new Set(), this.nowMs)?.endpoint.record.id
  }

  /** What decides about requests, or is reported of them. */
  async describeState (): Promise<unknown> {
    const { endpoints, selection, coldLimits, routes, peers, lateLane, roomQueue, requestRoom, retryAfter } = this.context
    return {
      inFlight: selection.listInFlight(),
      access: endpoints.listAll().map(endpoint => coldLimits.decide({ endpoint, service: routes.findService('s'), gateways: peers.listKnown(), named: undefined }, this.nowMs)),
      draws: this.draws,
      isAdmittedByAgents: this.context.isAdmittedByAgents('s'),
      durationMs: lateLane.findDurationMs('s'),
      firstEventMs: roomQueue.getFirstEventMs('s'),
      requests: requestRoom.countRequests(),
      retryAfter: retryAfter.explain('s', { kind: 'full' }, this.nowMs),
      lines: this.lines.length,
      metrics: (await this.metrics.format()).split('\n').filter(line => !/^#|_(resident_bytes|cpu_seconds)/.test(line))
    }
  }
}
