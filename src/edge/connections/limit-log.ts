import type { Logger } from '../log/logger.js'
import type { Metrics } from '../metrics/metrics.js'

/** Limit on callers and strangers that was reached. */
export type LimitReason = 'connections' | 'replaced' | 'unread' | 'overdue' | 'requests' | 'memory' | 'handshakes' | 'hello'

/** Least time between two log lines on one limit, in ms: a crowd would write one for each of its connections. */
const LOG_INTERVAL_MS = 1_000

/** Counts each time that a limit was reached, and logs it at most once a second. */
export class LimitLog {
  readonly #logger: Logger
  readonly #metrics: Metrics
  readonly #pending = new Map<LimitReason, number>()

  private constructor (logger: Logger, metrics: Metrics) {
    this.#logger = logger
    this.#metrics = metrics
  }

  /**
   * @param logger - log of the process
   * @param metrics - metrics of the process
   * @returns a log without pending lines
   */
  static create (logger: Logger, metrics: Metrics): LimitLog {
    return new LimitLog(logger, metrics)
  }

  /**
   * Notes that a limit was reached.
   *
   * @param limit - the limit
   */
  note (limit: LimitReason): void {
    this.#metrics.count('limits_reached', limit)
    const count = this.#pending.get(limit)
    this.#pending.set(limit, (count ?? 0) + 1)
    if (count === undefined) setTimeout(() => { this.#write(limit) }, LOG_INTERVAL_MS).unref()
  }

  #write (limit: LimitReason): void {
    this.#logger.write('limit-reached', { limit, count: this.#pending.get(limit) ?? 0 })
    this.#pending.delete(limit)
  }
}
