/** Decides when the first attempt of a request may start: not into an outage, and behind others when it is late. */

import type { GatewayContext } from './context.js'
import type { LatePass, StartHandlers } from './late-lane.js'
import type { HeldRequest } from './recovery.js'

/** Time in ms until a service works again for which a request that is still on time is held instead of refused. */
const HOLD_ON_TIME_MS = 200

/** Whether a request is held for an outage: a caller that can come back later is refused, so that those that cannot do so again are served first. */
export function isWorthHolding (isLate: boolean, remainingMs: number): boolean {
  return isLate || remainingMs <= HOLD_ON_TIME_MS
}

/** Gate of one request. */
export class StartGate {
  readonly #context: Pick<GatewayContext, 'isAdmittedByAgents' | 'lateLane' | 'recovery'>
  readonly #request: HeldRequest
  readonly #handlers: StartHandlers
  #cancelHold: (() => void) | undefined
  #pass: LatePass | undefined
  #hasLeft = false

  private constructor (context: Pick<GatewayContext, 'isAdmittedByAgents' | 'lateLane' | 'recovery'>, request: HeldRequest, handlers: StartHandlers) {
    this.#context = context
    this.#request = request
    this.#handlers = handlers
  }

  /**
   * @param context - shared context of the gateway
   * @param request - the request
   * @param handlers - called with the decision, possibly more than once when the request is retried
   */
  static create (context: Pick<GatewayContext, 'isAdmittedByAgents' | 'lateLane' | 'recovery'>, request: HeldRequest, handlers: StartHandlers): StartGate {
    return new StartGate(context, request, handlers)
  }

  /**
   * Starts the wait for an attempt.
   *
   * @param isLate - whether the latency target of the request has passed
   * @param mayWait - whether the caller would wait; one that has received part of the answer would leave first
   */
  enter (isLate: boolean, mayWait: boolean): void {
    const remainingMs = this.#context.recovery.findRemainingMs(this.#request.service)
    if (remainingMs === undefined) {
      this.#join(isLate && mayWait)
      return
    }
    this.#cancelHold = mayWait && isWorthHolding(isLate, remainingMs) ? this.#context.recovery.hold(this.#request, () => { this.enter(true, mayWait) }) : undefined
    if (this.#cancelHold === undefined) this.#handlers.refuse()
  }

  /** Records that the request has ended. */
  leave (): void {
    this.#hasLeft = true
    this.#cancelHold?.()
    this.#pass?.leave()
  }

  #join (isPaced: boolean): void {
    // Where agents admit, late requests wait for room like all others, behind those that can be on time.
    if (!isPaced || this.#pass !== undefined || this.#context.isAdmittedByAgents(this.#request.service)) {
      this.#handlers.proceed()
      return
    }
    this.#pass = this.#context.lateLane.enter(this.#request, this.#handlers)
    // A request that cannot be sent to any endpoint ends while it enters.
    if (this.#hasLeft) this.#pass.leave()
  }
}
