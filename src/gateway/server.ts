/** HTTP server that accepts requests of callers. */

import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import { LimitLog } from '../edge/connections/limit-log.js'
import { ERROR_RESPONSES, assertNever } from '../kernel/errors.js'
import type { ErrorKind } from '../kernel/errors.js'
import { ByteCollector } from './byte-collector.js'
import type { ReceivedRequest } from './caller-connection.js'
import { CallerConnections } from './caller-connections.js'
import { computeCallerBounds } from './caller-limits.js'
import type { Bound, CallerBounds } from './caller-limits.js'
import type { GatewayContext } from './context.js'
import { Exchange } from './exchange.js'
import { HEADER_BYTES_MAX } from './model.js'
import type { Address, CallerRequest, Route, RouteShare } from './model.js'
import { sendRefusal } from './responses.js'

/** Limits until a configuration is known; its own limits then replace them. */
const HEADER_TIMEOUT_MS = 3_000
const IDLE_TIMEOUT_MS = 15_000
const BODY_BYTES_MAX = 4 * 1024 * 1024

/** Interval in ms at which the server checks for callers that exceed the timeouts. */
const SLOW_CALLER_CHECK_INTERVAL_MS = 500

/** Least time in ms between two log lines on one bound. */
const BOUND_LOG_INTERVAL_MS = 500

/** Retry delay for callers in ms while no configuration is known. */
const UNCONFIGURED_RETRY_MS = 300

/** Longest time in ms for the body of a request without a deadline, and the time added to a deadline. */
const BODY_TIMEOUT_MS = 60_000
const BODY_MARGIN_MS = 1_000

/** Retry delay for callers in ms when the room for requests, or the memory for bodies or answers, is used up. */
export const FULL_RETRY_MS = 200

/** Retry delay for callers in ms when this process is stopping; other gateways are available at once. */
export const LEAVING_RETRY_MS = 0

/** What is known of a refusal in addition to its kind. */
interface RefusalDetails {
  /** Time in ms until the caller should retry. */
  readonly retryAfterMs?: number
  /** Version of the configuration that decided. */
  readonly version?: number
  readonly reason?: string
}

/** Time in ms that a request must have to spare at the end of a planned stop, for its last answer and its way to the caller. */
const END_MARGIN_MS = 150

/** Stage of a planned stop; the listener is closed in the last one. */
export type LeaveStage = 'serving' | 'closing-connections' | 'refusing' | 'closed'

/** Receives requests of callers and starts an exchange for each. */
export class CallerServer {
  readonly #context: GatewayContext
  readonly #server: Server
  readonly #connections: CallerConnections
  readonly #bounds: CallerBounds
  readonly #boundLog: LimitLog<Bound>
  #checkTimer: NodeJS.Timeout | undefined
  #stage: LeaveStage = 'serving'
  /** Monotonic time in ms at which requests are cut; infinite unless the process is stopping. */
  #endsAtMs = Infinity

