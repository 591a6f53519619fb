/** Connections, heartbeats and, in the entry role, membership of entries. */

import type { Configuration } from '../../kernel/configuration.js'
import type { KernelEvent } from '../../kernel/events.js'
import { hashRendezvous } from '../../kernel/hash.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { MembershipPort } from '../../kernel/ports.js'
import type { Heartbeat, Message, ProcessRef } from '../../protocol/messages.js'
import { Connections } from './connections.js'
import { Members } from './members.js'
import type { Member } from './members.js'
import { Prober } from './prober.js'
import { buildEndpointState } from './state.js'
import { chooseSubset } from './subset.js'

/** Largest count of other entries that an entry connects to for probes and gossip. */
const NEIGHBOURS_MAX = 5

/** Count of entries per region that watch the platform for changes. */
const WATCHERS_PER_REGION = 2

/** Change of load, as a share of the cap, after which a heartbeat is sent early. */
const REPORT_CHANGE_SHARE = 0.25

/** Time in ms for which a peer stays wanted after another plug-in requested a connection to it. */
const WANTED_KEEP_MS = 60_000

/** Interval in ms at which one dead member is dialled, so that the sides of a healed network partition find each other. */
const DEAD_RETRY_MS = 10_000

/** Time in ms without a connection to any entry after which the seeds are dialled. */
const SEED_WAIT_MS = 1_000

/** Time in ms without news of a member after which its absence from the platform's host list makes it a suspect. */
const HOST_LIST_TRUST_MS = 30_000

/** Sequence number of probes sent only to deliver updates; no acknowledgement is awaited. */
const UNTRACKED_SEQUENCE = 0

class MembershipPlugin implements Plugin {
  readonly name = 'membership'
  readonly subscribesTo = ['tick', 'peer-connected', 'peer-disconnected', 'message-received', 'configuration-changed', 'leave-requested', 'peer-wanted', 'hosts-listed'] as const
  readonly ports: { readonly membership: MembershipPort }
  readonly #options: PluginOptions
  readonly #connections: Connections
  readonly #members: Members
  readonly #prober: Prober
  readonly #wantedUntilMs = new Map<string, number>()
  #subset = new Map<string, string>()
  #subsetSource: Pick<Configuration, 'endpoints' | 'services'> | undefined
  #neighbours: readonly string[] = []
  #neighboursRevision = -1
  readonly #scores = new Map<string, number>()
  #entries: readonly ProcessRef[] = []
  #entriesRevision = -1
  #hostsLeaving: ReadonlySet<string> = new Set()
  #regions: ReadonlyMap<string, string> = new Map()
  #leaving = false
  /** Running and queued requests in the last heartbeat. */
  #reportedLoad = 0
  #isolatedSinceMs: number | undefined
  #nextDeadRetryMs = 0

