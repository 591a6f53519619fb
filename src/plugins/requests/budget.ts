/** Retries that each first attempt adds to the budget. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1

/** Retries available before the first request of a service. */
const INITIAL_RETRIES = 3

/** Largest count of unused retries. */
const RETRIES_MAX = 100

/** Retry budget per service; limits the extra load of retries and hedges. */
export class RetryBudget {
  readonly #available = new Map<string, number>()

  private constructor () {}

  /** @returns a budget with `INITIAL_RETRIES` for each service */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  /** Adds the retries that a first attempt allows. */
  noteFirstAttempt (service: string): void {
    this.#available.set(service, Math.min(RETRIES_MAX, this.#getAvailable(service) + RETRIES_PER_FIRST_ATTEMPT))
  }

  /**
   * Spends one retry.
   *
   * @param service - name of the service
   * @returns false when the budget does not allow it
   */
  acceptRetry (service: string): boolean {
    const available = this.#getAvailable(service)
    if (available < 1) return false
    this.#available.set(service, available - 1)
    return true
  }

  #getAvailable (service: string): number {
    return this.#available.get(service) ?? INITIAL_RETRIES
  }
}
