/**
 * Cost of each role as the system grows: least-squares lines through
 * measurements of real processes, and through measurements of kernels alone
 * at sizes for which one machine cannot run enough processes.
 */

import { runBookings } from './processes/bookings.js'
import { listPropagationTimes, runChanges } from './processes/changes.js'
import { computeFit } from './processes/fit.js'
import type { Point } from './processes/fit.js'
import { measureKernel, measureRecords } from './processes/kernels.js'
import type { KernelSize } from './processes/kernels.js'
import { LocalCluster, wait } from './processes/local-cluster.js'
import type { ClusterSize } from './processes/local-cluster.js'
import type { BenchResult } from './result.js'

const SMALL_CLUSTER: ClusterSize = { entries: 2, endpoints: 2, teams: 10, models: 1 }

/** Measured values of each size; the other sizes stay as in `SMALL_CLUSTER`. */
const CLUSTER_GROWTH: Readonly<Record<keyof ClusterSize, readonly number[]>> = {
  entries: [2, 8, 24],
  endpoints: [4, 16, 40],
  teams: [10, 1_000, 13_000],
  models: [1, 10, 40]
}

const COLUMNS = ['who', 'what', 'by', 'slope', 'at 0', 'fit error', 'repeat spread', 'points']
const RECORD_COUNTS = [0, 2_500, 5_000, 9_000]
const CHANGES_PER_S = [0, 1, 4]
const CHANGES_MS = 8_000
const REPEATS = 2
const SMALL_KERNEL: KernelSize = { members: 24, endpoints: 400, teams: 100, models: 4, groups: 0 }
const KERNEL_GROWTH: Readonly<Record<keyof KernelSize, readonly number[]>> = {
  members: [24, 200, 610],
  endpoints: [400, 1_500, 4_400],
  teams: [100, 1_000, 5_000, 13_000],
  models: [4, 10, 40],
  groups: [0, 1, 2, 4]
}

/** Measured points by row: role, measure and the size that varies. */
class PointsByRow {
  readonly #lists = new Map<string, { readonly labels: readonly [string, string, string], readonly points: Point[] }>()

  private constructor () {}

  static create (): PointsByRow {
    return new PointsByRow()
  }

  add (who: string, what: string, variable: string, x: number, y: number): void {
    const name = [who, what, variable].join('\n')
    const list = this.#lists.get(name)
    if (list === undefined) this.#lists.set(name, { labels: [who, what, variable], points: [{ x, y }] })
    else list.points.push({ x, y })
  }

  formatRows (): BenchResult['rows'] {
    return [...this.#lists.values()].map(({ labels, points }) => {
      const fit = computeFit(points)
      const xs = [...new Set(points.map(({ x }) => x))]
      const means = xs.map(x => `${x}: ${formatNumber(points.filter(point => point.x === x).reduce((sum, { y }, _, { length }) => sum + y / length, 0))}`)
      return [...labels, ...[fit.slope, fit.intercept, fit.rmsError, fit.repeatSpread].map(formatNumber), means.join(', ')]
    })
  }
}

/** @returns one row for each role, measure and size that varies */
export async function run (): Promise<BenchResult> {
  const points = PointsByRow.create()
  addKernelPoints(points)
  for (const variable of Object.keys(CLUSTER_GROWTH) as (keyof ClusterSize)[]) {
    for (const x of CLUSTER_GROWTH[variable]) await addClusterPoints(points, variable, x)
  }
  await addRecordPoints(points)
  await addChangePoints(points)
  return { name: 'slopes', columns: COLUMNS, rows: points.formatRows() }
}

/** @returns the rows of kernels without processes, which take some seconds to measure */
export function runKernels (): BenchResult {
  const points = PointsByRow.create()
  addKernelPoints(points)
  return { name: 'slopes-kernels', columns: COLUMNS, rows: points.formatRows() }
}

