/** Writes what a case saw into its folder, and ends with the exit code that the review asks for. */

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

const LINES_MAX = 4_000

/** Record of one run. */
export class Record {
  #lines = []
  #startedAtMs = Date.now()

  /** Adds a line with the time since the start. */
  note (text, atMs = Date.now()) {
    this.#lines.push({ atMs, text })
  }

  /** Writes `record.txt`. */
  write (folder, summary) {
    const lines = [...this.#lines].sort((a, b) => a.atMs - b.atMs).slice(0, LINES_MAX)
    const body = lines.map(({ atMs, text }) => `${((atMs - this.#startedAtMs) / 1_000).toFixed(3).padStart(8)} s  ${text}`)
    writeFileSync(join(folder, 'record.txt'), `${[...summary, '', ...body].join('\n')}\n`)
  }
}

/** Whether the disruption is brought about. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param folder - folder of the case
 * @param run - returns the broken instances of the rule, and lines of a summary
 */
export async function runCase (folder, run) {
  const record = new Record()
  let code = 2
  let summary = []
  try {
    const { broken, notes } = await run(record)
    code = broken.length > 0 ? 1 : 0
    summary = [`trouble: ${hasTrouble ? 'yes' : 'no'}`, ...notes, broken.length > 0 ? `BROKEN ${broken.length} times` : 'held', ...broken.slice(0, 20)]
  } catch (error) {
    summary = [`could not run: ${error.stack ?? String(error)}`]
  }
  record.write(folder, summary)
  process.stdout.write(`${summary.join('\n')}\n`)
  process.exit(code)
}
