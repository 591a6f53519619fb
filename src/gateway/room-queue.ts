/**
 * Orders the requests of a gateway that found no free slot at any endpoint they asked. Answers
 * overload: requests that can still be on time start first, by priority and fairly between teams,
 * and what cannot be served before its caller leaves is refused at once instead of taking a slot.
 */

import { FairTags } from '../plugins/admission/fair-tags.js'
import type { GatewayContext } from './context.js'
import { classify, compareClass, RoomOrder } from './room-order.js'
import type { OrderedWait, RoomWait } from './room-order.js'

/** Interval in ms at which the first request in the queue asks an endpoint for a slot; a random half is added. */
const ASK_INTERVAL_MS = 15

/** Slots of an endpoint that requests leave to more urgent ones. */
const RESERVED_SLOTS = 1

/** At least one of this many starts goes to the request that has waited longest, whatever its class and priority. */
const OLDEST_EVERY = 8

/** Share of the time until its latest start after which a request has waited long. */
const WAIT_SHARE_MAX = 0.6

/** Most tokens that count for the turn of a team, so that what a caller claims cannot keep its team waiting for long. */
const COST_MAX = 10_000

/** Time in ms after the last request of the most urgent priority until the next priority counts as the most urgent. */
const TOP_PRIORITY_MS = 5_000

/** Longest time in ms to a first event that counts; longer ones also waited at their endpoint. */
const FIRST_EVENT_MAX_MS = 1_000

/** Weight of the latest value in moving averages. */
const AVERAGE_WEIGHT = 0.2

/** What would become of a request that came now. */
export interface RoomOutlook {
  /** Requests in the queue of its service, and those of them that would start before it. */
  readonly waiting: number
  readonly earlier: number
  /** Whether it would be refused instead of joining the queue. */
  readonly isHopeless: boolean
  /** Slots of an endpoint that it leaves free when it starts. */
  readonly reservedSlots: number
}

/** Callbacks of a request in the queue. */
export interface RoomHandlers {
  /** Asks endpoints for a slot and leaves `reserved` others free; the ticket then gets the answer. */
  ask (reserved: number): void
  /** Called when the request cannot be served in time; it has left the queue. */
  refuse (): void
}

/** Place of a request in the queue. */
export interface RoomTicket {
  /** The endpoints that were asked had no free slot. */
  noteFull (): void
  /** The request has started. */
  noteStarted (): void
  /** The request has ended otherwise. */
  leave (): void
}

interface Waiter extends OrderedWait {
  readonly handlers: RoomHandlers
}

/** Parts of the gateway that a queue uses. */
export type RoomContext = Pick<GatewayContext, 'boundary' | 'clock' | 'getNowMs' | 'log' | 'metrics' | 'pickFloat'>

/** Waiting requests of one service. */
class ServiceQueue {
  readonly waiters = RoomOrder.create<Waiter>()
  readonly tagsByPriority = new Map<number, FairTags>()
  topPriority = Infinity
  topPriorityAtMs = -Infinity
  firstEventMs = 0
  asking: Waiter | undefined
  cancelTimer: (() => void) | undefined
  startsSinceOldest = 0

  private constructor () {}

  static create (): ServiceQueue {
    return new ServiceQueue()
  }

  /** Records that a request of a priority has come. */
  notePriority (priority: number, nowMs: number): void {
    if (priority !== this.computeTopPriority(priority, nowMs)) return
    this.topPriority = priority
    this.topPriorityAtMs = nowMs
  }

  /** @returns the most urgent priority once a request of the given one has come */
  computeTopPriority (priority: number, nowMs: number): number {
    return priority > this.topPriority && nowMs - this.topPriorityAtMs < TOP_PRIORITY_MS ? this.topPriority : priority
  }

  /** Removes a request, and the turns of its priority when no other waits. */
  remove (waiter: Waiter): void {
    this.waiters.remove(waiter)
    if (this.asking === waiter) this.asking = undefined
    const { priority } = waiter.wait
    if (!this.waiters.hasPriority(priority)) this.tagsByPriority.delete(priority)
  }

  /** Removes a request that did not start. */
  giveUp (waiter: Waiter): void {
    this.tagsByPriority.get(waiter.wait.priority)?.remove(waiter.wait.team, waiter.startTag, computeCost(waiter.wait))
    this.remove(waiter)
  }