function addKernelPoints (points: PointsByRow): void {
  for (const role of ['entry', 'endpoint'] as const) {
    for (const variable of Object.keys(KERNEL_GROWTH) as (keyof KernelSize)[]) {
      for (const x of KERNEL_GROWTH[variable]) {
        for (let repeat = 0; repeat < REPEATS; repeat += 1) {
          const size = { ...SMALL_KERNEL, ...(variable === 'groups' ? { members: 610 } : {}), [variable]: x }
          const { heapMib, tickMs, changeMs } = measureKernel(role, size)
          points.add(`${role} kernel`, 'heap MiB', variable, x, heapMib)
          points.add(`${role} kernel`, 'tick ms', variable, x, tickMs)
          points.add(`${role} kernel`, 'change ms', variable, x, changeMs)
        }
      }
    }
  }
  for (const count of [0, 5_000, 20_000]) {
    for (let repeat = 0; repeat < REPEATS; repeat += 1) points.add('records', 'heap MiB', 'keys', count, measureRecords(count))
  }
}

async function addClusterPoints (points: PointsByRow, variable: keyof ClusterSize, x: number): Promise<void> {
  logProgress(`${variable} ${x}`)
  const cluster = await LocalCluster.start({ ...SMALL_CLUSTER, [variable]: x })
  try {
    await addUsagePoints(points, cluster, variable, x)
    if (variable !== 'teams') return
    const command = await cluster.runApplyCommand()
    points.add('command', 'seconds', variable, x, command.seconds)
    points.add('command', 'CPU s', variable, x, command.cpuSeconds)
    points.add('command', 'peak MiB', variable, x, command.peakMib)
    points.add('command', 'platform reads', variable, x, command.calls['read'] ?? 0)
    points.add('command', 'platform writes', variable, x, command.calls['write'] ?? 0)
  } finally {
    await cluster.stop()
  }
}

async function addUsagePoints (points: PointsByRow, cluster: LocalCluster, variable: string, x: number): Promise<void> {
  const usages = await cluster.measure()
  for (const role of ['entry', 'endpoint'] as const) {
    for (const usage of usages[role]) {
      points.add(role, 'resident MiB', variable, x, usage.residentMib)
      points.add(role, 'core %', variable, x, usage.corePercent)
      points.add(role, 'B/s', variable, x, usage.bytesPerS)
    }
  }
}

async function addRecordPoints (points: PointsByRow): Promise<void> {
  const cluster = await LocalCluster.start({ ...SMALL_CLUSTER, entries: 1, endpoints: 1 })
  try {
    let bookedCount = 0
    for (const count of RECORD_COUNTS) {
      logProgress(`keys ${count}`)
      bookedCount += await runBookings(cluster, count - bookedCount, `to-${count}`)
      if (bookedCount !== count) throw new Error(`${bookedCount} of ${count} bookings succeeded`)
      await addUsagePoints(points, cluster, 'keys', count)
    }
  } finally {
    await cluster.stop()
  }
}

async function addChangePoints (points: PointsByRow): Promise<void> {
  const cluster = await LocalCluster.start({ ...SMALL_CLUSTER, entries: 8, endpoints: 8, teams: 1_000 })
  try {
    for (const perS of CHANGES_PER_S) {
      logProgress(`changes ${perS}/s`)
      const before = await cluster.readPlatformCalls()
      const [changes] = await Promise.all([runChanges(cluster, perS, CHANGES_MS), addUsagePoints(points, cluster, 'changes/s', perS)])
      const after = await cluster.readPlatformCalls()
      await wait(2_000)
      for (const kind of ['read', 'watch', 'write', 'list']) {
        points.add('platform', `${kind}s/s`, 'changes/s', perS, ((after[kind] ?? 0) - (before[kind] ?? 0)) * 1_000 / CHANGES_MS)
      }
      const times = [...listPropagationTimes(cluster, changes)].sort((a, b) => a - b)
      if (times.length > 0) {
        points.add('all', 'ms to be in force, median', 'changes/s', perS, times[Math.floor(times.length / 2)] ?? 0)
        points.add('all', 'ms to be in force, largest', 'changes/s', perS, times.at(-1) ?? 0)
      }
    }
  } finally {
    await cluster.stop()
  }
}

function formatNumber (value: number): string {
  return Number.isFinite(value) ? String(Number(value.toPrecision(3))) : String(value)
}

function logProgress (text: string): void {
  process.stderr.write(`${new Date().toISOString()} ${text}\n`)
}
