/** Recent demand for each expert, from counters that ranks keep from their start. */

/** Time constant in ms of the exponential decay of counts; demand shifts every few seconds. */
const DECAY_MS = 1_200

/** Weight of the latest reading in the usual difference between readings. */
const USUAL_WEIGHT = 0.1

/** Mean deviations above the usual difference from which a difference is a shift of demand. */
const SHIFT_DEVIATIONS = 4

/** Differences that are known before one counts as a shift. */
const DIFFERENCES_MIN = 5

/** Counters of one rank. */
export interface RankCounts {
  readonly rank: number
  /** Identifies the start of the rank and the epoch of its group; only counters of one incarnation are compared. */
  readonly incarnation: string
  /** Tokens by layer and expert, flattened into one list. */
  readonly counts: readonly number[]
}

/** Shift of demand between the latest counters and those before. */
export interface DemandShift {
  /** Squared distance of the shares over that of two samples of one demand; `usual` is the mean of earlier readings. */
  readonly difference: number
  readonly usual: number
  /** Share of the earlier counts that is kept. */
  readonly kept: number
}

/** Comparison of the latest counts of a layer with those before. */
interface LayerDifference {
  /** Squared distance of the shares. */
  readonly distance: number
  /** Expected distance of samples of one demand, and the part of it that the earlier counts cause. */
  readonly noise: number
  readonly noiseBefore: number
}

/**
 * Exponentially decayed token counts by layer and expert. When the latest counts differ
 * from those before by more than readings usually do, the earlier ones are forgotten as far as
 * they are worse evidence than the latest.
 */
export class RecentPopularity {
  readonly #layers: number
  readonly #experts: number
  readonly #sums: Float64Array
  readonly #last = new Map<number, RankCounts>()
  #updatedAtMs = 0
  /** Mean of the differences so far, in expected distances of samples of one demand, and their mean deviation; tokens of one request choose alike, so it is above 1. */
  #usual = 0
  #deviation = 0
  #differences = 0

  private constructor (layers: number, experts: number) {
    this.#layers = layers
    this.#experts = experts
    this.#sums = new Float64Array(layers * experts)
  }

  /**
   * @param layers - count of layers with maps
   * @param experts - experts in each layer
   * @returns an estimate without counts
   */
  static create (layers: number, experts: number): RecentPopularity {
    return new RecentPopularity(layers, experts)
  }

  /**
   * Adds the tokens that ranks counted since their previous reports.
   *
   * @param reports - counters of some or all ranks
   * @param nowMs - monotonic time in ms
   * @returns the shift of demand that they show, if any
   */
  noteCounts (reports: readonly RankCounts[], nowMs: number): DemandShift | undefined {
    const weight = Math.exp(-(nowMs - this.#updatedAtMs) / DECAY_MS)
    this.#updatedAtMs = nowMs
    for (let at = 0; at < this.#sums.length; at += 1) this.#sums[at]! *= weight
    const latest = new Float64Array(this.#sums.length)
    for (const report of reports) {
      // Counters that were read badly are as a missing reading.
      if (report.counts.length !== this.#sums.length) continue
      const last = this.#last.get(report.rank)
      this.#last.set(report.rank, report)
      if (last?.incarnation !== report.incarnation) continue
      for (let at = 0; at < latest.length; at += 1) latest[at]! += Math.max(0, report.counts[at]! - last.counts[at]!)
    }
    const shift = this.#detectShift(latest)
    for (let at = 0; at < latest.length; at += 1) this.#sums[at]! += latest[at]!
    return shift
  }

  #detectShift (latest: Float64Array): DemandShift | undefined {
    const layers = Array.from({ length: this.#layers }, (_, layer) => this.#compareLayer(latest, layer * this.#experts))
    const known = layers.filter(layer => layer !== undefined)
    if (known.length === 0) return undefined
    const difference = known.reduce((sum, { distance, noise }) => sum + distance / noise, 0) / known.length
    const usual = this.#usual
    const isShift = this.#differences >= DIFFERENCES_MIN && difference > usual + SHIFT_DEVIATIONS * this.#deviation
    this.#noteDifference(isShift ? usual + SHIFT_DEVIATIONS * this.#deviation : difference)
    if (!isShift) return undefined
    let kept = 0
    layers.forEach((layer, index) => {
      const share = layer === undefined ? 1 : computeKeptShare(layer, usual)
      kept += share / layers.length
      for (let at = index * this.#experts; at < (index + 1) * this.#experts; at += 1) this.#sums[at]! *= share
    })
    return { difference, usual, kept }
  }

  #noteDifference (difference: number): void {
    this.#differences += 1
    const weight = Math.max(USUAL_WEIGHT, 1 / this.#differences)
    this.#deviation += weight * (Math.abs(difference - this.#usual) - this.#deviation)
    this.#usual += weight * (difference - this.#usual)
  }

  /** Compares the latest counts of a layer with the earlier ones; undefined when there are none of either. */
  #compareLayer (latest: Float64Array, from: number): LayerDifference | undefined {
    let before = 0
    let now = 0
    for (let at = from; at < from + this.#experts; at += 1) {
      before += this.#sums[at]!
      now += latest[at]!
    }
    if (before < 1 || now < 1) return undefined
    let distance = 0
    let squares = 0
    for (let at = from; at < from + this.#experts; at += 1) {
      distance += (latest[at]! / now - this.#sums[at]! / before) ** 2
      squares += ((latest[at]! + this.#sums[at]!) / (now + before)) ** 2
    }
    const variance = 1 - squares
    return variance <= 0 ? undefined : { distance, noise: variance * (1 / now + 1 / before), noiseBefore: variance / before }
  }

  /** @returns decayed count of tokens, averaged over the layers */
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

/** Share of the earlier counts at which they are as good an estimate as counts of the new demand: their error is the noise and the shift. */
function computeKeptShare ({ distance, noise, noiseBefore }: LayerDifference, usual: number): number {
  const shift = Math.max(0, distance - usual * noise)
  return usual * noiseBefore / (usual * noiseBefore + shift)
}
