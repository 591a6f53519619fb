/**
 * Outcomes at a home: which key may run, which attempt joins, what is answered.
 */

import { Execution } from './execution.js'
import type { Attachment, RecordPlace } from './execution.js'
import { RecordTable, formatScope } from './table.js'
import type { KeyRecord } from './table.js'
import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import { assertNever } from '../../kernel/errors.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { OutcomesPort, Ports } from '../../kernel/ports.js'
import type { KeyState, Message, Query, Submit } from '../../protocol/messages.js'

/** Largest count of records of one process. */
const RECORDS_MAX = 20_000

/** Decides on submits and relays answers. */
export class Outcomes implements Plugin, OutcomesPort {
  readonly name = 'outcomes'
  readonly subscribesTo = ['message-received', 'work-queued', 'work-started', 'work-refused', 'endpoint-head', 'endpoint-chunk', 'endpoint-ended', 'endpoint-failed', 'tick'] as const
  readonly ports: Partial<Ports> = { outcomes: this }
  readonly #tables: RecordTable[]
  readonly #executions = new Map<string, Execution>()
  readonly #byAttempt = new Map<string, Execution>()
  #nowMs = 0

  private constructor (options: PluginOptions) {
    this.#tables = [RecordTable.create(options.self.id, options.self.incarnation, 0, 0)]
  }

  static create (options: PluginOptions): Outcomes {
    return new Outcomes(options)
  }

  getWindow (): number { return this.#tables[0]!.getWindow(this.#nowMs) }
  getMovedTo (): string | undefined { return undefined }
  countRecords (): number { return this.#tables.reduce((sum, table) => sum + table.size, 0) }

  checkTime (context: Context): void {
    this.#nowMs = context.nowMs
  }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'message-received': return this.#handleMessage(event.peer.id, event.message, context)
      case 'work-queued': return this.#sendAll(event.workId, workId => ({ kind: 'accepted', workId, queued: event.queued, waitMs: event.waitMs }), context)
      case 'work-started': return this.#handleStarted(event.workId, context)
      case 'work-refused': return this.#finishRefused(event.workId, event.error, event.outcome, event.retryAfterMs, context)
      case 'endpoint-head': {
        this.#executions.get(event.workId)?.noteHead(event.status, event.headers)
        return this.#sendAll(event.workId, workId => ({ kind: 'head', workId, status: event.status, headers: event.headers }), context)
      }
      case 'endpoint-chunk': {
        const index = this.#executions.get(event.workId)?.noteChunk(event.data) ?? 0
        return this.#sendAll(event.workId, workId => ({ kind: 'chunk', workId, index, data: event.data }), context)
      }
      case 'endpoint-ended': return this.#handleEnded(event.workId, context)
      case 'endpoint-failed': return this.#finishRefused(event.workId, 'endpoint-failed', event.sent ? 'unknown' : 'not-run', undefined, context)
      case 'tick': for (const table of this.#tables) table.removeExpired(context.nowMs)
    }
  }

  #handleMessage (peer: string, message: Message, context: Context): void {
    if (message.kind === 'submit') this.#handleSubmit(peer, message, context)
    if (message.kind === 'query') this.#handleQuery(peer, message, context)
  }

  #handleSubmit (peer: string, work: Submit, context: Context): void {
    if (this.#byAttempt.has(work.workId)) return
    const to: Attachment = { peer, workId: work.workId, late: false }
    if (work.key === undefined) return this.#offer(work, undefined, to, context)
    const table = this.#findTable(work.key)
    if (table === undefined) return this.#refuse(to, 'home-lost', 'unknown', context)
    const scope = formatScope(work.team, work.service, work.key)
    const record = table.find(scope)
    if (record !== undefined) return this.#answerRecord(record, work, to, context)
    const age = table.getAge(work.key, context.nowMs)
    if (age === 'expired') return this.#refuse(to, 'key-expired', 'unknown', context)
    if (age === 'past-start') return this.#refuse(to, 'key-closed', 'not-run', context)
    if (this.countRecords() >= RECORDS_MAX) return this.#refuse(to, 'records-full', 'unknown', context)
    this.#offer(work, { table, scope }, to, context)
  }

