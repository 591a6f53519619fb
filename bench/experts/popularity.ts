import { Random } from '../../src/kernel/random.js'

/** Time between two reports of load, in ms. */
export const INTERVAL_MS = 10_000
/** Number of tokens that a layer routes in one interval. */
const TOKENS_PER_INTERVAL = 2_000_000
/** Exponent of the Zipf distribution. */
const ZIPF_EXPONENT = 0.8
/** Number of swaps of neighbours in the popularity order in one interval, as a share of the experts. */
const DRIFT_SHARE = 0.01
/** Number of intervals between sudden swaps of hot and cold experts in some layers. */
export const SWAP_INTERVALS = 60

/** Actual popularity of each layer's experts: a Zipf distribution whose order drifts gradually and sometimes changes suddenly. */
export class PopularityModel {
  readonly #random: Random
  readonly #expertsByPopularity: number[][]
  readonly #zipfShares: Float64Array
  readonly #shares: Float64Array[]
  #interval = 0

  private constructor (seed: number, layers: number, experts: number) {
    this.#random = Random.create(seed)
    this.#zipfShares = Float64Array.from({ length: experts }, (_, position) => 1 / (position + 1) ** ZIPF_EXPONENT)
    const sum = this.#zipfShares.reduce((total, share) => total + share, 0)
    this.#zipfShares.forEach((share, position) => { this.#zipfShares[position] = share / sum })
    this.#expertsByPopularity = Array.from({ length: layers }, () => {
      const order = Array.from({ length: experts }, (_, expert) => expert)
      for (let position = experts - 1; position > 0; position -= 1) swap(order, position, this.#random.pickInt(position + 1))
      return order
    })
    this.#shares = this.#expertsByPopularity.map(() => new Float64Array(experts))
    this.#updateShares()
  }

  static create (seed: number, layers: number, experts: number): PopularityModel {
    return new PopularityModel(seed, layers, experts)
  }

  getShares (): readonly Float64Array[] {
    return this.#shares
  }

  /** Lists token counts with sampling noise, by layer and expert. */
  listCounts (): readonly Float64Array[] {
    return this.#shares.map(shares => shares.map(share => {
      const mean = share * TOKENS_PER_INTERVAL
      const noise = (this.#random.pickFloat() + this.#random.pickFloat() + this.#random.pickFloat() - 1.5) * 2
      return Math.max(0, Math.round(mean + noise * Math.sqrt(mean)))
    }))
  }

  /** Advances the model by one interval. */
  update (): void {
    this.#interval += 1
    for (const order of this.#expertsByPopularity) {
      const swaps = Math.round(order.length * DRIFT_SHARE)
      for (let count = 0; count < swaps; count += 1) {
        const position = this.#random.pickInt(order.length - 1)
        swap(order, position, position + 1)
      }
      if (this.#interval % SWAP_INTERVALS === 0 && this.#random.pickInt(4) === 0) {
        for (let count = 0; count < 3; count += 1) swap(order, this.#random.pickInt(8), 8 + this.#random.pickInt(order.length - 8))
      }
    }
    this.#updateShares()
  }

  #updateShares (): void {
    this.#expertsByPopularity.forEach((order, layer) => order.forEach((expert, position) => { this.#shares[layer]![expert] = this.#zipfShares[position]! }))
  }
}

function swap (order: number[], a: number, b: number): void {
  const first = order[a]!
  order[a] = order[b]!
  order[b] = first
}
