/** The entry process: it accepts the requests of callers. */

import { Operations, OPERATIONS_CONNECTIONS_MAX } from '../operations.js'
import { ProcessEdge } from '../process.js'
import type { EntrySettings, ListenerSettings } from '../../settings/process.js'
import { computeConnectionsMax, readDescriptorLimit } from '../connections/descriptors.js'
import { CallersController, CONFIGURATION_TOKEN, NOTE_LIMIT_TOKEN } from './callers.js'
import { CallerBridge } from './caller-bridge.js'
import { HeldBytes } from './held-bytes.js'
import { OperationsController } from './operations.js'
import type { LimitReason } from '../connections/limit-log.js'
import { EntryServer } from './server.js'
import type { ServerOptions } from './server.js'

/** Largest sum of bodies sent to the operations listener, which uses none, in bytes. */
const OPERATIONS_BODIES_MAX_BYTES = 1024 * 1024

/** Callback for the end of the planned stop. */
interface LeaveListener {
  handleLeaveEnd: (workCut: boolean) => void
}

/** One entry. */
export class EntryProcess {
  readonly #edge: ProcessEdge
  readonly #bridge: CallerBridge
  readonly #callers: EntryServer
  readonly #operations: EntryServer
  readonly #leaveListener: LeaveListener

  private constructor (leaveListener: LeaveListener, edge: ProcessEdge, bridge: CallerBridge, callers: EntryServer, operations: EntryServer) {
    this.#edge = edge
    this.#bridge = bridge
    this.#callers = callers
    this.#operations = operations
    this.#leaveListener = leaveListener
  }

  /**
   * @param settings - validated settings
   * @returns a process that is not started
   */
  static async create (settings: EntrySettings): Promise<EntryProcess> {
    const bridge = CallerBridge.create(settings.limits.requestsMax)
    const leaveListener: LeaveListener = { handleLeaveEnd: () => undefined }
    const edge = ProcessEdge.create({
      role: 'entry',
      settings,
      addressHoldMs: settings.addressHoldMs,
      handleRoleEffect: effect => { bridge.applyEffect(effect) },
      handleLeaveFinished: () => { leaveListener.handleLeaveEnd(bridge.countExchanges() > 0) }
    })
    bridge.connect(event => { edge.runtime.dispatch(event) }, edge.metrics)
    const callers = await EntryServer.create(buildCallersOptions(settings, edge, bridge))
    const operations = await EntryServer.create(buildOperationsOptions(settings, edge))
    return new EntryProcess(leaveListener, edge, bridge, callers, operations)
  }

  /** @throws Error when a port is taken */
  async start (): Promise<void> {
    await this.#callers.start()
    await this.#operations.start()
    await this.#edge.start()
  }

  /**
   * Starts the planned stop.
   *
   * @param handleLeaveEnd - called when it is finished; `workCut` tells whether work was unfinished
   */
  leave (handleLeaveEnd: (workCut: boolean) => void): void {
    this.#leaveListener.handleLeaveEnd = handleLeaveEnd
    this.#edge.leave()
  }

  /** Closes idle connections and all sockets. */
  async stop (): Promise<void> {
    await this.#callers.stop()
    await this.#edge.stop()
    await this.#operations.stop()
  }

  /** @returns number of requests whose response has not ended */
  countWork (): number {
    return this.#bridge.countExchanges()
  }

  /**
   * Logs that the process ends before all work is finished.
   *
   * @param count - requests that are aborted
   */
  logWorkCut (count: number): void {
    this.#edge.logger.write('work-cut', { count })
  }
}

function buildCallersOptions (settings: EntrySettings, edge: ProcessEdge, bridge: CallerBridge): ServerOptions {
  const configuration = edge.kernel.getPort('configuration')
  const noteLimit = (limit: LimitReason): void => { edge.limits.note(limit) }
  const held = HeldBytes.create(settings.limits.heldBytesMax, () => { noteLimit('memory') })
  return {
    ...buildListener(edge, settings.callerListener),
    limits: settings.limits,
    connections: { connectionsMax: computeConnectionsMax(settings.limits.connectionsMax, readDescriptorLimit()), noteLimit },
    held,
    controller: CallersController,
    providers: [
      { provide: CallerBridge, useValue: bridge },
      { provide: CONFIGURATION_TOKEN, useValue: configuration },
      { provide: HeldBytes, useValue: held },
      { provide: NOTE_LIMIT_TOKEN, useValue: () => { noteLimit('requests') } }
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
    connections: { connectionsMax: OPERATIONS_CONNECTIONS_MAX, noteLimit: limit => { edge.limits.note(limit) } },
    held: HeldBytes.create(OPERATIONS_BODIES_MAX_BYTES, () => { edge.limits.note('memory') }),
    controller: OperationsController,
    providers: [{ provide: Operations, useValue: operations }]
  }
}

function buildListener (edge: ProcessEdge, listener: ListenerSettings): Pick<ServerOptions, 'ip' | 'port' | 'logger' | 'tls'> {
  const tls = edge.tls.loadListener(listener)
  return { ip: listener.ip, port: listener.port, logger: edge.logger, ...(tls === undefined ? {} : { tls }) }
}
