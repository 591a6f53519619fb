/** Stand-in for one rank of a model engine. */

import { performance } from 'node:perf_hooks'
import { RunCounters } from '../shared/counters.js'
import type { RunCounts } from '../shared/counters.js'
import { FenceGuard } from '../shared/fence.js'
import { LaggedReport } from '../shared/lagged.js'
import { StandinServer, findHeader, sendJson, waitMs } from '../shared/server.js'
import type { Call } from '../shared/server.js'
import { Warmth } from '../shared/warmth.js'
import { Batch } from './batch.js'
import { PrefixCache } from './cache.js'
import { StepClock } from './clock.js'
import type { StepMember } from './clock.js'
import { engineFaultsSchema } from './faults.js'
import type { EngineFaults } from './faults.js'
import { ENGINE_DEFAULTS } from './options.js'
import type { EngineLimits, EngineOptions } from './options.js'
import { Rank, orderCallSchema } from './rank.js'
import type { MapHistory } from './rank.js'
import { parseCompletion } from './request.js'
import { Stream } from './stream.js'

/** Response to `GET /v1/load`. */
export interface LoadReport {
  readonly healthy: boolean
  /** Changes with each start of the engine. */
  readonly start_id: string
  /** 0 (cold) to 1 (warm). */
  readonly warmth: number
  /** Duration of one step of this rank in ms. */
  readonly step_ms: number
  readonly step: number
  /** Whether a `hold-at-step` order blocks the next step. */
  readonly held: boolean
  readonly map_version: number
  readonly running: number
  readonly waiting: number
  readonly cache: ReturnType<PrefixCache['describe']>
}

/** Run counters, the map versions that the rank has used and the highest fencing number. */
export type EngineCounts = RunCounts & { readonly map_history: MapHistory, readonly fence: number }

/** The engine stand-in on its own HTTP server. */
export class Engine {
  readonly #limits: EngineLimits
  readonly #batch: Batch
  readonly #warmth: Warmth
  readonly #cache: PrefixCache
  readonly #fence: FenceGuard
  readonly #loadReports: LaggedReport<LoadReport>
  readonly #rank = Rank.create()
  readonly #counters = RunCounters.create()
  readonly #streams = new Set<Stream>()
  readonly #clock: StepClock
  readonly #member: StepMember
  #server!: StandinServer
  #startId = 1
  #downMs: number
  #slowFactor = 1
  #stalledUntilMs = 0
  #healthy = true
  #breakStreams = { count: 0, after_chunks: 0 }

  private constructor (options: EngineOptions, clock: StepClock) {
    const limits = { ...ENGINE_DEFAULTS, ...options }
    this.#limits = limits
    this.#clock = clock
    this.#batch = Batch.create(limits.batchMax)
    this.#warmth = Warmth.create({ ...limits, warmCap: limits.batchMax }, performance.now(), limits.warm)
    this.#cache = PrefixCache.create({ blocksMax: limits.cacheBlocks, eventLagMs: limits.cacheLagMs, eventGapEvery: limits.cacheGapEvery })
    this.#fence = FenceGuard.create(limits.checksFencing)
    this.#loadReports = LaggedReport.create(limits.loadLagMs)
    this.#downMs = limits.downMs
    this.#member = {
      isReady: () => performance.now() >= this.#stalledUntilMs && !this.#server.isDown() && !this.#rank.isHeld(),
      computeStepMs: () => this.#computeStepMs(),
      runStep: () => { this.#runStep() }
    }
  }

  /**
   * @param options - port, timing and limits
   * @param clock - clock shared by the ranks of a group; a clock of its own by default
   * @returns a running stand-in
   */
  static async start (options: EngineOptions = {}, clock: StepClock = StepClock.create()): Promise<Engine> {
    const engine = new Engine(options, clock)
    engine.#server = await StandinServer.start({
      port: options.port ?? 0,
      ...(options.host === undefined ? {} : { host: options.host }),
      handle: async call => { await engine.#handle(call) }
    })
    clock.add(engine.#member)
    return engine
  }

  /** Base URL. */
  get url (): string {
    return this.#server.url
  }

