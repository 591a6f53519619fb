/**
 * A failure domain leaves and returns under load, either taken out by an operator
 * or lost without notice; heatherdoor is compared with round robin. The platform is
 * down throughout: the operator's change reaches one entry, and the other processes
 * receive it from their peers.
 */

import { build } from 'hdr-histogram-js'
import { Random } from '../src/kernel/random.js'
import { FleetSystem } from './fleet/callers.js'
import type { VirtualClock } from './fleet/clock.js'
import { createDeployments } from './fleet/deployments.js'
import type { Deployment } from './fleet/deployments.js'
import { RoundRobinSystem } from './fleet/round-robin.js'
import type { Work, WorkKind, WorkResult, SystemUnderTest } from './fleet/work.js'
import type { BenchOptions, BenchResult } from './result.js'

/** Simulated times in ms at which the load, the changes of the failure domain and the run begin and end. */
const TIMES = { load: 5_000, out: 20_000, down: 35_000, up: 50_000, in: 55_000, end: 90_000, drained: 105_000 }

/** Time within which a response counts as in time for its caller, by kind of work, in ms. */
const IN_TIME_MS: Readonly<Record<WorkKind, number>> = { stream: 5_000, write: 1_000, read: 1_000 }

const KINDS: readonly WorkKind[] = ['write', 'read', 'stream']
const SECOND_MS = 1_000

/** How the failure domain leaves. */
const CASES = ['taken out', 'lost'] as const

interface DrillOptions {
  readonly system: SystemUnderTest
  readonly clock: VirtualClock
  readonly deployment: Deployment
  readonly leave: typeof CASES[number]
  readonly seed: number
}

/**
 * @param options - seed
 * @returns one row for each deployment, system and kind of work
 */
export function run (options: BenchOptions): BenchResult {
  return {
    name: 'drill',
    columns: ['deployment', 'domain', 'system', 'work', 'requests', 'in time %', 'worst second %', 'p50 ms', 'p95 ms', 'p99 ms', 'not done', 'doubled', 'no new work after s', 'crashes'],
    rows: createDeployments().flatMap(deployment => CASES.flatMap(leave => {
      const fleet = FleetSystem.create(deployment, options.seed)
      const baseline = RoundRobinSystem.create(deployment)
      return [
        ...runDrill({ system: fleet, clock: fleet.fleet.clock, deployment, leave, seed: options.seed }),
        ...runDrill({ system: baseline, clock: baseline.clock, deployment, leave, seed: options.seed })
      ]
    }))
  }
}

function runDrill ({ system, clock, deployment, leave, seed }: DrillOptions): BenchResult['rows'] {
  const domain = deployment.configuration.domains[0]?.name ?? ''
  const results: WorkResult[] = []
  for (const kind of KINDS) scheduleLoad(system, clock, kind, deployment, seed, result => { results.push(result) })
  let lastStartMs = 0
  if (leave === 'taken out') {
    clock.schedule(TIMES.out, () => { system.changeDomain(domain, 'out') })
    clock.schedule(TIMES.down, () => {
      lastStartMs = system.findLastStart(domain)
      system.setDomainUp(domain, false)
    })
    clock.schedule(TIMES.up, () => { system.setDomainUp(domain, true) })
    clock.schedule(TIMES.in, () => { system.changeDomain(domain, 'in') })
  } else {
    clock.schedule(TIMES.out, () => { system.loseDomain(domain) })
    clock.schedule(TIMES.up, () => { system.restoreDomain(domain) })
  }
  clock.run(TIMES.drained)
  const newWorkS = Math.max(0, lastStartMs - TIMES.out) / SECOND_MS
  return KINDS.map(kind => [
    deployment.name, leave, system.name, kind,
    ...describeKind(system, kind, results.filter(result => result.work.kind === kind)),
    Number(newWorkS.toFixed(2)), system.countCrashes()
  ])
}

/** Schedules Poisson arrivals; three large teams send two thirds of the requests. */
function scheduleLoad (system: SystemUnderTest, clock: VirtualClock, kind: WorkKind, deployment: Deployment, seed: number, done: (result: WorkResult) => void): void {
  const random = Random.create(seed + KINDS.indexOf(kind))
  let count = 0
  const arrive = (): void => {
    if (clock.nowMs > TIMES.end) return
    count += 1
    const team = random.pickFloat() < 2 / 3 ? random.pickInt(3) : 3 + random.pickInt(7)
    const work: Work = { id: `${kind}-${count}`, kind, team: `team-${team}`, startMs: clock.nowMs }
    system.submit(work, done)
    clock.schedule(-Math.log(1 - random.pickFloat()) * SECOND_MS / deployment.load[kind], arrive)
  }
  clock.schedule(TIMES.load, arrive)
}

function describeKind (system: SystemUnderTest, kind: WorkKind, results: readonly WorkResult[]): readonly (string | number)[] {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })
  const seconds = new Map<number, { count: number, inTime: number }>()
  let inTime = 0
  for (const { work, ok, endMs } of results) {
    const elapsedMs = endMs - work.startMs
    const isInTime = ok && elapsedMs <= IN_TIME_MS[kind]
    if (ok) histogram.recordValue(Math.max(1, Math.round(elapsedMs)))
    if (isInTime) inTime += 1
    const second = Math.floor(work.startMs / SECOND_MS)
    const bucket = seconds.get(second) ?? { count: 0, inTime: 0 }
    seconds.set(second, { count: bucket.count + 1, inTime: bucket.inTime + (isInTime ? 1 : 0) })
  }
  const worstSecond = Math.min(...[...seconds.values()].map(bucket => bucket.inTime / bucket.count))
  const runs = kind === 'write' ? results.map(result => ({ result, runs: system.countRuns(result.work) })) : []
  return [
    results.length,
    Number((100 * inTime / results.length).toFixed(2)),
    Number((100 * worstSecond).toFixed(1)),
    ...[50, 95, 99].map(percentile => histogram.getValueAtPercentile(percentile)),
    runs.filter(({ result }) => !result.ok).length,
    runs.filter(entry => entry.runs > 1).length
  ]
}
