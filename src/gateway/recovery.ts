/**
 * Holds requests for a service whose group has lost a rank until it works again, when
 * that is soon. Callers honour a time to come back only up to a share of the time they
 * have left, and many come back once: a second refusal loses the request.
 */

import { assertNever } from '../kernel/errors.js'
import type { EndpointView } from '../plugins/gateway/endpoints.js'
import type { GroupChange, GroupState } from '../plugins/gateway/outages.js'
import type { GatewayContext } from './context.js'
import { PATIENCE_MIN_MS } from './patience.js'

/** Longest time in ms for which a request is held; its first event then takes up to 0.4 s. */
const HOLD_MAX_MS = 0.4 * PATIENCE_MIN_MS

/** Largest number of requests held at a time; more are refused. */
const HELD_MAX = 1_000

/** Interval in ms at which a lost endpoint is asked whether it works: shortly before it is expected to, and earlier. */
const POLL_INTERVAL_MS = 80
const EARLY_POLL_INTERVAL_MS = 240
const POLL_SOON_MS = 500

/** Shortest time in ms between questions after refusals; endpoints that are full refuse many requests. */
const REFUSED_ASK_INTERVAL_MS = 200

/** Asks what an endpoint reports of its group; undefined when nobody answers. */
export type AskGroup = (endpoint: EndpointView) => Promise<GroupState | undefined>

/** A request that would be sent to a lost group. */
export interface HeldRequest {
  readonly requestId: string
  readonly service: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly receivedAtMs: number
  readonly deadlineAtMs: number
}

/** Parts of the gateway that a `RecoveryQueue` uses. */
export type RecoveryContext = Pick<GatewayContext, 'clock' | 'endpoints' | 'getNowMs' | 'listAvailable' | 'log' | 'outages' | 'pickFloat' | 'routes'>

interface Waiter {
  readonly request: HeldRequest
  readonly untilMs: number
  readonly resume: () => void
}

/** Requests that wait for groups to work again. */
export class RecoveryQueue {
  readonly #context: RecoveryContext
  readonly #askGroup: AskGroup
  readonly #waiters = new Map<string, Set<Waiter>>()
  readonly #watched = new Set<string>()
  readonly #asking = new Set<string>()

  private constructor (context: RecoveryContext, askGroup: AskGroup) {
    this.#context = context
    this.#askGroup = askGroup
  }

  /**
   * @param context - shared context of the gateway
   * @param askGroup - asks an endpoint or its agent
   * @returns a queue without requests
   */
  static create (context: RecoveryContext, askGroup: AskGroup): RecoveryQueue {
    return new RecoveryQueue(context, askGroup)
  }

  /** @returns time in ms until the service is expected to work; undefined unless all endpoints that take requests are lost */
  findRemainingMs (service: string): number | undefined {
    const nowMs = this.#context.getNowMs()
    const outage = this.#context.outages.find(this.#context.listAvailable(service), nowMs)
    return outage === undefined ? undefined : Math.max(0, outage.expectedAtMs - nowMs)
  }

