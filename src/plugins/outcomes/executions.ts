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
  readonly #byRun = new Map<string, Execution>()
  readonly #byAttempt = new Map<string, Execution>()

  private constructor (records: Records) {
    this.#records = records
  }

  static create (records: Records): Executions {
    return new Executions(records)
  }

  get size (): number { return this.#byRun.size }

  hasAttempt (workId: string): boolean {
    return this.#byAttempt.has(workId)
  }

  listWaiting (): readonly Execution[] {
    return [...this.#byRun.values()].filter(execution => execution.state === 'waiting')
  }

  /** Offers work to admission; the first attempt is attached. */
  add (work: Submit, place: RecordLocation | undefined, to: AttachedAttempt, context: Context): void {
    const execution = Execution.create(work, place)
    execution.attempts.set(to.workId, to)
    this.#byRun.set(work.workId, execution)
    this.#byAttempt.set(to.workId, execution)
    this.#records.update(place, work, { kind: 'waiting', executionId: work.workId })
    context.raise({ kind: 'work-offered', work })
  }

  /** Attaches a repeat to the work of its key. */
  attachAttempt (executionId: string, to: AttachedAttempt, context: Context): void {
    const execution = this.#byRun.get(executionId)
    if (execution === undefined) return sendRefused(to, { error: 'internal', outcome: 'unknown' }, context)
    const { workId } = to
    const joinedLate = execution.chunkCount > 0 && !execution.isResponseStored()
    execution.attempts.set(workId, { ...to, joinedLate })
    this.#byAttempt.set(workId, execution)
    sendToAttempt(to, { kind: 'accepted', workId, queued: 0, waitMs: 0 }, context)
    if (execution.state !== 'waiting') sendToAttempt(to, { kind: 'started', workId }, context)
    if (!joinedLate && execution.head !== undefined) sendResponse(to, { ...execution.head, chunks: execution.listStoredChunks() }, context)
  }

  noteQueued (executionId: string, queued: number, waitMs: number, context: Context): void {
    this.#sendAll(executionId, workId => ({ kind: 'accepted', workId, queued, waitMs }), context)
  }

  noteStarted (executionId: string, context: Context): void {
    const execution = this.#byRun.get(executionId)
    if (execution === undefined) return
    execution.state = 'running'
    this.#records.update(execution.location, execution.work, { kind: 'running', executionId })
    this.#sendAll(executionId, workId => ({ kind: 'started', workId }), context)
  }

  noteHead (executionId: string, status: number, headers: HeaderList, context: Context): void {
    this.#byRun.get(executionId)?.noteHead(status, headers)
    this.#sendAll(executionId, workId => ({ kind: 'head', workId, status, headers }), context)
  }

  noteChunk (executionId: string, data: Uint8Array, context: Context): void {
    const index = this.#byRun.get(executionId)?.noteChunk(data) ?? 0
    this.#sendAll(executionId, workId => ({ kind: 'chunk', workId, index, data }), context)
  }

  /** @returns the finished execution */
  noteEnded (executionId: string, context: Context): Execution | undefined {
    const execution = this.#byRun.get(executionId)
    if (execution === undefined) return undefined
    const response = execution.findResponse()
    this.#records.update(execution.location, execution.work, response === undefined ? { kind: 'run' } : { kind: 'run', response })
    for (const to of this.remove(execution)) {
      if (to.joinedLate) sendRefused(to, { error: 'answer-not-kept', outcome: 'run' }, context)
      else sendToAttempt(to, { kind: 'end', workId: to.workId, chunks: execution.chunkCount }, context)
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
    const execution = this.#byRun.get(executionId)
    if (execution === undefined) return undefined
    this.#records.update(execution.location, execution.work, { kind: refusal.outcome === 'not-run' ? 'closed' : 'unknown' })
    for (const to of this.remove(execution)) sendRefused(to, refusal, context)
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
    for (const execution of [...this.#byRun.values()]) {
      for (const to of [...execution.attempts.values()]) {
        if (to.peer === peer) this.#removeAttempt(execution, to.workId)
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
    return new Set([...this.#byRun.values()].flatMap(execution => [...execution.attempts.values()].map(to => to.peer)))
  }

  remove (execution: Execution): readonly AttachedAttempt[] {
    this.#byRun.delete(execution.work.workId)
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

  #sendAll (executionId: string, build: (workId: string) => Message, context: Context): void {
    for (const to of this.#byRun.get(executionId)?.attempts.values() ?? []) {
      if (!to.joinedLate) sendToAttempt(to, build(to.workId), context)
    }
  }
}
