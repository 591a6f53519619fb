import type { PlatformResult } from '../../kernel/events.js'
import type { Context } from '../../kernel/plugin.js'
import type { MapPrepared, MapQuery, Message } from '../../protocol/messages.js'
import { buildAbort, buildCommit, formatMapKey, parseRecord } from './record.js'
import type { MapContent, MapRecord, StoredRecord } from './record.js'

/** Longest time since the read of the record that a change starts from, in ms. */
export const READ_AGE_MAX_MS = 1_000
/** Time between repeats of a proposal to ranks that have not answered, in ms. */
export const PREPARE_INTERVAL_MS = 500
/** Time after which a change that not every rank has prepared is aborted, in ms. */
export const CHANGE_TIMEOUT_MS = 30_000
/** Time after which the outcome of a platform call without an answer counts as unknown, in ms. */
const CALL_TIMEOUT_MS = 5_000
/** Time until the next attempt after a failed call, in ms. */
const RETRY_MS = 500

/** Part of the kernel's context that a change uses. */
export type ChangeContext = Pick<Context, 'nowMs' | 'emit'>

/** A map that the holder wants to put into force. */
export interface WantedMap {
  readonly ranks: MapContent['ranks']
  /** First step that may use it. */
  readonly step: number
}

/** A change that ranks prepare, or whose decision is being written. */
export interface Proposal extends WantedMap {
  readonly version: number
  readonly prepared: readonly boolean[]
  readonly sinceMs: number
  readonly nextSendAtMs: number
  /** Decision that the holder writes; undefined while ranks prepare. */
  readonly intent?: 'commit' | 'abort'
}

/** Complete state of a holder's changes; plain data. */
export interface ChangeState {
  /** Fencing number of the lease; 0 when not held. */
  readonly fence: number
  /** This holder has written the record since it acquired the lease, so that no earlier proposal can be committed. */
  readonly closed: boolean
  readonly stored?: StoredRecord
  readonly wanted?: WantedMap
  readonly proposal?: Proposal
  readonly calls: number
  readonly nextCallAtMs: number
  readonly call?: { readonly id: string, readonly sentAtMs: number, readonly writes?: StoredRecord }
  /** Result of the last change until `removeOutcome` returns it. */
  readonly outcome?: ChangeOutcome
}

/** Result of a change. */
export interface ChangeOutcome {
  readonly committed: boolean
  /** Time from the proposal to the decision in ms. */
  readonly elapsedMs: number
}

/** Initial state of a holder. */
export const INITIAL_CHANGE: ChangeState = { fence: 0, closed: false, calls: 0, nextCallAtMs: 0 }

/** Safeguards of a holder. Tests switch off single ones to show that a missing safeguard is detected. */
export interface ChangeRules {
  /** A new holder closes the next version before it proposes: it writes an abort, after which no earlier proposal can be committed. */
  readonly closesOnTakeOver: boolean
  /** A change is committed only when every rank has prepared it. */
  readonly waitsForAll: boolean
  /** After a conflict or a lost answer the record is read back, and the decision is written again only if the record has none yet. */
  readonly readsBack: boolean
  /** Ranks are sent only decisions that the record contains. */
  readonly tellsAfterWrite: boolean
}

/** All safeguards in force. */
export const CHANGE_RULES: ChangeRules = { closesOnTakeOver: true, waitsForAll: true, readsBack: true, tellsAfterWrite: true }

/** The holder's side of the change protocol for one group. */
export class ChangeCoordinator {
  readonly #group: string
  readonly #peers: readonly string[]
  readonly #rules: ChangeRules
  #state: ChangeState

  private constructor (group: string, peers: readonly string[], rules: ChangeRules, state: ChangeState) {
    this.#group = group
    this.#peers = peers
    this.#rules = rules
    this.#state = state
  }

  /**
   * @param group - name of the group
   * @param peers - id of each rank's endpoint process
   * @param rules - safeguards
   * @param state - state to continue from
   * @returns the holder's side of the protocol
   */
  static create (group: string, peers: readonly string[], rules: ChangeRules = CHANGE_RULES, state: ChangeState = INITIAL_CHANGE): ChangeCoordinator {
    return new ChangeCoordinator(group, peers, rules, state)
  }

  /** @returns the complete state */
  getState (): ChangeState {
    return this.#state
  }

  /** @returns whether a change can be proposed now */
  isReady (): boolean {
    const { closed, proposal, wanted, fence } = this.#state
    return fence > 0 && closed && proposal === undefined && wanted === undefined
  }

  /** @returns the result of the last change; only the first call after it returns one */
  removeOutcome (): ChangeOutcome | undefined {
    const { outcome, ...rest } = this.#state
    this.#state = rest
    return outcome
  }

