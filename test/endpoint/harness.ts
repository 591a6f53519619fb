/** Kernels of processes with a fake configuration and membership. */

import type { EndpointSpec } from '../../src/kernel/configuration.js'
import { EMPTY_CONFIGURATION } from '../../src/kernel/configuration.js'
import type { Effect } from '../../src/kernel/effects.js'
import type { KernelEvent } from '../../src/kernel/events.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { registerPlugin } from '../../src/kernel/plugin.js'
import type { ConfigurationPort, MembershipPort } from '../../src/kernel/ports.js'
import { WINDOW_MS } from '../../src/plugins/outcomes/table.js'
import type { Message, ProcessRef, RequestKey, Role, Submit, WorkTerms } from '../../src/protocol/messages.js'
import '../../src/plugins/tokens/tokens.js'
import '../../src/plugins/quarantine/plugin.js'
import '../../src/plugins/outcomes/plugin.js'
import '../../src/plugins/admission/plugin.js'

export function buildProcessRef (id: string, role: Role = 'endpoint', domain = 'a', incarnation = 1): ProcessRef {
  return { id, role, domain, host: `host-${id}`, address: `127.0.0.1:${id}`, incarnation }
}

/** Mutable state of the cluster, as the fake ports of every kernel return it. */
export class FakeCluster {
  static current: FakeCluster
  version = 1
  /** Failure domains that are out of service. */
  out = new Set<string>()
  ids: readonly string[] = ['h1', 'h2']
  warmCap = 2
  coldCap = 2
  peers: ProcessRef[] = []
  teamShareMax = 1

  static create (overrides: Partial<FakeCluster> = {}): FakeCluster {
    FakeCluster.current = Object.assign(new FakeCluster(), overrides)
    return FakeCluster.current
  }

  get endpoints (): readonly EndpointSpec[] {
    const { warmCap, coldCap } = this
    return this.ids.map(id => ({ ...buildProcessRef(id), service: 'counter', peerAddress: id, checksFencing: false, warmCap, coldCap }))
  }
}

const configuration: ConfigurationPort = {
  getCurrent: () => ({ ...EMPTY_CONFIGURATION, version: FakeCluster.current.version }),
  getInForceSinceMs: () => 0,
  findService: name => name === 'counter' ? { name, kind: 'plain', profile: 'p' } : undefined,
  findServiceByModel: () => undefined,
  findProfile: name => ({ name, priority: 'normal', idempotency: 'never', deadlineMs: 10_000, queueMax: 8, teamShareMax: FakeCluster.current.teamShareMax, attemptsMax: 1, backoffBaseMs: 1 }),
  findTeam: () => undefined,
  findEndpoint: id => FakeCluster.current.endpoints.find(endpoint => endpoint.id === id),
  listEndpoints: () => FakeCluster.current.endpoints,
  isInService: endpoint => !FakeCluster.current.out.has(endpoint.domain),
  listPartHashes: () => []
}
const membership: MembershipPort = {
  findPeer: id => membership.listPeers().find(peer => peer.process.id === id),
  listPeers: () => FakeCluster.current.peers.map(process => ({ process, heardAtMs: 0, configVersion: 1 })),
  listEntries: () => [],
  isLeaving: () => false,
  isHostLeaving: () => false,
  isWatcher: () => false
}
registerPlugin({ name: 'fake', roles: ['entry', 'endpoint'], create: () => ({ name: 'fake', subscribesTo: [], ports: { configuration, membership }, handle: () => {} }) })

export const TERMS: WorkTerms = { profile: 'p', priority: 'normal', idempotent: false, queueMax: 8 }

export function buildKey (text: string, window = 0, home = 'h1', incarnation = 1): RequestKey {
  return { home, incarnation, window, text }
}

export function buildSubmit (workId: string, overrides: Partial<Submit> = {}): Submit {
  return {
    kind: 'submit',
    workId,
    requestId: `r-${workId}`,
    team: 't',
    teamWeight: 1,
    service: 'counter',
    terms: TERMS,
    bodyHash: 'b',
    fingerprint: `f-${workId}`,
    method: 'POST',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    timeLeftMs: 10_000,
    configVersion: 1,
    ...overrides
  }
}

/** Kernel of one process; records a transcript of events and effects. */
export class TestProcess {
  readonly transcript: string[] = []
  readonly kernel: Kernel
  readonly self: ProcessRef
  nowMs = 0

  constructor (self = buildProcessRef('h1'), seed = 1) {
    this.self = self
    this.kernel = Kernel.create({ self, service: 'counter', seed, settings: { clusterSecret: 's', seeds: [] } })
  }

  /** Advances time in ticks of 500 ms. */
  advanceTime (ms: number): void {
    for (const end = this.nowMs + ms; this.nowMs < end;) {
      this.nowMs = Math.min(end, this.nowMs + 500)
      this.dispatch({ kind: 'tick' }, false)
    }
  }

  advanceWindows (count: number): void { this.advanceTime(count * WINDOW_MS) }

  dispatch (event: KernelEvent, isLogged = true): readonly Effect[] {
    const effects = this.kernel.dispatch(event, this.nowMs)
    if (isLogged) this.transcript.push(`${this.nowMs} > ${formatEvent(event)}`)
    for (const effect of effects) if (!['count', 'observe'].includes(effect.kind)) this.transcript.push(`${this.nowMs}   < ${formatEffect(effect)}`)
    return effects
  }

  handle (message: Message, from = 'e1'): readonly Effect[] {
    return this.dispatch({ kind: 'message-received', peer: buildProcessRef(from, from.startsWith('h') ? 'endpoint' : 'entry'), message })
  }

  /** Completes work with a response of one chunk. */
  completeWork (workId: string, text = workId): readonly Effect[] {
    this.dispatch({ kind: 'endpoint-head', workId, status: 200, headers: [] })
    this.dispatch({ kind: 'endpoint-chunk', workId, data: Buffer.from(text) })
    return this.dispatch({ kind: 'endpoint-ended', workId })
  }
}

function formatValue (value: unknown): string {
  if (value instanceof Uint8Array) return value.byteLength > 40 ? `${value.byteLength} B` : Buffer.from(value).toString()
  if (Array.isArray(value)) return `[${value.map(formatValue).join(', ')}]`
  if (typeof value === 'object' && value !== null) return `{${formatFields(value)}}`
  return String(value)
}

function formatFields (value: object): string {
  const hidden = ['kind', 'peer', 'configVersion', 'requestId', 'teamWeight', 'service', 'terms', 'method', 'path', 'headers', 'fingerprint', 'process']
  return Object.entries(value).filter(([name]) => !hidden.includes(name)).map(([name, field]) => `${name}=${formatValue(field)}`).join(' ')
}

function formatEvent (event: KernelEvent): string {
  if (event.kind === 'message-received') return `${event.peer.id}: ${event.message.kind} ${formatFields(event.message)}`
  return `${event.kind} ${formatFields(event)}`
}

function formatEffect (effect: Effect): string {
  if (effect.kind === 'send') return `send ${effect.peer} ${effect.message.kind} ${formatFields(effect.message)}`
  if (effect.kind === 'run') return `run ${effect.work.workId}`
  return `${effect.kind} ${formatFields(effect)}`
}
