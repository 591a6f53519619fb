/** Monotonic clock. It keeps running while the process is suspended by a signal such as SIGSTOP. */

/** @returns monotonic time in whole ms, rounded down */
export function getNowMs (): number {
  return Math.floor(performance.now())
}
