/** Runs the engine stand-in as its own process. */

import { runMain } from '../shared/main.js'
import { Engine } from './engine.js'
import { ENGINE_DEFAULTS } from './options.js'

await runMain('engine', {
  port: ['port; 0 picks a free one', 0],
  host: ['address to listen on', '127.0.0.1'],
  stepMs: ['duration of a step without sequences in ms', ENGINE_DEFAULTS.stepMs],
  sequenceMs: ['time that each running sequence adds to a step in ms', ENGINE_DEFAULTS.sequenceMs],
  batchMax: ['maximum number of sequences in the batch', ENGINE_DEFAULTS.batchMax],
  coldCap: ['concurrent requests that a cold engine can handle', ENGINE_DEFAULTS.coldCap],
  warmMs: ['time from cold to warm in ms', ENGINE_DEFAULTS.warmMs],
  warm: ['start warm', false],
  downMs: ['how long connections are refused after a crash, in ms', ENGINE_DEFAULTS.downMs],
  loadLagMs: ['age of load reports in ms', ENGINE_DEFAULTS.loadLagMs],
  checksFencing: ['refuse orders with an older fencing number', ENGINE_DEFAULTS.checksFencing],
  mapLoadMs: ['time to load one map in ms', ENGINE_DEFAULTS.mapLoadMs],
  cacheBlocks: ['blocks that the prefix cache holds', ENGINE_DEFAULTS.cacheBlocks],
  prefillBlocks: ['blocks that one prefill step processes', ENGINE_DEFAULTS.prefillBlocks],
  cacheLagMs: ['delay before a cache event can be read, in ms', ENGINE_DEFAULTS.cacheLagMs],
  cacheGapEvery: ['drop each cache event whose number is a multiple of this; 0 drops none', ENGINE_DEFAULTS.cacheGapEvery]
}, async options => await Engine.start(options))
