/** Endpoint role: one rank's side of the expert map protocol, and the gate before its engine. */

import type { RankGroup } from '../../kernel/configuration.js'
import type { EndpointReport, KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { RankView } from '../../kernel/ports.js'
import type { Message, ProcessRef } from '../../protocol/messages.js'
import { EMPTY_GATE } from './gate.js'
import { Rank } from './rank.js'
import { INITIAL_RANK, RANK_RULES } from './rank-state.js'
import type { RankRules, RankState } from './rank-state.js'

/** Gap between two events after which the process counts as paused, in ms. */
export const PAUSE_MS = 2_000
/** Time between two reports of expert load to the holder, in ms. */
export const LOAD_REPORT_MS = 10_000
/** Other ranks that are asked for an outcome. */
const ASKED_RANKS = 2
/** Call and order numbers set apart for each instance of a rank, so that no instance takes another's answer. */
const CALLS_PER_INSTANCE = 1_000_000

interface Membership {
  readonly group: RankGroup
  readonly rank: number
  readonly machine: Rank
}

/** Plug-in `experts`. */
export class ExpertsPlugin implements Plugin {
  readonly name = 'experts'
  readonly subscribesTo = [
    'tick', 'configuration-changed', 'message-received', 'platform-answered', 'order-answered', 'endpoint-reported'
  ] as const

  readonly ports = { experts: { getStepMs: () => this.#getStepMs(), describeState: () => this.#describeState() } }
  #place: Membership | undefined
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
   * @param context - time, random numbers and ways out
   */
  handle (event: KernelEvent, context: Context): void {
    const pausedMs = this.#lastEventMs === undefined ? 0 : context.nowMs - this.#lastEventMs
    this.#lastEventMs = context.nowMs
    if (pausedMs >= PAUSE_MS) this.#place?.machine.handlePause()
    switch (event.kind) {
      case 'tick':
      case 'configuration-changed':
        this.#updatePlace(context)
        this.#place?.machine.handleTick(this.#listAskedRanks(context), context)
        this.#sendLoad(context)
        return
      case 'message-received':
        this.#handleMessage(event.peer, event.message, context)
        return
      case 'platform-answered':
        this.#place?.machine.handlePlatform(event.callId, event.result, context)
        return
      case 'order-answered':
        this.#place?.machine.handleOrderAnswered(event.orderId, event.accepted, context)
        return
      case 'endpoint-reported':
        this.#place?.machine.handleReport(event.report, context)
        this.#addCounts(event.report)
    }
  }

  #handleMessage (peer: ProcessRef, message: Message, context: Context): void {
    const place = this.#place
    if (place === undefined || !('group' in message) || message.group !== place.group.name) return
    switch (message.kind) {
      case 'map-prepare':
        if (message.rank !== place.rank) return
        this.#holder = peer.id
        place.machine.handlePrepare(peer.id, message, context)
        return
      case 'map-decided':
        if (peer.role === 'entry') this.#holder = peer.id
        place.machine.handleDecided(message, context)
        return
      case 'map-query':
        place.machine.handleQuery(peer.id, message, context)
    }
  }

  /** A rank keeps its place while its group and index stay the same. */
  #updatePlace (context: Context): void {
    const configuration = context.getPort('configuration')
    const self = configuration.findEndpoint(context.self.id)
    const group = configuration.getCurrent().groups.find(known => known.name === self?.group)
    if (group === undefined || self?.rank === undefined) {
      this.#place = undefined
    } else if (this.#place?.group.name !== group.name || this.#place.rank !== self.rank || this.#place.group.ranks !== group.ranks) {
      this.#place = { group, rank: self.rank, machine: this.#createRank(group, self.rank) }
    }
  }

  #createRank (group: RankGroup, rank: number): Rank {
    const calls = this.#instances * CALLS_PER_INSTANCE
    this.#instances += 1
    const state: RankState = { ...INITIAL_RANK, calls, gate: { ...EMPTY_GATE, sequence: calls } }
    return Rank.create({ group: group.name, rank, ranks: group.ranks }, this.#rules, state)
  }

  #listAskedRanks (context: Context): readonly string[] {
    const place = this.#place
    if (place === undefined || place.machine.getState().pending === undefined) return []
    const configuration = context.getPort('configuration')
    return context.getPort('membership').listPeers()
      .map(peer => peer.process.id)
      .filter(id => id !== context.self.id && configuration.findEndpoint(id)?.group === place.group.name)
      .slice(0, ASKED_RANKS)
  }

  /** Counts of one map say nothing about the slots of the next. */
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
    const place = this.#place
    if (place === undefined || this.#holder === undefined || context.nowMs < this.#nextLoadMs) return
    this.#nextLoadMs = context.nowMs + LOAD_REPORT_MS
    const { step, stepMs } = place.machine.getState()
    const counts = this.#counts
    this.#counts = []
    context.emit({
      kind: 'send',
      peer: this.#holder,
      message: { kind: 'expert-load', group: place.group.name, rank: place.rank, step, stepMs, mapVersion: this.#countsVersion, counts }
    })
  }

  #getUsedVersion (): number {
    const state = this.#place?.machine.getState()
    if (state?.base === undefined) return 0
    return state.step < state.base.step ? state.previous?.version ?? 0 : state.base.version
  }

  #getStepMs (): number | undefined {
    const stepMs = this.#place?.machine.getState().stepMs ?? 0
    return stepMs > 0 ? stepMs : undefined
  }

  #describeState (): RankView | undefined {
    if (this.#place === undefined) return undefined
    const { joined, base, pending } = this.#place.machine.getState()
    return {
      group: this.#place.group.name,
      rank: this.#place.rank,
      joined,
      mapVersion: base?.version,
      pendingVersion: pending?.version,
      pendingStep: pending?.step
    }
  }
}

registerPlugin({ name: 'experts', roles: ['endpoint'], create: () => ExpertsPlugin.create() })
