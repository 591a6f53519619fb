/** The process that runs next to one endpoint. All work for the endpoint passes through it. */

import type { Effect } from '../../kernel/effects.js'
import type { KernelEvent } from '../../kernel/events.js'
import type { EndpointSettings } from '../../settings/process.js'
import { Operations } from '../operations.js'
import { ProcessEdge } from '../process.js'
import { createOperationsServer } from './operations.js'
import { OrderSender } from './order-sender.js'
import { ReportPoller } from './report-poller.js'
import { Runner } from './runner.js'

/** Timeout for opening a connection to the endpoint in ms. */
const ENDPOINT_CONNECT_TIMEOUT_MS = 5_000

/** One endpoint process. */
export class EndpointProcess {
  readonly #edge: ProcessEdge
  readonly #runner: Runner
  readonly #reportPoller: ReportPoller
  readonly #orderSender: OrderSender
  readonly #settings: EndpointSettings
  readonly #server
  #handleLeaveEnd: (workCut: boolean) => void = () => undefined

  private constructor (settings: EndpointSettings) {
    this.#settings = settings
    this.#edge = ProcessEdge.create({
      role: 'endpoint',
      settings,
      service: settings.service,
      handleRoleEffect: effect => { this.#applyEffect(effect) },
      handleLeaveFinished: () => { this.#handleLeaveEnd(this.countWork() > 0) }
    })
    const url = settings.endpoint.url
    const dispatch = (event: KernelEvent): void => {
      this.#edge.runtime.dispatch(event)
      // A broken connection may be the first sign of a crash, so the report is polled at once.
      if (event.kind === 'endpoint-failed') this.#reportPoller.pollNow()
    }
    const connector = this.#edge.tls.loadConnector(settings.endpoint.tls, ENDPOINT_CONNECT_TIMEOUT_MS)
    const target = { url, dispatch, ...(connector === undefined ? {} : { connector }) }
    this.#runner = Runner.create({ ...target, fence: this.#edge.kernel.self.incarnation })
    this.#reportPoller = ReportPoller.create(target)
    this.#orderSender = OrderSender.create(target)
    this.#server = createOperationsServer(Operations.create({
      kernel: this.#edge.kernel,
      metrics: this.#edge.metrics,
      operators: this.#edge.operators
    }), limit => { this.#edge.limits.note(limit) }, this.#edge.tls.loadListener(settings.operationsListener))
  }

  /**
   * @param settings - validated settings
   * @returns a process that is not started
   */
  static create (settings: EndpointSettings): EndpointProcess {
    return new EndpointProcess(settings)
  }

  /** @throws Error when a port is taken */
  async start (): Promise<void> {
    const { ip, port } = this.#settings.operationsListener
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject).listen(port, ip, resolve)
    })
    await this.#edge.start()
    this.#reportPoller.start()
  }

  /**
   * Starts the planned stop.
   *
   * @param handleLeaveEnd - called when it is finished; `workCut` tells whether work was unfinished
   */
  leave (handleLeaveEnd: (workCut: boolean) => void): void {
    this.#handleLeaveEnd = handleLeaveEnd
    this.#edge.leave()
  }

  /** Closes all sockets and stops all timers. */
  async stop (): Promise<void> {
    this.#server.close()
    this.#server.closeAllConnections()
    await this.#reportPoller.stop()
    await this.#orderSender.stop()
    await this.#edge.stop()
    await this.#runner.stop()
  }

  /** @returns number of requests running at the endpoint */
  countWork (): number {
    return this.#runner.countRunning()
  }

  /**
   * Logs that the process ends before all work is finished.
   *
   * @param count - requests that are aborted
   */
  logWorkCut (count: number): void {
    this.#edge.logger.write('work-cut', { count })
  }

  #applyEffect (effect: Effect): void {
    switch (effect.kind) {
      case 'run':
        this.#runner.run(effect.work)
        return
      case 'abort-run':
        this.#runner.abort(effect.workId)
        return
      case 'order':
        this.#orderSender.send(effect.orderId, effect.fence, effect.order)
        return
      default:
        throw new Error(`effect ${effect.kind} does not belong to an endpoint process`)
    }
  }
}
