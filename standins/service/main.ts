/** Runs the plain service stand-in as its own process. */

import { runMain } from '../shared/main.js'
import { Service } from './service.js'

await runMain('service', {
  port: ['port; 0 picks a free one', 0],
  host: ['address to listen on', '127.0.0.1'],
  serviceMs: ['duration of one request in ms', 10],
  coldCap: ['concurrent requests that a cold service can handle', 2],
  warmCap: ['concurrent requests at the end of a cold start', 16],
  warmMs: ['time from cold to warm in ms', 10_000],
  warm: ['start warm', false],
  downMs: ['how long connections are refused after a crash, in ms', 3000],
  checksFencing: ['refuse requests with an older fencing number', false]
}, async options => await Service.start(options))