  private constructor (options: PluginOptions) {
    this.#options = options
    this.#connections = Connections.create({
      buildHeartbeat: context => this.#buildHeartbeat(context),
      isEarlyHeartbeatDue: context => this.#isEarlyHeartbeatDue(context),
      // An endpoint process cannot tell whether the entry will still send work over the connection.
      isInUse: (peer, context) => !this.#isEntry() || (context.findPort('requests')?.countInFlightAt(peer) ?? 0) > 0
    })
    this.#members = Members.create(options.self)
    this.#prober = Prober.create(this.#members, this.#connections)
    this.ports = {
      membership: {
        findPeer: id => this.#connections.findView(id),
        listPeers: () => this.#connections.listViews(),
        listEntries: () => this.#listEntries(),
        isLeaving: () => this.#leaving,
        isHostLeaving: host => this.#hostsLeaving.has(host),
        isWatcher: () => this.#isWatcher()
      }
    }
  }

  static create (options: PluginOptions): MembershipPlugin {
    return new MembershipPlugin(options)
  }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'tick':
        this.#handleTick(context)
        break
      case 'peer-connected':
        this.#connections.addPeer(event.peer, context)
        if (event.peer.role === 'entry' && this.#isEntry()) this.#noteEntry(event.peer, context)
        break
      case 'peer-disconnected':
        this.#connections.removePeer(event.peer.id, context)
        this.#prober.noteDisconnected(event.peer.id)
        break
      case 'message-received':
        this.#handleMessage(event.peer, event.message, context)
        break
      case 'configuration-changed':
        this.#applyConfiguration(context)
        break
      case 'leave-requested':
        this.#leaving = true
        this.#announceLeave(context)
        break
      case 'peer-wanted':
        this.#wantedUntilMs.set(event.peer, context.nowMs + WANTED_KEEP_MS)
        this.#connections.updateWanted(this.#listWanted(context))
        this.#connections.dialNow(event.peer, context)
        break
      case 'hosts-listed':
        this.#applyHosts(event.live, event.leaving, context)
        break
      default:
    }
  }

  #isEntry (): boolean {
    return this.#options.self.role === 'entry'
  }

  #announceLeave (context: Context): void {
    this.#members.noteLeaving()
    this.#connections.sendHeartbeats(context)
    if (!this.#isEntry()) return
    for (const { process } of this.#connections.listViews()) {
      if (process.role === 'entry') this.#prober.sendProbe(process.id, UNTRACKED_SEQUENCE, context)
    }
  }

  #handleTick (context: Context): void {
    this.#connections.updateWanted(this.#listWanted(context))
    this.#connections.handleTick(context)
    if (!this.#isEntry()) return
    this.#prober.handleTick(this.#neighbours, context)
  }

  /** Sends a probe at once to a connected member that is not considered alive, so that it can refute that state. */
  #noteEntry (process: ProcessRef, context: Context): void {
    this.#members.noteConnected(process, context)
    if (this.#members.findMember(process.id)?.state !== 'alive') this.#prober.sendProbe(process.id, UNTRACKED_SEQUENCE, context)
  }

  #handleMessage (peer: ProcessRef, message: Message, context: Context): void {
    this.#connections.noteHeard(peer.id, message.kind === 'heartbeat' ? message : undefined, context)
    if (!this.#isEntry()) return
    if (message.kind === 'probe' || message.kind === 'probe-ack' || message.kind === 'probe-request') this.#prober.handleMessage(peer.id, message, context)
  }

  #buildHeartbeat (context: Context): Heartbeat {
    const endpoint = this.#isEntry() ? undefined : buildEndpointState(this.#options, this.#leaving, context)
    this.#reportedLoad = endpoint === undefined ? 0 : endpoint.running + endpoint.queued
    return {
      kind: 'heartbeat',
      incarnation: context.self.incarnation,
      configVersion: context.getPort('configuration').getCurrent().version,
      ...(endpoint === undefined ? {} : { endpoint })
    }
  }

  /** Entries route by reported load, so a change of at least a quarter of the cap is reported without waiting for the next heartbeat. */
  #isEarlyHeartbeatDue (context: Context): boolean {
    const state = context.findPort('admission')?.describeState()
    if (state === undefined) return false
    return Math.abs(state.running + state.queued - this.#reportedLoad) >= Math.max(1, state.cap * REPORT_CHANGE_SHARE)
  }

  #applyConfiguration (context: Context): void {
    if (!this.#isEntry()) return
    const configuration = context.getPort('configuration').getCurrent()
    this.#regions = new Map(configuration.domains.map(domain => [domain.name, domain.region]))
    this.#members.addConfigured(configuration.entries.map(({ id, domain, host, peerAddress }) =>
      ({ id, role: 'entry', domain, host, address: peerAddress, incarnation: 0 })), context.nowMs)
    this.#updateSubset(configuration, context)
  }

  /** Recomputes the subset only when endpoints or services changed; unchanged parts of a configuration are the same objects. */
  #updateSubset ({ endpoints, services }: Configuration, context: Context): void {
    if (this.#subsetSource?.endpoints === endpoints && this.#subsetSource.services === services) return
    this.#subsetSource = { endpoints, services }
    this.#subset = new Map(services.flatMap(service =>
      chooseSubset(context.self, context.getPort('configuration').listEndpoints(service.name), services.length)
        .map(endpoint => [endpoint.id, endpoint.peerAddress] as const)))
  }

  /** Lists the addresses, by id, of the peers that this process should be connected to. */
  #listWanted (context: Context): ReadonlyMap<string, string> {
    const wanted = new Map(this.#isEntry() ? this.#subset : [])
    if (this.#isEntry()) {
      this.#updateNeighbours(context)
      for (const id of [...this.#neighbours, ...this.#prober.listRelayTargets()]) this.#addWanted(id, wanted, context)
    }
    for (const [id, untilMs] of this.#wantedUntilMs) {
      if (untilMs <= context.nowMs) this.#wantedUntilMs.delete(id)
      else this.#addWanted(id, wanted, context)
    }
    this.#addSeeds(wanted, context)
    return wanted
  }

  #addWanted (id: string, wanted: Map<string, string>, context: Context): void {
    const address = this.#members.findMember(id)?.process.address ?? context.getPort('configuration').findEndpoint(id)?.peerAddress
    if (address !== undefined) wanted.set(id, address)
  }

  /** Adds the seeds when no entry has been connected for a while, or no configuration is known. */
  #addSeeds (wanted: Map<string, string>, context: Context): void {
    const connected = this.#connections.listViews().some(view => view.process.role === 'entry')
    if (connected) this.#isolatedSinceMs = undefined
    else this.#isolatedSinceMs ??= context.nowMs
    const isIsolated = this.#isolatedSinceMs !== undefined && context.nowMs - this.#isolatedSinceMs >= SEED_WAIT_MS
    const isUnconfigured = context.getPort('configuration').getCurrent().version === 0
    if (!isIsolated && !isUnconfigured) return
    for (const seed of this.#options.settings.seeds) {
      if (seed.id !== context.self.id) wanted.set(seed.id, seed.address)
    }
  }

  #updateNeighbours (context: Context): void {
    this.#retryDead(context)
    if (this.#neighboursRevision === this.#members.runningRevision) return
    this.#neighboursRevision = this.#members.runningRevision
    this.#neighbours = this.#members.listRunning()
      .map(member => ({ id: member.process.id, score: this.#getScore(member.process.id) }))
      .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
      .slice(0, NEIGHBOURS_MAX)
      .map(({ id }) => id)
  }

  /** Caches scores, because every change of membership ranks all members again. */
  #getScore (id: string): number {
    let score = this.#scores.get(id)
    if (score === undefined) {
      score = hashRendezvous(this.#options.self.id, id)
      this.#scores.set(id, score)
    }
    return score
  }

  #retryDead (context: Context): void {
    if (context.nowMs < this.#nextDeadRetryMs) return
    this.#nextDeadRetryMs = context.nowMs + DEAD_RETRY_MS
    const dead = this.#members.listMembers().filter(member => member.state === 'dead')
    const member = dead[context.random.pickInt(Math.max(1, dead.length))]
    if (member !== undefined) this.#wantedUntilMs.set(member.process.id, context.nowMs + DEAD_RETRY_MS)
  }

  #applyHosts (live: readonly string[], leaving: readonly string[], context: Context): void {
    this.#hostsLeaving = new Set(leaving)
    this.#entriesRevision = -1
    const hosts = new Set([...live, ...leaving])
    for (const member of this.#members.listMembers()) {
      const heardAtMs = this.#connections.findView(member.process.id)?.heardAtMs ?? -Infinity
      const isStale = Math.max(heardAtMs, member.sinceMs) < context.nowMs - HOST_LIST_TRUST_MS
      if (!hosts.has(member.process.host) && isStale && member.state === 'alive') this.#members.noteState(member.process.id, 'suspect', context)
    }
  }

  #listEntries (): readonly ProcessRef[] {
    if (this.#entriesRevision !== this.#members.revision) {
      this.#entriesRevision = this.#members.revision
      this.#entries = this.#computeEntries()
    }
    return this.#entries
  }

  #computeEntries (): readonly ProcessRef[] {
    const others = this.#members.listMembers().filter(member => this.#isServing(member)).map(member => member.process)
    if (!this.#isEntry() || this.#leaving || this.#hostsLeaving.has(this.#options.self.host)) return others
    return [...others, this.#options.self].sort((a, b) => a.id < b.id ? -1 : 1)
  }

  #isServing (member: Member): boolean {
    return member.state === 'alive' && !this.#hostsLeaving.has(member.process.host)
  }

  #isWatcher (): boolean {
    if (!this.#isEntry()) return false
    const region = this.#regions.get(this.#options.self.domain)
    if (region === undefined) return true
    const rank = this.#listEntries().filter(entry => this.#regions.get(entry.domain) === region).findIndex(entry => entry.id === this.#options.self.id)
    return rank >= 0 && rank < WATCHERS_PER_REGION
  }
}

registerPlugin({ name: 'membership', roles: ['entry', 'endpoint'], create: options => MembershipPlugin.create(options) })
