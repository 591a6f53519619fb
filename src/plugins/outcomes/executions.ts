/** Work of a home from the offer to its end, and who waits for it. */

import { Execution } from './execution.js'
import type { AttachedAttempt, RecordLocation } from './execution.js'
import { sendResponse, sendRefused, sendToAttempt } from './replies.js'
import type { Refusal } from './replies.js'
import type { Records } from './records.js'
import type { Outcome } from '../../kernel/errors.js'
import type { Context } from '../../kernel/plugin.js'
import type { HeaderList, Message, Submit } from '../../protocol/messages.js'

/** Executions by run id and by attempt. */
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

  /** Offers work to admission; the first attempt is attached. */
  add (work: Submit, location: RecordLocation | undefined, attempt: AttachedAttempt, context: Context): void {
    const execution = Execution.create(work, location)
    execution.attempts.set(attempt.workId, attempt)
    this.#byId.set(work.workId, execution)
    this.#byAttempt.set(attempt.workId, execution)
    this.#records.update(location, work, { kind: 'waiting', executionId: work.workId })
    context.raise({ kind: 'work-offered', work })
  }

  /** Attaches a repeat to the work of its key. */
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
   * Ends work without an answer: `not-run` closes its key.
   *
   * @param executionId - the work
   * @param refusal - what each attempt is told
   * @param context - ways out
   * @returns the refused execution
   */
  refuse (executionId: string, refusal: Refusal, context: Context): Execution | undefined {
    const execution = this.#byId.get(executionId)
    if (execution === undefined) return undefined
    this.#records.update(execution.location, execution.work, { kind: refusal.outcome === 'not-run' ? 'closed' : 'unknown' })
    for (const attempt of this.remove(execution)) sendRefused(attempt, refusal, context)
    return execution
  }

  /** Refuses everything that has not started; admission forgets it first. */
  refuseWaiting (refusal: Refusal, context: Context): number {
    const waiting = this.listWaiting().filter(({ work }) => context.port('admission').removeWaiting(work.workId))
    for (const { work } of waiting) this.refuse(work.workId, refusal, context)
    return waiting.length
  }

  /**
   * Cancels one attempt. Work that another attempt waits for goes on, and
   * non-idempotent work that has started is never aborted.
   *
   * @param workId - the attempt
   * @param context - ways out
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
    if (!context.port('admission').removeWaiting(execution.work.workId)) return 'unknown'
    this.#records.update(execution.location, execution.work, { kind: 'closed' })
    this.remove(execution)
    return 'not-run'
  }

  /**
   * Detaches a peer that is gone. Idempotent work that nobody else waits for
   * stops; non-idempotent work goes on, because its caller may repeat the key.
   *
   * @param peer - process id
   * @param context - ways out
   */
  removePeer (peer: string, context: Context): void {
    for (const execution of [...this.#byId.values()]) {
      for (const attempt of [...execution.attempts.values()]) {
        if (attempt.peer === peer) this.#removeAttempt(execution, attempt.workId)
      }
      if (execution.attempts.size > 0 || !execution.work.terms.idempotent) continue
      if (execution.state !== 'waiting') this.#stopExecution(execution, context)
      else if (context.port('admission').removeWaiting(execution.work.workId)) this.removeUnstarted(execution)
    }
  }

  /** Forgets work that never started; nobody was told an outcome, so its key stays open. */
  removeUnstarted (execution: Execution): readonly AttachedAttempt[] {
    execution.location?.table.remove(execution.location.scope)
    return this.remove(execution)
  }

  /** @returns ids of the peers that wait for answers */
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