  /**
   * Updates the lease; a new fencing number ends the current change.
   *
   * @param fence - fencing number; 0 when the lease is not held
   */
  updateLease (fence: number): void {
    if (fence === this.#state.fence) return
    const { proposal: _proposal, wanted: _wanted, call: _call, ...rest } = this.#state
    this.#state = { ...rest, fence, closed: false, nextCallAtMs: 0 }
  }

  /**
   * Requests a map; it is proposed to the ranks after a fresh read of the record.
   *
   * @param wanted - the map and its first step
   */
  propose (wanted: WantedMap): void {
    if (this.isReady()) this.#update({ wanted, nextCallAtMs: 0 })
  }

  /**
   * Times out and repeats platform calls and proposals without an answer.
   *
   * @param context - time and effects
   */
  handleTick (context: ChangeContext): void {
    const { call, fence, closed, wanted, proposal } = this.#state
    if (call !== undefined && context.nowMs - call.sentAtMs >= CALL_TIMEOUT_MS) this.#removeCall()
    if (fence === 0) return
    if (proposal !== undefined && proposal.intent === undefined) this.#continuePreparing(proposal, context)
    const waiting = !closed || wanted !== undefined || proposal?.intent !== undefined
    if (waiting && this.#state.call === undefined && context.nowMs >= this.#state.nextCallAtMs) this.#read(context)
  }

  /**
   * Handles a rank's answer to a proposal.
   *
   * @param from - id of the endpoint process that answers
   * @param message - its answer
   * @param context - time and effects
   */
  handlePrepared (from: string, message: MapPrepared, context: ChangeContext): void {
    const { proposal, fence } = this.#state
    if (proposal === undefined || proposal.intent !== undefined) return
    if (message.version !== proposal.version || message.fence !== fence || this.#peers[message.rank] !== from) return
    if (!message.accepted) {
      this.#decide('abort', context)
      return
    }
    const prepared = proposal.prepared.map((done, rank) => done || rank === message.rank)
    this.#update({ proposal: { ...proposal, prepared } })
    if (prepared.every(done => done) || !this.#rules.waitsForAll) this.#decide('commit', context)
  }

  /**
   * Answers a rank's query for an outcome.
   *
   * @param from - id of the endpoint process that asks
   * @param message - the query
   * @param context - time and effects
   */
  handleQuery (from: string, message: MapQuery, context: ChangeContext): void {
    const { stored } = this.#state
    if (stored !== undefined && stored.record.version >= message.version) this.#sendDecision(from, stored.record, context)
  }

  /**
   * Handles the platform's answer to a call.
   *
   * @param callId - id of the call
   * @param result - the answer
   * @param context - time and effects
   */
  handlePlatform (callId: string, result: PlatformResult, context: ChangeContext): void {
    const call = this.#state.call
    if (call?.id !== callId) return
    this.#removeCall()
    this.#update({ nextCallAtMs: context.nowMs + RETRY_MS })
    switch (result.kind) {
      case 'found': {
        const record = parseRecord(result.value)
        if (record !== undefined) this.#handleStored({ revision: result.revision, record }, call.sentAtMs, false, context)
        return
      }
      case 'missing':
        this.#handleMissing(context)
        return
      case 'written':
        if (call.writes !== undefined) this.#handleStored({ ...call.writes, revision: result.revision }, call.sentAtMs, true, context)
        return
      case 'conflict':
      case 'unknown':
        if (this.#rules.readsBack) this.#read(context)
        else this.#removeProposal()
        return
      case 'unavailable':
        if (this.#state.wanted !== undefined) this.#removeWanted()
    }
  }

  /** Updates the record that the platform stores, then continues from it. */
  #handleStored (stored: StoredRecord, sentAtMs: number, written: boolean, context: ChangeContext): void {
    const { fence, closed, proposal, wanted } = this.#state
    const older = this.#state.stored !== undefined && stored.record.version < this.#state.stored.record.version
    if (older) return
    this.#update({ stored })
    const { record } = stored
    if (record.fence > fence) {
      // A later holder wrote the record: the lease is lost, although this process may not know it yet.
      this.#removeProposal()
      this.#update({ closed: false, nextCallAtMs: context.nowMs + CALL_TIMEOUT_MS })
    } else if (!closed) {
      this.#handleClosing(stored, written, context)
    } else if (proposal !== undefined) {
      if (record.version >= proposal.version) this.#handleDecided(record, proposal, context)
      else if (proposal.intent !== undefined) this.#writeDecision(stored, proposal, proposal.intent, context)
    } else if (wanted !== undefined) {
      this.#removeWanted()
      if (context.nowMs - sentAtMs <= READ_AGE_MAX_MS) this.#startProposal(record, wanted, context)
    }
  }

  /**
   * Closes the next version, which only a write by this holder does. A record that already has
   * this fencing number may be older than a proposal that this holder made before it lost the
   * lease and acquired it again.
   */
  #handleClosing (stored: StoredRecord, written: boolean, context: ChangeContext): void {
    const { fence } = this.#state
    if (written || !this.#rules.closesOnTakeOver) {
      this.#removeWanted()
      this.#update({ closed: true })
      this.#sendDecisionToAll(stored.record, context)
    } else {
      this.#write({ revision: stored.revision, record: buildAbort(stored.record, fence) }, context)
    }
  }

  #handleMissing (context: ChangeContext): void {
    const { fence, wanted, closed } = this.#state
    if (closed) return
    if (wanted === undefined) return
    this.#write({ revision: 0, record: buildCommit(undefined, fence, 0, wanted.ranks) }, context)
  }

  /**
   * Sets the map that a group without a record starts with.
   *
   * @param ranks - experts by rank and layer
   */
  updateInitialMap (ranks: MapContent['ranks']): void {
    if (!this.#state.closed && this.#state.stored === undefined) this.#update({ wanted: { ranks, step: 0 } })
    else if (!this.#state.closed) this.#removeWanted()
  }

  #handleDecided (record: MapRecord, proposal: Proposal, context: ChangeContext): void {
    const committed = record.map.version === proposal.version
    context.emit({ kind: 'log', event: 'map-decided', fields: { group: this.#group, version: proposal.version, committed } })
    context.emit({ kind: 'count', metric: 'map_changes', label: committed ? 'commit' : 'abort' })
    context.emit({ kind: 'observe', metric: 'map_change_ms', value: context.nowMs - proposal.sinceMs, label: committed ? 'commit' : 'abort' })
    this.#removeProposal()
    this.#update({ outcome: { committed, elapsedMs: context.nowMs - proposal.sinceMs } })
    this.#sendDecisionToAll(record, context)
  }

  #startProposal (record: MapRecord, wanted: WantedMap, context: ChangeContext): void {
    const proposal: Proposal = {
      ...wanted,
      version: record.version + 1,
      prepared: this.#peers.map(() => false),
      sinceMs: context.nowMs,
      nextSendAtMs: context.nowMs
    }
    context.emit({ kind: 'log', event: 'map-proposed', fields: { group: this.#group, version: proposal.version, step: proposal.step, fence: this.#state.fence } })
    this.#update({ proposal })
    this.#continuePreparing(proposal, context)
  }

  #continuePreparing (proposal: Proposal, context: ChangeContext): void {
    if (context.nowMs - proposal.sinceMs >= CHANGE_TIMEOUT_MS) {
      this.#decide('abort', context)
      return
    }
    if (context.nowMs < proposal.nextSendAtMs) return
    this.#update({ proposal: { ...proposal, nextSendAtMs: context.nowMs + PREPARE_INTERVAL_MS } })
    const { map } = this.#state.stored!.record
    const { fence } = this.#state
    const { version, step } = proposal
    this.#peers.forEach((peer, rank) => {
      if (proposal.prepared[rank] === true) return
      const layers = proposal.ranks[rank] ?? []
      const message: Message = { kind: 'map-prepare', group: this.#group, version, step, fence, rank, layers, base: map.version, baseStep: map.step }
      context.emit({ kind: 'send', peer, message })
    })
  }

  #decide (intent: 'commit' | 'abort', context: ChangeContext): void {
    const { proposal, stored } = this.#state
    if (proposal === undefined || stored === undefined) return
    const decided: Proposal = { ...proposal, intent }
    this.#update({ proposal: decided })
    this.#writeDecision(stored, decided, intent, context)
  }

  #writeDecision (stored: StoredRecord, proposal: Proposal, intent: 'commit' | 'abort', context: ChangeContext): void {
    const { fence } = this.#state
    const record = intent === 'commit'
      ? buildCommit(stored.record, fence, proposal.step, proposal.ranks)
      : buildAbort(stored.record, fence)
    this.#write({ revision: stored.revision, record }, context)
    if (!this.#rules.tellsAfterWrite) this.#sendDecisionToAll(record, context)
  }

  #sendDecisionToAll (record: MapRecord, context: ChangeContext): void {
    for (const peer of this.#peers) this.#sendDecision(peer, record, context)
  }

  #sendDecision (peer: string, record: MapRecord, context: ChangeContext): void {
    const { version, decision, fence, map } = record
    context.emit({
      kind: 'send',
      peer,
      message: { kind: 'map-decided', group: this.#group, version, decision, fence, mapVersion: map.version, step: map.step }
    })
  }

  #read (context: ChangeContext): void {
    const id = this.#noteCall(context)
    context.emit({ kind: 'platform-call', callId: id, operation: { kind: 'read', key: formatMapKey(this.#group) } })
  }

  #write (writes: StoredRecord, context: ChangeContext): void {
    const id = this.#noteCall(context, writes)
    const value = JSON.stringify(writes.record)
    context.emit({ kind: 'platform-call', callId: id, operation: { kind: 'write', key: formatMapKey(this.#group), value, revision: writes.revision } })
  }

  #noteCall (context: ChangeContext, writes?: StoredRecord): string {
    const calls = this.#state.calls + 1
    const id = `map/${this.#group}/${calls}`
    this.#update({ calls, call: { id, sentAtMs: context.nowMs, ...(writes === undefined ? {} : { writes }) } })
    return id
  }

  #removeCall (): void {
    const { call: _call, ...rest } = this.#state
    this.#state = rest
  }

  #removeWanted (): void {
    const { wanted: _wanted, ...rest } = this.#state
    this.#state = rest
  }

  #removeProposal (): void {
    const { proposal: _proposal, ...rest } = this.#state
    this.#state = rest
  }

  #update (change: Partial<ChangeState>): void {
    this.#state = { ...this.#state, ...change }
  }
}
