/** Limits the memory of answers that are read completely before they are sent on. */

/** Largest answer in bytes. */
export const ANSWER_BYTES_MAX = 8 * 1024 * 1024

/** Most bytes of all answers that are being read; a gateway has 250 MB for everything. */
export const ANSWERS_BYTES_MAX = 32 * 1024 * 1024

/** Memory in bytes that a part of an answer takes in addition to its own bytes; parts may be very small. */
const PART_OVERHEAD_BYTES = 128

interface Buffered {
  bytes: number
  readonly drop: () => void
}

/** Bytes of the answers that are being read, by attempt. */
export class AnswerBuffers {
  readonly #buffered = new Map<object, Buffered>()
  #bytes = 0

  private constructor () {}

  /** @returns buffers without answers */
  static create (): AnswerBuffers {
    return new AnswerBuffers()
  }

  /**
   * Counts a part of an answer. Drops it when it is too large, and the largest answer when all together are.
   *
   * @param owner - the attempt
   * @param partBytes - size of the part in bytes
   * @param drop - called when the answer must be given up; its owner then calls `remove`
   */
  add (owner: object, partBytes: number, drop: () => void): void {
    const bytes = partBytes + PART_OVERHEAD_BYTES
    const buffered = this.#buffered.get(owner) ?? { bytes: 0, drop }
    this.#buffered.set(owner, buffered)
    buffered.bytes += bytes
    this.#bytes += bytes
    if (buffered.bytes > ANSWER_BYTES_MAX) {
      drop()
    } else if (this.#bytes > ANSWERS_BYTES_MAX) {
      const largest = [...this.#buffered.values()].reduce((a, b) => b.bytes > a.bytes ? b : a)
      largest.drop()
    }
  }

  /** Releases the bytes of an answer that was sent on or given up. */
  remove (owner: object): void {
    this.#bytes -= this.#buffered.get(owner)?.bytes ?? 0
    this.#buffered.delete(owner)
  }

  /** @returns bytes of all answers that are being read */
  countBytes (): number {
    return this.#bytes
  }
}
