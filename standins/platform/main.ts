/** Runs the platform stand-in as its own process. */

import { runMain } from '../shared/main.js'
import { Platform } from './platform.js'

await runMain('platform', {
  port: ['port; 0 picks a free one', 0],
  host: ['address to listen on', '127.0.0.1'],
  writesPerS: ['writes per second', 300],
  readsPerS: ['reads per second', 2000],
  credential: ['bearer credential; empty for none', '']
}, async ({ credential, ...options }) =>
  await Platform.start({ ...options, ...(credential === '' ? {} : { credential }) }))
