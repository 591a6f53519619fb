/** How much each expert is asked for lately, from counters that ranks have kept since they started. */

/** Time constant in ms by which older counts lose weight; demand shifts every few seconds. */
const DECAY_MS = 1_200

/** Counters of one rank. */
export interface RankCounts {
  readonly rank: number
  /** Start of the rank and of its group's epoch; counters of another start are not compared. */
  readonly incarnation: string
  /** Tokens by layer and expert in one list. */
  readonly counts: readonly number[]
}

/** Recent demand for experts by layer. */
export class RecentPopularity {
  readonly #layers: number
  readonly #experts: number
  readonly #sums: Float64Array
  readonly #last = new Map<number, RankCounts>()
  #updatedAtMs = 0

  private constructor (layers: number, experts: number) {
    this.#layers = layers
    this.#experts = experts
    this.#sums = new Float64Array(layers * experts)
  }

  /**
   * @param layers - count of layers with maps
   * @param experts - experts in each layer
   * @returns demand without counts
   */
  static create (layers: number, experts: number): RecentPopularity {
    return new RecentPopularity(layers, experts)
  }

  /**
   * Adds what the ranks counted since their last report.
   *
   * @param reports - counters of some or all ranks
   * @param nowMs - monotonic time in ms
   */
  noteCounts (reports: readonly RankCounts[], nowMs: number): void {
    const weight = Math.exp(-(nowMs - this.#updatedAtMs) / DECAY_MS)
    this.#updatedAtMs = nowMs
    for (let at = 0; at < this.#sums.length; at += 1) this.#sums[at]! *= weight
    for (const report of reports) {
      const last = this.#last.get(report.rank)
      this.#last.set(report.rank, report)
      if (report.counts.length !== this.#sums.length || last?.incarnation !== report.incarnation) continue
      report.counts.forEach((count, at) => { this.#sums[at]! += Math.max(0, count - last.counts[at]!) })
    }
  }

  /** @returns tokens counted lately */
  getTotal (): number {
    return this.#sums.reduce((sum, count) => sum + count, 0) / this.#layers
  }

  /**
   * @param layer - index of the layer
   * @returns share of the tokens by expert; the sum is 1
   */
  getShares (layer: number): Float64Array {
    const shares = this.#sums.slice(layer * this.#experts, (layer + 1) * this.#experts)
    const total = shares.reduce((sum, count) => sum + count, 0)
    return total === 0 ? shares.fill(1 / this.#experts) : shares.map(count => count / total)
  }
}