  getTags (priority: number): FairTags {
    const tags = this.tagsByPriority.get(priority) ?? FairTags.create()
    this.tagsByPriority.set(priority, tags)
    return tags
  }
}

/** Queues by service. */
export class RoomQueue {
  readonly #context: RoomContext
  readonly #queues = new Map<string, ServiceQueue>()

  private constructor (context: RoomContext) {
    this.#context = context
  }

  /**
   * @param context - clock, logs and metrics of the gateway
   * @returns queues without requests
   */
  static create (context: RoomContext): RoomQueue {
    return new RoomQueue(context)
  }

  /** Records the time in ms from the start of a request to the first event of its answer. */
  noteFirstEvent (service: string, elapsedMs: number): void {
    const queue = this.#getQueue(service)
    const sampleMs = Math.min(elapsedMs, FIRST_EVENT_MAX_MS)
    queue.firstEventMs = queue.firstEventMs === 0 ? sampleMs : queue.firstEventMs + AVERAGE_WEIGHT * (sampleMs - queue.firstEventMs)
  }

  /** @returns mean time in ms from the start of a request to the first event of its answer; 0 before any was measured */
  getFirstEventMs (service: string): number {
    return this.#queues.get(service)?.firstEventMs ?? 0
  }

  /** @returns slots of an endpoint that a request leaves free when it starts now */
  countReserved (wait: RoomWait): number {
    const nowMs = this.#context.getNowMs()
    const queue = this.#getQueue(wait.service)
    queue.notePriority(wait.priority, nowMs)
    return countReservedSlots(queue.topPriority, wait, nowMs)
  }

  /** Says what would become of a request that came now; changes nothing. */
  explain (wait: RoomWait): RoomOutlook {
    const nowMs = this.#context.getNowMs()
    const queue = this.#queues.get(wait.service) ?? ServiceQueue.create()
    return {
      waiting: queue.waiters.size,
      earlier: listEarlier(queue, wait, nowMs).length,
      isHopeless: this.#isHopeless(queue, wait, nowMs),
      reservedSlots: countReservedSlots(queue.computeTopPriority(wait.priority, nowMs), wait, nowMs)
    }
  }

  /** Records a request that started without waiting. */
  noteDirectStart (service: string): void {
    const queue = this.#getQueue(service)
    if (queue.waiters.size > 0) queue.startsSinceOldest += 1
  }

  /** Whether a request would start after one that waits already. */
  hasEarlier (wait: RoomWait): boolean {
    const nowMs = this.#context.getNowMs()
    const first = this.#queues.get(wait.service)?.waiters.findFirst(nowMs)
    return first !== undefined && compareClass(first.wait, wait, nowMs) <= 0
  }

  /**
   * Adds a request.
   *
   * @param wait - the request
   * @param handlers - called from then on; `refuse` possibly at once
   * @returns its place
   */
  enter (wait: RoomWait, handlers: RoomHandlers): RoomTicket {
    const nowMs = this.#context.getNowMs()
    const queue = this.#getQueue(wait.service)
    queue.notePriority(wait.priority, nowMs)
    const waiter: Waiter = { wait, handlers, enteredAtMs: nowMs, startTag: queue.getTags(wait.priority).add(wait.team, computeCost(wait)) }
    if (this.#isHopeless(queue, wait, nowMs)) {
      queue.giveUp(waiter)
      this.#refuse(waiter)
    } else {
      queue.waiters.add(waiter)
      this.#schedule(queue, 0)
    }
    return {
      noteFull: () => {
        if (queue.asking !== waiter) return
        queue.asking = undefined
        this.#schedule(queue, ASK_INTERVAL_MS * (1 + 0.5 * this.#context.pickFloat()))
      },
      noteStarted: () => {
        if (!queue.waiters.has(waiter)) return
        queue.tagsByPriority.get(wait.priority)?.noteStarted(waiter.startTag)
        queue.remove(waiter)
        const oldest = queue.waiters.findOldest(this.#context.getNowMs())
        queue.startsSinceOldest = oldest !== undefined && oldest.enteredAtMs < waiter.enteredAtMs ? queue.startsSinceOldest + 1 : 0
        this.#report(waiter, 'started')
        this.#schedule(queue, 0)
      },
      leave: () => {
        if (!queue.waiters.has(waiter)) return
        queue.giveUp(waiter)
        this.#schedule(queue, 0)
      }
    }
  }

  /**
   * Whether a request will probably be late, as those before it nearly are, and others that are no
   * less urgent and late already have not started for long. Its caller had better come back.
   */
  #isHopeless ({ waiters }: ServiceQueue, wait: RoomWait, nowMs: number): boolean {
    const waiting = [...waiters.list()].filter(other => other.wait.priority <= wait.priority)
    const isBlocked = waiting.some(other => compareClass(other.wait, wait, nowMs) <= 0 && hasWaitedLong(other, other.wait.onTimeUntilMs, nowMs))
    return isBlocked && waiting.some(other => classify(other.wait, nowMs) === 'late' && hasWaitedLong(other, other.wait.untilMs, nowMs))
  }

