/** Executions at a home, from submission to their end, and the attempts attached to them. */

import { Execution } from './execution.js'
import type { AttachedAttempt, RecordLocation } from './execution.js'
import { sendResponse, sendRefused, sendToAttempt } from './replies.js'
import type { Refusal } from './replies.js'
import type { Records } from './records.js'
import type { Outcome } from '../../kernel/errors.js'
import type { Context } from '../../kernel/plugin.js'
import type { HeaderList, Message, Submit } from '../../protocol/messages.js'

/** Executions by execution id (the work id of the first attempt) and by the work ids of their attempts. */
export class Executions {
  readonly #records: Records
  readonly #byId = new Map<string, Execution>()
  readonly #byAttempt = new Map<string, Execution>()

  private constructor (records: Records) {
    this.#records = records
  }

  static create (records: Records): Executions {
    return new Executions(records)
  }

  get size (): number { return this.#byId.size }

  hasAttempt (workId: string): boolean {
    return this.#byAttempt.has(workId)
  }

  listWaiting (): readonly Execution[] {
    return [...this.#byId.values()].filter(execution => execution.state === 'waiting')
  }

  /** Creates an execution with its first attempt and offers the work to admission. */
  add (work: Submit, location: RecordLocation | undefined, attempt: AttachedAttempt, context: Context): void {
    const execution = Execution.create(work, location)
    execution.attempts.set(attempt.workId, attempt)
    this.#byId.set(work.workId, execution)
    this.#byAttempt.set(attempt.workId, execution)
    this.#records.update(location, work, { kind: 'waiting', executionId: work.workId })
    context.raise({ kind: 'work-offered', work })
  }

  /** Attaches a repeated attempt to the execution of its key. */
  attachAttempt (executionId: string, attempt: AttachedAttempt, context: Context): void {
    const execution = this.#byId.get(executionId)
    if (execution === undefined) return sendRefused(attempt, { error: 'internal', outcome: 'unknown' }, context)
    const { workId } = attempt
    const joinedLate = execution.chunkCount > 0 && !execution.isResponseStored()
    execution.attempts.set(workId, { ...attempt, joinedLate })
    this.#byAttempt.set(workId, execution)
    sendToAttempt(attempt, { kind: 'accepted', workId, queued: 0, waitMs: 0 }, context)
    if (execution.state !== 'waiting') sendToAttempt(attempt, { kind: 'started', workId }, context)
    if (!joinedLate && execution.head !== undefined) sendResponse(attempt, { ...execution.head, chunks: execution.listStoredChunks() }, context)
  }

  noteQueued (executionId: string, queued: number, waitMs: number, context: Context): void {
    this.#sendAll(executionId, workId => ({ kind: 'accepted', workId, queued, waitMs }), context)
  }

  noteStarted (executionId: string, context: Context): void {
    const execution = this.#byId.get(executionId)
    if (execution === undefined) return
    execution.state = 'running'
    this.#records.update(execution.location, execution.work, { kind: 'running', executionId })
    this.#sendAll(executionId, workId => ({ kind: 'started', workId }), context)
  }

  noteHead (executionId: string, status: number, headers: HeaderList, context: Context): void {
    this.#byId.get(executionId)?.noteHead(status, headers)
    this.#sendAll(executionId, workId => ({ kind: 'head', workId, status, headers }), context)
  }

  noteChunk (executionId: string, data: Uint8Array, context: Context): void {
    const index = this.#byId.get(executionId)?.noteChunk(data) ?? 0
    this.#sendAll(executionId, workId => ({ kind: 'chunk', workId, index, data }), context)
  }

  /** @returns the finished execution */
  noteEnded (executionId: string, context: Context): Execution | undefined {
    const execution = this.#byId.get(executionId)
    if (execution === undefined) return undefined
    const response = execution.findResponse()
    this.#records.update(execution.location, execution.work, response === undefined ? { kind: 'run' } : { kind: 'run', response })
    for (const attempt of this.remove(execution)) {
      if (attempt.joinedLate) sendRefused(attempt, { error: 'answer-not-kept', outcome: 'run' }, context)
      else sendToAttempt(attempt, { kind: 'end', workId: attempt.workId, chunks: execution.chunkCount }, context)
    }
    return execution
  }

  /**
   * Ends an execution without a response. The outcome `not-run` closes its key.
   *
   * @param executionId - the execution
   * @param refusal - error and outcome sent to each attempt
   * @param context - ports and effects
   * @returns the ended execution; undefined when there is none with this id
   */
  refuse (executionId: string, refusal: Refusal, context: Context): Execution | undefined {
    const execution = this.#byId.get(executionId)
    if (execution === undefined) return undefined
    this.#records.update(execution.location, execution.work, { kind: refusal.outcome === 'not-run' ? 'closed' : 'unknown' })
    for (const attempt of this.remove(execution)) sendRefused(attempt, refusal, context)
    return execution
  }

  /** Removes all waiting work from the queue of admission and refuses it. */
  refuseWaiting (refusal: Refusal, context: Context): number {
    const waiting = this.listWaiting().filter(({ work }) => context.getPort('admission').removeWaiting(work.workId))
    for (const { work } of waiting) this.refuse(work.workId, refusal, context)
    return waiting.length
  }

  /**
   * Cancels one attempt. Work with other attempts continues, and non-idempotent
   * work that has started is never aborted.
   *
   * @param workId - work id of the attempt
   * @param context - ports and effects
   * @returns `not-run` only when the work never started and never will
   */
  handleCancel (workId: string, context: Context): Outcome {
    const execution = this.#byAttempt.get(workId)
    if (execution === undefined) return 'unknown'
    this.#removeAttempt(execution, workId)
    if (execution.attempts.size > 0) return 'unknown'
    if (execution.state !== 'waiting') {
      this.#stopExecution(execution, context)
      return 'unknown'
    }
    if (!context.getPort('admission').removeWaiting(execution.work.workId)) return 'unknown'
    this.#records.update(execution.location, execution.work, { kind: 'closed' })
    this.remove(execution)
    return 'not-run'
  }

  /**
   * Detaches the attempts of a silent or restarted peer. Idempotent work without
   * other attempts is stopped; non-idempotent work continues, because its caller
   * may repeat the key.
   *
   * @param peer - process id
   * @param context - ports and effects
   */
  removePeer (peer: string, context: Context): void {
    for (const execution of [...this.#byId.values()]) {
      for (const attempt of [...execution.attempts.values()]) {
        if (attempt.peer === peer) this.#removeAttempt(execution, attempt.workId)
      }
      if (execution.attempts.size > 0 || !execution.work.terms.idempotent) continue
      if (execution.state !== 'waiting') this.#stopExecution(execution, context)
      else if (context.getPort('admission').removeWaiting(execution.work.workId)) this.removeUnstarted(execution)
    }
  }

  /** Removes work that never started, and its record: no outcome was reported, so the key may still run. */
  removeUnstarted (execution: Execution): readonly AttachedAttempt[] {
    execution.location?.table.remove(execution.location.scope)
    return this.remove(execution)
  }

  /** @returns ids of the peers with attempts that have not ended */
  listPeers (): ReadonlySet<string> {
    return new Set([...this.#byId.values()].flatMap(execution => [...execution.attempts.values()].map(attempt => attempt.peer)))
  }

  remove (execution: Execution): readonly AttachedAttempt[] {
    this.#byId.delete(execution.work.workId)
    for (const workId of execution.attempts.keys()) this.#byAttempt.delete(workId)
    return [...execution.attempts.values()]
  }

  #removeAttempt (execution: Execution, workId: string): void {
    execution.attempts.delete(workId)
    this.#byAttempt.delete(workId)
  }

  #stopExecution (execution: Execution, context: Context): void {
    if (!execution.work.terms.idempotent || execution.state === 'aborted') return
    execution.state = 'aborted'
    context.emit({ kind: 'abort-run', workId: execution.work.workId })
  }

  #sendAll (executionId: string, buildMessage: (workId: string) => Message, context: Context): void {
    for (const attempt of this.#byId.get(executionId)?.attempts.values() ?? []) {
      if (!attempt.joinedLate) sendToAttempt(attempt, buildMessage(attempt.workId), context)
    }
  }
}
