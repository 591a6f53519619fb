/** Stand-in for one rank of a model engine. */

import { performance } from 'node:perf_hooks'
import { RunCounters } from '../shared/counters.js'
import { StandinServer, findHeader, sendJson } from '../shared/server.js'
import type { Call } from '../shared/server.js'
import { Warmth } from '../shared/warmth.js'
import { Batch } from './batch.js'
import type { Sequence } from './batch.js'
import { engineFaultsSchema } from './faults.js'
import type { EngineFaults } from './faults.js'
import { STREAM_END, formatChunk, formatCompletion, parseCompletion } from './request.js'
import type { CompletionRequest } from './request.js'

/** A prompt with this text crashes the engine at its first step. */
export const CRASH_TEXT = '__crash__'

/** What the engine stand-in is started with. */
export interface EngineOptions {
  readonly port?: number
  readonly host?: string
  /** Time of one step in ms. */
  readonly stepMs?: number
  /** Largest count of sequences in the batch. */
  readonly batchMax?: number
  /** Concurrent requests that a cold engine can handle. */
  readonly coldCap?: number
  /** Time from cold to warm in ms. */
  readonly warmMs?: number
  /** Whether the engine begins warm. */
  readonly warm?: boolean
  /** Time for which connections are refused after a crash, in ms. */
  readonly downMs?: number
}

const DEFAULTS = { stepMs: 20, batchMax: 32, coldCap: 2, warmMs: 10_000, warm: true, downMs: 3000 }

/** The engine stand-in on its own HTTP server. */
export class Engine {
  readonly #options: Required<Pick<EngineOptions, keyof typeof DEFAULTS>>
  readonly #batch: Batch
  readonly #warmth: Warmth
  readonly #counters = RunCounters.create()
  #server!: StandinServer
  #timer: NodeJS.Timeout | undefined
  #startId = 1
  #step = 0
  #downMs: number
  #slowFactor = 1
  #stalledUntilMs = 0
  #healthy = true
  #breakStreams = { count: 0, after_chunks: 0 }

  private constructor (options: EngineOptions) {
    this.#options = { ...DEFAULTS, ...options }
    const { coldCap, batchMax, warmMs, warm, downMs } = this.#options
    this.#batch = Batch.create(batchMax)
    this.#warmth = Warmth.create({ coldCap, warmCap: batchMax, warmMs }, performance.now(), warm)
    this.#downMs = downMs
  }

  /**
   * @param options - port, timing and limits
   * @returns a running stand-in
   */
  static async start (options: EngineOptions = {}): Promise<Engine> {
    const engine = new Engine(options)
    engine.#server = await StandinServer.start({
      port: options.port ?? 0,
      ...(options.host === undefined ? {} : { host: options.host }),
      handle: call => { engine.#handle(call) }
    })
    engine.#scheduleStep()
    return engine
  }

  /** Base URL. */
  get url (): string {
    return this.#server.url
  }

  /** @returns counts of runs */
  describeCounters (): ReturnType<RunCounters['describe']> {
    return this.#counters.describe()
  }

  /** @param faults - changes to the faults in force */
  applyFaults (faults: EngineFaults): void {
    this.#downMs = faults.down_ms ?? this.#downMs
    this.#slowFactor = faults.slow_factor ?? this.#slowFactor
    this.#healthy = faults.healthy ?? this.#healthy
    this.#breakStreams = faults.break_streams ?? this.#breakStreams
    if (faults.stall_ms !== undefined) this.#stalledUntilMs = performance.now() + faults.stall_ms
    if (faults.cold === true) this.#warmth.applyCold(performance.now())
    if (faults.silence === true) this.#server.applySilence()
    if (faults.crash === true) this.#runCrash()
  }

  /** Stops the stand-in. */
  async stop (): Promise<void> {
    clearTimeout(this.#timer)
    this.#batch.removeAll()
    await this.#server.stop()
  }

  #handle (call: Call): void {
    switch (`${call.method} ${call.url.pathname}`) {
      case 'POST /v1/chat/completions': this.#acceptCompletion(call); break
      case 'GET /v1/load': sendJson(call, 200, this.#describeLoad()); break
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
    const sequence = this.#buildSequence(call, request)
    call.response.once('close', () => {
      if (call.response.writableFinished || this.#server.isDown()) return
      this.#batch.remove(sequence)
      this.#counters.noteEnd('cancelled')
    })
    this.#batch.add(sequence)
  }

  #buildSequence (call: Call, request: CompletionRequest): Sequence {
    const isBroken = this.#breakStreams.count > 0
    const breakAfter = this.#breakStreams.after_chunks
    if (isBroken) this.#breakStreams = { ...this.#breakStreams, count: this.#breakStreams.count - 1 }
    const silentOk = (text: string): void => { if (!this.#server.isSilent(call)) call.response.write(text) }
    let index = Math.min(request.resumeFrom, request.maxTokens)
    let sent = 0
    return {
      priority: request.priority,
      prefillSteps: 0,
      runStep: () => {
        if (request.prompt.includes(CRASH_TEXT)) {
          this.#runCrash()
          return true
        }
        if (isBroken && sent >= breakAfter) {
          call.request.socket.destroy()
          return true
        }
        if (request.stream && !call.response.headersSent) {
          call.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
        }
        if (index < request.maxTokens) {
          if (request.stream) silentOk(formatChunk(request, index))
          index += 1
          sent += 1
        }
        if (index < request.maxTokens) return false
        this.#finish(call, request)
        return true
      }
    }
  }

  #finish (call: Call, request: CompletionRequest): void {
    this.#counters.noteEnd('finished')
    if (this.#server.isSilent(call)) return
    if (request.stream) call.response.end(STREAM_END)
    else call.response.writeHead(200, { 'content-type': 'application/json' }).end(formatCompletion(request))
  }

  #describeLoad (): unknown {
    return {
      healthy: this.#healthy,
      start_id: String(this.#startId),
      warmth: this.#warmth.compute(performance.now()),
      step_ms: this.#options.stepMs * this.#slowFactor,
      step: this.#step,
      running: this.#batch.running,
      waiting: this.#batch.size - this.#batch.running
    }
  }

  #scheduleStep (): void {
    this.#timer = setTimeout(() => {
      if (performance.now() >= this.#stalledUntilMs && !this.#server.isDown()) {
        this.#step += 1
        this.#batch.runStep()
      }
      this.#scheduleStep()
    }, this.#options.stepMs * this.#slowFactor)
  }

  #runCrash (): void {
    if (this.#server.isDown()) return
    this.#counters.noteCrash()
    this.#batch.removeAll()
    this.#server.runCrash(this.#downMs, () => {
      this.#startId += 1
      this.#warmth.applyCold(performance.now())
    })
  }
}
