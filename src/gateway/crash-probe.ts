/** Distinguishes a crashed endpoint from a broken connection by connecting again. */

import { connect } from 'node:net'
import type { EndpointView } from '../plugins/gateway/endpoints.js'

/** Time in ms during which requests broken by the same crash are collected. */
const COLLECT_MS = 50

/** Connect timeout in ms. */
const CONNECT_TIMEOUT_MS = 500

type CrashHandler = (endpoint: EndpointView, fingerprints: readonly string[]) => void

/** Connects to endpoints that closed connections before the end of an answer. */
export class CrashProbe {
  readonly #handleCrash: CrashHandler
  readonly #fingerprints = new Map<string, Set<string>>()

  private constructor (handleCrash: CrashHandler) {
    this.#handleCrash = handleCrash
  }

  /**
   * @param handleCrash - called with an endpoint that refuses connections and the fingerprints of the requests it ran
   * @returns a probe
   */
  static create (handleCrash: CrashHandler): CrashProbe {
    return new CrashProbe(handleCrash)
  }

  /**
   * @param endpoint - endpoint whose answer ended early
   * @param fingerprint - fingerprint of the request that ran there
   */
  check (endpoint: EndpointView, fingerprint: string): void {
    const known = this.#fingerprints.get(endpoint.record.id)
    if (known !== undefined) {
      known.add(fingerprint)
      return
    }
    this.#fingerprints.set(endpoint.record.id, new Set([fingerprint]))
    setTimeout(() => { this.#connect(endpoint) }, COLLECT_MS)
  }

  #connect (endpoint: EndpointView): void {
    const { id, address } = endpoint.record
    const socket = connect({ host: address.host, port: address.port, timeout: CONNECT_TIMEOUT_MS })
    const finish = (isCrashed: boolean): void => {
      socket.destroy()
      const fingerprints = this.#fingerprints.get(id)
      this.#fingerprints.delete(id)
      if (isCrashed && fingerprints !== undefined) this.#handleCrash(endpoint, [...fingerprints])
    }
    socket.once('connect', () => { finish(false) })
    socket.once('error', () => { finish(true) })
    // A timeout may be a network partition; only a refused connection proves that the process is dead.
    socket.once('timeout', () => { finish(false) })
  }
}
