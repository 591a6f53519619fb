/**
 * Executes work at a home: decides which keys run, attaches repeated attempts to
 * running work, and repeats stored responses.
 */

import { Executions } from './executions.js'
import { SubmitHandler } from './submit-handler.js'
import { Leave } from './leave.js'
import { Peers } from './peers.js'
import { Records } from './records.js'
import { HandoverReceiver } from './handover-receiver.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { OutcomesPort, Ports } from '../../kernel/ports.js'
import type { Message, ProcessRef } from '../../protocol/messages.js'

/**
 * Gap in ms between two events of the edge that indicates that the process was
 * paused. Must be below the 3 s after which entries give up on a silent home.
 */
const PAUSE_GAP_MS = 2_000

/** Interval in ms at which the gauge of records is written. */
const GAUGE_INTERVAL_MS = 1_000

/** Event kinds that the plug-in handles. */
const SUBSCRIBED_EVENTS = [
  'tick', 'leave-requested', 'peer-connected', 'message-received', 'work-queued', 'work-started', 'work-refused',
  'endpoint-head', 'endpoint-chunk', 'endpoint-ended', 'endpoint-failed'
] as const satisfies readonly KernelEvent['kind'][]

/** Handles submits and relays responses to their attempts. */
export class OutcomesPlugin implements Plugin, OutcomesPort {
  readonly name = 'outcomes'
  readonly subscribesTo = SUBSCRIBED_EVENTS
  readonly ports: Partial<Ports> = { outcomes: this }
  readonly #records: Records
  readonly #executions: Executions
  readonly #leave: Leave
  readonly #handoverReceiver: HandoverReceiver
  readonly #submitHandler: SubmitHandler
  readonly #peers = Peers.create()
  #nowMs: number | undefined
  #nextGaugeAtMs = 0

  private constructor (options: PluginOptions) {
    const service = options.service ?? ''
    this.#records = Records.create(options.self)
    this.#executions = Executions.create(this.#records)
    this.#leave = Leave.create(this.#records, this.#executions, service)
    this.#handoverReceiver = HandoverReceiver.create(this.#records)
    this.#submitHandler = SubmitHandler.create({ service, records: this.#records, executions: this.#executions, leave: this.#leave, peers: this.#peers })
  }

  /**
   * @param options - identity and service of the process
   * @returns the plug-in without records
   */
  static create (options: PluginOptions): OutcomesPlugin {
    return new OutcomesPlugin(options)
  }

  getWindow (): number { return this.#records.ownTable.getWindow(this.#nowMs ?? 0) }
  getMovedTo (): string | undefined { return this.#leave.getMovedTo() }
  countRecords (): number { return this.#records.countRecords() }

  /** Detects a pause. Entries may have reported outcomes of waiting work meanwhile, so all of it is refused. */
  checkTime (context: Context): void {
    const gapMs = context.nowMs - (this.#nowMs ?? context.nowMs)
    this.#nowMs = context.nowMs
    if (gapMs <= PAUSE_GAP_MS) return
    this.#peers.notePause(context.nowMs)
    const closed = this.#executions.refuseWaiting({ error: 'process-paused', outcome: 'not-run' }, context)
    context.emit({ kind: 'count', metric: 'pauses' })
    context.emit({ kind: 'log', event: 'pause-detected', fields: { gapMs, closed } })
  }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'tick': return this.#handleTick(context)
      case 'leave-requested': return this.#leave.start(event.deadlineMs, context)
      case 'peer-connected':
        this.#noteHeard(event.peer, context)
        return this.#leave.advance(context)
      case 'message-received':
        this.#noteHeard(event.peer, context)
        return this.#handleMessage(event.peer.id, event.message, context)
      case 'work-queued': return this.#executions.noteQueued(event.workId, event.queued, event.waitMs, context)
      case 'work-started': return this.#executions.noteStarted(event.workId, context)
      case 'endpoint-head': return this.#executions.noteHead(event.workId, event.status, event.headers, context)
      case 'endpoint-chunk': return this.#executions.noteChunk(event.workId, event.data, context)
      case 'work-refused':
      case 'endpoint-ended':
      case 'endpoint-failed': return this.#handleEnd(event, context)
    }
  }

  #handleEnd (event: Extract<KernelEvent, { kind: 'work-refused' | 'endpoint-ended' | 'endpoint-failed' }>, context: Context): void {
    const ended = event.kind === 'endpoint-ended'
      ? this.#executions.noteEnded(event.workId, context)
      : this.#executions.refuse(event.workId, event.kind === 'work-refused'
        ? event
        : { error: 'endpoint-failed', outcome: event.sent ? 'unknown' : 'not-run' }, context)
    if (ended !== undefined) this.#leave.noteResult(ended, context)
  }

  #handleTick (context: Context): void {
    for (const peer of this.#peers.removeSilent(context.nowMs)) this.#executions.removePeer(peer, context)
    this.#records.removeExpired(context.nowMs)
    if (context.nowMs >= this.#nextGaugeAtMs) {
      this.#nextGaugeAtMs = context.nowMs + GAUGE_INTERVAL_MS
      context.emit({ kind: 'observe', metric: 'records', value: this.countRecords() })
    }
    this.#leave.advance(context)
  }

  /** Records a connection or message of a peer, and detaches the attempts of its previous incarnation if it has restarted. */
  #noteHeard (peer: ProcessRef, context: Context): void {
    if (this.#peers.noteHeard(peer, context.nowMs)) this.#executions.removePeer(peer.id, context)
  }

  #handleMessage (peer: string, message: Message, context: Context): void {
    switch (message.kind) {
      case 'submit': return this.#submitHandler.handleSubmit(peer, message, context)
      case 'cancel': {
        const { workId } = message
        if (!this.#executions.hasAttempt(workId)) this.#peers.noteCancelled(workId)
        return context.emit({ kind: 'send', peer, message: { kind: 'cancelled', workId, outcome: this.#executions.handleCancel(workId, context) } })
      }
      case 'query':
        return context.emit({ kind: 'send', peer, message: { kind: 'query-answer', queryId: message.queryId, state: this.#submitHandler.findKeyState(message, context.nowMs) } })
      case 'handover': return this.#handoverReceiver.handlePart(peer, message, this.#leave.isLeaving(), context)
      case 'handover-ack':
        this.#leave.handleAck(peer, message, context)
        return this.#leave.advance(context)
    }
  }
}

registerPlugin({ name: 'outcomes', roles: ['endpoint'], create: options => OutcomesPlugin.create(options) })
