/** Ejection of endpoints that fail or lag behind their peers. */

/** Failures in a row that eject an endpoint. */
const CONSECUTIVE_FAILURES_MAX = 3

/** First and largest time of an ejection in ms; doubles with each repeat. */
const EJECTION_BASE_MS = 10_000
const EJECTION_MAX_MS = 120_000

/** Time in ms without a new ejection after which the doubling starts over. */
const EJECTION_RESET_MS = 300_000

/** Factor over the median step time or latency that ejects an endpoint. */
const OUTLIER_FACTOR = 3

/** Answers needed before the latency of an endpoint is compared. */
const LATENCY_SAMPLES_MIN = 20

/** Weight of the latest latency in the moving average. */
const LATENCY_WEIGHT = 0.1

/** Largest share of a service's endpoints that may be ejected at once. */
const EJECTED_SHARE_MAX = 1 / 3

/** Health of one endpoint as this entry sees it. */
interface Health {
  consecutiveFailures: number
  latencyMs: number
  latencySamples: number
  ejectedUntilMs: number
  ejections: number
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
    return (this.#health.get(id)?.ejectedUntilMs ?? 0) > nowMs
  }

  /** Notes an answer and its time in ms. */
  noteSuccess (id: string, elapsedMs: number): void {
    const health = this.#get(id)
    health.consecutiveFailures = 0
    health.latencyMs = health.latencySamples === 0 ? elapsedMs : health.latencyMs + LATENCY_WEIGHT * (elapsedMs - health.latencyMs)
    health.latencySamples += 1
  }

  /** Notes a failure. */
  noteFailure (id: string): void {
    this.#get(id).consecutiveFailures += 1
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
    let ejectedCount = candidates.filter(({ id }) => this.isEjected(id, nowMs)).length
    const ejectedMax = Math.floor(candidates.length * EJECTED_SHARE_MAX)
    const medianStepMs = computeMedian(candidates.flatMap(({ stepMs }) => stepMs ?? []))
    const medianLatencyMs = computeMedian(candidates.flatMap(({ id }) => this.#findLatency(id) ?? []))
    const newEjections: { id: string, reason: string }[] = []
    for (const candidate of candidates) {
      if (ejectedCount >= ejectedMax) break
      if (this.isEjected(candidate.id, nowMs)) continue
      const reason = this.#findEjectionReason(candidate, medianStepMs, medianLatencyMs)
      if (reason === undefined) continue
      this.#eject(candidate.id, nowMs)
      ejectedCount += 1
      newEjections.push({ id: candidate.id, reason })
    }
    return newEjections
  }

  #findEjectionReason ({ id, stepMs }: EjectionCandidate, medianStepMs: number, medianLatencyMs: number): string | undefined {
    if (this.#get(id).consecutiveFailures >= CONSECUTIVE_FAILURES_MAX) return 'failures'
    if (stepMs !== undefined && stepMs > OUTLIER_FACTOR * medianStepMs) return 'step-time'
    const latencyMs = this.#findLatency(id)
    return latencyMs !== undefined && latencyMs > OUTLIER_FACTOR * medianLatencyMs ? 'latency' : undefined
  }

  #findLatency (id: string): number | undefined {
    const health = this.#health.get(id)
    return health !== undefined && health.latencySamples >= LATENCY_SAMPLES_MIN ? health.latencyMs : undefined
  }

  /** The measures start over, so that old ones cannot eject the endpoint again. */
  #eject (id: string, nowMs: number): void {
    const health = this.#get(id)
    if (nowMs - health.ejectedUntilMs > EJECTION_RESET_MS) health.ejections = 0
    health.ejectedUntilMs = nowMs + Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** health.ejections)
    health.ejections += 1
    health.consecutiveFailures = 0
    health.latencySamples = 0
  }

  #get (id: string): Health {
    let health = this.#health.get(id)
    if (health === undefined) {
      health = { consecutiveFailures: 0, latencyMs: 0, latencySamples: 0, ejectedUntilMs: 0, ejections: 0 }
      this.#health.set(id, health)
    }
    return health
  }
}

function computeMedian (values: readonly number[]): number {
  if (values.length < 3) return Infinity
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Infinity
}
