/** The process on an entry host. */

import { Operations } from '../operations.js'
import { ProcessEdge } from '../process.js'
import type { EntrySettings, ListenerSettings } from '../../settings/process.js'
import { CallersController, CONFIGURATION_TOKEN } from './callers.js'
import { CallerBridge } from './caller-bridge.js'
import { OperationsController } from './operations.js'
import { EntryServer } from './server.js'
import type { ServerOptions } from './server.js'

/** Who is told when the planned stop is finished. */
interface LeaveState {
  handleLeft: (workCut: boolean) => void
}

/** One entry. */
export class EntryProcess {
  readonly #edge: ProcessEdge
  readonly #gateway: CallerBridge
  readonly #callers: EntryServer
  readonly #operations: EntryServer
  readonly #state: LeaveState

  private constructor (state: LeaveState, edge: ProcessEdge, gateway: CallerBridge, callers: EntryServer, operations: EntryServer) {
    this.#edge = edge
    this.#gateway = gateway
    this.#callers = callers
    this.#operations = operations
    this.#state = state
  }

  /**
   * @param settings - checked settings
   * @returns a process that is not started
   */
  static async create (settings: EntrySettings): Promise<EntryProcess> {
    const gateway = CallerBridge.create()
    const state: LeaveState = { handleLeft: () => undefined }
    const edge = ProcessEdge.create({
      role: 'entry',
      settings,
      addressHoldMs: settings.addressHoldMs,
      handleRoleEffect: effect => { gateway.applyEffect(effect) },
      handleLeaveFinished: () => { state.handleLeft(gateway.countExchanges() > 0) }
    })
    gateway.connect(event => { edge.runtime.dispatch(event) }, edge.metrics)
    const callers = await EntryServer.create(buildCallersOptions(settings, edge, gateway))
    const operations = await EntryServer.create(buildOperationsOptions(settings, edge))
    return new EntryProcess(state, edge, gateway, callers, operations)
  }

  /** @throws Error when a port is taken */
  async start (): Promise<void> {
    await this.#callers.start()
    await this.#operations.start()
    await this.#edge.start()
  }

  /**
   * @param handleLeft - called when the planned stop is finished
   */
  leave (handleLeft: (workCut: boolean) => void): void {
    this.#state.handleLeft = handleLeft
    this.#edge.leave()
  }

  /** Closes idle connections and all sockets. */
  async stop (): Promise<void> {
    await this.#callers.stop()
    await this.#edge.stop()
    await this.#operations.stop()
  }

  /** @returns count of callers that wait for an answer */
  countWork (): number {
    return this.#gateway.countExchanges()
  }

  /**
   * @param count - requests that are cut off
   */
  logWorkCut (count: number): void {
    this.#edge.logger.write('work-cut', { count })
  }
}

function buildCallersOptions (settings: EntrySettings, edge: ProcessEdge, gateway: CallerBridge): ServerOptions {
  const configuration = edge.kernel.getPort('configuration')
  return {
    ...buildListener(edge, settings.callerListener),
    limits: settings.limits,
    controller: CallersController,
    providers: [
      { provide: CallerBridge, useValue: gateway },
      { provide: CONFIGURATION_TOKEN, useValue: configuration }
    ]
  }
}

function buildOperationsOptions (settings: EntrySettings, edge: ProcessEdge): ServerOptions {
  const operations = Operations.create({
    kernel: edge.kernel,
    metrics: edge.metrics,
    operators: edge.operators
  })
  return {
    ...buildListener(edge, settings.operationsListener),
    limits: settings.limits,
    controller: OperationsController,
    providers: [{ provide: Operations, useValue: operations }]
  }
}

function buildListener (edge: ProcessEdge, listener: ListenerSettings): Pick<ServerOptions, 'ip' | 'port' | 'logger' | 'tls'> {
  const tls = edge.tls.loadListener(listener)
  return { ip: listener.ip, port: listener.port, logger: edge.logger, ...(tls === undefined ? {} : { tls }) }
}