  /** Records the crash of an endpoint, after which its group may stand still. */
  noteCrash ({ record: { id, service } }: EndpointView, atMs: number): void {
    this.#context.outages.noteCrash(service, atMs)
    const others = this.#context.endpoints.listUsable(service).filter(({ record }) => record.id !== id)
    const other = others[Math.floor(this.#context.pickFloat() * others.length)]
    if (other !== undefined) this.noteRefused(other)
  }

  /** Finds out whether an endpoint refuses requests because its group stands still. */
  noteRefused (endpoint: EndpointView): void {
    const { service } = endpoint.record
    const layers = this.#context.routes.findService(service)?.engine?.layers ?? 0
    if (layers === 0 || this.#asking.has(service)) return
    this.#asking.add(service)
    this.#context.clock.schedule(REFUSED_ASK_INTERVAL_MS, () => { this.#asking.delete(service) })
    this.#ask(endpoint).catch((error: unknown) => { this.#context.log('internal-error', { reason: String(error) }) })
  }

  /** Records that an endpoint works, which ends the outage of its group. */
  noteWorking (endpoint: EndpointView): void {
    this.#handleChange(endpoint, this.#context.outages.noteWorking(endpoint, this.#context.getNowMs()))
  }

  async #ask (endpoint: EndpointView): Promise<void> {
    const { service } = endpoint.record
    const state = await this.#askGroup(endpoint)
    if (state === undefined) return
    this.#handleChange(endpoint, this.#context.outages.noteState(endpoint, state, this.#context.endpoints.listUsable(service), this.#context.getNowMs()))
  }

  #handleChange ({ record: { id, service } }: EndpointView, change: GroupChange): void {
    switch (change.kind) {
      case 'unchanged':
        break
      case 'lost':
        this.#context.log('group-lost', { endpoint: id, service, expectedMs: Math.round(change.expectedAtMs - this.#context.getNowMs()) })
        this.#watch(service)
        break
      case 'found':
        this.#context.log('group-found', { endpoint: id, service, lostMs: Math.round(change.lostMs), held: this.#waiters.get(service)?.size ?? 0 })
        this.#release(service)
        break
      default:
        assertNever(change)
    }
  }

  /** @returns longest time in ms for which a request would be held */
  computeHoldMs (request: Omit<HeldRequest, 'requestId'>): number {
    return computeHoldUntilMs(request) - this.#context.getNowMs()
  }

  /** Whether a request would be held for `remainingMs`. */
  mayHold (request: Omit<HeldRequest, 'requestId'>, remainingMs: number): boolean {
    const nowMs = this.#context.getNowMs()
    const untilMs = computeHoldUntilMs(request)
    return nowMs + remainingMs <= untilMs && nowMs < untilMs && (this.#waiters.get(request.service)?.size ?? 0) < HELD_MAX
  }

  /**
   * Holds a request until its service works again.
   *
   * @param request - the request
   * @param resume - called when the request may be sent or has waited long enough
   * @returns cancels the wait; undefined when it would be too long
   */
  hold (request: HeldRequest, resume: () => void): (() => void) | undefined {
    const untilMs = computeHoldUntilMs(request)
    const remainingMs = this.findRemainingMs(request.service)
    const waiters = this.#waiters.get(request.service) ?? new Set<Waiter>()
    if (remainingMs === undefined || !this.mayHold(request, remainingMs)) return undefined
    const waiter: Waiter = { request, untilMs, resume }
    waiters.add(waiter)
    this.#waiters.set(request.service, waiters)
    this.#context.log('request-held', { request: request.requestId, service: request.service, remainingMs: Math.round(remainingMs), held: waiters.size })
    this.#watch(request.service)
    return () => { waiters.delete(waiter) }
  }

  /** Asks endpoints of a service until one works. */
  #watch (service: string): void {
    if (this.#watched.has(service)) return
    this.#watched.add(service)
    this.#poll(service).catch((error: unknown) => {
      this.#watched.delete(service)
      this.#context.log('internal-error', { reason: String(error) })
    })
  }

  async #poll (service: string): Promise<void> {
    const { clock, endpoints } = this.#context
    for (let remainingMs = this.findRemainingMs(service); remainingMs !== undefined; remainingMs = this.findRemainingMs(service)) {
      const lost = endpoints.listUsable(service)
      const asked = lost[Math.floor(this.#context.pickFloat() * lost.length)]
      if (asked !== undefined) await this.#ask(asked)
      this.#expire(service)
      const isSoon = remainingMs < POLL_SOON_MS || (this.#waiters.get(service)?.size ?? 0) > 0
      await new Promise<void>(resolve => { clock.schedule(isSoon ? POLL_INTERVAL_MS : EARLY_POLL_INTERVAL_MS, resolve) })
    }
    this.#watched.delete(service)
    this.#release(service)
  }

  /** Lets go of requests that have waited long enough. */
  #expire (service: string): void {
    const nowMs = this.#context.getNowMs()
    const waiters = this.#waiters.get(service)
    for (const waiter of waiters ?? []) {
      if (nowMs < waiter.untilMs) continue
      waiters?.delete(waiter)
      waiter.resume()
    }
  }

  /** Sends the held requests of a service, the most urgent first, then those with the least time left. */
  #release (service: string): void {
    const waiters = this.#waiters.get(service) ?? new Set<Waiter>()
    const ordered = [...waiters].sort(({ request: a }, { request: b }) => a.priority - b.priority || a.deadlineAtMs - b.deadlineAtMs)
    for (const waiter of ordered) if (waiters.delete(waiter)) waiter.resume()
  }
}

/** @returns monotonic time in ms until which a request is held at most */
function computeHoldUntilMs ({ receivedAtMs, deadlineAtMs }: Pick<HeldRequest, 'receivedAtMs' | 'deadlineAtMs'>): number {
  return Math.min(receivedAtMs + HOLD_MAX_MS, deadlineAtMs)
}
