/** Bounded writer of log lines: never blocks, drops lines beyond a rate and counts them. */

import { write } from 'node:fs'

const STDOUT_FD = 1

/** Time in ms for which lines are collected before they are written. */
const FLUSH_MS = 100

/** Most characters that wait; 1 s of lines at the rate limit. */
const PENDING_CHARS_MAX = 256 * 1024

/** Most lines in a second; ten times the usual load of a gateway writes about 150. */
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
   * @param handleDropped - told the count of lines dropped since it was last called
   * @returns a writer to standard output
   */
  static create (handleDropped: (count: number) => void): LineWriter {
    return new LineWriter(handleDropped)
  }

  /**
   * Takes a line, or drops it when the bounds are reached.
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

  /** Starts writing what waits. */
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
    // Errors of standard output have nowhere to be reported; the lines are lost.
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
