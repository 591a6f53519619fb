/** Runs the case in the folder that is named on the command line; exits with 2 when it cannot be loaded. */

import { COULD_NOT_RUN } from './record.js'

const [folder] = process.argv.slice(2)

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => { process.exit(COULD_NOT_RUN) })
process.once('uncaughtException', error => {
  process.stderr.write(`${error.stack ?? error}\n`)
  process.exit(COULD_NOT_RUN)
})

await import(new URL(`../${folder}/case.js`, import.meta.url).href).catch(error => {
  process.stderr.write(`${error.stack ?? error}\n`)
  process.exit(COULD_NOT_RUN)
})
