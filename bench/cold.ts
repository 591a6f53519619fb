/**
 * Peak concurrency at an endpoint that becomes cold without warning under load
 * from 1, 8 and 610 entries, with three policies: admission at the endpoint
 * process, a FIFO queue there, and a concurrency limit at each entry.
 */

import { EventScheduler, buildWork, createAdmission, createFifoQueue } from './admission-model.js'
import type { DecisionHandlers, AdmissionLimits, AdmissionPolicy } from './admission-model.js'
import type { BenchOptions, BenchResult } from './result.js'
import { Random } from '../src/kernel/random.js'

const LIMITS: AdmissionLimits = { warmCap: 32, coldCap: 4, queueMax: 200, teamShareMax: 1 }
const SERVICE_MS = 400
const FIRST_BYTE_MS = 100
/** Factor by which the response times of a cold endpoint are longer. */
const COLD_SLOWDOWN = 6
/** Time at which the endpoint becomes cold, in ms. */
const COLD_AT_MS = 30_000
/** Delay with which the endpoint's reports reach the endpoint process, in ms. */
const REPORT_LAG_MS = 500
const WARM_UP_MS = 30_000
const DURATION_MS = 75_000
const TICK_MS = 100
/** Request rate of all entries together: above the capacity of the warm endpoint. */
const REQUESTS_PER_S = 100
const DEADLINE_MS = 60_000

/** How the endpoint becomes cold: by a crash that loses its work, or with slow responses as the only sign. */
type Cause = 'restart' | 'silent'

/** Actual warmth of the endpoint, from 0 to 1. */
function getWarmth (nowMs: number): number {
  return nowMs < COLD_AT_MS ? 1 : Math.min(1, (nowMs - COLD_AT_MS) / WARM_UP_MS)
}

function getTrueCap (nowMs: number): number {
  return LIMITS.coldCap + Math.floor((LIMITS.warmCap - LIMITS.coldCap) * getWarmth(nowMs))
}

/** Limits the concurrency of each entry to an equal share of the warm cap, but at least one request. */
function createEntryLimits (entries: number): (limits: AdmissionLimits, decisions: DecisionHandlers) => AdmissionPolicy {
  return (limits, decisions) => {
    const share = Math.max(1, Math.floor(limits.warmCap / entries))
    const queues = Array.from({ length: entries }, () => createFifoQueue({ ...limits, warmCap: share }, decisions))
    return {
      name: 'limit at each entry',
      dispatch: (event, nowMs) => {
        const workId = event.kind === 'work-offered' ? event.work.workId : 'workId' in event ? event.workId : undefined
        if (workId !== undefined) queues[Number(workId) % entries]!.dispatch(event, nowMs)
      }
    }
  }
}

/**
 * @param options - seed
 * @returns peaks of running work compared with the endpoint's actual cap
 */
export function run (options: BenchOptions): BenchResult {
  const rows = (['restart', 'silent'] as const).flatMap(cause => [1, 8, 610].flatMap(entries =>
    [createAdmission, createFifoQueue, createEntryLimits(entries)].map(create => [cause, entries, ...computeRow(create, entries, cause, options.seed)])))
  return {
    name: 'cold start under load',
    columns: ['cause', 'entries', 'policy', 'peak warm', 'largest excess over the true cap', 'ms over the true cap', 'starts over the true cap', 'finished (excess without penalty)'],
    rows
  }
}

function computeRow (create: (limits: AdmissionLimits, decisions: DecisionHandlers) => AdmissionPolicy, entries: number, cause: Cause, seed: number): readonly (string | number)[] {
  const random = Random.create(seed)
  const scheduler = EventScheduler.create()
  const running = new Set<string>()
  let [peakWarm, excessMax, overCapMs, startsOverCap, finished] = [0, 0, 0, 0, 0]
  const recordPeaks = (): void => {
    if (scheduler.nowMs < COLD_AT_MS) peakWarm = Math.max(peakWarm, running.size)
    excessMax = Math.max(excessMax, running.size - getTrueCap(scheduler.nowMs))
    if (running.size > getTrueCap(scheduler.nowMs)) startsOverCap += 1
  }
  const policy = create(LIMITS, {
    start: ({ workId }) => {
      running.add(workId)
      recordPeaks()
      const slowdown = getWarmth(scheduler.nowMs) < 0.5 ? COLD_SLOWDOWN : 1
      scheduler.scheduleAt(scheduler.nowMs + FIRST_BYTE_MS * slowdown, () => { if (running.has(workId)) policy.dispatch({ kind: 'endpoint-head', workId, status: 200, headers: [] }, scheduler.nowMs) })
      scheduler.scheduleAt(scheduler.nowMs + SERVICE_MS * slowdown, () => {
        if (!running.delete(workId)) return
        finished += 1
        policy.dispatch({ kind: 'endpoint-ended', workId }, scheduler.nowMs)
      })
    },
    refuse: () => {}
  })
  const offer = (index: number): void => {
    // Entries send in turn, so that all of them take part.
    const workId = String(index)
    policy.dispatch({ kind: 'work-offered', work: buildWork(workId, `t${index % entries}`, 'normal', DEADLINE_MS, LIMITS.queueMax) }, scheduler.nowMs)
    scheduler.scheduleAt(scheduler.nowMs - 1_000 / REQUESTS_PER_S * Math.log(1 - random.pickFloat()), () => { offer(index + 1) })
  }
  const tick = (): void => {
    const { nowMs } = scheduler
    if (running.size > getTrueCap(nowMs)) overCapMs += TICK_MS
    const reportedAtMs = nowMs - REPORT_LAG_MS
    policy.dispatch({ kind: 'endpoint-reported', report: { healthy: true, startId: cause === 'silent' || reportedAtMs < COLD_AT_MS ? 's1' : 's2', warmth: cause === 'silent' ? 1 : getWarmth(reportedAtMs) } }, nowMs)
    policy.dispatch({ kind: 'tick' }, nowMs)
    scheduler.scheduleAt(nowMs + TICK_MS, tick)
  }
  scheduler.scheduleAt(0, tick)
  scheduler.scheduleAt(0, () => { offer(0) })
  if (cause === 'restart') {
    scheduler.scheduleAt(COLD_AT_MS, () => {
      const lost = [...running]
      running.clear()
      policy.dispatch({ kind: 'endpoint-crashed', crashId: 'c' }, scheduler.nowMs)
      for (const workId of lost) policy.dispatch({ kind: policy.name === 'admission' ? 'endpoint-failed' : 'endpoint-ended', workId, sent: true }, scheduler.nowMs)
    })
  }
  scheduler.run(DURATION_MS)
  return [policy.name, peakWarm, excessMax, overCapMs, startsOverCap, finished]
}
