/** Time after which a command says what it is doing, and the interval of further lines, in ms. */
const PROGRESS_INTERVAL_MS = 2000

/** Prints what a command is doing while it takes long. */
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
   * @returns a running progress line
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

  /** Prints no further line. */
  stop (): void {
    clearInterval(this.#timer)
  }

  #print (): void {
    this.#write(`${Math.round((performance.now() - this.#startMs) / 1000)} s: ${this.#activity}\n`)
  }
}
