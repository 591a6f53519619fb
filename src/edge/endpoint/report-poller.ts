/**
 * Polls the load and health report of the endpoint and detects crashes, as
 * opposed to single broken connections.
 */

import { Agent, request } from 'undici'
import { z } from 'zod'
import type { EndpointReport, KernelEvent } from '../../kernel/events.js'
import type { Connector } from '../security/tls.js'

/** Interval between polls in ms. */
const REPORT_INTERVAL_MS = 500

/** Timeout of one poll in ms. */
const REPORT_TIMEOUT_MS = 1_000

/** Number of consecutive failed polls after which the endpoint counts as unhealthy. */
const FAILURES_UNTIL_UNHEALTHY = 2

/** Path of the report at the endpoint. */
const REPORT_PATH = '/v1/load'

const STATUS_NO_REPORT = 404

const REPORT_SCHEMA = z.object({
  healthy: z.boolean(),
  start_id: z.string(),
  warmth: z.number().min(0).max(1),
  step_ms: z.number().optional(),
  step: z.number().optional(),
  expert_counts: z.array(z.array(z.number().min(0))).optional()
})

/** Largest report in bytes. */
const REPORT_BYTES_MAX = 4 * 1024 * 1024

/** What a report poller is created with. */
export interface ReportPollerOptions {
  readonly url: string
  readonly dispatch: (event: KernelEvent) => void
  /** Opens TLS connections; plain HTTP when absent. */
  readonly connector?: Connector
}

/** Polls the load and health of the endpoint at a fixed interval. */
export class ReportPoller {
  readonly #options: ReportPollerOptions
  readonly #agent: Agent
  #timer: NodeJS.Timeout | undefined
  #failures = 0
  #startId = ''
  #polling = false

  private constructor (options: ReportPollerOptions) {
    this.#options = options
    this.#agent = new Agent({ connections: 1, maxResponseSize: REPORT_BYTES_MAX, ...(options.connector === undefined ? {} : { connect: options.connector }) })
  }

  /**
   * @param options - endpoint and event dispatch
   * @returns a poller that is not started
   */
  static create (options: ReportPollerOptions): ReportPoller {
    return new ReportPoller(options)
  }

  /** Starts polling. */
  start (): void {
    this.#timer = setInterval(() => { this.#poll() }, REPORT_INTERVAL_MS)
    this.#poll()
  }

  /** Stops polling and closes the connection. */
  async stop (): Promise<void> {
    clearInterval(this.#timer)
    await this.#agent.destroy()
  }

  /** Polls at once, unless a poll is in progress; called when the connection of a request broke. */
  pollNow (): void {
    this.#poll()
  }

  #poll (): void {
    if (this.#polling) return
    this.#polling = true
    this.#readReport()
      .then(report => { this.#handleReport(report) }, error => { this.#handleFailure(error) })
      .finally(() => { this.#polling = false })
  }

  async #readReport (): Promise<EndpointReport> {
    const response = await request(new URL(REPORT_PATH, this.#options.url), {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MS)
    })
    const body: unknown = await response.body.json().catch(() => undefined)
    // A plain service need not provide a report; a 404 response shows that it is healthy.
    if (response.statusCode === STATUS_NO_REPORT) return { healthy: true, startId: '', warmth: 1 }
    const value = REPORT_SCHEMA.parse(body)
    return {
      healthy: value.healthy,
      startId: value.start_id,
      warmth: value.warmth,
      ...(value.step_ms === undefined ? {} : { stepMs: value.step_ms }),
      ...(value.step === undefined ? {} : { step: value.step }),
      ...(value.expert_counts === undefined ? {} : { expertCounts: value.expert_counts })
    }
  }

  #handleReport (report: EndpointReport): void {
    const hasRestarted = this.#startId !== '' && report.startId !== this.#startId
    if (hasRestarted && this.#failures < FAILURES_UNTIL_UNHEALTHY) this.#raiseCrash()
    this.#startId = report.startId
    this.#failures = 0
    this.#options.dispatch({ kind: 'endpoint-reported', report })
  }

  /** A refused connection marks the endpoint as down at once; any other failure only when it is repeated. */
  #handleFailure (error: unknown): void {
    const isRefused = (error as { code?: unknown }).code === 'ECONNREFUSED'
    const failuresBefore = this.#failures
    this.#failures += isRefused ? FAILURES_UNTIL_UNHEALTHY : 1
    if (failuresBefore < FAILURES_UNTIL_UNHEALTHY && this.#failures >= FAILURES_UNTIL_UNHEALTHY) this.#raiseCrash()
    if (this.#failures >= FAILURES_UNTIL_UNHEALTHY) {
      this.#options.dispatch({ kind: 'endpoint-reported', report: { healthy: false, startId: this.#startId, warmth: 0 } })
    }
  }

  /** Derives the crash id from the start id of the crashed endpoint, so that a crash seen by two observers counts once. */
  #raiseCrash (): void {
    this.#options.dispatch({ kind: 'endpoint-crashed', crashId: `${this.#options.url}#${this.#startId}` })
  }
}
