/** Finds the blank lines that end the blocks of an event stream, in bytes that arrive in parts. */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** Position in a stream. Lines end with LF, CR LF or CR. */
export class BlankLineScanner {
  #isLineEmpty = true
  /** Whether the last byte was a CR, to which an LF belongs. */
  #hasReturn = false
  /** Whether that CR ended a block. */
  #hasEndedBlock = false

  private constructor () {}

  /** @returns a scanner at the start of a stream */
  static create (): BlankLineScanner {
    return new BlankLineScanner()
  }

  /**
   * @param part - next bytes of the stream
   * @returns positions in the part after which a block ends; when a CR LF is split between two parts, the LF is a block of its own
   */
  scan (part: Buffer): readonly number[] {
    const ends: number[] = []
    for (let at = 0; at < part.length; at += 1) {
      const byte = part[at]!
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        this.#isLineEmpty = false
        this.#hasReturn = false
        continue
      }
      if (byte === LINE_FEED && this.#hasReturn) {
        this.#hasReturn = false
        if (!this.#hasEndedBlock) continue
        if (ends.at(-1) === at) ends.pop()
        ends.push(at + 1)
        continue
      }
      this.#hasReturn = byte === CARRIAGE_RETURN
      this.#hasEndedBlock = this.#isLineEmpty
      if (this.#isLineEmpty) ends.push(at + 1)
      this.#isLineEmpty = true
    }
    return ends
  }
}