  #offer (work: Submit, place: RecordPlace | undefined, to: Attachment, context: Context): void {
    const execution = Execution.create(work, place)
    execution.attachments.set(to.workId, to)
    this.#executions.set(work.workId, execution)
    this.#byAttempt.set(work.workId, execution)
    this.#updateRecord(execution, { kind: 'waiting', runId: work.workId })
    context.raise({ kind: 'work-offered', work })
  }

  #answerRecord (record: KeyRecord, work: Submit, to: Attachment, context: Context): void {
    const { state } = record
    if (record.bodyHash !== work.bodyHash) {
      // A waiting key may still be freed for another body, so nothing permanent can be said.
      return this.#refuse(to, 'key-reused', state.kind === 'waiting' ? 'unknown' : 'not-run', context)
    }
    switch (state.kind) {
      case 'waiting':
      case 'running': return this.#addAttachment(state.runId, to, context)
      case 'closed': return this.#refuse(to, 'key-closed', 'not-run', context)
      case 'unknown': return this.#refuse(to, 'endpoint-failed', 'unknown', context)
      case 'run': {
        if (state.answer === undefined) return this.#refuse(to, 'answer-not-kept', 'run', context)
        const { status, headers, chunks } = state.answer
        this.#send(to, { kind: 'head', workId: to.workId, status, headers }, context)
        chunks.forEach((data, index) => { this.#send(to, { kind: 'chunk', workId: to.workId, index, data }, context) })
        return this.#send(to, { kind: 'end', workId: to.workId, chunks: chunks.length }, context)
      }
      default: assertNever(state)
    }
  }

  #addAttachment (runId: string, to: Attachment, context: Context): void {
    const execution = this.#executions.get(runId)!
    const { workId } = to
    const late = execution.count > 0 && !execution.isKept()
    execution.attachments.set(workId, { ...to, late })
    this.#byAttempt.set(workId, execution)
    this.#send(to, { kind: 'accepted', workId, queued: 0, waitMs: 0 }, context)
    if (execution.state === 'running') this.#send(to, { kind: 'started', workId }, context)
    if (late || execution.head === undefined) return
    this.#send(to, { kind: 'head', workId, ...execution.head }, context)
    execution.listChunks().forEach((data, index) => { this.#send(to, { kind: 'chunk', workId, index, data }, context) })
  }

  #handleStarted (workId: string, context: Context): void {
    const execution = this.#executions.get(workId)
    if (execution === undefined) return
    execution.state = 'running'
    this.#updateRecord(execution, { kind: 'running', runId: workId })
    this.#sendAll(workId, attempt => ({ kind: 'started', workId: attempt }), context)
  }

  #handleEnded (workId: string, context: Context): void {
    const execution = this.#executions.get(workId)
    if (execution === undefined) return
    const answer = execution.findAnswer()
    this.#updateRecord(execution, answer === undefined ? { kind: 'run' } : { kind: 'run', answer })
    for (const to of this.#removeExecution(execution)) {
      if (to.late) this.#refuse(to, 'answer-not-kept', 'run', context)
      else this.#send(to, { kind: 'end', workId: to.workId, chunks: execution.count }, context)
    }
  }

  #finishRefused (workId: string, error: ErrorKind, outcome: Outcome, retryAfterMs: number | undefined, context: Context): void {
    const execution = this.#executions.get(workId)
    if (execution === undefined) return
    this.#updateRecord(execution, outcome === 'not-run' ? { kind: 'closed' } : { kind: 'unknown' })
    for (const to of this.#removeExecution(execution)) this.#refuse(to, error, outcome, context, retryAfterMs)
  }

  #handleQuery (peer: string, query: Query, context: Context): void {
    context.emit({ kind: 'send', peer, message: { kind: 'query-answer', queryId: query.queryId, state: this.#findKeyState(query, context) } })
  }

  #findKeyState (query: Query, context: Context): KeyState {
    const table = this.#findTable(query.key)
    const record = table?.find(formatScope(query.team, query.service, query.key))
    if (table === undefined) return 'unknown'
    if (record === undefined) return table.getAge(query.key, context.nowMs) === 'past-start' ? 'not-run' : 'unknown'
    switch (record.state.kind) {
      case 'waiting':
      case 'running': return 'running'
      case 'closed': return 'not-run'
      default: return record.state.kind
    }
  }

  #findTable (key: { readonly home: string, readonly incarnation: number }): RecordTable | undefined {
    return this.#tables.find(table => table.home === key.home && table.incarnation === key.incarnation)
  }

  #updateRecord (execution: Execution, state: KeyRecord['state']): void {
    const { place, work } = execution
    if (place === undefined || work.key === undefined) return
    place.table.update(place.scope, { window: work.key.window, bodyHash: work.bodyHash, state })
  }

  #removeExecution (execution: Execution): readonly Attachment[] {
    this.#executions.delete(execution.work.workId)
    for (const workId of execution.attachments.keys()) this.#byAttempt.delete(workId)
    return [...execution.attachments.values()]
  }

  #sendAll (runId: string, build: (workId: string) => Message, context: Context): void {
    for (const to of this.#executions.get(runId)?.attachments.values() ?? []) {
      if (!to.late) this.#send(to, build(to.workId), context)
    }
  }

  #refuse (to: Attachment, error: ErrorKind, outcome: Outcome, context: Context, retryAfterMs?: number): void {
    const { version } = context.port('configuration').getCurrent()
    this.#send(to, { kind: 'refused', workId: to.workId, error, outcome, configVersion: version, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }, context)
  }

  #send (to: Attachment, message: Message, context: Context): void {
    context.emit({ kind: 'send', peer: to.peer, message })
  }
}

registerPlugin({ name: 'outcomes', roles: ['endpoint'], create: options => Outcomes.create(options) })
