import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Seeded pseudorandom number generator; the same seed gives the same sequence. */
export class Random {
  readonly #generator: RandomGenerator

  private constructor (generator: RandomGenerator) {
    this.#generator = generator
  }

  /**
   * @param seed - 32-bit integer
   * @returns a generator that starts at the seed
   */
  static create (seed: number): Random {
    return new Random(xoroshiro128plus(seed))
  }

  /**
   * @param exclusiveMax - upper bound, at least 1
   * @returns an integer from 0 up to but not including the bound
   */
  pickInt (exclusiveMax: number): number {
    return uniformInt(this.#generator, 0, exclusiveMax - 1)
  }

  /** @returns a number from 0 up to but not including 1 */
  pickFloat (): number {
    return uniformFloat64(this.#generator)
  }

  /**
   * @param length - number of hexadecimal digits
   * @returns random lower-case hexadecimal text
   */
  pickHex (length: number): string {
    let text = ''
    while (text.length < length) text += this.pickInt(16).toString(16)
    return text
  }
}
