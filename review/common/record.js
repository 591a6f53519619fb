/** Record of what clients, workers and the platform saw, written to `record.txt` of a case. */

import { writeFileSync } from 'node:fs'

const startedAtMs = performance.now()
const lines = []

/** @returns time in s since the script started */
export function getElapsedS () {
  return (performance.now() - startedAtMs) / 1_000
}

/**
 * Adds a line to the record.
 *
 * @param who - who saw it
 * @param what - what was sent, answered or run
 */
export function record (who, what) {
  lines.push(`${getElapsedS().toFixed(3).padStart(8)}  ${who.padEnd(12)}  ${what}`)
}

/** Writes the record to a file. */
export function writeRecord (path) {
  writeFileSync(path, `${lines.join('\n')}\n`)
}
