/** Fencing numbers at a stand-in. */

/** Remembers the highest fencing number and refuses older ones if it checks. */
export class FenceGuard {
  readonly #checks: boolean
  #highest = 0

  private constructor (checks: boolean) {
    this.#checks = checks
  }

  /**
   * @param checks - whether older numbers are refused; otherwise all are accepted
   * @returns a guard that has seen no number
   */
  static create (checks: boolean): FenceGuard {
    return new FenceGuard(checks)
  }

  /** Highest number accepted; 0 before the first. */
  get highest (): number {
    return this.#highest
  }

  /**
   * @param fence - fencing number of an order or request
   * @returns whether it may be carried out
   */
  accept (fence: number): boolean {
    if (this.#checks && fence < this.#highest) return false
    this.#highest = Math.max(this.#highest, fence)
    return true
  }
}
