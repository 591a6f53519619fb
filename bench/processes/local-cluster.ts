/** A deployment of real processes on loopback whose processor time, memory and traffic are sampled by role. */

import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { readFileSync, statSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { Processes } from '../../demo/processes.js'
import { DeploymentFiles } from './deployment.js'
import { computeMean } from './fit.js'
import { waitUntil, waitUntilReady } from './ready.js'
import { readCpuSeconds, readResidentMib, readWrittenBytes } from './usage.js'

/** First port of all clusters: below the range that operating systems use for outgoing connections. */
const FIRST_PORT = 20_000
const PORT_BLOCKS = 30
const PORTS_PER_BLOCK = 400
const TARGET_PORT_OFFSET = 390

const SAMPLE_WINDOW_MS = 3_000
const SAMPLE_WINDOWS = 2
const SETTLE_MS = 4_000
const POLL_INTERVAL_MS = 10
const SECOND_MS = 1_000
const CLI = fileURLToPath(new URL('../../src/bin/heatherdoor.js', import.meta.url))

/** Number of processes, teams and models of a cluster. */
export interface ClusterSize {
  readonly entries: number
  readonly endpoints: number
  readonly teams: number
  readonly models: number
}

/** Role of a measured process. */
export type ClusterRole = 'entry' | 'endpoint'

/** Mean resource usage of the processes of one role in one sample window. */
export interface Usage {
  readonly residentMib: number
  /** Processor time in percent of one core. */
  readonly corePercent: number
  /** Bytes written per second, without log lines. */
  readonly bytesPerS: number
}

/** Resource usage and platform calls of one run of the command line. */
export interface CommandUsage {
  readonly seconds: number
  readonly cpuSeconds: number
  readonly peakMib: number
  readonly calls: Readonly<Record<string, number>>
}

interface ClusterProcess {
  readonly role: ClusterRole
  readonly name: string
  readonly child: ChildProcess
}

/** The platform and one service, both as stand-ins, with entries and endpoint processes on loopback. */
export class LocalCluster {
  readonly files: DeploymentFiles
  readonly #size: ClusterSize
  readonly #basePort: number
  readonly #processes: Processes
  readonly #clusterProcesses: ClusterProcess[] = []
  readonly #children: ChildProcess[] = []

  private constructor (size: ClusterSize) {
    this.#size = size
    this.#basePort = FIRST_PORT + Math.floor(Math.random() * PORT_BLOCKS) * PORTS_PER_BLOCK
    this.files = createFiles(size, this.#basePort)
    this.#processes = Processes.create(this.files.folder)
  }

  /**
   * @param size - number of processes, teams and models
   * @returns a cluster that serves requests and has settled
   * @throws Error when it does not serve in time
   */
  static async start (size: ClusterSize): Promise<LocalCluster> {
    const cluster = new LocalCluster(size)
    try {
      cluster.#startAll()
      await waitUntilReady(cluster.#processes, cluster.files)
      await waitUntil('all processes have the configuration', async () => cluster.#clusterProcesses.every(({ name }) => cluster.listAcceptedVersions(name).length > 0))
      await wait(SETTLE_MS)
      return cluster
    } catch (error) {
      await cluster.stop()
      throw error
    }
  }

  /** @returns names of entries and endpoint processes */
  listProcessNames (): readonly string[] {
    return this.#clusterProcesses.map(({ name }) => name)
  }

  /** @returns wall-clock time in ms at which the process accepted each version */
  listAcceptedVersions (name: string): readonly { readonly version: number, readonly atMs: number }[] {
    return readFileSync(this.files.getPath(`${name}.log`), 'utf8').split('\n')
      .filter(line => line.includes('"configuration-accepted"'))
      .map(line => JSON.parse(line) as { readonly version: number, readonly time: string })
      .map(({ version, time }) => ({ version, atMs: Date.parse(time) }))
  }

  /** @returns resource usage by role, one value for each sample window */
  async measure (): Promise<Readonly<Record<ClusterRole, readonly Usage[]>>> {
    const usages: Record<ClusterRole, Usage[]> = { entry: [], endpoint: [] }
    for (let window = 0; window < SAMPLE_WINDOWS; window += 1) {
      const before = this.#clusterProcesses.map(clusterProcess => this.#readTotals(clusterProcess))
      const startMs = performance.now()
      await wait(SAMPLE_WINDOW_MS)
      const seconds = (performance.now() - startMs) / SECOND_MS
      const after = this.#clusterProcesses.map(clusterProcess => this.#readTotals(clusterProcess))
      for (const role of ['entry', 'endpoint'] as const) {
        const indexes = this.#clusterProcesses.flatMap((clusterProcess, index) => clusterProcess.role === role ? [index] : [])
        const rate = (key: 'cpu' | 'bytes'): number => computeMean(indexes.map(index => ((after[index]?.[key] ?? 0) - (before[index]?.[key] ?? 0)) / seconds))
        usages[role].push({
          residentMib: computeMean(indexes.map(index => after[index]?.mib ?? 0)),
          corePercent: rate('cpu') * 100,
          bytesPerS: rate('bytes')
        })
      }
    }
    return usages
  }

  /** @returns number of calls that the platform has received so far, by kind */
  async readPlatformCalls (): Promise<Readonly<Record<string, number>>> {
    return await (await request(`${this.files.platformUrl}/counters`)).body.json() as Readonly<Record<string, number>>
  }

  /**
   * Changes the weight of a team with the command line.
   *
   * @returns resource usage and platform calls of the command
   * @throws Error when the command fails
   */
  async runApplyCommand (): Promise<CommandUsage> {
    const path = this.files.getPath('configuration.toml')
    writeFileSync(path, readFileSync(path, 'utf8').replace('weight = 1\n', 'weight = 2\n'))
    const before = await this.readPlatformCalls()
    const usage = await runMeasured([CLI, 'apply', path, '--expect', '1', '--by', 'bench', '--reason', 'bench', '--settings', this.files.getPath('cli.toml')])
    const after = await this.readPlatformCalls()
    const calls = Object.fromEntries(Object.keys(after).map(kind => [kind, (after[kind] ?? 0) - (before[kind] ?? 0)]))
    return { ...usage, calls }
  }

  /** Kills every process of the cluster and removes its files. */
  async stop (): Promise<void> {
    for (const child of this.#children) child.kill('SIGKILL')
    await this.#processes.stop()
    this.files.remove()
  }

  #startAll (): void {
    this.#children.push(this.#processes.start('platform', 'standins/platform/main.js', ['--port', String(this.files.platformPort)]))
    this.#children.push(this.#processes.start('target', 'standins/service/main.js', ['--port', String(this.#basePort + TARGET_PORT_OFFSET), '--warm', '--service-ms', '1', '--warm-cap', '256']))
    for (let index = 0; index < this.#size.entries; index += 1) this.#startClusterProcess('entry', `entry-${index}`)
    for (let index = 0; index < this.#size.endpoints; index += 1) this.#startClusterProcess('endpoint', `counter-${index}`)
  }

  #startClusterProcess (role: ClusterRole, name: string): void {
    const child = this.#processes.start(name, `src/bin/${role}.js`, [this.files.getPath(`${name}.toml`)])
    this.#children.push(child)
    this.#clusterProcesses.push({ role, name, child })
  }

  #readTotals ({ name, child }: ClusterProcess): { readonly cpu: number, readonly mib: number, readonly bytes: number } {
    const pid = child.pid ?? 0
    const logged = statSync(this.files.getPath(`${name}.log`)).size
    return { cpu: readCpuSeconds(pid), mib: readResidentMib(pid), bytes: readWrittenBytes(pid) - logged }
  }
}

function createFiles ({ entries, endpoints, teams, models }: ClusterSize, basePort: number): DeploymentFiles {
  const domains = ['north', 'south']
  const pickDomain = (index: number): string => domains[index % domains.length] ?? ''
  return DeploymentFiles.create({
    basePort,
    domains,
    entries: Array.from({ length: entries }, (_, index) => pickDomain(index)),
    endpoints: Array.from({ length: endpoints }, (_, index) => ({
      id: `counter-${index}`, service: 'counter', domain: pickDomain(index), targetPort: basePort + TARGET_PORT_OFFSET, warmCap: 64, coldCap: 64
    })),
    services: [
      { name: 'counter', kind: 'plain', profile: 'desk' },
      ...Array.from({ length: models }, (_, index) => ({ name: `text-${index}`, kind: 'model', profile: 'text', model: `model-${index}` }))
    ],
    profiles: [
      { name: 'desk', priority: 'urgent', idempotency: 'safe-methods', deadline_ms: 10_000, queue_max: 512, team_share_max: 1, attempts_max: 3, backoff_base_ms: 20 },
      { name: 'text', priority: 'normal', idempotency: 'always', deadline_ms: 20_000, queue_max: 64, team_share_max: 1, attempts_max: 3, backoff_base_ms: 50 }
    ],
    teams,
    addressHoldMs: 1_000
  })
}

async function runMeasured (args: readonly string[]): Promise<Omit<CommandUsage, 'calls'>> {
  const startMs = performance.now()
  const child = spawn(process.execPath, args, { stdio: 'ignore' })
  const pid = child.pid ?? 0
  let cpuSeconds = 0
  let peakMib = 0
  const timer = setInterval(() => {
    try {
      cpuSeconds = Math.max(cpuSeconds, readCpuSeconds(pid))
      peakMib = Math.max(peakMib, readResidentMib(pid))
    } catch { /* The process has ended between two polls. */ }
  }, POLL_INTERVAL_MS)
  const code = await new Promise<number | null>(resolve => { child.on('exit', resolve) })
  clearInterval(timer)
  if (code !== 0) throw new Error(`the command exited with code ${String(code)}`)
  return { seconds: (performance.now() - startMs) / SECOND_MS, cpuSeconds, peakMib }
}

/** @param ms - time to wait in ms */
export async function wait (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
