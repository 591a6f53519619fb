/** Decides whether a submit runs, joins running work, gets a stored response or is refused. */

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

/** Service and state that a `SubmitHandler` works with. */
export interface SubmitHandlerOptions {
  readonly service: string
  readonly records: Records
  readonly executions: Executions
  readonly leave: Leave
  readonly peers: Peers
}

/** Handles submits, and queries for the state of a key. */
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
    const attempt: AttachedAttempt = { peer, workId: work.workId, joinedLate: false }
    if (work.key === undefined) return this.#handleUnrecorded(work, undefined, attempt, context)
    const table = records.findTable(work.key)
    if (table === undefined) return sendRefused(attempt, { error: 'home-lost', outcome: 'unknown' }, context)
    const scope = formatScope(work.team, work.service, work.key)
    const record = table.find(scope)
    if (record === undefined) this.#handleUnrecorded(work, { table, scope }, attempt, context)
    else this.#handleRecorded(record, work, attempt, context)
  }

  /**
   * @param query - query for a key
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

  /** Runs, defers or refuses work that has no record. */
  #handleUnrecorded (work: Submit, location: RecordLocation | undefined, attempt: AttachedAttempt, context: Context): void {
    const { executions, leave, peers, records } = this.#options
    const policy = leave.getNewWorkPolicy(work)
    if (policy === 'deferred' && location !== undefined) return leave.deferAttempt(work, location, attempt)
    const ageRefusal = location === undefined ? undefined : findAgeRefusal(work, location.table, context)
    if (ageRefusal !== undefined) return sendRefused(attempt, ageRefusal, context)
    // Without a record the key cannot be closed and may still run later, so the outcome is unknown.
    if (location !== undefined && records.isFull(work.team)) return sendRefused(attempt, { error: 'records-full', outcome: 'unknown' }, context)
    const error = peers.isCancelled(work.workId) ? 'cancelled' : policy === 'refused' ? 'leaving' : this.#findError(work, context)
    if (error === undefined) return executions.add(work, location, attempt, context)
    records.update(location, work, { kind: 'closed' })
    sendRefused(attempt, { error, outcome: 'not-run' }, context)
  }

  /** @returns the error if the configuration in force does not allow the work here */
  #findError (work: Submit, context: Context): ErrorKind | undefined {
    const configuration = context.getPort('configuration')
    const spec = configuration.findEndpoint(context.self.id)
    if (work.service !== this.#options.service) return 'unknown-service'
    if (spec !== undefined && !configuration.isInService(spec)) return 'domain-out'
    if (spec !== undefined && configuration.findService(work.service) !== undefined) return undefined
    return configuration.getCurrent().version > work.configVersion ? 'configuration-stale' : 'no-endpoint'
  }

  #handleRecorded (record: KeyRecord, work: Submit, attempt: AttachedAttempt, context: Context): void {
    const { state } = record
    if (record.bodyHash !== work.bodyHash) {
      // The record of a waiting key may still be removed, and another body may then run, so the outcome is unknown.
      return sendRefused(attempt, { error: 'key-reused', outcome: state.kind === 'waiting' ? 'unknown' : 'not-run' }, context)
    }
    switch (state.kind) {
      case 'waiting':
      case 'running': return this.#options.executions.attachAttempt(state.executionId, attempt, context)
      case 'closed': return sendRefused(attempt, { error: 'key-closed', outcome: 'not-run' }, context)
      case 'unknown': return sendRefused(attempt, { error: 'endpoint-failed', outcome: 'unknown' }, context)
      case 'run': {
        if (state.response === undefined) return sendRefused(attempt, { error: 'answer-not-kept', outcome: 'run' }, context)
        sendResponse(attempt, state.response, context)
        return sendToAttempt(attempt, { kind: 'end', workId: attempt.workId, chunks: state.response.chunks.length }, context)
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