  /** @returns run counters, map history and highest fencing number */
  describeCounters (): EngineCounts {
    return { ...this.#counters.describe(), map_history: this.#rank.listHistory(), fence: this.#fence.highest }
  }

  /** @param faults - changes to the faults in force */
  applyFaults (faults: EngineFaults): void {
    this.#downMs = faults.down_ms ?? this.#downMs
    this.#slowFactor = faults.slow_factor ?? this.#slowFactor
    this.#healthy = faults.healthy ?? this.#healthy
    this.#breakStreams = faults.break_streams ?? this.#breakStreams
    if (faults.stall_ms !== undefined) this.#stalledUntilMs = performance.now() + faults.stall_ms
    if (faults.cold === true) this.#warmth.resetToCold(performance.now())
    if (faults.silence === true) this.#server.silenceConnections()
    if (faults.crash === true) this.#runCrash()
  }

  /** Stops the stand-in. */
  async stop (): Promise<void> {
    this.#clock.remove(this.#member)
    this.#batch.removeAll()
    await this.#server.stop()
  }

  async #handle (call: Call): Promise<void> {
    switch (`${call.method} ${call.url.pathname}`) {
      case 'POST /v1/chat/completions': this.#acceptCompletion(call); break
      case 'POST /v1/orders': await this.#handleOrder(call); break
      case 'GET /v1/load': sendJson(call, 200, this.#loadReports.update(this.#describeLoad(), performance.now())); break
      case 'GET /v1/cache-events': this.#sendCacheEvents(call); break
      case 'GET /counters': sendJson(call, 200, this.describeCounters()); break
      case 'POST /faults': {
        const faults = engineFaultsSchema.parse(JSON.parse(call.body))
        sendJson(call, 200, {})
        setImmediate(() => { this.applyFaults(faults) })
        break
      }
      default: sendJson(call, 404, {})
    }
  }

  #acceptCompletion (call: Call): void {
    const request = parseCompletion(call)
    if (this.#batch.size + 1 > this.#warmth.computeCap(performance.now())) {
      this.#runCrash()
      return
    }
    this.#counters.noteStart({
      requestId: findHeader(call, 'heatherdoor-request-id'),
      key: findHeader(call, 'idempotency-key'),
      body: call.body
    })
    const missing = this.#cache.addPrompt(request.prompt, performance.now())
    const stream = Stream.create({
      call,
      request,
      server: this.#server,
      prefillSteps: Math.ceil(missing / this.#limits.prefillBlocks),
      breakAfterChunks: this.#takeStreamBreak(),
      onCrash: () => { this.#runCrash() },
      onEnd: result => {
        this.#counters.noteEnd(result)
        this.#streams.delete(stream)
        this.#batch.remove(stream)
      }
    })
    this.#streams.add(stream)
    this.#batch.add(stream)
  }

  #takeStreamBreak (): number | undefined {
    const { count, after_chunks: afterChunks } = this.#breakStreams
    if (count === 0) return undefined
    this.#breakStreams = { count: count - 1, after_chunks: afterChunks }
    return afterChunks
  }

  async #handleOrder (call: Call): Promise<void> {
    const { fence, order } = orderCallSchema.parse(JSON.parse(call.body))
    const startId = this.#startId
    let refusal = this.#fence.accept(fence) ? undefined : 'old-fence' as const
    if (refusal === undefined && order.kind === 'load-map') {
      await waitMs(this.#limits.mapLoadMs)
      // A newer lease holder may have sent an order while the weights were loading.
      if (!this.#fence.accept(fence)) refusal = 'old-fence'
      if (startId !== this.#startId || this.#server.isDown()) return
    }
    const reason = refusal ?? this.#rank.applyOrder(order)
    const answer = { accepted: reason === undefined, fence: this.#fence.highest, step: this.#rank.step }
    sendJson(call, reason === undefined ? 200 : 409, reason === undefined ? answer : { ...answer, reason })
  }

  #sendCacheEvents (call: Call): void {
    const since = Number(call.url.searchParams.get('since') ?? 0)
    sendJson(call, 200, { start_id: String(this.#startId), events: this.#cache.listEvents(since, performance.now()) })
  }

  #describeLoad (): LoadReport {
    return {
      healthy: this.#healthy,
      start_id: String(this.#startId),
      warmth: this.#warmth.computeWarmth(performance.now()),
      step_ms: this.#computeStepMs(),
      step: this.#rank.step,
      held: this.#rank.isHeld(),
      map_version: this.#rank.mapVersion,
      running: this.#batch.runningCount,
      waiting: this.#batch.size - this.#batch.runningCount,
      cache: this.#cache.describe()
    }
  }

  #computeStepMs (): number {
    const { stepMs, sequenceMs } = this.#limits
    return (stepMs + sequenceMs * this.#batch.runningCount) * this.#slowFactor
  }

  #runStep (): void {
    if (!this.#rank.startStep()) return
    if (this.#limits.loadLagMs > 0) this.#loadReports.update(this.#describeLoad(), performance.now())
    this.#batch.runStep()
  }

  #runCrash (): void {
    if (this.#server.isDown()) return
    this.#counters.noteCrash()
    for (const stream of this.#streams) stream.abort()
    this.#streams.clear()
    this.#batch.removeAll()
    this.#cache.removeAll()
    this.#rank.dropUnusedMaps()
    this.#loadReports.removeAll()
    this.#server.simulateCrash(this.#downMs, () => {
      this.#startId += 1
      this.#warmth.resetToCold(performance.now())
    })
  }
}
