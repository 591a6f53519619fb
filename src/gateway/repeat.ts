/** What may be repeated, and which status is true of a request that was given up. */

import type { ErrorKind } from '../kernel/errors.js'
import type { RepeatPolicy } from './model.js'

/**
 * @param error - why the request was given up
 * @param mayHaveRun - whether some attempt may have run it
 * @returns a status that promises that the request has not run only where that is so
 */
export function chooseStatus (error: ErrorKind, mayHaveRun: boolean): number {
  if (!mayHaveRun) return 503
  return error === 'deadline-exceeded' ? 504 : 502
}

export function mayRunAgain (repeat: RepeatPolicy): boolean {
  return repeat === 'idempotent' || repeat === 'resumable-stream'
}

export function isStream (repeat: RepeatPolicy): boolean {
  return repeat === 'resumable-stream' || repeat === 'at-most-once-stream'
}
