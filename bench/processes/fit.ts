/** Least-squares fit of a line to measured points. */

/** One measured point. */
export interface Point {
  readonly x: number
  readonly y: number
}

/** A fitted line, and the errors of the points in the unit of y. */
export interface Fit {
  readonly slope: number
  readonly intercept: number
  /** Root mean square of the vertical distances between the points and the line. */
  readonly rmsError: number
  /** Largest difference between repeated measurements at the same x. */
  readonly repeatSpread: number
}

/**
 * @param points - points with at least two different values of x
 * @returns the least-squares line
 */
export function computeFit (points: readonly Point[]): Fit {
  const meanX = computeMean(points.map(({ x }) => x))
  const meanY = computeMean(points.map(({ y }) => y))
  const squaresSum = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const slope = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / squaresSum
  const intercept = meanY - slope * meanX
  const rmsError = Math.sqrt(computeMean(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)))
  const repeats = new Map<number, number[]>()
  for (const { x, y } of points) repeats.set(x, [...repeats.get(x) ?? [], y])
  const repeatSpread = Math.max(...[...repeats.values()].map(values => Math.max(...values) - Math.min(...values)))
  return { slope, intercept, rmsError, repeatSpread }
}

/**
 * @param values - at least one value
 * @returns their mean
 */
export function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
