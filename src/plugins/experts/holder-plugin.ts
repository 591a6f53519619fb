/** Entry role: changes the expert maps of the groups whose lease this entry holds. */

import type { EndpointSpec, RankGroup } from '../../kernel/configuration.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { ExpertLoad, Message, ProcessRef } from '../../protocol/messages.js'
import { CHANGE_RULES, ChangeCoordinator, INITIAL_CHANGE } from './change-coordinator.js'
import type { ChangeRules } from './change-coordinator.js'
import { EntryRing } from './entry-ring.js'
import { INITIAL_LEASE, Lease } from './lease.js'
import { Rebalancer } from './placement/rebalancer.js'
import { buildStaticPlacement } from './placement/static.js'
import type { GroupShape, Placement } from './placement/shape.js'
import type { RankSpeed } from './placement/slow-ranks.js'
import type { MapContent } from './record.js'
import { StepClock } from './step-clock.js'

/** Entries that try to acquire the lease of a group: a holder and a standby. */
const CANDIDATES_PER_GROUP = 2
/** Time between attempts to connect to ranks without a connection, in ms. */
const CONNECT_RETRY_MS = 2_000
/** Call numbers reserved for each instance of a group, so that no instance accepts another's answer. */
const CALLS_PER_INSTANCE = 1_000_000

/** Decides when a group should change its map, and to which placement. */
export interface MapPlanner {
  noteLoad (load: ExpertLoad, nowMs: number): void
  noteChange (committed: boolean, nowMs: number): void
  listSpeeds (): readonly RankSpeed[]
  /** Called at each tick while no change is in progress; undefined keeps the map. */
  choosePlacement (inForce: MapContent, context: Context): Placement | undefined
}

/** Creates the planner of one group. */
export type CreatePlanner = (group: string, shape: GroupShape) => MapPlanner

interface ManagedGroup {
  readonly group: RankGroup
  readonly ranks: readonly EndpointSpec[]
  readonly lease: Lease
  readonly change: ChangeCoordinator
  readonly planner: MapPlanner
  readonly stepClock: StepClock
}

/** Plug-in `map-holder`: acquires the leases of groups and changes their maps. */
export class MapHolderPlugin implements Plugin {
  readonly name = 'map-holder'
  readonly subscribesTo = ['tick', 'configuration-changed', 'message-received', 'platform-answered'] as const
  readonly ports = {
    mapHolder: {
      isHolder: (group: string) => (this.#groups.get(group)?.change.getState().fence ?? 0) > 0,
      getMapVersion: (group: string) => this.#groups.get(group)?.change.getState().stored?.record.map.version,
      listStalled: (group: string) => this.#listStalled(group)
    }
  }

  readonly #groups = new Map<string, ManagedGroup>()
  readonly #ring = EntryRing.create()
  readonly #createPlanner: CreatePlanner
  #instances = 0
  #nextConnectMs = 0

  readonly #rules: ChangeRules

  private constructor (createPlanner: CreatePlanner, rules: ChangeRules) {
    this.#rules = rules
    this.#createPlanner = createPlanner
  }

  /**
   * @param createPlanner - creates the planner of a group
   * @param rules - safeguards; tests switch single ones off
   * @returns the plug-in in its initial state
   */
  static create (createPlanner: CreatePlanner, rules: ChangeRules = CHANGE_RULES): MapHolderPlugin {
    return new MapHolderPlugin(createPlanner, rules)
  }

  /**
   * Handles one event.
   *
   * @param event - the event
   * @param context - time, random numbers and effects
   */
  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'configuration-changed':
        this.#updateGroups(context)
        return
      case 'tick':
        if (this.#groups.size === 0) this.#updateGroups(context)
        this.#updateRing(context)
        for (const managed of this.#groups.values()) this.#handleTick(managed, context)
        if (context.nowMs >= this.#nextConnectMs) this.#nextConnectMs = context.nowMs + CONNECT_RETRY_MS
        return
      case 'platform-answered':
        for (const managed of this.#groups.values()) {
          managed.lease.handlePlatform(event.callId, event.result, context)
          this.#updateLease(managed, context)
          managed.change.handlePlatform(event.callId, event.result, context)
          this.#handleOutcome(managed, context)
        }
        return
      case 'message-received':
        this.#handleMessage(event.peer, event.message, context)
    }
  }

  #updateRing (context: Context): void {
    const entries = context.getPort('membership').listEntries().map(entry => entry.id)
    this.#ring.updateEntries([context.self.id, ...entries].sort())
  }

  #listStalled (group: string): readonly string[] {
    const managed = this.#groups.get(group)
    if (managed === undefined) return []
    const speeds = managed.planner.listSpeeds()
    return managed.ranks.filter((_, rank) => speeds[rank] === 'stalled').map(rank => rank.id)
  }

