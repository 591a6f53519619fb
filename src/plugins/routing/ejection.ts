/** Outlier ejection: takes endpoints that fail or are slower than their peers out of routing for a time. */

/** Consecutive failures after which an endpoint is ejected. */
const CONSECUTIVE_FAILURES_MAX = 3

/** First and largest duration of an ejection in ms; the duration doubles with each ejection. */
const EJECTION_BASE_MS = 10_000
const EJECTION_MAX_MS = 120_000

/** Time in ms after the end of an ejection after which the duration starts again at its base. */
const EJECTION_RESET_MS = 300_000

/** Multiple of the median step time or latency above which an endpoint is ejected. */
const OUTLIER_FACTOR = 3

/** Responses needed before the latency of an endpoint is compared. */
const LATENCY_SAMPLES_MIN = 20

/** Weight of the latest sample in the moving average of the latency. */
const LATENCY_WEIGHT = 0.1

/** Largest share of a service's endpoints that may be ejected at once. */
const EJECTED_SHARE_MAX = 1 / 3

/** Health of one endpoint as observed by this entry. */
interface Health {
  consecutiveFailures: number
  latencyMs: number
  latencySamples: number
  ejectedUntilMs: number
  ejections: number
}

/** An endpoint to compare with its peers. */
export interface EjectionCandidate {
  readonly id: string
  /** Reported duration of a decoding step in ms. */
  readonly stepMs?: number
}

/** Tracks the health of endpoints and ejects outliers. */
export class Ejector {
  readonly #health = new Map<string, Health>()

  private constructor () {}

  /** @returns an ejector without any tracked endpoint */
  static create (): Ejector {
    return new Ejector()
  }

  /** @returns whether the endpoint is ejected at the given time */
  isEjected (id: string, nowMs: number): boolean {
    return (this.#health.get(id)?.ejectedUntilMs ?? 0) > nowMs
  }

  /** Records a successful response and its latency in ms. */
  noteSuccess (id: string, elapsedMs: number): void {
    const health = this.#get(id)
    health.consecutiveFailures = 0
    health.latencyMs = health.latencySamples === 0 ? elapsedMs : health.latencyMs + LATENCY_WEIGHT * (elapsedMs - health.latencyMs)
    health.latencySamples += 1
  }

  /** Records a failed request. */
  noteFailure (id: string): void {
    this.#get(id).consecutiveFailures += 1
  }

  /** Removes an endpoint and its measurements. */
  remove (id: string): void {
    this.#health.delete(id)
  }

  /**
   * Ejects outliers among the endpoints of one service.
   *
   * @param candidates - endpoints of one service that are connected and in service
   * @param nowMs - monotonic time in ms
   * @returns the endpoints ejected by this call, with the reason
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

  /** Resets the measurements, so that old ones cannot eject the endpoint again. */
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
