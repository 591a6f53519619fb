/** Admission control at an endpoint process: queues, starts or refuses offered work. */

import { Queue } from './queue.js'
import type { WaitingWork } from './queue.js'
import { RunningSet } from './running.js'
import { Warmth } from './warmth.js'
import type { ErrorKind } from '../../kernel/errors.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { AdmissionPort, Ports } from '../../kernel/ports.js'
import type { Submit } from '../../protocol/messages.js'

/** Interval in ms between updates of the gauges. */
const GAUGE_INTERVAL_MS = 1_000
/**
 * Time in ms for which waiting work may still start after the endpoint was taken
 * out of service. No work may start later than 5 s after a domain is taken out.
 */
const OUT_OF_SERVICE_DRAIN_MS = 3_000

const SUBSCRIBED_EVENTS = [
  'tick', 'configuration-changed', 'work-offered', 'endpoint-head', 'endpoint-chunk', 'endpoint-ended',
  'endpoint-failed', 'endpoint-reported', 'endpoint-crashed'
] as const satisfies readonly KernelEvent['kind'][]

/** Bounded queue in front of an endpoint, with a cap on concurrent requests. */
export class AdmissionPlugin implements Plugin, AdmissionPort {
  readonly name = 'admission'
  readonly subscribesTo = SUBSCRIBED_EVENTS
  readonly ports: Partial<Ports> = { admission: this }
  readonly #queue = Queue.create()
  readonly #running = RunningSet.create()
  readonly #warmth = Warmth.create()
  #cap = 0
  #outOfServiceSinceMs: number | undefined
  #nextGaugesAtMs = 0

  private constructor () {}

  /** @returns a plug-in with an empty queue */
  static create (): AdmissionPlugin {
    return new AdmissionPlugin()
  }

  describeState (): ReturnType<AdmissionPort['describeState']> {
    return { running: this.#running.size, queued: this.#queue.size, cap: this.#cap, warmth: this.#warmth.value, healthy: this.#warmth.healthy }
  }

  removeWaiting (workId: string): boolean {
    return this.#queue.remove(workId)
  }

  handle (event: KernelEvent, context: Context): void {
    this.#updateCap(context)
    switch (event.kind) {
      case 'work-offered':
        this.#handleOffer(event.work, context)
        break
      case 'endpoint-head':
      case 'endpoint-chunk': return this.#noteFirstByte(event.workId, context)
      case 'endpoint-ended':
      case 'endpoint-failed':
        this.#handleEnd(event.workId, event.kind === 'endpoint-ended', context)
        break
      case 'endpoint-reported':
        if (this.#warmth.noteReport(event.report, context.nowMs)) logColdStart('new-start', context)
        break
      case 'endpoint-crashed':
        this.#warmth.noteCrash(context.nowMs)
        this.#refuseAll('endpoint-failed', context)
        break
      case 'tick':
        this.#handleTick(context)
    }
    this.#updateCap(context)
    this.#startNext(context)
  }

  #updateCap (context: Context): void {
    const configuration = context.getPort('configuration')
    const spec = configuration.findEndpoint(context.self.id)
    this.#cap = spec === undefined ? 0 : this.#warmth.computeCap(spec)
    const isOutOfService = spec !== undefined && !configuration.isInService(spec)
    this.#outOfServiceSinceMs = isOutOfService ? this.#outOfServiceSinceMs ?? context.nowMs : undefined
  }

  #handleEnd (workId: string, isComplete: boolean, context: Context): void {
    if (isComplete) this.#noteFirstByte(workId, context)
    const ended = this.#running.remove(workId, isComplete, context.nowMs)
    if (ended === undefined || !isComplete) return
    context.emit({ kind: 'count', metric: 'work_finished', label: ended.work.terms.priority })
    context.emit({ kind: 'observe', metric: 'run_ms', value: context.nowMs - ended.startedAtMs, label: ended.work.terms.priority })
  }

