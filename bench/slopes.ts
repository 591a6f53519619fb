/**
 * What each role costs as the system grows: lines through points measured on
 * real processes, and through points of pure kernels where the size cannot be
 * reached with processes on one machine.
 */

import { runBookings } from './processes/bookings.js'
import { listForceTimes, runChanges } from './processes/changes.js'
import { computeFit } from './processes/fit.js'
import type { Point } from './processes/fit.js'
import { measureKernel, measureRecords } from './processes/kernels.js'
import type { KernelSize } from './processes/kernels.js'
import { Stage, wait } from './processes/stage.js'
import type { StageSize } from './processes/stage.js'
import type { BenchResult } from './result.js'

const SMALL: StageSize = { entries: 2, endpoints: 2, teams: 10, models: 1 }

/** Sizes by what grows; the others stay small. */
const GROWTH: Readonly<Record<keyof StageSize, readonly number[]>> = {
  entries: [2, 8, 24],
  endpoints: [4, 16, 40],
  teams: [10, 1_000, 13_000],
  models: [1, 10, 40]
}

const COLUMNS = ['who', 'what', 'by', 'slope', 'at 0', 'fit error', 'repeat spread', 'points']
const RECORDS = [0, 2_500, 5_000, 9_000]
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

/** Points by the name of their row: role, unit and what grows. */
class Points {
  readonly #lists = new Map<string, { readonly labels: readonly [string, string, string], readonly points: Point[] }>()

  private constructor () {}

  static create (): Points {
    return new Points()
  }

  add (who: string, what: string, by: string, x: number, y: number): void {
    const name = [who, what, by].join('\n')
    const list = this.#lists.get(name)
    if (list === undefined) this.#lists.set(name, { labels: [who, what, by], points: [{ x, y }] })
    else list.points.push({ x, y })
  }

  formatRows (): BenchResult['rows'] {
    return [...this.#lists.values()].map(({ labels, points }) => {
      const fit = computeFit(points)
      const xs = [...new Set(points.map(({ x }) => x))]
      const means = xs.map(x => `${x}: ${formatNumber(points.filter(point => point.x === x).reduce((sum, { y }, _, { length }) => sum + y / length, 0))}`)
      return [...labels, ...[fit.slope, fit.atZero, fit.error, fit.spread].map(formatNumber), means.join(', ')]
    })
  }
}

/** @returns one row for each role, measure and size that grows */
export async function run (): Promise<BenchResult> {
  const points = Points.create()
  addKernels(points)
  for (const by of Object.keys(GROWTH) as (keyof StageSize)[]) {
    for (const x of GROWTH[by]) await addStage(points, by, x)
  }
  await addRecords(points)
  await addChanges(points)
  return { name: 'slopes', columns: COLUMNS, rows: points.formatRows() }
}

/** @returns the rows of pure kernels only, which take some seconds */
export function runKernels (): BenchResult {
  const points = Points.create()
  addKernels(points)
  return { name: 'slopes-kernels', columns: COLUMNS, rows: points.formatRows() }
}

function addKernels (points: Points): void {
  for (const role of ['entry', 'endpoint'] as const) {
    for (const by of Object.keys(KERNEL_GROWTH) as (keyof KernelSize)[]) {
      for (const x of KERNEL_GROWTH[by]) {
        for (let repeat = 0; repeat < REPEATS; repeat += 1) {
          const size = { ...SMALL_KERNEL, ...(by === 'groups' ? { members: 610 } : {}), [by]: x }
          const { heapMib, tickMs, changeMs } = measureKernel(role, size)
          points.add(`${role} kernel`, 'heap MiB', by, x, heapMib)
          points.add(`${role} kernel`, 'tick ms', by, x, tickMs)
          points.add(`${role} kernel`, 'change ms', by, x, changeMs)
        }
      }
    }
  }
  for (const count of [0, 5_000, 20_000]) {
    for (let repeat = 0; repeat < REPEATS; repeat += 1) points.add('records', 'heap MiB', 'keys', count, measureRecords(count))
  }
}

async function addStage (points: Points, by: keyof StageSize, x: number): Promise<void> {
  note(`${by} ${x}`)
  const stage = await Stage.start({ ...SMALL, [by]: x })
  try {
    await addUsage(points, stage, by, x)
    if (by !== 'teams') return
    const command = await stage.runChange()
    points.add('command', 'seconds', by, x, command.seconds)
    points.add('command', 'CPU s', by, x, command.cpuSeconds)
    points.add('command', 'peak MiB', by, x, command.peakMib)
    points.add('command', 'platform reads', by, x, command.calls['read'] ?? 0)
    points.add('command', 'platform writes', by, x, command.calls['write'] ?? 0)
  } finally {
    await stage.stop()
  }
}

async function addUsage (points: Points, stage: Stage, by: string, x: number): Promise<void> {
  const usages = await stage.measure()
  for (const role of ['entry', 'endpoint'] as const) {
    for (const usage of usages[role]) {
      points.add(role, 'resident MiB', by, x, usage.residentMib)
      points.add(role, 'core %', by, x, usage.corePercent)
      points.add(role, 'B/s', by, x, usage.bytesPerS)
    }
  }
}

async function addRecords (points: Points): Promise<void> {
  const stage = await Stage.start({ ...SMALL, entries: 1, endpoints: 1 })
  try {
    let made = 0
    for (const count of RECORDS) {
      note(`keys ${count}`)
      made += await runBookings(stage, count - made, `to-${count}`)
      if (made !== count) throw new Error(`${made} of ${count} bookings were answered`)
      await addUsage(points, stage, 'keys', count)
    }
  } finally {
    await stage.stop()
  }
}

async function addChanges (points: Points): Promise<void> {
  const stage = await Stage.start({ ...SMALL, entries: 8, endpoints: 8, teams: 1_000 })
  try {
    for (const perS of CHANGES_PER_S) {
      note(`changes ${perS}/s`)
      const before = await stage.readCalls()
      const [changes] = await Promise.all([runChanges(stage, perS, CHANGES_MS), addUsage(points, stage, 'changes/s', perS)])
      const after = await stage.readCalls()
      await wait(2_000)
      for (const kind of ['read', 'watch', 'write', 'list']) {
        points.add('platform', `${kind}s/s`, 'changes/s', perS, ((after[kind] ?? 0) - (before[kind] ?? 0)) * 1_000 / CHANGES_MS)
      }
      const times = [...listForceTimes(stage, changes)].sort((a, b) => a - b)
      if (times.length > 0) {
        points.add('all', 'ms to be in force, median', 'changes/s', perS, times[Math.floor(times.length / 2)] ?? 0)
        points.add('all', 'ms to be in force, largest', 'changes/s', perS, times.at(-1) ?? 0)
      }
    }
  } finally {
    await stage.stop()
  }
}

function formatNumber (value: number): string {
  return Number.isFinite(value) ? String(Number(value.toPrecision(3))) : String(value)
}

function note (text: string): void {
  process.stderr.write(`${new Date().toISOString()} ${text}\n`)
}
