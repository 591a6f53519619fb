/**
 * When a caller who was refused should come back. Answers two loads: more
 * requests than the endpoints take, where returns must not meet the next
 * refusal, and a group that has lost a rank, where nothing runs for seconds.
 */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { NamedWindows } from './window.js'

/** Window in ms over which the share of refusals is taken. */
const REFUSAL_WINDOW_MS = 1_000

/** Shortest advice in ms: a place becomes free within about a tenth of a request. */
const BASE_WAIT_MS = 200

/** Advice in ms beyond the shortest when every request is refused: about the length of a request. */
const LOAD_WAIT_MS = 2_000

/** Advice in ms while a service has lost endpoints: a restart and the forming of a group take seconds. */
const RECOVERY_WAIT_MS = 2_000

/** Share by which advice varies, so that callers do not return together. */
const JITTER = 0.5

/** Why a request that did not run is refused. */
export type RefusalCause =
  /** Endpoints have no room. */
  | 'full'
  /** No endpoint is usable, or the group of the endpoint has lost a rank. */
  | 'lost'

/** Advice to callers who are refused. */
export interface RetryAfterPort {
  noteServed (service: string, nowMs: number): void
  /**
   * Notes a refusal and says when to come back.
   *
   * @param fraction - random number from 0 to 1
   * @returns time in ms
   */
  computeRetryAfterMs (service: string, cause: RefusalCause, fraction: number, nowMs: number): number
}

/** Share of refusals by service. */
export class RetryAfterPlugin implements Plugin, RetryAfterPort {
  readonly name = 'retryAfter'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'retryAfter'> = { retryAfter: this }
  readonly #served = NamedWindows.create(REFUSAL_WINDOW_MS)
  readonly #refused = NamedWindows.create(REFUSAL_WINDOW_MS)

  private constructor () {}

  /** @returns advice without counts */
  static create (): RetryAfterPlugin {
    return new RetryAfterPlugin()
  }

  handle (): void {}

  noteServed (service: string, nowMs: number): void {
    this.#served.get(service).add(nowMs)
  }

  computeRetryAfterMs (service: string, cause: RefusalCause, fraction: number, nowMs: number): number {
    this.#refused.get(service).add(nowMs)
    const refused = this.#refused.get(service).count(nowMs)
    const share = refused / (refused + this.#served.get(service).count(nowMs))
    const baseMs = cause === 'lost' ? RECOVERY_WAIT_MS : BASE_WAIT_MS + LOAD_WAIT_MS * share
    return baseMs * (1 + JITTER * fraction)
  }
}

registerPlugin({ name: 'retryAfter', roles: ['gateway'], create: () => RetryAfterPlugin.create() })
