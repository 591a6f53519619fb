/** Entry role: holder of the expert maps of groups whose lease this entry has. */

import type { EndpointSpec, RankGroup } from '../../kernel/configuration.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { ExpertLoad, Message, ProcessRef } from '../../protocol/messages.js'
import { CHANGE_RULES, Change, INITIAL_CHANGE } from './change.js'
import type { ChangeRules } from './change.js'
import { EntryRing } from './entry-ring.js'
import { INITIAL_LEASE, Lease } from './lease.js'
import { Rebalancer } from './placement/rebalancer.js'
import { buildStaticPlacement } from './placement/static.js'
import type { GroupShape, Placement } from './placement/shape.js'
import type { RankSpeed } from './placement/slow-ranks.js'
import type { MapContent } from './record.js'
import { StepClock } from './step-clock.js'

/** Entries that try to get the lease of a group: a holder and a substitute. */
const CANDIDATES = 2
/** Time between attempts to connect to ranks without a connection, in ms. */
const CONNECT_RETRY_MS = 2_000
/** Call numbers set apart for each instance of a group, so that no instance takes another's answer. */
const CALLS_PER_INSTANCE = 1_000_000

/** Decides when a group should change its map, and to which. */
export interface MapPlanner {
  noteLoad (load: ExpertLoad, nowMs: number): void
  noteChange (committed: boolean, nowMs: number): void
  listSpeeds (): readonly RankSpeed[]
  /** Called at each tick while no change is under way; undefined keeps the map. */
  choosePlacement (inForce: MapContent, context: Context): Placement | undefined
}

/** Creates the planner of one group. */
export type CreatePlanner = (group: string, shape: GroupShape) => MapPlanner

interface HeldGroup {
  readonly group: RankGroup
  readonly ranks: readonly EndpointSpec[]
  readonly lease: Lease
  readonly change: Change
  readonly planner: MapPlanner
  readonly steps: StepClock
}

/** Plug-in `map-holder`. */
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

  readonly #groups = new Map<string, HeldGroup>()
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
   * @param context - time, random numbers and ways out
   */
  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'configuration-changed':
        this.#updateGroups(context)
        return
      case 'tick':
        if (this.#groups.size === 0) this.#updateGroups(context)
        this.#updateRing(context)
        for (const held of this.#groups.values()) this.#handleTick(held, context)
        if (context.nowMs >= this.#nextConnectMs) this.#nextConnectMs = context.nowMs + CONNECT_RETRY_MS
        return
      case 'platform-answered':
        for (const held of this.#groups.values()) {
          held.lease.handlePlatform(event.callId, event.result, context)
          this.#updateLease(held, context)
          held.change.handlePlatform(event.callId, event.result, context)
          this.#handleOutcome(held, context)
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
    const held = this.#groups.get(group)
    if (held === undefined) return []
    const speeds = held.planner.listSpeeds()
    return held.ranks.filter((_, rank) => speeds[rank] === 'stalled').map(rank => rank.id)
  }

  #handleTick (held: HeldGroup, context: Context): void {
    const candidate = !context.getPort('membership').isLeaving() && this.#ring.isCandidate(held.group.name, context.self.id, CANDIDATES)
    held.lease.handleTick(candidate, context)
    this.#updateLease(held, context)
    if (held.change.getState().fence === 0) return
    if (context.nowMs >= this.#nextConnectMs) this.#connectRanks(held, context)
    held.change.handleTick(context)
    const { stored } = held.change.getState()
    if (stored === undefined || !held.change.isReady() || !held.steps.isReached(stored.record.map.step)) return
    const ranks = held.planner.choosePlacement(stored.record.map, context)
    if (ranks !== undefined) held.change.propose({ ranks, step: held.steps.chooseStep(context.nowMs) })
  }

  /** Tells the planner and the step clock of a change that has just been decided. */
  #handleOutcome (held: HeldGroup, context: Context): void {
    const outcome = held.change.removeOutcome()
    if (outcome === undefined) return
    held.planner.noteChange(outcome.committed, context.nowMs)
    held.steps.noteChange(outcome.committed, outcome.elapsedMs)
  }

  #updateLease (held: HeldGroup, context: Context): void {
    held.change.updateLease(held.lease.isHeld(context.nowMs) ? held.lease.getState().fence : 0)
    const { closed, stored, fence } = held.change.getState()
    if (fence > 0 && !closed && stored === undefined) held.change.updateInitialMap(buildStaticPlacement(buildShape(held.group, held.ranks)))
  }

  #handleMessage (peer: ProcessRef, message: Message, context: Context): void {
    const held = 'group' in message ? this.#groups.get(message.group) : undefined
    if (held === undefined) return
    switch (message.kind) {
      case 'map-prepared':
        held.steps.noteStep(message.step, 0, context.nowMs)
        held.change.handlePrepared(peer.id, message, context)
        return
      case 'expert-load':
        held.steps.noteStep(message.step, message.stepMs, context.nowMs)
        held.planner.noteLoad(message, context.nowMs)
        return
      case 'map-query':
        held.change.handleQuery(peer.id, message, context)
    }
  }

  #connectRanks (held: HeldGroup, context: Context): void {
    const membership = context.getPort('membership')
    for (const rank of held.ranks) {
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
      const before = this.#groups.get(group.name)
      const same = before !== undefined && JSON.stringify([before.group, before.ranks]) === JSON.stringify([group, present])
      if (same || present.length < group.ranks) continue
      this.#groups.set(group.name, this.#createGroup(group, present, before))
    }
  }

  #createGroup (group: RankGroup, ranks: readonly EndpointSpec[], before: HeldGroup | undefined): HeldGroup {
    const calls = this.#instances * CALLS_PER_INSTANCE
    this.#instances += 1
    const lease = before?.lease ?? Lease.create(group.name, { ...INITIAL_LEASE, calls })
    const change = Change.create(group.name, ranks.map(rank => rank.id), this.#rules, { ...INITIAL_CHANGE, calls })
    const planner = this.#createPlanner(group.name, buildShape(group, ranks))
    return { group, ranks, lease, change, planner, steps: StepClock.create() }
  }
}

function buildShape (group: RankGroup, ranks: readonly EndpointSpec[]): GroupShape {
  return { layers: group.layers, experts: group.expertsPerLayer, slots: group.slotsPerRank, hosts: ranks.map(rank => rank.host) }
}

registerPlugin({ name: 'map-holder', roles: ['entry'], create: () => MapHolderPlugin.create((group, shape) => Rebalancer.create(group, shape)) })
