/** Stops a gateway within its grace period without cutting off what it has taken. */

import type { GatewayContext } from './context.js'
import type { CallerServer } from './server.js'

/** Interval in ms at which a stop checks whether it is done. */
const CHECK_INTERVAL_MS = 100

/** Shares of the grace period after which connections are closed and all new requests are refused. */
const CLOSING_SHARE = 0.1
const REFUSING_SHARE = 0.4

/** Share of the grace period after which requests in flight get their final answer. */
const END_SHARE = 0.93

/** Share of the grace period after which the process ends even if answers are being sent. */
const SENT_SHARE = 0.985

/** Time in ms after the listener is closed for which a connection without a request may still send one. */
const LINGER_MS = 500

/** Parts of a gateway that a stop uses. */
export interface PlannedStopOptions {
  readonly context: Pick<GatewayContext, 'getNowMs' | 'listExchanges' | 'log'>
  readonly callers: Pick<CallerServer, 'startLeaving' | 'updateStage' | 'openRequests' | 'openConnections'>
  /** Time from the stop signal to the kill, in ms. */
  readonly graceMs: number
}

/** A planned stop in progress. */
export class PlannedStop {
  readonly #options: PlannedStopOptions
  readonly #startedAtMs: number
  #closedAtMs: number | undefined
  #hasAborted = false

  private constructor (options: PlannedStopOptions) {
    this.#options = options
    this.#startedAtMs = options.context.getNowMs()
  }

  /**
   * @param options - the server, and the time that there is
   * @returns a stop that begins now
   */
  static create (options: PlannedStopOptions): PlannedStop {
    return new PlannedStop(options)
  }

  /**
   * Runs the stop.
   *
   * @param handleEnd - called when everything is answered and sent, or the time is over
   */
  start (handleEnd: () => void): void {
    const { callers, graceMs } = this.#options
    callers.startLeaving(this.#startedAtMs + graceMs * END_SHARE)
    setTimeout(() => { callers.updateStage('closing-connections') }, graceMs * CLOSING_SHARE)
    setTimeout(() => { callers.updateStage('refusing') }, graceMs * REFUSING_SHARE)
    const timer = setInterval(() => {
      if (!this.#check()) return
      clearInterval(timer)
      handleEnd()
    }, CHECK_INTERVAL_MS)
  }

  /** @returns whether the process can end */
  #check (): boolean {
    const { context, callers, graceMs } = this.#options
    const nowMs = context.getNowMs()
    const elapsedMs = nowMs - this.#startedAtMs
    if (this.#closedAtMs === undefined && elapsedMs >= graceMs * (REFUSING_SHARE + CLOSING_SHARE) && callers.openRequests === 0) {
      this.#closedAtMs = nowMs
      callers.updateStage('closed')
    }
    if (elapsedMs >= graceMs * END_SHARE) {
      this.#abortRequests()
      return callers.openRequests === 0 || elapsedMs >= graceMs * SENT_SHARE
    }
    return this.#closedAtMs !== undefined && callers.openRequests === 0 && (callers.openConnections === 0 || nowMs - this.#closedAtMs >= LINGER_MS)
  }

  #abortRequests (): void {
    if (this.#hasAborted) return
    this.#hasAborted = true
    const { context } = this.#options
    const exchanges = context.listExchanges()
    if (exchanges.length > 0) context.log('work-cut', { count: exchanges.length })
    for (const exchange of exchanges) exchange.abort()
  }
}
