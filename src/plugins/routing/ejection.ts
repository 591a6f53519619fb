/** Ejection of endpoints that fail or lag behind their peers. */

/** Failures in a row that eject an endpoint. */
const FAILURES_MAX = 3

/** First and largest time of an ejection in ms; doubles with each repeat. */
const EJECT_BASE_MS = 10_000
const EJECT_MAX_MS = 120_000

/** Time in ms without a new ejection after which the doubling starts over. */
const FORGIVE_MS = 300_000

/** Factor over the median step time or latency that ejects an endpoint. */
const SLOW_FACTOR = 3

/** Answers needed before the latency of an endpoint is compared. */
const SAMPLES_MIN = 20

/** Weight of the latest latency in the moving average. */
const LATENCY_WEIGHT = 0.1

/** Largest share of a service's endpoints that may be ejected at once. */
const EJECTED_SHARE_MAX = 1 / 3

/** Health of one endpoint as this entry sees it. */
interface Health {
  failuresInRow: number
  latencyMs: number
  samples: number
  untilMs: number
  repeats: number
}

/** Measures of one endpoint for the comparison with its peers. */
export interface EjectionCandidate {
  readonly id: string
  /** Reported time of a decoding step in ms. */
  readonly stepMs?: number
}

/** Outlier ejection per endpoint. */
export class Ejector {
  readonly #health = new Map<string, Health>()

  private constructor () {}

  /** @returns an ejector that knows no endpoint */
  static create (): Ejector {
    return new Ejector()
  }

  /** @returns whether the endpoint is ejected at the time */
  isEjected (id: string, nowMs: number): boolean {
    return (this.#health.get(id)?.untilMs ?? 0) > nowMs
  }

  /** Notes an answer and its time in ms. */
  noteSuccess (id: string, elapsedMs: number): void {
    const health = this.#get(id)
    health.failuresInRow = 0
    health.latencyMs = health.samples === 0 ? elapsedMs : health.latencyMs + LATENCY_WEIGHT * (elapsedMs - health.latencyMs)
    health.samples += 1
  }

  /** Notes a failure. */
  noteFailure (id: string): void {
    this.#get(id).failuresInRow += 1
  }

  /** Forgets an endpoint. */
  remove (id: string): void {
    this.#health.delete(id)
  }

  /**
   * Ejects outliers among the endpoints of one service.
   *
   * @param candidates - endpoints of one service that are connected and in service
   * @param nowMs - monotonic time in ms
   * @returns the endpoints ejected by this call and why
   */
  ejectOutliers (candidates: readonly EjectionCandidate[], nowMs: number): readonly { readonly id: string, readonly reason: string }[] {
    let ejected = candidates.filter(({ id }) => this.isEjected(id, nowMs)).length
    const limit = Math.floor(candidates.length * EJECTED_SHARE_MAX)
    const medianStepMs = computeMedian(candidates.flatMap(({ stepMs }) => stepMs ?? []))
    const medianLatencyMs = computeMedian(candidates.flatMap(({ id }) => this.#findLatency(id) ?? []))
    const added: { id: string, reason: string }[] = []
    for (const candidate of candidates) {
      if (ejected >= limit) break
      if (this.isEjected(candidate.id, nowMs)) continue
      const reason = this.#findReason(candidate, medianStepMs, medianLatencyMs)
      if (reason === undefined) continue
      this.#eject(candidate.id, nowMs)
      ejected += 1
      added.push({ id: candidate.id, reason })
    }
    return added
  }

  #findReason ({ id, stepMs }: EjectionCandidate, medianStepMs: number, medianLatencyMs: number): string | undefined {
    if (this.#get(id).failuresInRow >= FAILURES_MAX) return 'failures'
    if (stepMs !== undefined && stepMs > SLOW_FACTOR * medianStepMs) return 'step-time'
    const latencyMs = this.#findLatency(id)
    return latencyMs !== undefined && latencyMs > SLOW_FACTOR * medianLatencyMs ? 'latency' : undefined
  }

  #findLatency (id: string): number | undefined {
    const health = this.#health.get(id)
    return health !== undefined && health.samples >= SAMPLES_MIN ? health.latencyMs : undefined
  }

  /** The measures start over, so that old ones cannot eject the endpoint again. */
  #eject (id: string, nowMs: number): void {
    const health = this.#get(id)
    if (nowMs - health.untilMs > FORGIVE_MS) health.repeats = 0
    health.untilMs = nowMs + Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** health.repeats)
    health.repeats += 1
    health.failuresInRow = 0
    health.samples = 0
  }

  #get (id: string): Health {
    let health = this.#health.get(id)
    if (health === undefined) {
      health = { failuresInRow: 0, latencyMs: 0, samples: 0, untilMs: 0, repeats: 0 }
      this.#health.set(id, health)
    }
    return health
  }
}

function computeMedian (values: readonly number[]): number {
  if (values.length < 3) return Infinity
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Infinity
}
