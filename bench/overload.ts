/**
 * Service for other teams and for urgent work while one large team sends 2 and
 * 10 times the endpoint's capacity: admission compared with a bounded FIFO queue.
 */

import { build as buildHistogram } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Random } from '../src/kernel/random.js'
import type { PriorityClass } from '../src/protocol/messages.js'
import { EventScheduler, buildWork, createAdmission, createFifoQueue } from './admission-model.js'
import type { DecisionHandlers, AdmissionLimits, AdmissionPolicy } from './admission-model.js'
import type { BenchOptions, BenchResult } from './result.js'

const LIMITS: AdmissionLimits = { warmCap: 8, coldCap: 8, queueMax: 64, teamShareMax: 1 }
const SERVICE_MS = 400
const DEADLINE_MS = 5_000
const DURATION_MS = 300_000
const TICK_MS = 500
/** Capacity of the endpoint in requests per second. */
const CAPACITY_PER_S = LIMITS.warmCap * 1_000 / SERVICE_MS

interface Source {
  readonly group: string
  readonly team: string
  readonly priority: PriorityClass
  /** Request rate of the source as a share of the endpoint's capacity. */
  readonly capacityShare: number
}

interface GroupStats {
  offered: number
  finished: number
  refused: number
  late: number
  readonly waitMs: Histogram
}

function listSources (factor: number): readonly Source[] {
  const smallTeams = ['b', 'c', 'd', 'e'].map(team => ({ group: 'four small teams', team, priority: 'normal' as const, capacityShare: 0.05 }))
  return [
    { group: 'large team', team: 'a', priority: 'normal', capacityShare: factor },
    ...smallTeams,
    { group: 'urgent work', team: 'b', priority: 'urgent', capacityShare: 0.1 }
  ]
}

/**
 * @param options - seed
 * @returns shares of work started in time, refused and late, and queue waits, by load, policy and group
 */
export function run (options: BenchOptions): BenchResult {
  const rows = [2, 10].flatMap(factor => [createAdmission, createFifoQueue].flatMap(create => runPolicy(factor, create, options.seed)))
  return {
    name: 'overload by one large team',
    columns: ['load', 'policy', 'group', 'offered', 'in time %', 'refused %', 'late %', 'wait p50 ms', 'wait p99 ms'],
    rows
  }
}

function runPolicy (factor: number, create: (limits: AdmissionLimits, decisions: DecisionHandlers) => AdmissionPolicy, seed: number): BenchResult['rows'] {
  const random = Random.create(seed)
  const scheduler = EventScheduler.create()
  const groups = new Map<string, GroupStats>()
  const offersByWork = new Map<string, { readonly stats: GroupStats, readonly offeredAtMs: number }>()
  const pickExponential = (mean: number): number => -mean * Math.log(1 - random.pickFloat())
  const policy = create(LIMITS, {
    start: work => {
      const { stats, offeredAtMs } = offersByWork.get(work.workId)!
      const waitMs = scheduler.nowMs - offeredAtMs
      stats.waitMs.recordValue(Math.round(waitMs))
      if (waitMs > DEADLINE_MS) stats.late += 1
      else stats.finished += 1
      scheduler.scheduleAt(scheduler.nowMs + pickExponential(SERVICE_MS), () => { policy.dispatch({ kind: 'endpoint-ended', workId: work.workId }, scheduler.nowMs) })
    },
    refuse: workId => { offersByWork.get(workId)!.stats.refused += 1 }
  })
  const addArrivals = (source: Source): void => {
    const stats = groups.get(source.group) ?? { offered: 0, finished: 0, refused: 0, late: 0, waitMs: buildHistogram() }
    groups.set(source.group, stats)
    const offerNext = (): void => {
      const work = buildWork(`${source.team}-${source.priority}-${offersByWork.size}`, source.team, source.priority, DEADLINE_MS, LIMITS.queueMax)
      offersByWork.set(work.workId, { stats, offeredAtMs: scheduler.nowMs })
      stats.offered += 1
      policy.dispatch({ kind: 'work-offered', work }, scheduler.nowMs)
      scheduler.scheduleAt(scheduler.nowMs + pickExponential(1_000 / (CAPACITY_PER_S * source.capacityShare)), offerNext)
    }
    scheduler.scheduleAt(pickExponential(1_000 / (CAPACITY_PER_S * source.capacityShare)), offerNext)
  }
  const tick = (): void => {
    policy.dispatch({ kind: 'tick' }, scheduler.nowMs)
    scheduler.scheduleAt(scheduler.nowMs + TICK_MS, tick)
  }
  scheduler.scheduleAt(0, () => { policy.dispatch({ kind: 'endpoint-reported', report: { healthy: true, startId: 's', warmth: 1 } }, 0) })
  scheduler.scheduleAt(0, tick)
  for (const source of listSources(factor)) addArrivals(source)
  scheduler.run(DURATION_MS)
  const percent = (count: number, stats: GroupStats): number => Math.round(1_000 * count / stats.offered) / 10
  return [...groups].map(([group, stats]) => [
    `${factor}x`, policy.name, group, stats.offered, percent(stats.finished, stats), percent(stats.refused, stats), percent(stats.late, stats),
    stats.waitMs.getValueAtPercentile(50), stats.waitMs.getValueAtPercentile(99)
  ])
}
