import { Random } from '../../src/kernel/random.js'

/** Time between two reports of load, in ms. */
export const INTERVAL_MS = 10_000
/** Tokens that a layer routes in one interval. */
const TOKENS = 2_000_000
/** Exponent of the Zipf law. */
const ZIPF = 0.8
/** Part of neighbouring ranks that exchange places in one interval. */
const DRIFT = 0.01
/** Intervals between sudden swaps of hot and cold experts in some layers. */
export const SWAP_EVERY = 60

/** True popularity of one layer's experts: a Zipf law whose ranks drift and sometimes swap. */
export class PopularityModel {
  readonly #random: Random
  readonly #order: number[][]
  readonly #law: Float64Array
  readonly #shares: Float64Array[]
  #interval = 0

  private constructor (seed: number, layers: number, experts: number) {
    this.#random = Random.create(seed)
    this.#law = Float64Array.from({ length: experts }, (_, place) => 1 / (place + 1) ** ZIPF)
    const sum = this.#law.reduce((total, share) => total + share, 0)
    this.#law.forEach((share, place) => { this.#law[place] = share / sum })
    this.#order = Array.from({ length: layers }, () => {
      const order = Array.from({ length: experts }, (_, expert) => expert)
      for (let place = experts - 1; place > 0; place -= 1) exchange(order, place, this.#random.pickInt(place + 1))
      return order
    })
    this.#shares = this.#order.map(() => new Float64Array(experts))
    this.#updateShares()
  }

  static create (seed: number, layers: number, experts: number): PopularityModel {
    return new PopularityModel(seed, layers, experts)
  }

  getShares (): readonly Float64Array[] {
    return this.#shares
  }

  /** Counts of tokens with sampling noise, by layer and expert. */
  listCounts (): readonly Float64Array[] {
    return this.#shares.map(shares => shares.map(share => {
      const mean = share * TOKENS
      const noise = (this.#random.pickFloat() + this.#random.pickFloat() + this.#random.pickFloat() - 1.5) * 2
      return Math.max(0, Math.round(mean + noise * Math.sqrt(mean)))
    }))
  }

  /** Moves on by one interval. */
  update (): void {
    this.#interval += 1
    for (const order of this.#order) {
      const exchanges = Math.round(order.length * DRIFT)
      for (let count = 0; count < exchanges; count += 1) {
        const place = this.#random.pickInt(order.length - 1)
        exchange(order, place, place + 1)
      }
      if (this.#interval % SWAP_EVERY === 0 && this.#random.pickInt(4) === 0) {
        for (let count = 0; count < 3; count += 1) exchange(order, this.#random.pickInt(8), 8 + this.#random.pickInt(order.length - 8))
      }
    }
    this.#updateShares()
  }

  #updateShares (): void {
    this.#order.forEach((order, layer) => order.forEach((expert, place) => { this.#shares[layer]![expert] = this.#law[place]! }))
  }
}

function exchange (order: number[], a: number, b: number): void {
  const held = order[a]!
  order[a] = order[b]!
  order[b] = held
}
