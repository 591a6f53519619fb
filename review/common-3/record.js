/** Writes what was sent, answered and run to `record.txt` in the folder of a case, and ends the script with its result. */

import { closeSync, openSync, writeSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/** Exit codes of a script. */
export const HELD = 0
export const BROKEN = 1
export const COULD_NOT_RUN = 2

/** Record of one run. */
export class Record {
  #file
  #startedAtMs = performance.now()
  #lines = 0

  /** @param caseUrl - `import.meta.url` of the case */
  constructor (caseUrl) {
    this.#file = openSync(fileURLToPath(new URL('record.txt', caseUrl)), 'w')
  }

  /** Time in ms since the start of the run. */
  get nowMs () {
    return performance.now() - this.#startedAtMs
  }

  write (text) {
    this.#lines += 1
    writeSync(this.#file, `${(this.nowMs / 1000).toFixed(3).padStart(8)} s  ${text}\n`)
  }

  /** Writes a line to the record and to standard output. */
  say (text) {
    this.write(text)
    process.stdout.write(`${text}\n`)
  }

  close () {
    closeSync(this.#file)
  }
}

/**
 * Runs a case and exits with its result.
 *
 * @param caseUrl - `import.meta.url` of the case
 * @param run - gets the record and whether the disruption takes place; returns whether the rule was broken
 */
export async function runCase (caseUrl, run) {
  const record = new Record(caseUrl)
  const hasTrouble = process.env.TROUBLE !== '0'
  const limit = setTimeout(() => {
    record.say('the script took longer than 115 s')
    process.exit(COULD_NOT_RUN)
  }, 115_000)
  let code
  try {
    code = await run(record, hasTrouble) ? BROKEN : HELD
  } catch (error) {
    record.say(`could not run: ${error.stack ?? error}`)
    code = COULD_NOT_RUN
  }
  clearTimeout(limit)
  record.say(`result: ${['the rule held', 'the rule was broken', 'the case could not run'][code]}`)
  record.close()
  process.exit(code)
}
