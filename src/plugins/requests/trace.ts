import type { TraceStep } from '../../kernel/ports.js'

/** Largest count of requests whose steps are kept. */
const REQUESTS_MAX = 1_000

/** Largest count of steps kept per request; later steps are not recorded. */
const STEPS_MAX = 64

/** Steps of recent requests, for the `explain` command. */
export class TraceLog {
  readonly #traces = new Map<string, TraceStep[]>()

  private constructor () {}

  /** @returns a log without requests */
  static create (): TraceLog {
    return new TraceLog()
  }

  /** Adds a step; the oldest request is evicted when the log is full. */
  add (requestId: string, atMs: number, step: string, detail: string): void {
    let steps = this.#traces.get(requestId)
    if (steps === undefined) {
      steps = []
      this.#traces.set(requestId, steps)
      const oldest = this.#traces.keys().next().value
      if (this.#traces.size > REQUESTS_MAX && oldest !== undefined) this.#traces.delete(oldest)
    }
    if (steps.length < STEPS_MAX) steps.push({ atMs, step, detail })
  }

  /** @returns the steps; undefined when none are kept for the request */
  find (requestId: string): readonly TraceStep[] | undefined {
    return this.#traces.get(requestId)
  }
}
