/**
 * Answers of the operators' listener, the same for every role; each role's HTTP
 * server passes requests here.
 */

import type { Kernel } from '../kernel/kernel.js'
import type { PeerView } from '../kernel/ports.js'
import { observeGauges } from './metrics/gauges.js'
import type { Metrics } from './metrics/metrics.js'
import type { OperatorKeys } from './security/credentials.js'
import { getNowMs } from './clock.js'

/** An answer to an operator. */
export interface OperationsResponse {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** What the answers are made from. */
export interface OperationsOptions {
  readonly kernel: Kernel
  readonly metrics: Metrics
  readonly operators: OperatorKeys
}

const JSON_TYPE = 'application/json'
const EXPLAIN_PATH = '/v1/explain/'

/** Operators' view of one process. */
export class Operations {
  readonly #options: OperationsOptions

  private constructor (options: OperationsOptions) {
    this.#options = options
  }

  /**
   * @param options - kernel, metrics and the check of credentials
   * @returns the operators' view
   */
  static create (options: OperationsOptions): Operations {
    return new Operations(options)
  }

  /**
   * Health, readiness and metrics are open, since probes hold no credential and
   * the answers name no team; all else needs an operator's credential.
   *
   * @param path - path without the query
   * @param authorization - value of the header
   * @returns the answer
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
