import type { GroupShape, Placement } from './shape.js'

/**
 * Weight of the latest window in the estimate; 0 to 1. A window has enough tokens that
 * its noise costs less than the lag of an average; see the benchmark in docs/experts.md.
 */
export const POPULARITY_WEIGHT = 1

/** Estimate of each expert's share of the tokens from reports that arrive late and one rank at a time. */
export class Popularity {
  readonly #shape: GroupShape
  readonly #weight: number
  readonly #shares: Float64Array[]
  readonly #window: Float64Array[]
  readonly #reported = new Set<number>()
  #known = false

  private constructor (shape: GroupShape, weight: number) {
    this.#shape = shape
    this.#weight = weight
    this.#shares = Array.from({ length: shape.layers }, () => new Float64Array(shape.experts).fill(1 / shape.experts))
    this.#window = Array.from({ length: shape.layers }, () => new Float64Array(shape.experts))
  }

  /**
   * @param shape - sizes of the group
   * @param weight - weight of the latest window; 0 to 1
   * @returns an estimate with equal shares
   */
  static create (shape: GroupShape, weight: number = POPULARITY_WEIGHT): Popularity {
    return new Popularity(shape, weight)
  }

  /** @returns share of the tokens by layer and expert */
  getShares (): readonly Float64Array[] {
    return this.#shares
  }

  /** @returns whether the estimate includes any window */
  isKnown (): boolean {
    return this.#known
  }

  /**
   * Adds one rank's report to the window.
   *
   * @param rank - index of the rank
   * @param placement - map that the counts were taken with
   * @param counts - tokens by layer and slot
   */
  noteCounts (rank: number, placement: Placement, counts: readonly (readonly number[])[]): void {
    const held = placement[rank]
    if (held === undefined) return
    this.#reported.add(rank)
    counts.forEach((layer, index) => layer.forEach((count, slot) => {
      const expert = held[index]?.[slot]
      if (expert !== undefined && this.#window[index] !== undefined) this.#window[index][expert]! += count
    }))
  }

  /**
   * Merges the window into the estimate once every rank has reported.
   *
   * @returns whether the estimate changed
   */
  updateShares (): boolean {
    if (this.#reported.size < this.#shape.hosts.length) return false
    this.#reported.clear()
    const weight = this.#known ? this.#weight : 1
    this.#known = true
    this.#window.forEach((window, index) => {
      const total = window.reduce((sum, count) => sum + count, 0)
      const shares = this.#shares[index]!
      if (total > 0) window.forEach((count, expert) => { shares[expert] = shares[expert]! * (1 - weight) + count / total * weight })
      window.fill(0)
    })
    return true
  }
}
