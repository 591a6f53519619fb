/** Work of a home from the offer to its end, and who waits for it. */

import { Execution } from './execution.js'
import type { Attachment, RecordPlace } from './execution.js'
import { sendAnswer, sendRefused, sendTo } from './outbox.js'
import type { Refusal } from './outbox.js'
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
  add (work: Submit, place: RecordPlace | undefined, to: Attachment, context: Context): void {
    const execution = Execution.create(work, place)
    execution.attachments.set(to.workId, to)
    this.#byRun.set(work.workId, execution)
    this.#byAttempt.set(to.workId, execution)
    this.#records.update(place, work, { kind: 'waiting', runId: work.workId })
    context.raise({ kind: 'work-offered', work })
  }

  /** Attaches a repeat to the work of its key. */
  addAttempt (runId: string, to: Attachment, context: Context): void {
    const execution = this.#byRun.get(runId)
    if (execution === undefined) return sendRefused(to, { error: 'internal', outcome: 'unknown' }, context)
    const { workId } = to
    const late = execution.count > 0 && !execution.isKept()
    execution.attachments.set(workId, { ...to, late })
    this.#byAttempt.set(workId, execution)
    sendTo(to, { kind: 'accepted', workId, queued: 0, waitMs: 0 }, context)
    if (execution.state !== 'waiting') sendTo(to, { kind: 'started', workId }, context)
    if (!late && execution.head !== undefined) sendAnswer(to, { ...execution.head, chunks: execution.listChunks() }, context)
  }

  noteQueued (runId: string, queued: number, waitMs: number, context: Context): void {
    this.#sendAll(runId, workId => ({ kind: 'accepted', workId, queued, waitMs }), context)
  }

  noteStarted (runId: string, context: Context): void {
    const execution = this.#byRun.get(runId)
    if (execution === undefined) return
    execution.state = 'running'
    this.#records.update(execution.place, execution.work, { kind: 'running', runId })
    this.#sendAll(runId, workId => ({ kind: 'started', workId }), context)
  }

  noteHead (runId: string, status: number, headers: HeaderList, context: Context): void {
    this.#byRun.get(runId)?.noteHead(status, headers)
    this.#sendAll(runId, workId => ({ kind: 'head', workId, status, headers }), context)
  }

  noteChunk (runId: string, data: Uint8Array, context: Context): void {
    const index = this.#byRun.get(runId)?.noteChunk(data) ?? 0
    this.#sendAll(runId, workId => ({ kind: 'chunk', workId, index, data }), context)
  }

  /** @returns the finished execution */
  noteEnded (runId: string, context: Context): Execution | undefined {
    const execution = this.#byRun.get(runId)
    if (execution === undefined) return undefined
    const answer = execution.findAnswer()
    this.#records.update(execution.place, execution.work, answer === undefined ? { kind: 'run' } : { kind: 'run', answer })
    for (const to of this.remove(execution)) {
      if (to.late) sendRefused(to, { error: 'answer-not-kept', outcome: 'run' }, context)
      else sendTo(to, { kind: 'end', workId: to.workId, chunks: execution.count }, context)
    }
    return execution
  }

  /**
   * Ends work without an answer: `not-run` closes its key.
   *
   * @param runId - the work
   * @param refusal - what each attempt is told
   * @param context - ways out
   * @returns the refused execution
   */
  refuse (runId: string, refusal: Refusal, context: Context): Execution | undefined {
    const execution = this.#byRun.get(runId)
    if (execution === undefined) return undefined
    this.#records.update(execution.place, execution.work, { kind: refusal.outcome === 'not-run' ? 'closed' : 'unknown' })
    for (const to of this.remove(execution)) sendRefused(to, refusal, context)
    return execution
  }

  /** Refuses everything that has not started; admission forgets it first. */
  refuseWaiting (refusal: Refusal, context: Context): number {
    const waiting = this.listWaiting().filter(({ work }) => context.getPort('admission').removeWaiting(work.workId))
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
    if (execution.attachments.size > 0) return 'unknown'
    if (execution.state !== 'waiting') {
      this.#stopExecution(execution, context)
      return 'unknown'
    }
    if (!context.getPort('admission').removeWaiting(execution.work.workId)) return 'unknown'
    this.#records.update(execution.place, execution.work, { kind: 'closed' })
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
      for (const to of [...execution.attachments.values()]) {
        if (to.peer === peer) this.#removeAttempt(execution, to.workId)
      }
      if (execution.attachments.size > 0 || !execution.work.terms.idempotent) continue
      if (execution.state !== 'waiting') this.#stopExecution(execution, context)
      else if (context.getPort('admission').removeWaiting(execution.work.workId)) this.removeUnstarted(execution)
    }
  }

  /** Forgets work that never started; nobody was told an outcome, so its key stays open. */
  removeUnstarted (execution: Execution): readonly Attachment[] {
    execution.place?.table.remove(execution.place.scope)
    return this.remove(execution)
  }

  /** @returns ids of the peers that wait for answers */
  listPeers (): ReadonlySet<string> {
    return new Set([...this.#byRun.values()].flatMap(execution => [...execution.attachments.values()].map(to => to.peer)))
  }

  remove (execution: Execution): readonly Attachment[] {
    this.#byRun.delete(execution.work.workId)
    for (const workId of execution.attachments.keys()) this.#byAttempt.delete(workId)
    return [...execution.attachments.values()]
  }

  #removeAttempt (execution: Execution, workId: string): void {
    execution.attachments.delete(workId)
    this.#byAttempt.delete(workId)
  }

  #stopExecution (execution: Execution, context: Context): void {
    if (!execution.work.terms.idempotent || execution.state === 'aborted') return
    execution.state = 'aborted'
    context.emit({ kind: 'abort-run', workId: execution.work.workId })
  }

  #sendAll (runId: string, build: (workId: string) => Message, context: Context): void {
    for (const to of this.#byRun.get(runId)?.attachments.values() ?? []) {
      if (!to.late) sendTo(to, build(to.workId), context)
    }
  }
}
