/** Planned leave of a home: drains its queue, hands its records over to a successor, and exits. */

import type { AttachedAttempt, Execution, RecordLocation } from './execution.js'
import type { Executions } from './executions.js'
import { sendRefused } from './replies.js'
import { buildRecordEntry, buildHandoverParts } from './handover-parts.js'
import type { Records } from './records.js'
import type { RecordTable } from './table.js'
import type { Context } from '../../kernel/plugin.js'
import type { Handover, HandoverAck, Submit } from '../../protocol/messages.js'

/** Time in ms for which accepted work may still start; below the 5 s after which a leaving endpoint must get no new work. */
const DRAIN_MS = 3_000
/** Time in ms after which the next candidate is tried, or a batch without acknowledgement is resent. */
const RETRY_MS = 2_000
/** Time in ms after which the search for a successor is given up. */
const SEARCH_TIMEOUT_MS = 10_000
/** Time in ms to wait for the successor to acknowledge the records. */
const ACK_TIMEOUT_MS = 6_000
/** Time in ms from the handover until deferred attempts are refused; by then, heartbeats (every 1 s) have announced the successor to entries. */
const ANNOUNCE_MS = 1_500
/** Time in ms for which the process still answers messages after the handover. */
const LINGER_MS = 3_000

type Stage =
  | { readonly kind: 'none' }
  | { readonly kind: 'draining', readonly sinceMs: number }
  | { readonly kind: 'searching', readonly sinceMs: number }
  | { readonly kind: 'moved', readonly sinceMs: number }
  /** No successor was found, or it did not acknowledge the records; in the latter case `#successor` is still set. */
  | { readonly kind: 'handover-failed' }
  | { readonly kind: 'finished' }

/**
 * How a home treats new work. `deferred` work gets no reply until entries know the
 * successor, the handover fails or the deadline of the leave passes. It is then
 * refused, and entries that know the successor resend it there.
 */
export type NewWorkPolicy = 'open' | 'refused' | 'deferred'

interface DeferredAttempt {
  readonly attempt: AttachedAttempt
  readonly work: Submit
  readonly location: RecordLocation
}

interface OutgoingBatch {
  readonly table: RecordTable
  readonly batch: number
  readonly parts: readonly Handover[]
  sentAtMs: number
}

/** State machine of the planned leave of this process. */
export class Leave {
  readonly #records: Records
  readonly #executions: Executions
  readonly #service: string
  #stage: Stage = { kind: 'none' }
  #deadlineAtMs = Infinity
  #deferred: DeferredAttempt[] = []
  #successor: { readonly id: string, readonly sinceMs: number, readonly hasRecords: boolean } | undefined
  #triedCandidates = new Set<string>()
  #outgoing: OutgoingBatch[] = []
  #batch = 0
  #movedTo: string | undefined

  private constructor (records: Records, executions: Executions, service: string) {
    this.#records = records
    this.#executions = executions
    this.#service = service
  }

  static create (records: Records, executions: Executions, service: string): Leave {
    return new Leave(records, executions, service)
  }

