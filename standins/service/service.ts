/** Stand-in for a plain service: bookings, orders and stock. */

import { performance } from 'node:perf_hooks'
import { RunCounters } from '../shared/counters.js'
import { FenceGuard } from '../shared/fence.js'
import { StandinServer, findHeader, sendJson } from '../shared/server.js'
import type { Call } from '../shared/server.js'
import { Warmth } from '../shared/warmth.js'
import { serviceFaultsSchema } from './faults.js'
import type { ServiceFaults } from './faults.js'
import { Ledger } from './ledger.js'

/** A request whose body contains this text crashes the service when its run starts. */
export const CRASH_TEXT = '__crash__'

/** Options of the service stand-in. */
export interface ServiceOptions {
  readonly port?: number
  readonly host?: string
  /** Duration of one request in ms. */
  readonly serviceMs?: number
  /** Concurrent requests that a cold service can handle. */
  readonly coldCap?: number
  /** Concurrent requests at the end of a cold start. */
  readonly warmCap?: number
  /** Time from cold to warm in ms. */
  readonly warmMs?: number
  /** Whether the service starts warm. */
  readonly warm?: boolean
  /** How long connections are refused after a crash, in ms. */
  readonly downMs?: number
  /** Whether requests with an older `heatherdoor-fence` are refused. */
  readonly checksFencing?: boolean
}

const DEFAULTS = {
  serviceMs: 10, coldCap: 2, warmCap: 16, warmMs: 10_000, warm: true, downMs: 3000, checksFencing: false
}

/** Response of one run. */
interface RunResponse {
  readonly status: number
  readonly value: unknown
}

/** The service stand-in on its own HTTP server. */
export class Service {
  readonly ledger = Ledger.create()
  readonly #warmth: Warmth
  readonly #fence: FenceGuard
  readonly #counters = RunCounters.create()
  #server!: StandinServer
  #startId = 1
  #serviceMs: number
  #downMs: number
  #healthy = true
  #loseAnswers = 0

  private constructor (options: ServiceOptions) {
    const limits = { ...DEFAULTS, ...options }
    this.#serviceMs = limits.serviceMs
    this.#downMs = limits.downMs
    this.#fence = FenceGuard.create(limits.checksFencing)
    this.#warmth = Warmth.create(limits, performance.now(), limits.warm)
  }

  /**
   * @param options - port, timing and limits
   * @returns a running stand-in
   */
  static async start (options: ServiceOptions = {}): Promise<Service> {
    const service = new Service(options)
    service.#server = await StandinServer.start({
      port: options.port ?? 0,
      ...(options.host === undefined ? {} : { host: options.host }),
      handle: call => { service.#handle(call) }
    })
    return service
  }

  /** Base URL. */
  get url (): string {
    return this.#server.url
  }

  /** @returns counts of runs, bookings and orders */
  describeCounters (): ReturnType<RunCounters['describe']> & ReturnType<Ledger['describe']> {
    return { ...this.#counters.describe(), ...this.ledger.describe() }
  }

  /** @param faults - changes to the faults in force */
  applyFaults (faults: ServiceFaults): void {
    this.#downMs = faults.down_ms ?? this.#downMs
    this.#serviceMs = faults.service_ms ?? this.#serviceMs
    this.#healthy = faults.healthy ?? this.#healthy
    this.#loseAnswers = faults.lose_answers ?? this.#loseAnswers
    if (faults.cold === true) this.#warmth.resetToCold(performance.now())
    if (faults.silence === true) this.#server.silenceConnections()
    if (faults.crash === true) this.#runCrash()
  }

  /** Stops the stand-in. */
  async stop (): Promise<void> {
    await this.#server.stop()
  }

  #handle (call: Call): void {
    switch (`${call.method} ${call.url.pathname}`) {
      case 'GET /v1/load': sendJson(call, 200, this.#describeLoad()); break
      case 'GET /counters': sendJson(call, 200, this.describeCounters()); break
      case 'POST /faults': {
        const faults = serviceFaultsSchema.parse(JSON.parse(call.body))
        sendJson(call, 200, {})
        setImmediate(() => { this.applyFaults(faults) })
        break
      }
      default: this.#acceptRun(call)
    }
  }

  #acceptRun (call: Call): void {
    const fence = findHeader(call, 'heatherdoor-fence')
    if (fence !== undefined && !this.#fence.accept(Number(fence))) {
      sendJson(call, 409, { error: 'old fencing number', fence: this.#fence.highest })
      return
    }
    if (this.#counters.running + 1 > this.#warmth.computeCap(performance.now())) {
      this.#runCrash()
      return
    }
    this.#counters.noteStart({
      requestId: findHeader(call, 'heatherdoor-request-id'),
      key: findHeader(call, 'idempotency-key'),
      body: call.body === '' ? undefined : call.body
    })
    if (call.body.includes(CRASH_TEXT)) {
      this.#runCrash()
      return
    }
    const startId = this.#startId
    const response = this.#runOrReject(call)
    setTimeout(() => {
      if (startId !== this.#startId || this.#server.isDown()) return
      this.#counters.noteEnd('finished')
      if (this.#server.isSilenced(call)) return
      if (this.#loseAnswers > 0) {
        this.#loseAnswers -= 1
        call.request.socket.destroy()
      } else {
        sendJson(call, response.status, response.value)
      }
    }, this.#serviceMs)
  }

  #runOrReject (call: Call): RunResponse {
    try {
      return this.#runRequest(call)
    } catch (error) {
      return { status: 400, value: { error: String(error) } }
    }
  }

  /** Runs the request; its effect remains even if the response is lost. */
  #runRequest (call: Call): RunResponse {
    const path = call.url.pathname
    const id = decodeURIComponent(path.slice(path.lastIndexOf('/') + 1))
    if (call.method === 'POST' && path === '/bookings') return { status: 201, value: this.ledger.addBooking(call.body) }
    if (call.method === 'POST' && path === '/orders') return { status: 201, value: this.ledger.addOrder(call.body) }
    if (call.method !== 'GET') return { status: 405, value: {} }
    if (path === '/status') return { status: 200, value: { open: true, ...this.ledger.describe() } }
    if (path.startsWith('/stock/')) return { status: 200, value: { sku: id, units: this.ledger.countStock(id) } }
    if (path.startsWith('/bookings/')) {
      const booking = this.ledger.findBooking(id)
      return booking === undefined ? { status: 404, value: {} } : { status: 200, value: booking }
    }
    return { status: 404, value: {} }
  }

  #describeLoad (): unknown {
    return {
      healthy: this.#healthy,
      start_id: String(this.#startId),
      warmth: this.#warmth.computeWarmth(performance.now()),
      running: this.#counters.running
    }
  }

  #runCrash (): void {
    if (this.#server.isDown()) return
    this.#counters.noteCrash()
    this.#server.simulateCrash(this.#downMs, () => {
      this.#startId += 1
      this.#warmth.resetToCold(performance.now())
    })
  }
}
