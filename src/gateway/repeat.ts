/** Rules for which requests may run again, and for the status of a request that failed. */

import type { ErrorKind } from '../kernel/errors.js'
import type { RepeatPolicy } from './model.js'

/** Shortest remaining time in ms for which an attempt is sent. */
export const ATTEMPT_MIN_MS = 5

/**
 * @param error - why the request failed
 * @param mayHaveRun - whether any attempt may have run it
 * @returns the status; 503, which tells the caller that the request did not run, only when that is certain
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