  #handleTick (managed: ManagedGroup, context: Context): void {
    const isCandidate = !context.getPort('membership').isLeaving() && this.#ring.isCandidate(managed.group.name, context.self.id, CANDIDATES_PER_GROUP)
    managed.lease.handleTick(isCandidate, context)
    this.#updateLease(managed, context)
    if (managed.change.getState().fence === 0) return
    if (context.nowMs >= this.#nextConnectMs) this.#connectRanks(managed, context)
    managed.change.handleTick(context)
    const { stored } = managed.change.getState()
    if (stored === undefined || !managed.change.isReady() || !managed.stepClock.isReached(stored.record.map.step)) return
    const ranks = managed.planner.choosePlacement(stored.record.map, context)
    if (ranks !== undefined) managed.change.propose({ ranks, step: managed.stepClock.chooseStep(context.nowMs) })
  }

  /** Notifies the planner and the step clock of a change that has just been decided. */
  #handleOutcome (managed: ManagedGroup, context: Context): void {
    const outcome = managed.change.removeOutcome()
    if (outcome === undefined) return
    managed.planner.noteChange(outcome.committed, context.nowMs)
    managed.stepClock.noteChange(outcome.committed, outcome.elapsedMs)
  }

  #updateLease (managed: ManagedGroup, context: Context): void {
    managed.change.updateLease(managed.lease.isHeld(context.nowMs) ? managed.lease.getState().fence : 0)
    const { closed, stored, fence } = managed.change.getState()
    if (fence > 0 && !closed && stored === undefined) managed.change.updateInitialMap(buildStaticPlacement(buildShape(managed.group, managed.ranks)))
  }

  #handleMessage (peer: ProcessRef, message: Message, context: Context): void {
    const managed = 'group' in message ? this.#groups.get(message.group) : undefined
    if (managed === undefined) return
    switch (message.kind) {
      case 'map-prepared':
        managed.stepClock.noteStep(message.step, 0, context.nowMs)
        managed.change.handlePrepared(peer.id, message, context)
        return
      case 'expert-load':
        managed.stepClock.noteStep(message.step, message.stepMs, context.nowMs)
        managed.planner.noteLoad(message, context.nowMs)
        return
      case 'map-query':
        managed.change.handleQuery(peer.id, message, context)
    }
  }

  #connectRanks (managed: ManagedGroup, context: Context): void {
    const membership = context.getPort('membership')
    for (const rank of managed.ranks) {
      if (membership.findPeer(rank.id) === undefined) context.emit({ kind: 'connect', peer: rank.id, address: rank.peerAddress })
    }
  }

  #updateGroups (context: Context): void {
    const { groups, endpoints } = context.getPort('configuration').getCurrent()
    const known = new Set(groups.map(group => group.name))
    for (const name of this.#groups.keys()) if (!known.has(name)) this.#groups.delete(name)
    const places = new Map(endpoints.map(endpoint => [`${endpoint.group}/${endpoint.rank}`, endpoint]))
    for (const group of groups) {
      const ranks = Array.from({ length: group.ranks }, (_, rank) => places.get(`${group.name}/${rank}`))
      const present = ranks.filter(rank => rank !== undefined)
      const existing = this.#groups.get(group.name)
      const isSame = existing !== undefined && JSON.stringify([existing.group, existing.ranks]) === JSON.stringify([group, present])
      if (isSame || present.length < group.ranks) continue
      this.#groups.set(group.name, this.#createGroup(group, present, existing))
    }
  }

  #createGroup (group: RankGroup, ranks: readonly EndpointSpec[], existing: ManagedGroup | undefined): ManagedGroup {
    const calls = this.#instances * CALLS_PER_INSTANCE
    this.#instances += 1
    const lease = existing?.lease ?? Lease.create(group.name, { ...INITIAL_LEASE, calls })
    const change = ChangeCoordinator.create(group.name, ranks.map(rank => rank.id), this.#rules, { ...INITIAL_CHANGE, calls })
    const planner = this.#createPlanner(group.name, buildShape(group, ranks))
    return { group, ranks, lease, change, planner, stepClock: StepClock.create() }
  }
}

function buildShape (group: RankGroup, ranks: readonly EndpointSpec[]): GroupShape {
  return { layers: group.layers, experts: group.expertsPerLayer, slots: group.slotsPerRank, hosts: ranks.map(rank => rank.host) }
}

registerPlugin({ name: 'map-holder', roles: ['entry'], create: () => MapHolderPlugin.create((group, shape) => Rebalancer.create(group, shape)) })
