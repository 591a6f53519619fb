/** Time after which a command prints the first progress line, and interval between further lines, in ms. */
const PROGRESS_INTERVAL_MS = 2000

/** Prints what a command is doing when it takes long. */
export class Progress {
  readonly #write: (text: string) => void
  readonly #timer: NodeJS.Timeout
  readonly #startMs = performance.now()
  #activity = 'starting'

  private constructor (write: (text: string) => void) {
    this.#write = write
    this.#timer = setInterval(() => { this.#print() }, PROGRESS_INTERVAL_MS)
    this.#timer.unref()
  }

  /**
   * @param write - prints a text
   * @returns progress lines with a running timer
   */
  static create (write: (text: string) => void): Progress {
    return new Progress(write)
  }

  /**
   * @param text - what the command is doing
   */
  update (text: string): void {
    this.#activity = text
  }

  /** Stops printing progress lines. */
  stop (): void {
    clearInterval(this.#timer)
  }

  #print (): void {
    this.#write(`${Math.round((performance.now() - this.#startMs) / 1000)} s: ${this.#activity}\n`)
  }
}
