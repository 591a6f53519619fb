/** Continuous batching: each step produces one token for every running sequence. */

/** Priorities in the order in which waiting sequences enter the batch. */
const PRIORITY_ORDER = ['urgent', 'normal', 'background'] as const

export type EnginePriority = typeof PRIORITY_ORDER[number]

/** One request in the engine, waiting or running. */
export interface Sequence {
  readonly priority: EnginePriority
  /** Prefill steps left before the first token. */
  prefillSteps: number
  /**
   * Produces the next token.
   *
   * @returns whether the sequence is finished
   */
  readonly runStep: () => boolean
}

/** Running and waiting sequences. */
export class Batch {
  readonly #max: number
  readonly #running = new Set<Sequence>()
  readonly #waiting = new Set<Sequence>()

  private constructor (max: number) {
    this.#max = max
  }

  /**
   * @param max - largest count of running sequences
   * @returns an empty batch
   */
  static create (max: number): Batch {
    return new Batch(max)
  }

  /** Count of running sequences. */
  get runningCount (): number {
    return this.#running.size
  }

  /** Count of running and waiting sequences. */
  get size (): number {
    return this.#running.size + this.#waiting.size
  }

  /** @param sequence - sequence to queue until the batch has a free slot */
  add (sequence: Sequence): void {
    this.#waiting.add(sequence)
  }

  /** @param sequence - running or waiting sequence to remove */
  remove (sequence: Sequence): void {
    this.#running.delete(sequence)
    this.#waiting.delete(sequence)
  }

  /** Removes all sequences. */
  removeAll (): void {
    this.#running.clear()
    this.#waiting.clear()
  }

  /** Fills free slots of the batch by priority, then runs one step of each running sequence. */
  runStep (): void {
    for (const priority of PRIORITY_ORDER) {
      for (const sequence of this.#waiting) {
        if (this.#running.size >= this.#max) break
        if (sequence.priority !== priority) continue
        this.#waiting.delete(sequence)
        this.#running.add(sequence)
      }
    }
    for (const sequence of [...this.#running]) {
      if (sequence.prefillSteps > 0) sequence.prefillSteps -= 1
      else if (sequence.runStep()) this.#running.delete(sequence)
    }
  }
}
