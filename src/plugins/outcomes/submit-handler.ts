/** Decides on each submit: run, join, repeat the answer, or refuse. */

import type { AttachedAttempt, RecordLocation } from './execution.js'
import type { Executions } from './executions.js'
import type { Leave } from './leave.js'
import { sendResponse, sendRefused, sendToAttempt } from './replies.js'
import type { Refusal } from './replies.js'
import type { Peers } from './peers.js'
import type { Records } from './records.js'
import { formatScope } from './table.js'
import type { KeyRecord, RecordTable } from './table.js'
import { assertNever } from '../../kernel/errors.js'
import type { ErrorKind } from '../../kernel/errors.js'
import type { Context } from '../../kernel/plugin.js'
import type { KeyState, Query, Submit } from '../../protocol/messages.js'

/** What the intake decides with. */
export interface SubmitHandlerOptions {
  readonly service: string
  readonly records: Records
  readonly executions: Executions
  readonly leave: Leave
  readonly peers: Peers
}

/** Decisions on submits and queries. */
export class SubmitHandler {
  readonly #options: SubmitHandlerOptions

  private constructor (options: SubmitHandlerOptions) {
    this.#options = options
  }

  static create (options: SubmitHandlerOptions): SubmitHandler {
    return new SubmitHandler(options)
  }

  handleSubmit (peer: string, work: Submit, context: Context): void {
    const { executions, records } = this.#options
    if (executions.hasAttempt(work.workId)) return
    const to: AttachedAttempt = { peer, workId: work.workId, joinedLate: false }
    if (work.key === undefined) return this.#handleOpen(work, undefined, to, context)
    const table = records.findTable(work.key)
    if (table === undefined) return sendRefused(to, { error: 'home-lost', outcome: 'unknown' }, context)
    const scope = formatScope(work.team, work.service, work.key)
    const record = table.find(scope)
    if (record === undefined) this.#handleOpen(work, { table, scope }, to, context)
    else this.#answerRecord(record, work, to, context)
  }

  /**
   * @param query - asks for a key
   * @param nowMs - monotonic time in ms
   * @returns the key's state; `not-run` only when it can never run
   */
  findKeyState (query: Query, nowMs: number): KeyState {
    const table = this.#options.records.findTable(query.key)
    const record = table?.find(formatScope(query.team, query.service, query.key))
    if (table === undefined) return 'unknown'
    if (record === undefined) {
      return table.getAge(query.key, nowMs) === 'past-start' && !this.#options.leave.maySuccessorHoldRecords() ? 'not-run' : 'unknown'
    }
    switch (record.state.kind) {
      case 'waiting':
      case 'running': return 'running'
      case 'closed': return 'not-run'
      default: return record.state.kind
    }
  }

  /** Decides on work that has no record. */
  #handleOpen (work: Submit, place: RecordLocation | undefined, to: AttachedAttempt, context: Context): void {
    const { executions, leave, peers, records } = this.#options
    const gate = leave.getNewWorkPolicy(work)
    if (gate === 'parked' && place !== undefined) return leave.addParked(work, place, to)
    const stale = place === undefined ? undefined : findAgeRefusal(work, place.table, context)
    if (stale !== undefined) return sendRefused(to, stale, context)
    // Without a record the key cannot be closed, so nothing permanent can be said.
    if (place !== undefined && records.isFull(work.team)) return sendRefused(to, { error: 'records-full', outcome: 'unknown' }, context)
    const error = peers.isCancelled(work.workId) ? 'cancelled' : gate === 'refused' ? 'leaving' : this.#findError(work, context)
    if (error === undefined) return executions.add(work, place, to, context)
    records.update(place, work, { kind: 'closed' })
    sendRefused(to, { error, outcome: 'not-run' }, context)
  }

  /** @returns why the configuration in force does not allow the work here */
  #findError (work: Submit, context: Context): ErrorKind | undefined {
    const configuration = context.port('configuration')
    const spec = configuration.findEndpoint(context.self.id)
    if (work.service !== this.#options.service) return 'unknown-service'
    if (spec !== undefined && !configuration.isInService(spec)) return 'domain-out'
    if (spec !== undefined && configuration.findService(work.service) !== undefined) return undefined
    return configuration.getCurrent().version > work.configVersion ? 'configuration-stale' : 'no-endpoint'
  }

  #answerRecord (record: KeyRecord, work: Submit, to: AttachedAttempt, context: Context): void {
    const { state } = record
    if (record.bodyHash !== work.bodyHash) {
      // A waiting key may still be freed for another body, so nothing permanent can be said.
      return sendRefused(to, { error: 'key-reused', outcome: state.kind === 'waiting' ? 'unknown' : 'not-run' }, context)
    }
    switch (state.kind) {
      case 'waiting':
      case 'running': return this.#options.executions.attachAttempt(state.executionId, to, context)
      case 'closed': return sendRefused(to, { error: 'key-closed', outcome: 'not-run' }, context)
      case 'unknown': return sendRefused(to, { error: 'endpoint-failed', outcome: 'unknown' }, context)
      case 'run': {
        if (state.response === undefined) return sendRefused(to, { error: 'answer-not-kept', outcome: 'run' }, context)
        sendResponse(to, state.response, context)
        return sendToAttempt(to, { kind: 'end', workId: to.workId, chunks: state.response.chunks.length }, context)
      }
      default: assertNever(state)
    }
  }
}

function findAgeRefusal (work: Submit, table: RecordTable, context: Context): Refusal | undefined {
  const age = work.key === undefined ? 'startable' : table.getAge(work.key, context.nowMs)
  switch (age) {
    case 'startable': return undefined
    case 'past-start': return { error: 'key-closed', outcome: 'not-run' }
    case 'expired': return { error: 'key-expired', outcome: 'unknown' }
  }
}
