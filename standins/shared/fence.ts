/** Check of fencing numbers in a stand-in. */

/** Tracks the highest fencing number and, if enabled, refuses older ones. */
export class FenceGuard {
  readonly #refusesOlder: boolean
  #highest = 0

  private constructor (refusesOlder: boolean) {
    this.#refusesOlder = refusesOlder
  }

  /**
   * @param refusesOlder - whether older numbers are refused; otherwise all are accepted
   * @returns a guard that has accepted no number yet
   */
  static create (refusesOlder: boolean): FenceGuard {
    return new FenceGuard(refusesOlder)
  }

  /** Highest number accepted; 0 before the first. */
  get highest (): number {
    return this.#highest
  }

  /**
   * @param fence - fencing number of an order or request
   * @returns whether the order or request may be run
   */
  accept (fence: number): boolean {
    if (this.#refusesOlder && fence < this.#highest) return false
    this.#highest = Math.max(this.#highest, fence)
    return true
  }
}
