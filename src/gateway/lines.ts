/** Writes log lines without blocking; lines beyond the rate and buffer limits are dropped and counted. */

import { write } from 'node:fs'

const STDOUT_FD = 1

/** Time in ms for which lines are buffered before they are written. */
const FLUSH_MS = 100

/** Largest number of buffered characters; 1 s of lines at the rate limit. */
const PENDING_CHARS_MAX = 256 * 1024

/** Most lines per second; a gateway under ten times its usual load writes about 150. */
const LINES_PER_S_MAX = 400

/** Writes lines to standard output in batches. */
export class LineWriter {
  readonly #handleDropped: (count: number) => void
  #pending: string[] = []
  #pendingChars = 0
  #linesLeft = LINES_PER_S_MAX
  #refilledAtMs = 0
  #dropped = 0
  #isWriting = false
  #timer: NodeJS.Timeout | undefined

  private constructor (handleDropped: (count: number) => void) {
    this.#handleDropped = handleDropped
  }

  /**
   * @param handleDropped - called with the number of lines dropped since its last call
   * @returns a writer to standard output
   */
  static create (handleDropped: (count: number) => void): LineWriter {
    return new LineWriter(handleDropped)
  }

  /**
   * Buffers a line, or drops it when a limit is reached.
   *
   * @param line - one line without its line feed
   * @param nowMs - monotonic time in ms
   */
  add (line: string, nowMs: number): void {
    if (nowMs - this.#refilledAtMs >= 1_000) {
      this.#refilledAtMs = nowMs
      this.#linesLeft = LINES_PER_S_MAX
    }
    if (this.#linesLeft <= 0 || this.#pendingChars + line.length > PENDING_CHARS_MAX) {
      this.#dropped += 1
      return
    }
    this.#linesLeft -= 1
    this.#pending.push(line)
    this.#pendingChars += line.length + 1
    this.#timer ??= setTimeout(() => { this.flush() }, FLUSH_MS)
  }

  /** Starts writing the buffered lines. */
  flush (): void {
    this.#timer = undefined
    if (this.#isWriting) return
    if (this.#dropped > 0) {
      const dropped = this.#dropped
      this.#dropped = 0
      this.#handleDropped(dropped)
    }
    if (this.#pending.length === 0) return
    const text = `${this.#pending.join('\n')}\n`
    this.#pending = []
    this.#pendingChars = 0
    this.#isWriting = true
    this.#write(Buffer.from(text, 'utf8'))
  }

  #write (bytes: Buffer): void {
    // An error of standard output cannot be logged anywhere, so the lines are lost.
    write(STDOUT_FD, bytes, 0, bytes.length, null, (error, written) => {
      if (error === null && written < bytes.length) {
        this.#write(bytes.subarray(written))
        return
      }
      this.#isWriting = false
      if (this.#pending.length > 0) this.flush()
    })
  }
}
