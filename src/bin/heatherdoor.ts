#!/usr/bin/env node
/** Operators' command line. */

import { buildEnvironment } from '../cli/environment.js'
import { Progress } from '../cli/progress.js'
import { runProgram } from '../cli/program.js'

const progress = Progress.create(text => { process.stderr.write(text) })
process.exitCode = await runProgram(process.argv.slice(2), buildEnvironment(progress), {
  writeOut: text => { process.stdout.write(text) },
  writeError: text => { process.stderr.write(text) }
})
progress.stop()
