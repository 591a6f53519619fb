#!/usr/bin/env node
/** Operators' command line. */

import { buildOutside } from '../cli/outside.js'
import { Progress } from '../cli/progress.js'
import { runProgram } from '../cli/program.js'

const progress = Progress.create(text => { process.stderr.write(text) })
process.exitCode = await runProgram(process.argv.slice(2), buildOutside(progress), {
  writeOut: text => { process.stdout.write(text) },
  writeError: text => { process.stderr.write(text) }
})
progress.stop()
