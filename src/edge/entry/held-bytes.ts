/** Bounds the bytes that an entry holds for callers. */

/** A response of which bytes may be unsent. */
export interface HeldAnswer {
  /** @returns bytes that the caller has not taken yet */
  countUnsent (): number
  /** Closes the caller's connection. */
  abandon (): void
}

/** Bytes of request bodies and of unsent responses, bounded in sum. */
export class HeldBytes {
  readonly #bytesMax: number
  readonly #noteLimit: () => void
  readonly #answers = new Map<HeldAnswer, number>()
  #bodyBytes = 0
  #answerBytes = 0

  private constructor (bytesMax: number, noteLimit: () => void) {
    this.#bytesMax = bytesMax
    this.#noteLimit = noteLimit
  }

  /**
   * @param bytesMax - largest sum in bytes
   * @param noteLimit - called when a body is refused or a response abandoned
   * @returns an account that is empty
   */
  static create (bytesMax: number, noteLimit: () => void): HeldBytes {
    return new HeldBytes(bytesMax, noteLimit)
  }

  /**
   * @param bytes - size of a further part of a body
   * @returns whether there is room; if so, the part is counted
   */
  acceptBody (bytes: number): boolean {
    if (this.#bodyBytes + this.#answerBytes + bytes > this.#bytesMax) {
      this.#noteLimit()
      return false
    }
    this.#bodyBytes += bytes
    return true
  }

  /** @param bytes - size of the parts of a body that is no longer held */
  removeBody (bytes: number): void {
    this.#bodyBytes -= bytes
  }

  /**
   * Counts what a response has not sent, and abandons the response that has most when there is no room.
   *
   * @param answer - response that was written to
   */
  noteAnswer (answer: HeldAnswer): void {
    this.#update(answer)
    if (this.#bodyBytes + this.#answerBytes <= this.#bytesMax) return
    // What was sent since the responses were last written to is only seen now. Updates change the order of the map.
    for (const held of [...this.#answers.keys()]) this.#update(held)
    while (this.#bodyBytes + this.#answerBytes > this.#bytesMax && this.#answers.size > 0) {
      const [largest] = [...this.#answers].reduce((most, next) => next[1] > most[1] ? next : most)
      this.removeAnswer(largest)
      this.#noteLimit()
      largest.abandon()
    }
  }

  /** @param answer - response that has ended */
  removeAnswer (answer: HeldAnswer): void {
    this.#answerBytes -= this.#answers.get(answer) ?? 0
    this.#answers.delete(answer)
  }

  #update (answer: HeldAnswer): void {
    const unsentBytes = answer.countUnsent()
    this.removeAnswer(answer)
    if (unsentBytes === 0) return
    this.#answers.set(answer, unsentBytes)
    this.#answerBytes += unsentBytes
  }
}
