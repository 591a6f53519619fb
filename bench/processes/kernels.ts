/** Measures kernels alone, at sizes for which one machine cannot run enough processes. */

import { randomBytes } from 'node:crypto'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Configuration, EndpointSpec, Team } from '../../src/kernel/configuration.js'
import { hashPart } from '../../src/kernel/hash.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { RecordTable } from '../../src/plugins/outcomes/table.js'
import '../../src/plugins/index.js'
import type { ProcessRef, Role } from '../../src/protocol/messages.js'

const TICK_MS = 100
const TICK_COUNT = 50
const CHANGE_COUNT = 5
const TEAM_PARTS = 64
const DOMAINS = Array.from({ length: 9 }, (_, index) => `d${index}`)
const RANKS_PER_GROUP = 64
const MIB = 1024 * 1024

/** Number of members, endpoints, teams, models and groups that a kernel has in its state. */
export interface KernelSize {
  readonly members: number
  readonly endpoints: number
  readonly teams: number
  readonly models: number
  readonly groups: number
}

/** Memory and processing time of a kernel of one size. */
export interface KernelCost {
  /** Heap used by the kernel with its configuration and members in MiB. */
  readonly heapMib: number
  /** Mean time of one tick in ms, without connections. */
  readonly tickMs: number
  /** Mean time to accept a configuration in which one team has changed, in ms. */
  readonly changeMs: number
}

/**
 * @param role - role of the kernel
 * @param size - size of its configuration and member list
 * @returns its cost
 */
export function measureKernel (role: Role, size: KernelSize): KernelCost {
  const before = readHeapMib()
  const self = buildProcess(0, role)
  const kernel = Kernel.create({ self, seed: 1, settings: { clusterSecret: 's', seeds: [] }, ...(role === 'endpoint' ? { service: 'text-0' } : {}) })
  let nowMs = 0
  const parts = buildParts(size)
  kernel.dispatch({ kind: 'configuration-read', ...buildConfigurationRead(1, parts, []), source: 'bench' }, nowMs)
  if (role === 'entry') addMembers(kernel, size.members)
  const heapMib = readHeapMib() - before
  kernel.dispatch({ kind: 'tick' }, nowMs)
  const startMs = performance.now()
  for (let tick = 0; tick < TICK_COUNT; tick += 1) kernel.dispatch({ kind: 'tick' }, nowMs += TICK_MS)
  const tickMs = (performance.now() - startMs) / TICK_COUNT
  let changesMs = 0
  for (let change = 0; change < CHANGE_COUNT; change += 1) {
    const name = 'teams-00'
    const teams = (parts.get(name) ?? []) as readonly Team[]
    parts.set(name, teams.map((team, index) => index === 0 ? { ...team, weight: team.weight + 1 } : team))
    const texts = buildConfigurationRead(change + 2, parts, kernel.getPort('configuration').listPartHashes())
    const beforeMs = performance.now()
    kernel.dispatch({ kind: 'configuration-read', ...texts, source: 'bench' }, nowMs)
    changesMs += performance.now() - beforeMs
  }
  return { heapMib, tickMs, changeMs: changesMs / CHANGE_COUNT }
}

/**
 * @param count - number of idempotency records, each with a small response
 * @returns heap used by the records in MiB
 */
export function measureRecords (count: number): number {
  const before = readHeapMib()
  const table = RecordTable.create('counter-0', 1, 0, 0)
  for (let index = 0; index < count; index += 1) {
    table.update(`team-${index % 10}\ncounter\nhdk1.counter.counter-0.1.0.${randomBytes(32).toString('hex')}.${index}`, {
      window: 0,
      bodyHash: randomBytes(32).toString('hex'),
      state: { kind: 'run', response: { status: 201, headers: [['content-type', 'application/json']], chunks: [new Uint8Array(Buffer.from('{"booking":1}'))] } }
    })
  }
  const recordsMib = readHeapMib() - before
  return table.size === count ? recordsMib : NaN
}

const collectGarbage = createGarbageCollector()

function createGarbageCollector (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}

function readHeapMib (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return (heapUsed + external) / MIB
}

function buildProcess (index: number, role: Role): ProcessRef {
  return { id: `${role}-${index}`, role, domain: DOMAINS[index % DOMAINS.length] ?? '', host: `host-${index}`, address: `10.0.${index >> 8}.${index & 255}:7000`, incarnation: 1_760_000_000_000 + index }
}

