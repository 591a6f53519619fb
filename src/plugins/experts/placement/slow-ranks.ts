/** Load and step time of one rank. */
export interface RankTiming {
  /** Mean time that the rank itself is busy in a step, in ms. */
  readonly stepMs: number
  /** Predicted share of the group's expert load; the mean over ranks is 1. */
  readonly load: number
}

/** Speed class. A stalled rank is slower than its load explains and loses traffic; an overloaded one needs another map. */
export type RankSpeed = 'normal' | 'stalled' | 'overloaded'

/** Ratio of a rank's step time to the group's median above which the rank is slow. */
const SLOW_RATIO = 1.25
/** Ratio of a slow rank's step time to the one predicted from its load above which the rank is stalled. */
const STALL_RATIO = 1.25

/**
 * Classifies slow ranks. The group's median step time at balanced load predicts
 * each rank's step time from its load.
 *
 * @param timings - timing of each rank
 * @param expertShare - part of a balanced step that grows with load; 0 to 1
 * @returns class of each rank
 */
export function computeRankSpeeds (timings: readonly RankTiming[], expertShare: number): readonly RankSpeed[] {
  const balanced = timings.map(({ stepMs, load }) => stepMs / (1 - expertShare + expertShare * load))
  const unitMs = computeMedian(balanced)
  const medianMs = computeMedian(timings.map(timing => timing.stepMs))
  return timings.map(({ stepMs, load }) => {
    if (stepMs <= medianMs * SLOW_RATIO) return 'normal'
    const predictedMs = unitMs * (1 - expertShare + expertShare * load)
    return stepMs > predictedMs * STALL_RATIO ? 'stalled' : 'overloaded'
  })
}

/** Computes the median, the lower of two middle values: slow ranks do not raise it in a small group. */
function computeMedian (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0
}
