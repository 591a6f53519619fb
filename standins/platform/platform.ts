/** Stand-in for the operators' object API. */

import { performance } from 'node:perf_hooks'
import type { SecureContextOptions } from 'node:tls'
import { z } from 'zod'
import { StandinServer, findHeader, sendJson, waitMs } from '../shared/server.js'
import type { Call } from '../shared/server.js'
import { TokenBucket } from './bucket.js'
import { NO_PLATFORM_FAULTS, platformFaultsSchema } from './faults.js'
import type { PlatformFaultState, PlatformFaults } from './faults.js'
import { HostList, hostsSchema } from './hosts.js'
import { ObjectStore } from './store.js'

/** Maximum size of a value in bytes. */
export const VALUE_BYTES_MAX = 1_048_576
/** Maximum time that one watch waits, in ms. */
const WATCH_TIMEOUT_MAX_MS = 60_000
const writeSchema = z.strictObject({ value: z.string() })
const OBJECTS_PATH = '/v1/objects/'

/** Options of the platform stand-in. */
export interface PlatformOptions {
  readonly port?: number
  readonly host?: string
  /** Certificate and key; without them the stand-in takes plain HTTP. */
  readonly tls?: SecureContextOptions
  /** Writes per second over all clients. */
  readonly writesPerS?: number
  /** Reads per second over all clients; each waiting watch counts as one. */
  readonly readsPerS?: number
  /** Bearer credential required on every call to `/v1`. */
  readonly credential?: string
}

/** Kinds of calls that are counted. */
export type PlatformCallKind = 'read' | 'list' | 'write' | 'remove' | 'watch' | 'hosts' | 'conflict' | 'limited' | 'failed'

