/** Limit on callers and strangers that was reached. */
export type LimitReason = 'connections' | 'replaced' | 'unread' | 'overdue' | 'requests' | 'memory' | 'handshakes' | 'hello'

/** Where a `LimitLog` writes. */
export interface LimitLogOptions<Limit> {
  /** Least time in ms between two log lines on one limit: a crowd would write one for each of its connections. */
  readonly intervalMs: number
  /** Counts one time that a limit was reached, for the metrics. */
  count (limit: Limit): void
  /** Logs how often a limit was reached since its last line. */
  write (limit: Limit, count: number): void
}

/** Counts each time that a limit was reached, and logs it at most once in an interval. */
export class LimitLog<Limit extends string = LimitReason> {
  readonly #options: LimitLogOptions<Limit>
  readonly #pending = new Map<Limit, number>()

  private constructor (options: LimitLogOptions<Limit>) {
    this.#options = options
  }

  /**
   * @param options - log and metrics of the process
   * @returns a log without pending lines
   */
  static create<Limit extends string = LimitReason> (options: LimitLogOptions<Limit>): LimitLog<Limit> {
    return new LimitLog(options)
  }

  /**
   * Notes that a limit was reached.
   *
   * @param limit - the limit
   */
  note (limit: Limit): void {
    this.#options.count(limit)
    const count = this.#pending.get(limit)
    this.#pending.set(limit, (count ?? 0) + 1)
    if (count === undefined) setTimeout(() => { this.#write(limit) }, this.#options.intervalMs).unref()
  }

  #write (limit: Limit): void {
    const count = this.#pending.get(limit) ?? 0
    this.#pending.delete(limit)
    this.#options.write(limit, count)
  }
}
