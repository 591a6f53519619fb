/** Collects bytes that arrive in parts, however small, in about as much memory as they take joined. */

/** Sizes in bytes of the first block and of the largest. */
const BLOCK_BYTES_MIN = 1024
const BLOCK_BYTES_MAX = 64 * 1024

/** Bytes that a part counts for in addition to its own, for the time that it takes to handle it. */
const PART_COST_BYTES = 128

/** Bytes of one body or event. Parts are copied: one of a few bytes may keep the whole buffer alive that it was read into. */
export class ByteCollector {
  #blocks: Buffer[] = []
  #block: Buffer
  #used = 0
  #bytes = 0
  #parts = 0

  private constructor (expectedBytes: number) {
    this.#block = Buffer.allocUnsafeSlow(expectedBytes)
  }

  /**
   * @param expectedBytes - number of bytes when it is known
   * @returns a collector without bytes
   */
  static create (expectedBytes = 0): ByteCollector {
    return new ByteCollector(expectedBytes)
  }

  /** Number of bytes collected. */
  get bytes (): number {
    return this.#bytes
  }

  /** Bytes collected, with the cost of their parts: endless parts of a few bytes are given up before they take long. */
  get cost (): number {
    return this.#bytes + PART_COST_BYTES * this.#parts
  }

  add (part: Buffer): void {
    this.#parts += 1
    const fitting = part.copy(this.#block, this.#used)
    this.#used += fitting
    this.#bytes += part.length
    if (fitting === part.length) return
    this.#blocks.push(this.#block)
    const rest = part.subarray(fitting)
    this.#block = Buffer.allocUnsafeSlow(Math.max(rest.length, BLOCK_BYTES_MIN, Math.min(BLOCK_BYTES_MAX, 2 * this.#block.length)))
    this.#used = rest.copy(this.#block)
  }

  /** @returns all bytes */
  join (): Buffer {
    const last = this.#block.subarray(0, this.#used)
    return this.#blocks.length === 0 ? last : Buffer.concat([...this.#blocks, last], this.#bytes)
  }
}
