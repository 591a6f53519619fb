/** Retries allowed per first attempt. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1

/** Retries that are allowed before any first attempt was counted. */
const INITIAL_RETRIES = 3

/** Largest count of retries saved up. */
const RETRIES_MAX = 100

/** Bounds the extra load of retries and hedges per service. */
export class RetryBudget {
  readonly #available = new Map<string, number>()

  private constructor () {}

  /** @returns a budget with the reserve for each service */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  /** Notes a first attempt. */
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
