/** Distinguishes a crashed endpoint from a broken connection by connecting again. */

import { connect } from 'node:net'
import type { EndpointView } from '../plugins/gateway/endpoints.js'

/** Time in ms during which requests broken by the same crash are collected. */
const COLLECT_MS = 50

/** Connect timeout in ms. */
const CONNECT_TIMEOUT_MS = 500

type CrashHandler<Suspect> = (endpoint: EndpointView, suspects: readonly Suspect[]) => void

interface Check<Suspect> {
  readonly suspects: Suspect[]
  readonly verdictHandlers: (() => void)[]
}

/** Connects to endpoints that closed connections before the end of an answer. */
export class CrashProbe<Suspect> {
  readonly #handleCrash: CrashHandler<Suspect>
  readonly #checks = new Map<string, Check<Suspect>>()

  private constructor (handleCrash: CrashHandler<Suspect>) {
    this.#handleCrash = handleCrash
  }

  /**
   * @param handleCrash - called with an endpoint that refuses connections and the suspects among the requests that it ran
   * @returns a probe
   */
  static create<Suspect> (handleCrash: CrashHandler<Suspect>): CrashProbe<Suspect> {
    return new CrashProbe(handleCrash)
  }

  /**
   * @param endpoint - endpoint whose answer ended early
   * @param suspect - the request that ran there; undefined when it cannot be the cause
   * @param handleVerdict - called after the crash handler, also when the endpoint has not crashed
   */
  check (endpoint: EndpointView, suspect: Suspect | undefined, handleVerdict: () => void): void {
    const { id } = endpoint.record
    let check = this.#checks.get(id)
    if (check === undefined) {
      check = { suspects: [], verdictHandlers: [] }
      this.#checks.set(id, check)
      setTimeout(() => { this.#connect(endpoint) }, COLLECT_MS)
    }
    if (suspect !== undefined) check.suspects.push(suspect)
    check.verdictHandlers.push(handleVerdict)
  }

  #connect (endpoint: EndpointView): void {
    const { id, address } = endpoint.record
    const socket = connect({ host: address.host, port: address.port, timeout: CONNECT_TIMEOUT_MS })
    const finish = (isCrashed: boolean): void => {
      socket.destroy()
      const check = this.#checks.get(id)
      this.#checks.delete(id)
      if (check === undefined) return
      if (isCrashed) this.#handleCrash(endpoint, check.suspects)
      for (const handleVerdict of check.verdictHandlers) handleVerdict()
    }
    socket.once('connect', () => { finish(false) })
    socket.once('error', () => { finish(true) })
    // A timeout may be a network partition; only a refused connection proves that the process is dead.
    socket.once('timeout', () => { finish(false) })
  }
}
