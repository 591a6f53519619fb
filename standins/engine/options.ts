/** Options of the engine stand-in and their default values. */

/** Options of the engine stand-in. */
export interface EngineOptions {
  readonly port?: number
  readonly host?: string
  /** Duration of a step without sequences in ms. */
  readonly stepMs?: number
  /** Time that each running sequence adds to a step in ms. */
  readonly sequenceMs?: number
  /** Maximum number of sequences in the batch; further ones wait in the engine. */
  readonly batchMax?: number
  /** Concurrent requests that a cold engine can handle. */
  readonly coldCap?: number
  /** Time from cold to warm in ms. */
  readonly warmMs?: number
  /** Whether the engine starts warm. */
  readonly warm?: boolean
  /** How long connections are refused after a crash, in ms. */
  readonly downMs?: number
  /** Age of load reports in ms. */
  readonly loadLagMs?: number
  /** Whether orders with an older fencing number are refused. */
  readonly checksFencing?: boolean
  /** Time to load one map in ms. */
  readonly mapLoadMs?: number
  /** Blocks of 64 characters that the prefix cache holds. */
  readonly cacheBlocks?: number
  /** Blocks that one prefill step processes. */
  readonly prefillBlocks?: number
  /** Delay before a cache event can be read, in ms. */
  readonly cacheLagMs?: number
  /** Drops each cache event whose sequence number is a multiple of this; 0 drops none. */
  readonly cacheGapEvery?: number
}

/** All options that have a default value. */
export type EngineLimits = Required<Omit<EngineOptions, 'port' | 'host'>>

/** Default values. */
export const ENGINE_DEFAULTS: EngineLimits = {
  stepMs: 20,
  sequenceMs: 0,
  batchMax: 32,
  coldCap: 2,
  warmMs: 10_000,
  warm: true,
  downMs: 3000,
  loadLagMs: 0,
  checksFencing: false,
  mapLoadMs: 50,
  cacheBlocks: 4096,
  prefillBlocks: 16,
  cacheLagMs: 500,
  cacheGapEvery: 0
}
