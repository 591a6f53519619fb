/**
 * Handles the requests of the operations listener: health, readiness, metrics,
 * status and `explain`. The HTTP servers of all roles use it.
 */

import type { Kernel } from '../kernel/kernel.js'
import type { PeerView } from '../kernel/ports.js'
import { observeGauges } from './metrics/gauges.js'
import type { Metrics } from './metrics/metrics.js'
import type { OperatorKeys } from './security/credentials.js'
import { getNowMs } from './clock.js'

/** Response to a request on the operations listener. */
export interface OperationsResponse {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** What `Operations` is created with. */
export interface OperationsOptions {
  readonly kernel: Kernel
  readonly metrics: Metrics
  readonly operators: OperatorKeys
}

/** Largest count of connections to the operations listener: a few operators, probes and collectors of metrics. */
export const OPERATIONS_CONNECTIONS_MAX = 64

const JSON_TYPE = 'application/json'
const EXPLAIN_PATH = '/v1/explain/'

/** Request handler of the operations listener of one process. */
export class Operations {
  readonly #options: OperationsOptions

  private constructor (options: OperationsOptions) {
    this.#options = options
  }

  /**
   * @param options - kernel, metrics and operator credentials
   * @returns the request handler
   */
  static create (options: OperationsOptions): Operations {
    return new Operations(options)
  }

  /**
   * Health, readiness and metrics need no credential, since probes hold none and
   * the responses name no team. Every other path needs an operator's credential.
   *
   * @param path - request path without the query
   * @param authorization - value of the `authorization` header
   * @returns the response
   */
  async handleRequest (path: string, authorization: string | undefined): Promise<OperationsResponse> {
    if (path === '/healthz') return formatJson(200, { status: 'ok' })
    if (path === '/readyz') return this.#describeReadiness()
    if (path === '/metrics') return await this.#formatMetrics()
    if (this.#options.operators.verifyHeader(authorization) === undefined) return formatJson(401, { error: { kind: 'unauthenticated' } })
    if (path === '/v1/status') return formatJson(200, this.#describeStatus())
    if (path.startsWith(EXPLAIN_PATH)) return this.#describeRequest(path.slice(EXPLAIN_PATH.length))
    return formatJson(404, { error: { kind: 'unknown-path' } })
  }

  async #formatMetrics (): Promise<OperationsResponse> {
    const { kernel, metrics } = this.#options
    observeGauges(kernel, metrics)
    return { status: 200, contentType: 'text/plain; version=0.0.4', body: await metrics.format() }
  }

  #describeReadiness (): OperationsResponse {
    const { kernel } = this.#options
    const hasConfiguration = kernel.getPort('configuration').getCurrent().version > 0
    const leaving = kernel.getPort('membership').isLeaving()
    return formatJson(hasConfiguration && !leaving ? 200 : 503, { configuration: hasConfiguration, leaving })
  }

  #describeStatus (): unknown {
    const { kernel } = this.#options
    const configuration = kernel.getPort('configuration')
    const current = configuration.getCurrent()
    return {
      process: kernel.self,
      configuration: { version: current.version, in_force_for_ms: getNowMs() - configuration.getInForceSinceMs() },
      failure_domains: current.domains.map(domain => ({ name: domain.name, state: domain.state })),
      draining_hosts: current.drainingHosts,
      leaving: kernel.getPort('membership').isLeaving(),
      peers: kernel.getPort('membership').listPeers().map(describePeer),
      ...(kernel.self.role === 'entry'
        ? { in_flight: kernel.getPort('requests').countInFlight() }
        : { endpoint: kernel.getPort('admission').describeState(), records: kernel.getPort('outcomes').countRecords() })
    }
  }

  #describeRequest (requestId: string): OperationsResponse {
    const { kernel } = this.#options
    const steps = kernel.self.role === 'entry' ? kernel.getPort('requests').explain(requestId) : undefined
    if (steps === undefined) return formatJson(404, { error: { kind: 'unknown-path', message: 'The request is not remembered here.' } })
    return formatJson(200, { request_id: requestId, steps })
  }
}

function describePeer (peer: PeerView): unknown {
  return {
    id: peer.process.id,
    role: peer.process.role,
    failure_domain: peer.process.domain,
    incarnation: peer.process.incarnation,
    heard_ms_ago: getNowMs() - peer.heardAtMs,
    configuration_version: peer.configVersion,
    ...(peer.endpoint === undefined ? {} : { endpoint: peer.endpoint })
  }
}

function formatJson (status: number, value: unknown): OperationsResponse {
  return { status, contentType: JSON_TYPE, body: `${JSON.stringify(value)}\n` }
}
