/** Permit to send one request to an endpoint that is or may be cold; it expires quickly, so that requests cannot pile up behind it. */

import { PERMIT_VALID_MS } from '../plugins/gateway/limit-budgets.js'

/** Clocks by which a permit expires. */
export interface PermitClocks {
  /** Monotonic time in ms; stands still while the host is suspended. */
  getNowMs (): number
  /** Time of day in Unix ms; may jump. */
  getWallMs (): number
}

/** Permit of an agent, or a use of an own share. */
export class Permit {
  readonly #clocks: PermitClocks
  readonly #startsAtMs: number
  readonly #startsAtWallMs: number

  private constructor (clocks: PermitClocks, startsInMs: number) {
    this.#clocks = clocks
    this.#startsAtMs = clocks.getNowMs() + startsInMs
    this.#startsAtWallMs = clocks.getWallMs() + startsInMs
  }

  /**
   * @param clocks - clocks of the process
   * @param startsInMs - time in ms from which the permit applies
   */
  static create (clocks: PermitClocks, startsInMs: number): Permit {
    return new Permit(clocks, startsInMs)
  }

  /** Whether the request may still be sent. A jump of the time of day counts as an expiry, as it may be the end of a suspension. */
  isValid (): boolean {
    const elapsedMs = this.#clocks.getNowMs() - this.#startsAtMs
    const elapsedWallMs = this.#clocks.getWallMs() - this.#startsAtWallMs
    return elapsedMs <= PERMIT_VALID_MS && Math.abs(elapsedWallMs) <= PERMIT_VALID_MS
  }
}
