/** Endpoint role: one rank's side of the expert map protocol, and the order queue of its engine. */

import type { RankGroup } from '../../kernel/configuration.js'
import type { EndpointReport, KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { RankView } from '../../kernel/ports.js'
import type { Message, ProcessRef } from '../../protocol/messages.js'
import { EMPTY_ORDER_QUEUE } from './order-queue.js'
import { RankParticipant } from './rank-participant.js'
import { INITIAL_RANK, RANK_RULES } from './rank-state.js'
import type { RankRules, RankState } from './rank-state.js'

/** Gap between two events after which the process counts as paused, in ms. */
export const PAUSE_MS = 2_000
/** Time between two reports of expert load to the holder, in ms. */
export const LOAD_REPORT_INTERVAL_MS = 10_000
/** Most other ranks that are queried for an outcome. */
const QUERIED_RANKS = 2
/** Call and order numbers reserved for each instance of a rank, so that no instance accepts another's answer. */
const CALLS_PER_INSTANCE = 1_000_000

interface RankAssignment {
  readonly group: RankGroup
  readonly rank: number
  readonly participant: RankParticipant
}

/** Plug-in `experts`: takes part in the map changes of the endpoint's group and reports expert load. */
export class ExpertsPlugin implements Plugin {
  readonly name = 'experts'
  readonly subscribesTo = [
    'tick', 'configuration-changed', 'message-received', 'platform-answered', 'order-answered', 'endpoint-reported'
  ] as const

  readonly ports = { experts: { getStepMs: () => this.#getStepMs(), describeState: () => this.#describeState() } }
  #assignment: RankAssignment | undefined
  #lastEventMs: number | undefined
  #holder: string | undefined
  #counts: number[][] = []
  #countsVersion = 0
  #nextLoadMs = 0
  #instances = 0
  readonly #rules: RankRules

  private constructor (rules: RankRules) {
    this.#rules = rules
  }

  /**
   * @param rules - safeguards; tests switch single ones off
   * @returns the plug-in in its initial state
   */
  static create (rules: RankRules = RANK_RULES): ExpertsPlugin {
    return new ExpertsPlugin(rules)
  }

  /**
   * Handles one event.
   *
   * @param event - the event
   * @param context - time, random numbers and effects
   */
  handle (event: KernelEvent, context: Context): void {
    const gapMs = this.#lastEventMs === undefined ? 0 : context.nowMs - this.#lastEventMs
    this.#lastEventMs = context.nowMs
    if (gapMs >= PAUSE_MS) this.#assignment?.participant.handlePause()
    switch (event.kind) {
      case 'tick':
      case 'configuration-changed':
        this.#updateAssignment(context)
        this.#assignment?.participant.handleTick(this.#listQueriedRanks(context), context)
        this.#sendLoad(context)
        return
      case 'message-received':
        this.#handleMessage(event.peer, event.message, context)
        return
      case 'platform-answered':
        this.#assignment?.participant.handlePlatform(event.callId, event.result, context)
        return
      case 'order-answered':
        this.#assignment?.participant.handleOrderAnswered(event.orderId, event.accepted, context)
        return
      case 'endpoint-reported':
        this.#assignment?.participant.handleReport(event.report, context)
        this.#addCounts(event.report)
    }
  }

  #handleMessage (peer: ProcessRef, message: Message, context: Context): void {
    const assignment = this.#assignment
    if (assignment === undefined || !('group' in message) || message.group !== assignment.group.name) return
    switch (message.kind) {
      case 'map-prepare':
        if (message.rank !== assignment.rank) return
        this.#holder = peer.id
        assignment.participant.handlePrepare(peer.id, message, context)
        return
      case 'map-decided':
        if (peer.role === 'entry') this.#holder = peer.id
        assignment.participant.handleDecided(message, context)
        return
      case 'map-query':
        assignment.participant.handleQuery(peer.id, message, context)
    }
  }

  /** Keeps the assignment while the group, its size and the rank's index stay the same. */
  #updateAssignment (context: Context): void {
    const configuration = context.getPort('configuration')
    const self = configuration.findEndpoint(context.self.id)
    const group = configuration.getCurrent().groups.find(known => known.name === self?.group)
    if (group === undefined || self?.rank === undefined) {
      this.#assignment = undefined
    } else if (this.#assignment?.group.name !== group.name || this.#assignment.rank !== self.rank || this.#assignment.group.ranks !== group.ranks) {
      this.#assignment = { group, rank: self.rank, participant: this.#createRank(group, self.rank) }
    }
  }

  #createRank (group: RankGroup, rank: number): RankParticipant {
    const calls = this.#instances * CALLS_PER_INSTANCE
    this.#instances += 1
    const state: RankState = { ...INITIAL_RANK, calls, orderQueue: { ...EMPTY_ORDER_QUEUE, sequence: calls } }
    return RankParticipant.create({ group: group.name, rank, ranks: group.ranks }, this.#rules, state)
  }

  #listQueriedRanks (context: Context): readonly string[] {
    const assignment = this.#assignment
    if (assignment === undefined || assignment.participant.getState().pending === undefined) return []
    const configuration = context.getPort('configuration')
    return context.getPort('membership').listPeers()
      .map(peer => peer.process.id)
      .filter(id => id !== context.self.id && configuration.findEndpoint(id)?.group === assignment.group.name)
      .slice(0, QUERIED_RANKS)
  }

  /** Adds reported counts; they start over with each map, because its slots hold other experts. */
  #addCounts (report: EndpointReport): void {
    const version = this.#getUsedVersion()
    if (version !== this.#countsVersion) this.#counts = []
    this.#countsVersion = version
    report.expertCounts?.forEach((layer, index) => {
      const sums = this.#counts[index] ??= []
      layer.forEach((count, slot) => { sums[slot] = (sums[slot] ?? 0) + count })
    })
  }

  #sendLoad (context: Context): void {
    const assignment = this.#assignment
    if (assignment === undefined || this.#holder === undefined || context.nowMs < this.#nextLoadMs) return
    this.#nextLoadMs = context.nowMs + LOAD_REPORT_INTERVAL_MS
    const { step, stepMs } = assignment.participant.getState()
    const counts = this.#counts
    this.#counts = []
    context.emit({
      kind: 'send',
      peer: this.#holder,
      message: { kind: 'expert-load', group: assignment.group.name, rank: assignment.rank, step, stepMs, mapVersion: this.#countsVersion, counts }
    })
  }

  #getUsedVersion (): number {
    const state = this.#assignment?.participant.getState()
    if (state?.base === undefined) return 0
    return state.step < state.base.step ? state.previous?.version ?? 0 : state.base.version
  }

  #getStepMs (): number | undefined {
    const stepMs = this.#assignment?.participant.getState().stepMs ?? 0
    return stepMs > 0 ? stepMs : undefined
  }

  #describeState (): RankView | undefined {
    if (this.#assignment === undefined) return undefined
    const { joined, base, pending } = this.#assignment.participant.getState()
    return {
      group: this.#assignment.group.name,
      rank: this.#assignment.rank,
      joined,
      mapVersion: base?.version,
      pendingVersion: pending?.version,
      pendingStep: pending?.step
    }
  }
}

registerPlugin({ name: 'experts', roles: ['endpoint'], create: () => ExpertsPlugin.create() })