  isLeaving (): boolean { return this.#stage.kind !== 'none' }

  /** Whether a successor may hold the records. A key without a record may then run there, so its outcome is unknown here. */
  maySuccessorHoldRecords (): boolean { return this.#stage.kind === 'searching' || this.#stage.kind === 'moved' || this.#successor?.hasRecords === true }

  /** @returns id of the successor that serves the keys of this home; undefined before the handover */
  getMovedTo (): string | undefined {
    return this.#movedTo
  }

  /** @returns how work without a record is treated */
  getNewWorkPolicy (work: Submit): NewWorkPolicy {
    if (this.#stage.kind === 'none') return 'open'
    if (work.key === undefined) return 'refused'
    if (this.#stage.kind === 'draining') return 'open'
    return this.maySuccessorHoldRecords() ? 'deferred' : 'refused'
  }

  /** Defers the refusal of an attempt whose key has no record until entries know the successor; see `NewWorkPolicy`. */
  deferAttempt (work: Submit, location: RecordLocation, attempt: AttachedAttempt): void {
    this.#deferred.push({ attempt, work, location })
  }

  /**
   * @param deadlineMs - time left for the leave in ms
   * @param context - time, ports and effects
   */
  start (deadlineMs: number, context: Context): void {
    if (this.isLeaving()) return
    this.#stage = { kind: 'draining', sinceMs: context.nowMs }
    this.#deadlineAtMs = context.nowMs + deadlineMs
    this.advance(context)
  }

  /** Advances the leave; called at its start, on ticks, new connections and acknowledgements. */
  advance (context: Context): void {
    const stage = this.#stage
    if (stage.kind === 'none' || stage.kind === 'finished') return
    if (context.nowMs >= this.#deadlineAtMs) return this.#stopAtDeadline(context)
    if (stage.kind === 'draining') {
      if (context.nowMs - stage.sinceMs >= DRAIN_MS || this.#executions.listWaiting().length === 0) this.#startHandover(context)
    } else if (stage.kind === 'searching') this.#chooseSuccessor(stage.sinceMs, context)
    else if (stage.kind === 'handover-failed' || context.nowMs - stage.sinceMs >= ANNOUNCE_MS) this.#refuseDeferred(context)
    this.#sendOutgoing(context)
    this.#checkFinished(context)
  }

  /** Hands over the result of work that was running when the table was sent. */
  noteResult (execution: Execution, context: Context): void {
    if (execution.location === undefined || this.#successor?.hasRecords !== true || this.#stage.kind === 'handover-failed') return
    const { table, scope } = execution.location
    const record = table.find(scope)
    const entry = record === undefined ? undefined : buildRecordEntry(scope, record)
    if (entry !== undefined) this.#addOutgoing(table, ++this.#batch, [entry], context)
  }

  handleAck (peer: string, ack: HandoverAck, context: Context): void {
    if (peer !== this.#successor?.id) return
    // The result arrived before its table and was not accepted; it is resent once the table has arrived.
    if (ack.batch > 0 && !ack.accepted && this.#outgoing.some(({ batch }) => batch === 0)) return
    this.#outgoing = this.#outgoing.filter(({ table, batch }) => !(batch === ack.batch && table.home === ack.home && table.incarnation === ack.incarnation))
    if (this.#stage.kind !== 'searching') return
    if (ack.batch === 0 && !ack.accepted) {
      // The receiver is leaving too and took nothing over.
      this.#successor = undefined
      this.#outgoing = []
    } else if (!this.#outgoing.some(({ batch }) => batch === 0)) {
      this.#stage = { kind: 'moved', sinceMs: context.nowMs }
      this.#movedTo = peer
      context.emit({ kind: 'count', metric: 'handovers', label: 'sent' })
      context.emit({ kind: 'log', event: 'handover-finished', fields: { successor: peer } })
    }
  }

  /** Empties the queue, so that keys that have not started can run at the successor, and searches for one. */
  #startHandover (context: Context): void {
    const admission = context.getPort('admission')
    for (const execution of this.#executions.listWaiting()) {
      if (!admission.removeWaiting(execution.work.workId)) continue
      const { location, work } = execution
      if (location === undefined) this.#executions.refuse(work.workId, { error: 'leaving', outcome: 'not-run' }, context)
      else for (const attempt of this.#executions.removeUnstarted(execution)) this.deferAttempt(work, location, attempt)
    }
    this.#stage = { kind: 'searching', sinceMs: context.nowMs }
    context.emit({ kind: 'log', event: 'handover-started', fields: { records: this.#records.countRecords() } })
    this.#chooseSuccessor(context.nowMs, context)
  }

  #chooseSuccessor (sinceMs: number, context: Context): void {
    const current = this.#successor
    // At most one process may receive the records, so no other candidate is tried after they were sent.
    if (current?.hasRecords === true) {
      if (context.nowMs - current.sinceMs >= ACK_TIMEOUT_MS) this.#stopHandover(context)
      return
    }
    if (current !== undefined && context.getPort('membership').findPeer(current.id) !== undefined) {
      this.#successor = { id: current.id, sinceMs: context.nowMs, hasRecords: true }
      for (const table of this.#records.listTables()) {
        const entries = table.list().flatMap(([scope, record]) => buildRecordEntry(scope, record) ?? [])
        this.#addOutgoing(table, 0, entries, context)
      }
      return
    }
    if (context.nowMs - sinceMs >= SEARCH_TIMEOUT_MS) return this.#stopSearch(context)
    if (current !== undefined && context.nowMs - current.sinceMs < RETRY_MS) return
    this.#connectNextCandidate(context)
  }

  #connectNextCandidate (context: Context): void {
    const candidates = this.#listCandidates(context)
    if (candidates.length === 0) return this.#stopSearch(context)
    const next = candidates.find(candidate => !this.#triedCandidates.has(candidate.id)) ?? candidates[0]!
    if (this.#triedCandidates.has(next.id)) this.#triedCandidates.clear()
    this.#triedCandidates.add(next.id)
    this.#successor = { id: next.id, sinceMs: context.nowMs, hasRecords: false }
    context.raise({ kind: 'peer-wanted', peer: next.id })
  }

  /** Endpoint processes of the service that are in service and not leaving, by id from this one's on, so that homes that leave together choose different successors. */
  #listCandidates (context: Context): readonly { readonly id: string }[] {
    const configuration = context.getPort('configuration')
    const membership = context.getPort('membership')
    const ids = configuration.listEndpoints(this.#service)
      .filter(spec => spec.id !== context.self.id && configuration.isInService(spec) && membership.findPeer(spec.id)?.endpoint?.leaving !== true)
      .sort((left, right) => left.id < right.id ? -1 : 1)
    return [...ids.filter(spec => spec.id > context.self.id), ...ids.filter(spec => spec.id < context.self.id)]
  }

  #stopSearch (context: Context): void {
    this.#successor = undefined
    this.#stage = { kind: 'handover-failed' }
    for (const { attempt, work, location } of this.#deferred) {
      this.#records.update(location, work, { kind: 'closed' })
      sendRefused(attempt, { error: 'leaving', outcome: 'not-run' }, context)
    }
    this.#deferred = []
  }

  /** Gives up on a successor that does not acknowledge. It may run the deferred keys, so none starts here and their outcome is unknown. */
  #stopHandover (context: Context): void {
    this.#stage = { kind: 'handover-failed' }
    this.#outgoing = []
    this.#refuseDeferred(context)
  }

  #refuseDeferred (context: Context): void {
    for (const { attempt } of this.#deferred) sendRefused(attempt, { error: 'leaving', outcome: 'unknown' }, context)
    this.#deferred = []
  }

  #addOutgoing (table: RecordTable, batch: number, entries: Parameters<typeof buildHandoverParts>[3], context: Context): void {
    this.#outgoing.push({ table, batch, parts: buildHandoverParts(table, batch, this.#service, entries, context.nowMs), sentAtMs: -Infinity })
    this.#sendOutgoing(context)
  }

  #sendOutgoing (context: Context): void {
    const peer = this.#successor?.id
    if (peer === undefined) return
    for (const outgoing of this.#outgoing) {
      if (context.nowMs - outgoing.sentAtMs < RETRY_MS) continue
      outgoing.sentAtMs = context.nowMs
      context.raise({ kind: 'peer-wanted', peer })
      if (context.getPort('membership').findPeer(peer) === undefined) continue
      for (const message of outgoing.parts) context.emit({ kind: 'send', peer, message })
    }
  }

  #checkFinished (context: Context): void {
    const stage = this.#stage
    const isMoved = stage.kind === 'moved' && context.nowMs - stage.sinceMs >= LINGER_MS
    if (!isMoved && stage.kind !== 'handover-failed') return
    if (this.#executions.size === 0 && this.#outgoing.length === 0 && this.#deferred.length === 0) this.#emitFinished(context)
  }

  #stopAtDeadline (context: Context): void {
    this.#refuseDeferred(context)
    context.emit({ kind: 'log', event: 'work-cut', fields: { count: this.#executions.size } })
    this.#emitFinished(context)
  }

  #emitFinished (context: Context): void {
    this.#stage = { kind: 'finished' }
    context.emit({ kind: 'leave-finished' })
  }
}
