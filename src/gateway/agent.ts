/**
 * Process on the host of a model worker: reads its counters, which is cheap from the
 * same host, forwards orders, and grants the permits of the worker.
 */

import { Logger } from '../edge/log/logger.js'
import type { OrderResult, RankOrder, RankState } from '../plugins/lockstep/rank.js'
import { LoadMeter } from '../plugins/gateway/engine-load.js'
import type { EngineLoad } from '../plugins/gateway/engine-load.js'
import { PermitBucket } from '../plugins/gateway/permits.js'
import type { PermitReply } from '../plugins/gateway/permits.js'
import { CounterSnapshots } from './counter-deltas.js'
import { LineWriter } from './lines.js'
import { openListener } from './listening.js'
import type { Address } from './model.js'
import { RankServer } from './rank-link.js'
import type { AgentReply, AgentRequest, PermitRequest, RankReply, RankRequest } from './rank-messages.js'

/** Time in ms allowed for writing the last log lines. */
const FLUSH_MS = 50

/** Interface of a model worker to agents and map coordinators. */
export interface RankEngine {
  readState (address: Address): Promise<RankState | undefined>
  readCounts (address: Address): Promise<readonly number[] | undefined>
  /** Reads the map in use. @returns experts of the rank by layer */
  readMap (address: Address): Promise<readonly (readonly number[])[] | undefined>
  send (address: Address, epoch: number, order: RankOrder): Promise<OrderResult>
}

/** Reads the load of a model worker. */
export interface LoadReader {
  /** @returns the load; undefined when the worker does not answer in time */
  readLoad (address: Address): Promise<EngineLoad | undefined>
}

/** Settings of an agent. */
export interface AgentSettings {
  readonly host: string
  readonly linkListener: Address
  readonly workerAddress: Address
}

/**
 * Carries out a request of a map coordinator: reads from a model worker, or sends it an order.
 *
 * @param engine - client of model workers
 * @param address - address of the worker
 * @param request - request of the map coordinator
 * @param snapshots - readings that were given out before; counters are sent in full without them
 */
export async function answerRankRequest (engine: RankEngine, address: Address, request: RankRequest, snapshots?: CounterSnapshots): Promise<RankReply> {
  switch (request.kind) {
    case 'read': {
      const [state, counts, experts] = await Promise.all([
        engine.readState(address),
        request.wantsCounts ? engine.readCounts(address) : undefined,
        request.wantsMap ? engine.readMap(address) : undefined
      ])
      return { state, ...(counts === undefined ? {} : snapshots?.encode(counts, request.countsSince) ?? { counts }), ...(experts === undefined ? {} : { experts }) }
    }
    case 'order': {
      const result = await engine.send(address, request.epoch, request.order)
      return { state: await engine.readState(address), result }
    }
  }
}

/** Agent of one model worker. */
export class AgentProcess {
  readonly #settings: AgentSettings
  readonly #engine: RankEngine & LoadReader
  readonly #snapshots = CounterSnapshots.create(Math.floor(Math.random() * Number.MAX_SAFE_INTEGER / 2))
  readonly #lines: LineWriter
  readonly #logger: Logger
  readonly #server: RankServer
  readonly #permits = PermitBucket.create(performance.now())
  readonly #load = LoadMeter.create()
  #pendingReport: Promise<void> | undefined

  private constructor (settings: AgentSettings, engine: RankEngine & LoadReader) {
    this.#settings = settings
    this.#engine = engine
    this.#lines = LineWriter.create(count => { this.#logger.write('log-lines-dropped', { count }) })
    this.#logger = Logger.create({ processId: settings.host, write: line => { this.#lines.add(line, performance.now()) } })
    this.#server = RankServer.create(request => this.#answer(request), reason => { this.#logger.write('internal-error', { reason }) })
  }

  /**
   * @param settings - addresses of the agent and its worker
   * @param engine - client of model workers
   * @returns an agent that has not started
   */
  static create (settings: AgentSettings, engine: RankEngine & LoadReader): AgentProcess {
    return new AgentProcess(settings, engine)
  }

  /** @throws Error when the address is already in use */
  async start (): Promise<void> {
    const { linkListener } = this.#settings
    await openListener(async () => { await this.#server.start(linkListener) }, () => { this.#logger.write('address-in-use', { address: `${linkListener.host}:${linkListener.port}` }) })
    this.#logger.write('process-started', { role: 'agent', id: this.#settings.host })
  }

  /** Logs that the settings file changed; addresses stay the same for the life of the process. */
  reload (): void {
    this.#logger.write('settings-reloaded', {})
  }

  /** Stops at once: map coordinators repeat unanswered requests, and the next agent grants no permits that this one may have granted. */
  leave (handleLeaveEnd: () => void): void {
    this.#logger.write('process-stopped', {})
    this.#lines.flush()
    setTimeout(handleLeaveEnd, FLUSH_MS)
  }

  async #answer (request: AgentRequest): Promise<AgentReply> {
    if (request.kind === 'permit') return await this.#answerPermit(request)
    const reply = await answerRankRequest(this.#engine, this.#settings.workerAddress, request, this.#snapshots)
    if (request.kind === 'order') {
      const { order, epoch } = request
      this.#logger.write('order-answered', {
        order: order.kind, epoch, result: reply.result ?? '', step: reply.state?.step ?? -1, ...('version' in order ? { version: order.version } : {}), ...('step' in order ? { atStep: order.step } : {})
      })
    }
    return reply
  }

  /** Grants a permit unless the worker lacks the room that the request needs. */
  async #answerPermit ({ rate, waitMaxMs, room }: PermitRequest): Promise<PermitReply> {
    if (room === undefined) return this.#reserve(rate, waitMaxMs, 0)
    await this.#updateLoad()
    const load = this.#load.countRequests()
    if (load !== undefined && !this.#load.hasRoom(room)) return { kind: 'busy', load }
    const reply = this.#reserve(rate, waitMaxMs, room.tokens)
    return reply.kind === 'granted' && load !== undefined ? { ...reply, load } : reply
  }

  #reserve (rate: PermitRequest['rate'], waitMaxMs: number, tokens: number): PermitReply {
    const nowMs = performance.now()
    const reply = this.#permits.reserve(rate, waitMaxMs, nowMs)
    if (reply.kind === 'granted') this.#load.noteGranted(tokens, nowMs)
    return reply
  }

  /** Reads the load of the worker unless it was read just now; requests that arrive together share a reading. */
  async #updateLoad (): Promise<void> {
    const nowMs = performance.now()
    if (this.#pendingReport === undefined && this.#load.isReportDue(nowMs)) {
      this.#pendingReport = this.#engine.readLoad(this.#settings.workerAddress).catch((error: unknown) => {
        this.#logger.write('internal-error', { reason: String(error) })
        return undefined
      }).then(load => {
        this.#load.noteReport(load, nowMs)
        this.#pendingReport = undefined
      })
    }
    await this.#pendingReport
  }
}
