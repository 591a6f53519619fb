/** Runs the engine stand-in as its own process. */

import { runMain } from '../shared/main.js'
import { Engine } from './engine.js'

await runMain('engine', {
  port: ['port; 0 picks a free one', 0],
  host: ['address to listen on', '127.0.0.1'],
  stepMs: ['time of one step in ms', 20],
  batchMax: ['largest count of sequences in the batch', 32],
  coldCap: ['concurrent requests that a cold engine can handle', 2],
  warmMs: ['time from cold to warm in ms', 10_000],
  warm: ['start warm', false],
  downMs: ['time down after a crash in ms', 3000]
}, async options => await Engine.start(options))
