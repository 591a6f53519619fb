/** Options of the engine stand-in and their defaults. */

/** What the engine stand-in is started with. */
export interface EngineOptions {
  readonly port?: number
  readonly host?: string
  /** Time of a step without any sequence in ms. */
  readonly stepMs?: number
  /** Time that each running sequence adds to a step in ms. */
  readonly sequenceMs?: number
  /** Largest count of sequences in the batch; more wait in the engine. */
  readonly batchMax?: number
  /** Concurrent requests that a cold engine can handle. */
  readonly coldCap?: number
  /** Time from cold to warm in ms. */
  readonly warmMs?: number
  /** Whether the engine begins warm. */
  readonly warm?: boolean
  /** Time for which connections are refused after a crash, in ms. */
  readonly downMs?: number
  /** Age of load reports in ms. */
  readonly loadLagMs?: number
  /** Whether orders with an older fencing number are refused. */
  readonly checksFencing?: boolean
  /** Time to load one map in ms. */
  readonly mapLoadMs?: number
  /** Blocks of 64 characters that the prefix cache holds. */
  readonly cacheBlocks?: number
  /** Blocks that one step of prefill handles. */
  readonly prefillBlocks?: number
  /** Age of cache events when they can be read, in ms. */
  readonly cacheLagMs?: number
  /** Every cache event with a sequence number that this divides is lost; 0 for none. */
  readonly cacheGapEvery?: number
}

/** Options with a value each. */
export type EngineLimits = Required<Omit<EngineOptions, 'port' | 'host'>>

/** Values of absent options. */
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
