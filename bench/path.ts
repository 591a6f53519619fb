/** Throughput and latency of the request path through an entry and an endpoint process, next to a bare pass-through proxy. */

import { Processes } from '../demo/processes.js'
import { runLoad } from './path/load.js'
import type { LoadResult } from './path/load.js'
import { DeploymentFiles } from './processes/deployment.js'
import { readCpuSeconds, readResidentMib } from './processes/usage.js'
import { waitUntilReady } from './processes/ready.js'
import type { BenchResult } from './result.js'

const BASE_PORT = 27_300
const TARGET_PORT = 27_350
const PASSTHROUGH_PORT = 27_351
const CONNECTIONS = 64
const WARM_UP_MS = 2_000
const DURATION_MS = 5_000
const SECOND_MS = 1_000
const ROUNDS = 2

interface Subject {
  readonly name: string
  readonly url: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly pids: readonly number[]
}

/** @returns one row for each measured system and round */
export async function run (): Promise<BenchResult> {
  const files = DeploymentFiles.create({
    basePort: BASE_PORT,
    domains: ['a'],
    entries: ['a'],
    endpoints: [{ id: 'target-0', service: 'target', domain: 'a', targetPort: TARGET_PORT, warmCap: 512, coldCap: 512 }],
    services: [{ name: 'target', kind: 'plain', profile: 'reads' }],
    profiles: [{ name: 'reads', priority: 'normal', idempotency: 'always', deadline_ms: 10_000, queue_max: 1024, team_share_max: 1, attempts_max: 1, backoff_base_ms: 50 }],
    teams: 1,
    addressHoldMs: 1_000
  })
  const processes = Processes.create(files.folder)
  try {
    const subjects = await startSubjects(processes, files)
    const rows: BenchResult['rows'][number][] = []
    for (const subject of subjects) await measure(subject, WARM_UP_MS)
    for (let round = 1; round <= ROUNDS; round += 1) {
      for (const subject of subjects) rows.push([`${subject.name} ${round}`, ...await measure(subject, DURATION_MS)])
    }
    return {
      name: 'path',
      columns: ['subject', 'requests/s', 'p50 ms', 'p99 ms', 'failed', 'cores', 'requests/s per core', 'second process cores', 'resident MiB'],
      rows
    }
  } finally {
    await processes.stop()
    files.remove()
  }
}

async function startSubjects (processes: Processes, files: DeploymentFiles): Promise<readonly Subject[]> {
  processes.start('platform', 'standins/platform/main.js', ['--port', String(files.platformPort)])
  processes.start('target', 'bench/path/target.js', [String(TARGET_PORT)])
  const passthrough = processes.start('passthrough', 'bench/path/passthrough.js', [String(PASSTHROUGH_PORT), `http://127.0.0.1:${TARGET_PORT}`])
  const entry = processes.start('entry', 'src/bin/entry.js', [files.getPath('entry-0.toml')])
  const endpoint = processes.start('endpoint', 'src/bin/endpoint.js', [files.getPath('target-0.toml')])
  await waitUntilReady(processes, files)
  return [
    { name: 'pass-through', url: `http://127.0.0.1:${PASSTHROUGH_PORT}`, path: '/x', headers: {}, pids: [passthrough.pid ?? 0] },
    {
      name: 'heatherdoor',
      url: `http://127.0.0.1:${files.findEntryPorts(0).callers}`,
      path: '/services/target/x',
      headers: { authorization: `Bearer ${files.teamKey}` },
      pids: [entry.pid ?? 0, endpoint.pid ?? 0]
    }
  ]
}

async function measure (subject: Subject, durationMs: number): Promise<readonly (string | number)[]> {
  const before = subject.pids.map(readCpuSeconds)
  const result: LoadResult = await runLoad({ ...subject, method: 'GET', connections: CONNECTIONS, durationMs })
  const cores = subject.pids.map((pid, index) => (readCpuSeconds(pid) - (before[index] ?? 0)) / (durationMs / SECOND_MS))
  return [
    Math.round(result.requestsPerS),
    Number(result.p50Ms.toFixed(2)),
    Number(result.p99Ms.toFixed(2)),
    result.failed,
    Number((cores[0] ?? 0).toFixed(2)),
    Math.round(result.requestsPerS / (cores[0] ?? 1)),
    Number((cores[1] ?? 0).toFixed(2)),
    Math.round(readResidentMib(subject.pids[0] ?? 0))
  ]
}