/** The platform stand-in on its own HTTP server. */
export class Platform {
  readonly store = ObjectStore.create(() => { this.#wakeWatches() })
  readonly hosts = HostList.create()
  readonly #credential: string | undefined
  readonly #reads: TokenBucket
  readonly #writes: TokenBucket
  readonly #counters = new Map<PlatformCallKind, number>()
  readonly #waitingWatches = new Set<() => void>()
  #faults: PlatformFaultState = NO_PLATFORM_FAULTS
  #server!: StandinServer

  private constructor (options: PlatformOptions) {
    const nowMs = performance.now()
    this.#credential = options.credential
    this.#reads = TokenBucket.create(options.readsPerS ?? 2000, nowMs)
    this.#writes = TokenBucket.create(options.writesPerS ?? 300, nowMs)
  }

  /**
   * @param options - port, limits and credential
   * @returns a running stand-in
   */
  static async start (options: PlatformOptions = {}): Promise<Platform> {
    const platform = new Platform(options)
    platform.#server = await StandinServer.start({
      port: options.port ?? 0,
      ...(options.host === undefined ? {} : { host: options.host }),
      ...(options.tls === undefined ? {} : { tls: options.tls }),
      handle: async call => { await platform.#handle(call) }
    })
    return platform
  }

  /** Base URL. */
  get url (): string {
    return this.#server.url
  }

  /** @param faults - changes to the faults in force */
  applyFaults (faults: PlatformFaults): void {
    const { refuse_ms: refuseMs, silence, ...lastingFaults } = faults
    this.#faults = { ...this.#faults, ...lastingFaults } as PlatformFaultState
    if (silence === true) this.#server.silenceConnections()
    if (refuseMs !== undefined) this.#server.simulateCrash(refuseMs, () => {})
    if (this.#faults.outage !== 'none') this.#wakeWatches()
  }

  /** @returns counts of calls by kind */
  listCounters (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counters)
  }

  /** Stops the stand-in. */
  async stop (): Promise<void> {
    await this.#server.stop()
    this.#wakeWatches()
  }

  async #handle (call: Call): Promise<void> {
    const path = call.url.pathname
    if (path === '/faults' && call.method === 'POST') {
      const faults = platformFaultsSchema.parse(JSON.parse(call.body))
      sendJson(call, 200, { ...this.#faults, ...faults })
      setImmediate(() => { this.applyFaults(faults) })
    } else if (path === '/counters') {
      sendJson(call, 200, this.listCounters())
    } else if (path === '/hosts' && call.method === 'PUT') {
      this.hosts.update(hostsSchema.parse(JSON.parse(call.body)), performance.now())
      sendJson(call, 200, {})
    } else if (await this.#applyOutage(call)) {
      this.#countCall('failed')
    } else if (this.#credential !== undefined && findHeader(call, 'authorization') !== `Bearer ${this.#credential}`) {
      sendJson(call, 401, {})
    } else if (!this.#takeToken(call)) {
      this.#countCall('limited')
      sendJson(call, 429, {})
    } else {
      await this.#answerApiCall(call, path)
    }
  }

  async #answerApiCall (call: Call, path: string): Promise<void> {
    if (path.startsWith(OBJECTS_PATH) && path.length > OBJECTS_PATH.length) {
      this.#answerObject(call, decodeURIComponent(path.slice(OBJECTS_PATH.length)))
    } else if (path === '/v1/objects') {
      this.#countCall('list')
      const objects = this.store.list(call.url.searchParams.get('prefix') ?? '')
      sendJson(call, 200, { revision: this.store.revision, objects })
    } else if (path === '/v1/watch') {
      await this.#answerWatch(call)
    } else if (path === '/v1/hosts') {
      this.#countCall('hosts')
      sendJson(call, 200, { hosts: this.hosts.listAt(performance.now() - this.#faults.hosts_lag_ms) })
    } else {
      sendJson(call, 404, {})
    }
  }

  #answerObject (call: Call, key: string): void {
    if (call.method === 'GET') {
      this.#countCall('read')
      const object = this.store.find(key, this.#faults.stale_reads)
      if (object === undefined) sendJson(call, 404, { revision: 0 })
      else sendJson(call, 200, object)
    } else if (call.method === 'PUT' || call.method === 'DELETE') {
      this.#answerWrite(call, key)
    } else {
      sendJson(call, 405, {})
    }
  }

  #answerWrite (call: Call, key: string): void {
    this.#countCall(call.method === 'PUT' ? 'write' : 'remove')
    const expected = Number(findHeader(call, 'if-match') ?? 'missing')
    if (!Number.isInteger(expected) || expected < 0) {
      sendJson(call, 400, { error: 'if-match with a revision is required' })
      return
    }
    const value = call.method === 'PUT' ? writeSchema.parse(JSON.parse(call.body)).value : null
    if (value !== null && Buffer.byteLength(value) > VALUE_BYTES_MAX) {
      sendJson(call, 413, { error: 'the value is larger than 1 MB' })
      return
    }
    if (this.#faults.lose_writes > 0) {
      this.applyFaults({ lose_writes: this.#faults.lose_writes - 1 })
      call.request.socket.destroy()
      return
    }
    const result = this.store.update(key, value, expected)
    if (result.kind === 'conflict') this.#countCall('conflict')
    if (this.#faults.lose_answers > 0) {
      this.applyFaults({ lose_answers: this.#faults.lose_answers - 1 })
      call.request.socket.destroy()
      return
    }
    sendJson(call, result.kind === 'done' ? 200 : 409, { revision: result.revision })
  }

  async #answerWatch (call: Call): Promise<void> {
    this.#countCall('watch')
    const query = call.url.searchParams
    const prefix = query.get('prefix') ?? ''
    const since = Number(query.get('since') ?? 0)
    const deadlineMs = performance.now() + Math.min(Number(query.get('timeout_ms') ?? WATCH_TIMEOUT_MAX_MS), WATCH_TIMEOUT_MAX_MS)
    this.#reads.updateHeldCalls(1, performance.now())
    try {
      for (;;) {
        const events = this.store.listEvents(prefix, since)
        const isTimedOut = performance.now() >= deadlineMs
        if (call.response.destroyed || await this.#applyOutage(call)) return
        if (events === undefined) {
          sendJson(call, 410, { revision: this.store.revision })
          return
        }
        if (events.length > 0 || isTimedOut) {
          sendJson(call, 200, { revision: this.store.revision, events })
          return
        }
        await this.#waitForChange(call, deadlineMs - performance.now())
      }
    } finally {
      this.#reads.updateHeldCalls(-1, performance.now())
    }
  }

  async #waitForChange (call: Call, timeoutMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.#waitingWatches.delete(wake)
        call.response.off('close', wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      this.#waitingWatches.add(wake)
      call.response.once('close', wake)
    })
  }

  #wakeWatches (): void {
    for (const wake of [...this.#waitingWatches]) wake()
  }

  /** Applies delays and outages; true when an outage already handled the call. */
  async #applyOutage (call: Call): Promise<boolean> {
    if (this.#faults.slow_ms > 0) await waitMs(this.#faults.slow_ms)
    switch (this.#faults.outage) {
      case 'none': return false
      case 'status': sendJson(call, 503, {}); return true
      case 'break': call.request.socket.destroy(); return true
      case 'hang': return true
    }
  }

  #takeToken (call: Call): boolean {
    const bucket = call.method === 'GET' ? this.#reads : this.#writes
    return bucket.takeToken(performance.now())
  }

  #countCall (kind: PlatformCallKind): void {
    this.#counters.set(kind, (this.#counters.get(kind) ?? 0) + 1)
  }
}
