/** Tells a crashed endpoint from a broken connection by connecting to it once more. */

import { connect } from 'node:net'
import type { EndpointView } from '../plugins/gateway/endpoints.js'

/** Time in ms in which requests broken by one crash are collected. */
const COLLECT_MS = 50

/** Longest time in ms to connect. */
const CONNECT_TIMEOUT_MS = 500

type CrashHandler = (endpoint: EndpointView, fingerprints: readonly string[]) => void

/** Connects to endpoints that broke answers off. */
export class CrashProbe {
  readonly #handleCrash: CrashHandler
  readonly #fingerprints = new Map<string, Set<string>>()

  private constructor (handleCrash: CrashHandler) {
    this.#handleCrash = handleCrash
  }

  /**
   * @param handleCrash - told an endpoint that takes no connection and the requests that it ran
   * @returns a probe
   */
  static create (handleCrash: CrashHandler): CrashProbe {
    return new CrashProbe(handleCrash)
  }

  /**
   * @param endpoint - endpoint that broke an answer off
   * @param fingerprint - request that ran there
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
    // Silence may be a partition; only a refused connection shows a dead process.
    socket.once('timeout', () => { finish(false) })
  }
}
