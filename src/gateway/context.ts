/** State and services shared by the parts of a gateway: plug-ins, logs, metrics and clock. */

import type { Kernel } from '../kernel/kernel.js'
import type { LogEvent } from '../kernel/log-events.js'
import type { Logger, LogFields } from '../edge/log/logger.js'
import type { Metrics } from '../edge/metrics/metrics.js'
import type { RetryAfterPort } from '../plugins/gateway/retry-after.js'
import type { CrashesPort } from '../plugins/gateway/crashes.js'
import type { EndpointsPort, EndpointView } from '../plugins/gateway/endpoints.js'
import type { PeersPort } from '../plugins/gateway/peers.js'
import type { Selection, SelectionPort } from '../plugins/gateway/selection.js'
import type { RetriesPort } from '../plugins/gateway/retries.js'
import type { RoutesPort } from '../plugins/gateway/routes.js'
import type { LivenessPort } from '../plugins/gateway/liveness.js'
import { AnswerBuffers } from './answer-buffers.js'
import { CrashProbe } from './crash-probe.js'
import type { Exchange } from './exchange.js'
import type { Dialect } from './model.js'

/** Dependencies of a context. */
export interface GatewayContextOptions {
  readonly kernel: Kernel
  readonly dialect: Dialect
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Shared context of one gateway. */
export class GatewayContext {
  readonly dialect: Dialect
  readonly metrics: Metrics
  readonly routes: RoutesPort
  readonly endpoints: EndpointsPort
  readonly peers: PeersPort
  readonly retries: RetriesPort
  readonly crashes: CrashesPort
  readonly selection: SelectionPort
  readonly retryAfter: RetryAfterPort
  readonly liveness: LivenessPort
  readonly answerBuffers = AnswerBuffers.create()
  /** Slowdown factors of slow endpoints; empty unless this gateway is the leader, which changes the expert maps. */
  paces: Readonly<Record<string, number>> = {}
  readonly #logger: Logger
  readonly #crashProbe: CrashProbe
  readonly #exchanges = new Set<Exchange>()

  private constructor ({ kernel, dialect, logger, metrics }: GatewayContextOptions) {
    this.dialect = dialect
    this.metrics = metrics
    this.#logger = logger
    this.routes = kernel.getPort('routes')
    this.endpoints = kernel.getPort('endpoints')
    this.peers = kernel.getPort('peers')
    this.retries = kernel.getPort('retries')
    this.crashes = kernel.getPort('crashes')
    this.selection = kernel.getPort('selection')
    this.retryAfter = kernel.getPort('retryAfter')
    this.liveness = kernel.getPort('liveness')
    this.#crashProbe = CrashProbe.create((endpoint, fingerprints) => { this.#handleCrash(endpoint, fingerprints) })
  }

  /**
   * @param options - parts of the process
   * @returns the shared context
   */
  static create (options: GatewayContextOptions): GatewayContext {
    return new GatewayContext(options)
  }

  /** @returns monotonic time in ms */
  getNowMs (): number {
    return performance.now()
  }

  /** @returns a random number from 0 to 1 */
  pickFloat (): number {
    return Math.random()
  }

  log (event: LogEvent, fields: LogFields): void {
    this.#logger.write(event, fields)
  }

  /**
   * Chooses an endpoint of a service.
   *
   * @param service - name of the service
   * @param exclude - endpoints already tried
   * @param nowMs - monotonic time in ms
   * @returns the choice; undefined when no endpoint can take a request now
   */
  choose (service: string, exclude: ReadonlySet<string>, nowMs: number): Selection | undefined {
    return this.selection.choose({
      candidates: this.endpoints.listUsable(service),
      exclude,
      coldPerS: this.routes.findService(service)?.coldPerS ?? 0,
      gateways: this.peers.countKnown(),
      countElsewhere: endpoint => this.peers.countInFlight(endpoint),
      isUnresponsive: endpoint => this.liveness.isUnresponsive(endpoint),
      getPace: endpoint => this.paces[endpoint] ?? this.peers.getPace(endpoint)
    }, nowMs)
  }

  /** Whether a usable endpoint is left that was not tried and is not unresponsive. */
  hasAlternative (service: string, tried: ReadonlySet<string>): boolean {
    return this.endpoints.listUsable(service).some(({ record: { id } }) => !tried.has(id) && !this.liveness.isUnresponsive(id))
  }

  /** Records that an endpoint sent data or answered a probe. */
  noteActivity ({ record: { id, service } }: EndpointView): void {
    if (this.liveness.noteActivity(id, service, this.getNowMs())) this.log('endpoint-heard', { endpoint: id })
  }

  /** Spends one retry of the budget shared by all gateways. @returns false when the budget does not allow it */
  acceptRetry (service: string, nowMs: number): boolean {
    return this.retries.acceptRetry(service, this.peers.countKnown(), nowMs)
  }

  /** Checks whether an endpoint that closed a connection before the end of its answer has crashed. */
  checkCrash (endpoint: EndpointView, fingerprint: string): void {
    this.#crashProbe.check(endpoint, fingerprint)
  }

  /** Drops an endpoint whose address another one now has. */
  noteMisdirected ({ record }: EndpointView): void {
    this.endpoints.noteReplaced(record.id)
    this.forget(record.id)
    this.log('endpoint-changed', { endpoint: record.id, change: 'gone', reason: 'misdirected' })
  }

  /** Forgets the measurements of an endpoint that is gone or was restarted. */
  forget (endpoint: string): void {
    this.selection.forget(endpoint)
    this.liveness.forget(endpoint)
  }

  addExchange (exchange: Exchange): void {
    this.#exchanges.add(exchange)
    this.metrics.observe('requests_in_flight', this.#exchanges.size)
  }

  removeExchange (exchange: Exchange): void {
    this.#exchanges.delete(exchange)
    this.metrics.observe('requests_in_flight', this.#exchanges.size)
  }

  /** @returns requests in flight */
  listExchanges (): readonly Exchange[] {
    return [...this.#exchanges]
  }

  #handleCrash (endpoint: EndpointView, fingerprints: readonly string[]): void {
    const nowMs = this.getNowMs()
    this.log('endpoint-crashed', { endpoint: endpoint.record.id, inFlight: fingerprints.length })
    for (const fingerprint of fingerprints) {
      const count = this.crashes.noteCrash(fingerprint, nowMs)
      this.log(this.crashes.isQuarantined(fingerprint, nowMs) ? 'request-quarantined' : 'request-suspected', { fingerprint, count, endpoint: endpoint.record.id })
    }
  }
}
