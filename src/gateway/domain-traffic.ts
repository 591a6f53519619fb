/** Counts the bytes that pass between the own failure domain and others, by purpose. */

import type { Metrics } from '../edge/metrics/metrics.js'

/** What bytes between failure domains are sent for: requests and answers, permits, readings of ranks, orders to ranks, messages of gateways. */
export type TrafficPurpose = 'request' | 'permit' | 'reading' | 'order' | 'gateway'

/** Counter of one process. */
export class DomainTraffic {
  readonly #domain: string
  readonly #metrics: Pick<Metrics, 'count'>
  readonly #domainsByHost = new Map<string, string>()

  private constructor (domain: string, metrics: Pick<Metrics, 'count'>) {
    this.#domain = domain
    this.#metrics = metrics
  }

  /**
   * @param domain - own failure domain
   * @param metrics - metrics of the process
   * @returns a counter that knows no hosts
   */
  static create (domain: string, metrics: Pick<Metrics, 'count'>): DomainTraffic {
    return new DomainTraffic(domain, metrics)
  }

  /** Records where a host is. */
  noteHost (host: string, domain: string): void {
    this.#domainsByHost.set(host, domain)
  }

  /**
   * Counts bytes that were exchanged with a host; those of unknown hosts and of the own failure domain do not count.
   *
   * @param bytes - bytes sent and received, without the headers of TCP, UDP and IP
   */
  note (purpose: TrafficPurpose, host: string, bytes: number): void {
    const domain = this.#domainsByHost.get(host)
    if (domain !== undefined && domain !== this.#domain) this.#metrics.count('domain_bytes', purpose, bytes)
  }
}