function addMembers (kernel: Kernel, count: number): void {
  const peer = buildProcess(1, 'entry')
  kernel.dispatch({ kind: 'peer-connected', peer }, 0)
  const updates = Array.from({ length: count - 1 }, (_, index) => ({ process: buildProcess(index + 1, 'entry'), state: 'alive' as const, configVersion: 1 }))
  kernel.dispatch({ kind: 'message-received', peer, message: { kind: 'probe', sequence: 1, updates } }, 0)
  if (kernel.getPort('membership').listEntries().length !== count) throw new Error('the kernel does not know all members')
}

function buildConfigurationRead (version: number, parts: ReadonlyMap<string, unknown>, heldHashes: readonly string[]): { readonly root: string, readonly parts: readonly (readonly [string, string])[] } {
  const texts = [...parts].map(([name, value]) => {
    const json = JSON.stringify(value)
    return { name, json, hash: hashPart(json) }
  })
  const heldHashSet = new Set(heldHashes)
  return {
    root: JSON.stringify({ version, parts: Object.fromEntries(texts.map(({ name, hash }) => [name, hash])), domainStates: {}, drainingHosts: [], changedBy: '', changedAt: '', reason: '' }),
    parts: texts.filter(({ hash }) => !heldHashSet.has(hash)).map(({ hash, json }) => [hash, json] as const)
  }
}

function buildParts (size: KernelSize): Map<string, unknown> {
  const parts = new Map<string, unknown>([['topology', buildTopology(size)], ['services', buildServices(size)]])
  const endpoints = Array.from({ length: size.endpoints }, (_, index) => buildEndpoint(index, size))
  for (const domain of DOMAINS) parts.set(`endpoints-${domain}`, endpoints.filter(endpoint => endpoint.domain === domain))
  const teams = Array.from({ length: size.teams }, (_, index) => buildTeam(index, size.models))
  for (let part = 0; part < TEAM_PARTS; part += 1) {
    parts.set(`teams-${String(part).padStart(2, '0')}`, teams.filter((_, index) => index % TEAM_PARTS === part))
  }
  return parts
}

function buildTopology ({ members, groups }: KernelSize): unknown {
  return {
    domains: DOMAINS.map((name, index) => ({ name, region: `r${index % 3}` })),
    entries: Array.from({ length: members }, (_, index) => buildProcess(index, 'entry')).map(({ id, host, domain, address }) => ({ id, host, domain, callerUrl: `https://${address}`, peerAddress: address })),
    endpoints: [],
    groups: Array.from({ length: groups }, (_, index) => ({ name: `group-${index}`, service: 'text-0', ranks: RANKS_PER_GROUP, layers: 60, expertsPerLayer: 128, slotsPerRank: 4 }))
  }
}

function buildServices ({ models }: KernelSize): Pick<Configuration, 'services' | 'profiles'> {
  return {
    services: Array.from({ length: models }, (_, index) => ({ name: `text-${index}`, kind: 'model' as const, profile: 'text', model: `model-${index}` })),
    profiles: [{ name: 'text', priority: 'normal', idempotency: 'always', deadlineMs: 20_000, queueMax: 64, teamShareMax: 1, attemptsMax: 3, backoffBaseMs: 50 }]
  }
}

function buildEndpoint (index: number, { models, groups }: KernelSize): EndpointSpec {
  const { id, host, domain, address } = buildProcess(index, 'endpoint')
  const isInGroup = index < groups * RANKS_PER_GROUP
  return {
    id,
    host,
    domain,
    service: `text-${isInGroup ? 0 : index % models}`,
    peerAddress: address,
    checksFencing: true,
    warmCap: 64,
    coldCap: 4,
    ...(isInGroup ? { group: `group-${Math.floor(index / RANKS_PER_GROUP)}`, rank: index % RANKS_PER_GROUP } : {})
  }
}

function buildTeam (index: number, models: number): Team {
  return {
    name: `team-${index}`,
    weight: 1,
    services: [`text-${index % models}`],
    keys: [{ salt: randomBytes(16).toString('hex'), hash: randomBytes(32).toString('hex') }]
  }
}