  private constructor (context: GatewayContext, bounds: CallerBounds) {
    this.#context = context
    this.#bounds = bounds
    context.requestRoom.updateBounds(bounds)
    this.#server = createServer({
      maxHeaderSize: HEADER_BYTES_MAX,
      headersTimeout: HEADER_TIMEOUT_MS,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      requestTimeout: 0,
      connectionsCheckingInterval: SLOW_CALLER_CHECK_INTERVAL_MS,
      noDelay: true
    })
    this.#connections = CallerConnections.create(this.#server, {
      getNowMs: () => context.getNowMs(),
      getBounds: () => this.#bounds,
      mayRunAhead: () => context.requestRoom.mayRunAhead,
      start: request => { this.#runStep(request.response, () => { this.#handleRequest(request) }) },
      noteBound: bound => { this.#boundLog.note(bound) }
    })
    this.#boundLog = LimitLog.create<Bound>({
      intervalMs: BOUND_LOG_INTERVAL_MS,
      count: bound => { context.metrics.count('bounds_met', bound) },
      write: (bound, count) => { context.boundary.run('housekeeping', () => { context.log('bound-met', { bound, count, connections: this.#connections.size, requests: context.requestRoom.countRequests() }) }) }
    })
  }

  /**
   * @param context - shared context of the gateway
   * @param bounds - what callers may take together
   * @returns a server that does not listen yet
   */
  static create (context: GatewayContext, bounds = computeCallerBounds(Infinity, context.memory.memoryBytes)): CallerServer {
    return new CallerServer(context, bounds)
  }

  /** @throws Error when the address is already in use */
  async start ({ host, port }: Address): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => { resolve() })
    })
    this.#checkTimer = setInterval(() => { this.#context.boundary.run('housekeeping', () => { this.#check() }) }, SLOW_CALLER_CHECK_INTERVAL_MS)
  }

  /** Applies the timeouts of a new configuration. */
  updateLimits (): void {
    const limits = this.#context.routes.findLimits()
    if (limits === undefined) return
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Takes only requests that end before a planned stop does. @param endsAtMs - monotonic time in ms */
  startLeaving (endsAtMs: number): void {
    this.#endsAtMs = endsAtMs
  }

  /** Whether a request that must be answered by `deadlineAtMs` is refused because of a planned stop. */
  isTooLate (deadlineAtMs: number): boolean {
    return this.#stage === 'refusing' || this.#stage === 'closed' || deadlineAtMs + END_MARGIN_MS > this.#endsAtMs
  }

  /** Moves to the next stage of a planned stop. */
  updateStage (stage: LeaveStage): void {
    this.#stage = stage
    if (stage === 'refusing') this.#connections.closeIdle()
    if (stage === 'closed') this.#server.close()
  }

  /** Number of requests whose head was read and whose answer has not been sent completely. */
  get openRequests (): number {
    return this.#connections.openRequests
  }

  get openConnections (): number {
    return this.#connections.size
  }

  /** Closes the listener and every connection. */
  stop (): void {
    clearInterval(this.#checkTimer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #check (): void {
    this.#connections.check(this.#context.memory.isCongested)
  }

  #handleRequest (received: ReceivedRequest): void {
    const { message, response, connection, receivedAtMs } = received
    if (this.#stage !== 'serving') {
      response.setHeader('Connection', 'close')
      connection.end()
    }
    this.#context.dialect.parseRequest(message.url ?? '', message.rawHeaders).caseOf({
      Left: reason => { this.#refuse(response, undefined, 'bad-request', { reason }) },
      Right: request => {
        received.readUntilMs = receivedAtMs + Math.min(request.deadlineMs ?? Infinity, BODY_TIMEOUT_MS) + BODY_MARGIN_MS
        this.#readBody(received, request, body => this.#handleBody(received, request, body))
      }
    })
  }

  /** Handles a part of a request; after an exception the caller gets an error and nothing has been sent to an endpoint. */
  #runStep (response: ServerResponse, step: () => void): void {
    this.#context.boundary.run('request', step, () => {
      if (response.headersSent) response.destroy()
      else this.#refuse(response, undefined, 'internal')
    })
  }

  #readBody (received: ReceivedRequest, request: CallerRequest, handle: (body: Buffer) => boolean): void {
    const { message, response } = received
    const limit = this.#context.routes.findLimits()?.bodyBytesMax ?? BODY_BYTES_MAX
    const declared = Number(message.headers['content-length'] ?? 0)
    const { memory } = this.#context
    let isTaken = false
    response.once('close', () => { if (!isTaken) memory.releaseBody(response) })
    const hasRoom = (bytes: number): boolean => {
      if (bytes > limit) this.#refuse(response, request, 'body-too-large')
      else if (!memory.reserveBody(response, Math.max(bytes, declared))) this.#refuseBody(response, request)
      else return true
      return false
    }
    // What follows a refusal is read and dropped: closing the connection could destroy the answer on its way.
    let body = hasRoom(declared) ? ByteCollector.create(declared) : undefined
    message.on('data', (chunk: Buffer) => {
      received.bodyBytes += chunk.length
      if (body === undefined) return
      if (hasRoom(body.bytes + chunk.length)) {
        body.add(chunk)
      } else {
        body = undefined
        memory.releaseBody(response)
      }
    })
    message.on('end', () => { this.#runStep(response, () => { if (body !== undefined) isTaken = handle(body.join()) }) })
    // The caller disconnected while it was sending; nothing has been sent to an endpoint yet.
    message.on('error', error => { this.#context.log('caller-gone', { request: request.requestId, events: 0, sent: 0, reason: error.message }) })
  }

  /** Refuses a request for whose body there is no memory; it can go to another gateway. */
  #refuseBody (response: ServerResponse, request: CallerRequest): void {
    this.#refuse(response, request, 'overloaded', { retryAfterMs: FULL_RETRY_MS, reason: 'memory' })
  }

  /** Starts an exchange, or refuses the request. @returns whether an exchange has taken it over with its body */
  #handleBody ({ message, response, connection, receivedAtMs }: ReceivedRequest, request: CallerRequest, body: Buffer): boolean {
    const decision = this.#context.routes.decide(request.host, request.path, request.credential)
    switch (decision.kind) {
      case 'unconfigured':
        this.#refuse(response, request, 'no-configuration', { retryAfterMs: UNCONFIGURED_RETRY_MS })
        return false
      case 'unknown-path':
        this.#refuse(response, request, 'unknown-path', { version: decision.version })
        return false
      case 'unauthenticated':
        this.#refuse(response, request, 'unauthenticated', { version: decision.version })
        return false
      case 'allowed':
        break
      default:
        assertNever(decision)
    }
    const { route, team } = decision
    if (this.isTooLate(receivedAtMs + Math.min(request.deadlineMs ?? Infinity, route.timeoutMs))) {
      // A connection that stays open would bring the next request as well.
      response.setHeader('Connection', 'close')
      this.#refuse(response, request, 'leaving', { retryAfterMs: LEAVING_RETRY_MS })
      return false
    }
    if (this.#context.memory.isCongested) {
      this.#refuseBody(response, request)
      return false
    }
    if (!this.#context.isInformed) {
      this.#refuse(response, request, 'no-configuration', { retryAfterMs: UNCONFIGURED_RETRY_MS })
      return false
    }
    const room = this.#context.requestRoom.take(response, { address: connection.address, team: team?.name })
    if (room !== 'taken') {
      this.#boundLog.note(room)
      this.#refuse(response, request, 'overloaded', { retryAfterMs: FULL_RETRY_MS, reason: room })
      return false
    }
    const service = pickService(route, this.#context.pickFloat())
    this.#context.metrics.count('requests_received', service)
    const exchange = Exchange.create({
      request,
      method: message.method ?? 'GET',
      body,
      route,
      team,
      service,
      response,
      receivedAtMs,
      fingerprint: hashFingerprint(team?.name ?? '', message.method ?? '', request.path, body)
    }, this.#context)
    this.#context.addExchange(exchange)
    exchange.start()
    return true
  }

  #refuse (response: ServerResponse, request: CallerRequest | undefined, error: ErrorKind, { retryAfterMs, version = 0, reason = '' }: RefusalDetails = {}): void {
    const { status } = ERROR_RESPONSES[error]
    this.#context.metrics.count('requests', error)
    this.#context.log('request-refused', { request: request?.requestId ?? '', result: error, status, version, path: request?.path ?? '', reason })
    sendRefusal(response, this.#context.dialect, request?.requestId, error, status, retryAfterMs)
  }
}

/**
 * Picks one of the services of a route at random, by weight.
 *
 * @param route - route with at least one share
 * @param fraction - random number from 0 to 1
 * @returns name of the service
 */
export function pickService (route: Route, fraction: number): string {
  const totalWeight = route.shares.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = fraction * totalWeight
  const found = route.shares.find(({ weight }) => {
    remaining -= weight
    return remaining < 0
  })
  return (found ?? route.shares.at(-1) as RouteShare).service
}

function hashFingerprint (team: string, method: string, path: string, body: Buffer): string {
  return createHash('sha1').update(`${team}\n${method}\n${path}\n`).update(body).digest('base64url')
}
