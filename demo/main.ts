/** Runs a small deployment on this machine, from startup to graceful shutdown. */

import { findTakenPorts } from './ports.js'
import { runDemo } from './steps.js'

const taken = await findTakenPorts()
if (taken.length > 0) {
  console.error(`The demo cannot start: port ${taken.join(', ')} is in use on 127.0.0.1.`)
  process.exit(1)
}
process.exit(await runDemo(line => { console.log(line) }) ? 0 : 1)
