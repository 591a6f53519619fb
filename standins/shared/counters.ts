/** Run counters of a stand-in, used to check at-most-once execution. */

/** Counts since the process started; simulated crashes don't reset them. */
export interface RunCounts {
  readonly started: number
  readonly finished: number
  readonly cancelled: number
  readonly crashes: number
  readonly running: number
  readonly peak_running: number
  /** Starts by `heatherdoor-request-id`. */
  readonly by_request_id: Readonly<Record<string, number>>
  /** Starts by `idempotency-key`. */
  readonly by_key: Readonly<Record<string, number>>
  /** Starts by request body. */
  readonly by_body: Readonly<Record<string, number>>
}

/** Values by which the start of a run is counted. */
export interface RunTags {
  readonly requestId?: string | undefined
  readonly key?: string | undefined
  readonly body?: string | undefined
}

/** Counts starts, ends and crashes of runs. */
export class RunCounters {
  readonly #byRequestId = new Map<string, number>()
  readonly #byKey = new Map<string, number>()
  readonly #byBody = new Map<string, number>()
  #started = 0
  #finished = 0
  #cancelled = 0
  #crashes = 0
  #running = 0
  #peak = 0

  private constructor () {}

  /** @returns counters at zero */
  static create (): RunCounters {
    return new RunCounters()
  }

  /** Number of requests running now. */
  get running (): number {
    return this.#running
  }

  /** @param tags - values by which the run is counted */
  noteStart (tags: RunTags): void {
    this.#started += 1
    this.#running += 1
    this.#peak = Math.max(this.#peak, this.#running)
    addOne(this.#byRequestId, tags.requestId)
    addOne(this.#byKey, tags.key)
    addOne(this.#byBody, tags.body)
  }

  /** @param result - how the run ended */
  noteEnd (result: 'finished' | 'cancelled'): void {
    this.#running -= 1
    if (result === 'finished') this.#finished += 1
    else this.#cancelled += 1
  }

  /** Counts a crash, which ends all runs. */
  noteCrash (): void {
    this.#crashes += 1
    this.#running = 0
  }

  /** @returns all counts */
  describe (): RunCounts {
    return {
      started: this.#started,
      finished: this.#finished,
      cancelled: this.#cancelled,
      crashes: this.#crashes,
      running: this.#running,
      peak_running: this.#peak,
      by_request_id: Object.fromEntries(this.#byRequestId),
      by_key: Object.fromEntries(this.#byKey),
      by_body: Object.fromEntries(this.#byBody)
    }
  }
}

function addOne (counts: Map<string, number>, name: string | undefined): void {
  if (name !== undefined) counts.set(name, (counts.get(name) ?? 0) + 1)
}
