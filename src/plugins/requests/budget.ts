/** Retries allowed per first attempt. */
const RETRY_SHARE = 0.1

/** Retries that are allowed before any first attempt was counted. */
const RESERVE = 3

/** Largest count of retries saved up. */
const SAVED_MAX = 100

/** Bounds the extra load of retries and hedges per service. */
export class RetryBudget {
  readonly #left = new Map<string, number>()

  private constructor () {}

  /** @returns a budget with the reserve for each service */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  /** Notes a first attempt. */
  noteFirstAttempt (service: string): void {
    this.#left.set(service, Math.min(SAVED_MAX, this.#get(service) + RETRY_SHARE))
  }

  /**
   * Spends one retry.
   *
   * @param service - name of the service
   * @returns false when the budget does not allow it
   */
  acceptRetry (service: string): boolean {
    const left = this.#get(service)
    if (left < 1) return false
    this.#left.set(service, left - 1)
    return true
  }

  #get (service: string): number {
    return this.#left.get(service) ?? RESERVE
  }
}
