/**
 * What other teams and urgent work see while one large team sends 2 and 10
 * times what the endpoint can take: admission against a plain bounded queue.
 */

import { build as buildHistogram } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Random } from '../src/kernel/random.js'
import type { PriorityClass } from '../src/protocol/messages.js'
import { Agenda, buildWork, createAdmission, createPlainQueue } from './admission-model.js'
import type { Decisions, Limits, Policy } from './admission-model.js'
import type { BenchOptions, BenchResult } from './result.js'

const LIMITS: Limits = { warmCap: 8, coldCap: 8, queueMax: 64, teamShareMax: 1 }
const SERVICE_MS = 400
const DEADLINE_MS = 5_000
const DURATION_MS = 300_000
const TICK_MS = 500
/** Requests per second that the endpoint can take. */
const CAPACITY = LIMITS.warmCap * 1_000 / SERVICE_MS

interface Source {
  readonly group: string
  readonly team: string
  readonly priority: PriorityClass
  /** Share of the capacity that the source asks for. */
  readonly share: number
}

interface Seen {
  offered: number
  finished: number
  refused: number
  late: number
  readonly waitMs: Histogram
}

function listSources (factor: number): readonly Source[] {
  const small = ['b', 'c', 'd', 'e'].map(team => ({ group: 'four small teams', team, priority: 'normal' as const, share: 0.05 }))
  return [
    { group: 'large team', team: 'a', priority: 'normal', share: factor },
    ...small,
    { group: 'urgent work', team: 'b', priority: 'urgent', share: 0.1 }
  ]
}

/**
 * @param options - seed
 * @returns shares answered in time and waits, by load, policy and group
 */
export function run (options: BenchOptions): BenchResult {
  const rows = [2, 10].flatMap(factor => [createAdmission, createPlainQueue].flatMap(create => listRows(factor, create, options.seed)))
  return {
    name: 'overload by one large team',
    columns: ['load', 'policy', 'group', 'offered', 'in time %', 'refused %', 'late %', 'wait p50 ms', 'wait p99 ms'],
    rows
  }
}

function listRows (factor: number, create: (limits: Limits, decisions: Decisions) => Policy, seed: number): BenchResult['rows'] {
  const random = Random.create(seed)
  const agenda = Agenda.create()
  const groups = new Map<string, Seen>()
  const byWork = new Map<string, { readonly seen: Seen, readonly offeredAtMs: number }>()
  const pickExponential = (mean: number): number => -mean * Math.log(1 - random.pickFloat())
  const policy = create(LIMITS, {
    start: work => {
      const { seen, offeredAtMs } = byWork.get(work.workId)!
      const waitMs = agenda.nowMs - offeredAtMs
      seen.waitMs.recordValue(Math.round(waitMs))
      if (waitMs > DEADLINE_MS) seen.late += 1
      else seen.finished += 1
      agenda.add(agenda.nowMs + pickExponential(SERVICE_MS), () => { policy.dispatch({ kind: 'endpoint-ended', workId: work.workId }, agenda.nowMs) })
    },
    refuse: workId => { byWork.get(workId)!.seen.refused += 1 }
  })
  const addArrivals = (source: Source): void => {
    const seen = groups.get(source.group) ?? { offered: 0, finished: 0, refused: 0, late: 0, waitMs: buildHistogram() }
    groups.set(source.group, seen)
    const offerNext = (): void => {
      const work = buildWork(`${source.team}-${source.priority}-${byWork.size}`, source.team, source.priority, DEADLINE_MS, LIMITS.queueMax)
      byWork.set(work.workId, { seen, offeredAtMs: agenda.nowMs })
      seen.offered += 1
      policy.dispatch({ kind: 'work-offered', work }, agenda.nowMs)
      agenda.add(agenda.nowMs + pickExponential(1_000 / (CAPACITY * source.share)), offerNext)
    }
    agenda.add(pickExponential(1_000 / (CAPACITY * source.share)), offerNext)
  }
  const tick = (): void => {
    policy.dispatch({ kind: 'tick' }, agenda.nowMs)
    agenda.add(agenda.nowMs + TICK_MS, tick)
  }
  agenda.add(0, () => { policy.dispatch({ kind: 'endpoint-reported', report: { healthy: true, startId: 's', warmth: 1 } }, 0) })
  agenda.add(0, tick)
  for (const source of listSources(factor)) addArrivals(source)
  agenda.run(DURATION_MS)
  const percent = (count: number, seen: Seen): number => Math.round(1_000 * count / seen.offered) / 10
  return [...groups].map(([group, seen]) => [
    `${factor}x`, policy.name, group, seen.offered, percent(seen.finished, seen), percent(seen.refused, seen), percent(seen.late, seen),
    seen.waitMs.getValueAtPercentile(50), seen.waitMs.getValueAtPercentile(99)
  ])
}