  /** Refuses requests whose time is over, and lets the first of the others ask. */
  #check (queue: ServiceQueue): void {
    const nowMs = this.#context.getNowMs()
    for (const waiter of queue.waiters.listEnded(nowMs)) {
      if (waiter === queue.asking) continue
      queue.giveUp(waiter)
      this.#refuse(waiter)
    }
    if (queue.asking !== undefined || queue.cancelTimer !== undefined) return
    const first = findNext(queue, nowMs)
    if (first === undefined) return
    queue.asking = first
    first.handlers.ask(isTurnOfOldest(queue) ? 0 : countReservedSlots(queue.topPriority, first.wait, nowMs))
  }

  /** Lets the next request ask later, never within the call of another one. */
  #schedule (queue: ServiceQueue, delayMs: number): void {
    if (queue.cancelTimer !== undefined) return
    queue.cancelTimer = this.#context.clock.schedule(delayMs, () => {
      queue.cancelTimer = undefined
      this.#context.boundary.run('request', () => { this.#check(queue) })
    })
  }

  #refuse (waiter: Waiter): void {
    this.#report(waiter, 'refused')
    waiter.handlers.refuse()
  }

  #report ({ wait, enteredAtMs }: Waiter, result: 'started' | 'refused'): void {
    const nowMs = this.#context.getNowMs()
    this.#context.metrics.count('room_waits', result)
    this.#context.metrics.observe('room_wait_ms', nowMs - enteredAtMs, wait.service)
    this.#context.log('room-wait-ended', { request: wait.requestId, service: wait.service, priority: wait.priority, class: classify(wait, nowMs), waitedMs: Math.round(nowMs - enteredAtMs), result })
  }

  #getQueue (service: string): ServiceQueue {
    const queue = this.#queues.get(service) ?? ServiceQueue.create()
    this.#queues.set(service, queue)
    return queue
  }
}

function computeCost ({ tokens }: RoomWait): number {
  return Math.max(1, Math.min(tokens, COST_MAX))
}

function hasWaitedLong ({ enteredAtMs }: Waiter, untilMs: number, nowMs: number): boolean {
  return nowMs - enteredAtMs > WAIT_SHARE_MAX * (untilMs - enteredAtMs)
}

/** Only requests of the most urgent priority that can be on time take the last free slot of an endpoint. */
function countReservedSlots (topPriority: number, wait: RoomWait, nowMs: number): number {
  return wait.priority > topPriority || classify(wait, nowMs) !== 'on-time' ? RESERVED_SLOTS : 0
}

/** Lists the requests in a queue after which another one would start. */
function listEarlier ({ waiters }: ServiceQueue, wait: RoomWait, nowMs: number): readonly Waiter[] {
  return [...waiters.list()].filter(other => compareClass(other.wait, wait, nowMs) <= 0)
}

function isTurnOfOldest ({ startsSinceOldest }: ServiceQueue): boolean {
  return startsSinceOldest >= OLDEST_EVERY - 1
}

function findNext (queue: ServiceQueue, nowMs: number): Waiter | undefined {
  return isTurnOfOldest(queue) ? queue.waiters.findOldest(nowMs) : queue.waiters.findFirst(nowMs)
}
