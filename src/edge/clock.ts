/** Monotonic time; goes on while the process is stopped by a signal. */

/** @returns monotonic time in ms, with fractions cut off */
export function getNowMs (): number {
  return Math.floor(performance.now())
}