  #writeGauges (context: Context): void {
    if (context.nowMs < this.#nextGaugesAtMs) return
    this.#nextGaugesAtMs = context.nowMs + GAUGE_INTERVAL_MS
    const gauges = { work_running: this.#running.size, work_queued: this.#queue.size, cap: this.#cap, warmth: this.#warmth.value }
    for (const [metric, value] of Object.entries(gauges)) context.emit({ kind: 'observe', metric, value })
  }

  #handleTick (context: Context): void {
    this.#writeGauges(context)
    this.#warmth.noteTick(context.nowMs)
    if (this.#warmth.noteFirstByteWaits(this.#running.listFirstByteWaitsMs(context.nowMs))) logColdStart('first-byte', context)
    if (this.#outOfServiceSinceMs !== undefined && context.nowMs - this.#outOfServiceSinceMs >= OUT_OF_SERVICE_DRAIN_MS) this.#refuseAll('domain-out', context)
    for (const waiting of this.#queue.list()) this.#refuseIfExpired(waiting, context)
  }

  #handleOffer (work: Submit, context: Context): void {
    if (context.getPort('quarantine').isQuarantined(work.fingerprint)) return this.#refuse(work, 'quarantined', context)
    if (!this.#warmth.healthy) return this.#refuse(work, 'endpoint-failed', context)
    const waitMs = this.#computeWaitMs(work)
    if (waitMs > work.timeLeftMs) return this.#refuse(work, 'deadline-unreachable', context)
    if (this.#queue.countByProfile(work.terms.profile) >= work.terms.queueMax) {
      const evicted = this.#queue.findEvictable(work)
      if (evicted === undefined) return this.#refuse(work, 'overloaded', context, waitMs)
      this.#queue.remove(evicted.work.workId)
      this.#refuse(evicted.work, 'overloaded', context, waitMs)
    }
    this.#queue.add(work, context.nowMs)
    context.emit({ kind: 'count', metric: 'work_accepted', label: work.terms.priority })
    context.raise({ kind: 'work-queued', workId: work.workId, queued: this.#queue.size - 1, waitMs })
  }

  /** Estimates the queueing time in ms: the work that exceeds the cap, up to and including this work, times the mean service time, divided by the cap. */
  #computeWaitMs (work: Submit): number {
    const ahead = this.#queue.countAhead(work) + this.#running.size + 1 - this.#cap
    return Math.max(0, Math.round(ahead * this.#running.meanServiceMs / Math.max(1, this.#cap)))
  }

  #startNext (context: Context): void {
    while (this.#warmth.healthy && this.#running.size < this.#cap) {
      const next = this.#queue.chooseNext(waiting => this.#isEligible(waiting, context))
      if (next === undefined) return
      if (this.#refuseIfExpired(next, context)) continue
      this.#queue.removeStarted(next)
      this.#running.add(next.work, context.nowMs)
      context.emit({ kind: 'run', work: next.work })
      context.emit({ kind: 'count', metric: 'work_started', label: next.work.terms.priority })
      context.emit({ kind: 'observe', metric: 'queue_wait_ms', value: context.nowMs - next.offeredAtMs, label: next.work.terms.priority })
      context.raise({ kind: 'work-started', workId: next.work.workId })
    }
  }

  /** Suspected work runs one at a time, and a team gets at most its share of the cap while other teams wait. */
  #isEligible ({ work }: WaitingWork, context: Context): boolean {
    const quarantine = context.getPort('quarantine')
    const mayRunSuspect = !quarantine.isSuspectInFlight() && !this.#running.list().some(other => quarantine.isSuspect(other.fingerprint))
    if (quarantine.isSuspect(work.fingerprint) && !mayRunSuspect) return false
    const share = context.getPort('configuration').findProfile(work.terms.profile)?.teamShareMax ?? 1
    if (this.#running.countByTeam(work.team) < Math.max(1, Math.floor(share * this.#cap))) return true
    return this.#queue.list().every(other => other.work.team === work.team)
  }

  /**
   * Refuses waiting work whose deadline has passed or that has been quarantined.
   *
   * @returns whether the work was refused
   */
  #refuseIfExpired ({ work, deadlineAtMs }: WaitingWork, context: Context): boolean {
    const isQuarantined = context.getPort('quarantine').isQuarantined(work.fingerprint)
    if (!isQuarantined && context.nowMs < deadlineAtMs) return false
    this.#queue.remove(work.workId)
    this.#refuse(work, isQuarantined ? 'quarantined' : 'deadline-exceeded', context)
    return true
  }

  #noteFirstByte (workId: string, context: Context): void {
    const elapsedMs = this.#running.noteFirstByte(workId, context.nowMs)
    if (elapsedMs === undefined) return
    if (this.#warmth.noteFirstByte(elapsedMs)) logColdStart('first-byte', context)
  }

  #refuseAll (error: ErrorKind, context: Context): void {
    for (const { work } of this.#queue.list()) {
      this.#queue.remove(work.workId)
      this.#refuse(work, error, context)
    }
  }

  #refuse (work: Submit, error: ErrorKind, context: Context, retryAfterMs?: number): void {
    if (error === 'quarantined') context.emit({ kind: 'count', metric: 'quarantined' })
    const retryAfter = retryAfterMs === undefined ? {} : { retryAfterMs }
    context.raise({ kind: 'work-refused', workId: work.workId, error, outcome: 'not-run', ...retryAfter })
  }
}

function logColdStart (reason: string, context: Context): void {
  context.emit({ kind: 'log', event: 'endpoint-cold', fields: { reason } })
}

registerPlugin({ name: 'admission', roles: ['endpoint'], create: () => AdmissionPlugin.create() })
