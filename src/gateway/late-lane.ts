/**
 * Admits requests that are late only to capacity that others leave. After an outage or a
 * burst many callers come back at once; endpoints that run as much as they can are so slow
 * that nothing is on time, and late streams reach their deadlines unfinished.
 */

import type { GatewayContext } from './context.js'
import { FIRST_EVENT_MIN_MS, PATIENCE_MIN_MS } from './patience.js'
import type { HeldRequest } from './recovery.js'

/** Longest time in ms for which a late request waits. */
const WAIT_MAX_MS = PATIENCE_MIN_MS - FIRST_EVENT_MIN_MS

/** Interval in ms at which waiting requests are looked at again. */
const CHECK_INTERVAL_MS = 50

/** Requests in flight per slot up to which late requests start; endpoints admit them after those that are on time. */
const LOAD_MAX = 1.15

/** Weight of the latest answer in the moving average of the duration of answers. */
const AVERAGE_WEIGHT = 0.05

/** Parts of the gateway that a lane uses. */
export type LateLaneContext = Pick<GatewayContext, 'clock' | 'getNowMs' | 'listAvailable' | 'log' | 'peers' | 'selection'>

/** A late request that waits or is in flight. */
export interface LatePass {
  /** Ends the wait, or the count of the request in flight; further calls have no effect. */
  leave (): void
}

/** Called with the decision on whether a request may start. */
export interface StartHandlers {
  proceed (): void
  /** Called when the request cannot be served in time. */
  refuse (): void
}

interface Waiter {
  readonly request: HeldRequest
  readonly untilMs: number
  readonly handlers: StartHandlers
}

interface Lane {
  readonly waiters: Set<Waiter>
  inFlight: number
  /** Moving average of the duration of answers in ms; 0 until one was measured. */
  durationMs: number
  isChecking: boolean
}

/** Late requests by service. */
export class LateLane {
  readonly #context: LateLaneContext
  readonly #lanes = new Map<string, Lane>()

  private constructor (context: LateLaneContext) {
    this.#context = context
  }

  /**
   * @param context - shared context of the gateway
   * @returns lanes without requests
   */
  static create (context: LateLaneContext): LateLane {
    return new LateLane(context)
  }

  /** Records the duration of a complete answer in ms. */
  noteAnswered (service: string, durationMs: number): void {
    const lane = this.#getLane(service)
    lane.durationMs = lane.durationMs === 0 ? durationMs : lane.durationMs + AVERAGE_WEIGHT * (durationMs - lane.durationMs)
  }

  /** @returns mean duration of a complete answer in ms; undefined when none was measured */
  findDurationMs (service: string): number | undefined {
    return this.#lanes.get(service)?.durationMs || undefined
  }

  /**
   * Waits for spare capacity.
   *
   * @param request - the request
   * @param handlers - one of them is called, possibly at once
   * @returns the pass, to leave when the request ends
   */
  enter (request: HeldRequest, handlers: StartHandlers): LatePass {
    const lane = this.#getLane(request.service)
    let state: 'waiting' | 'sent' | 'left' = 'waiting'
    const waiter: Waiter = {
      request,
      untilMs: Math.min(request.receivedAtMs + WAIT_MAX_MS, request.deadlineAtMs - lane.durationMs),
      handlers: {
        proceed: () => {
          state = 'sent'
          lane.inFlight += 1
          handlers.proceed()
        },
        refuse: () => {
          state = 'left'
          handlers.refuse()
        }
      }
    }
    lane.waiters.add(waiter)
    this.#check(request.service, lane)
    return {
      leave: () => {
        if (state === 'left') return
        if (state === 'sent') lane.inFlight -= 1
        state = 'left'
        lane.waiters.delete(waiter)
      }
    }
  }

  /** Lets requests proceed while there is room: the most urgent first, then those with the most time left, which are the most likely to finish. */
  #check (service: string, lane: Lane): void {
    const nowMs = this.#context.getNowMs()
    const ordered = [...lane.waiters].sort(({ request: a }, { request: b }) => a.priority - b.priority || b.deadlineAtMs - a.deadlineAtMs)
    // More than these cannot have their turn in time.
    const waitersMax = Math.max(1, this.#countRoom(service, lane) * WAIT_MAX_MS / Math.max(lane.durationMs, 1))
    for (const [position, waiter] of ordered.entries()) {
      const mayStart = lane.inFlight < this.#countRoom(service, lane)
      const isHopeless = nowMs >= waiter.untilMs || position >= waitersMax
      if (!mayStart && !isHopeless) continue
      lane.waiters.delete(waiter)
      if (mayStart && nowMs < waiter.untilMs) waiter.handlers.proceed()
      else waiter.handlers.refuse()
    }
    if (lane.waiters.size === 0 || lane.isChecking) return
    lane.isChecking = true
    this.#context.clock.schedule(CHECK_INTERVAL_MS, () => {
      lane.isChecking = false
      this.#check(service, lane)
    })
  }

  /** Number of late requests that this gateway may have in flight: its part of what is left of the slots. */
  #countRoom (service: string, lane: Lane): number {
    const own = this.#context.selection.listInFlight()
    const available = this.#context.listAvailable(service)
    const slots = available.reduce((sum, { record }) => sum + record.slots, 0)
    const load = available.reduce((sum, { record: { id } }) => sum + (own[id] ?? 0) + this.#context.peers.countInFlight(id), 0)
    return Math.max(1, (LOAD_MAX * slots - load + lane.inFlight) / (this.#context.peers.listReady().length + 1))
  }

  #getLane (service: string): Lane {
    let lane = this.#lanes.get(service)
    if (lane === undefined) {
      lane = { waiters: new Set(), inFlight: 0, durationMs: 0, isChecking: false }
      this.#lanes.set(service, lane)
    }
    return lane
  }
}
