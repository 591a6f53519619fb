/** Handles requests at an entry, from their receipt to the end of their response. */

import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { RequestsPort } from '../../kernel/ports.js'
import type { HomeMove, Message, ProcessRef } from '../../protocol/messages.js'
import { checkRequest } from './check-request.js'
import { handleAttemptMessage, handleQueryAnswer } from './attempt-messages.js'
import { OutcomeLookups } from './outcome-lookups.js'
import { HomeDirectory } from './homes.js'
import { Lifecycle } from './lifecycle.js'
import { TraceLog } from './trace.js'
import type { ActiveRequest } from './types.js'

/** Time in ms for which callers may cache an `/v1/address` response that names this entry; a leaving entry stays up this long, or until its leave deadline. */
const ADDRESS_HOLD_MS = 30_000

interface LeaveTimes {
  readonly holdUntilMs: number
  readonly deadlineAtMs: number
}

class RequestsPlugin implements Plugin {
  readonly name = 'requests'
  readonly subscribesTo = ['tick', 'request-received', 'caller-gone', 'outcome-requested', 'message-received', 'peer-connected', 'peer-disconnected', 'leave-requested'] as const
  readonly ports: { readonly requests: RequestsPort }
  readonly #addressHoldMs: number
  readonly #homes = HomeDirectory.create()
  readonly #trace = TraceLog.create()
  readonly #lifecycle = Lifecycle.create(this.#homes, this.#trace)
  readonly #outcomeLookups = OutcomeLookups.create(this.#homes)
  #leave: LeaveTimes | undefined
  #hasLeft = false

  private constructor (options: PluginOptions) {
    this.#addressHoldMs = options.settings.addressHoldMs ?? ADDRESS_HOLD_MS
    this.ports = {
      requests: {
        countInFlight: () => this.#lifecycle.countActive(),
        listMoves: nowMs => this.#homes.listRecentMoves(nowMs),
        countInFlightAt: endpoint => this.#lifecycle.listActive().filter(active => listTargets(active).includes(endpoint)).length,
        explain: requestId => this.#trace.find(requestId)
      }
    }
  }

  static create (options: PluginOptions): RequestsPlugin {
    return new RequestsPlugin(options)
  }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'tick':
        this.#handleTick(context)
        break
      case 'request-received': {
        this.#trace.add(event.requestId, context.nowMs, 'received', `${event.team} ${event.service} ${event.method}`)
        const result = checkRequest(event, context)
        if (result.kind === 'admitted') this.#lifecycle.start(result.active, context)
        else this.#refuse(event.requestId, result, context)
        break
      }
      case 'caller-gone': {
        const active = this.#lifecycle.findActive(event.requestId)
        if (active !== undefined) this.#lifecycle.drop(active, context)
        break
      }
      case 'outcome-requested':
        this.#outcomeLookups.add(event.lookupId, event.team, event.keyText, context)
        break
      case 'message-received':
        this.#handleMessage(event.peer, event.message, context)
        break
      case 'peer-connected':
        this.#handleConnected(event.peer.id, context)
        break
      case 'peer-disconnected':
        this.#handleDisconnected(event.peer.id, context)
        break
      case 'leave-requested':
        this.#leave = { holdUntilMs: context.nowMs + this.#addressHoldMs, deadlineAtMs: context.nowMs + event.deadlineMs }
        break
      default:
    }
  }

  #refuse (requestId: string, refusal: Extract<ReturnType<typeof checkRequest>, { kind: 'refused' }>, context: Context): void {
    const { error, outcome } = refusal
    context.emit({ kind: 'reply-error', requestId, error, outcome, forwarded: false })
    context.emit({ kind: 'log', event: 'request-refused', fields: { request: requestId, error, outcome, forwarded: false } })
    context.emit({ kind: 'count', metric: 'requests', label: error })
    this.#trace.add(requestId, context.nowMs, 'refused', `${error} ${outcome}`)
  }

  #handleMessage (peer: ProcessRef, message: Message, context: Context): void {
    switch (message.kind) {
      case 'heartbeat':
        if (message.endpoint?.movedTo !== undefined) this.#noteMove({ home: peer.id, incarnation: peer.incarnation, to: message.endpoint.movedTo }, context)
        break
      case 'probe':
      case 'probe-ack':
        for (const move of message.moves ?? []) this.#noteMove(move, context)
        break
      case 'accepted':
      case 'started': {
        const work = this.#lifecycle.findAttempt(message.workId)
        if (work !== undefined) this.#lifecycle.addTraceStep(work.active, message.kind, work.attempt.endpoint, context)
        break
      }
      case 'head':
      case 'chunk':
      case 'end':
      case 'refused':
      case 'cancelled':
        handleAttemptMessage(message, this.#lifecycle, this.#homes, context)
        break
      case 'query-answer': {
        const active = this.#lifecycle.listActive().find(({ stage }) => stage.kind === 'querying' && stage.queryId === message.queryId)
        if (active === undefined) this.#outcomeLookups.handleAnswer(message.queryId, message.state, context)
        else handleQueryAnswer(active, message, this.#lifecycle, context)
        break
      }
      default:
    }
  }

  #noteMove (move: HomeMove, context: Context): void {
    this.#homes.noteMove(move, context.nowMs)
    this.#sendWaiting(move.home, context)
  }

  /** Sends the requests that waited for a connection to a process or for its successor. */
  #sendWaiting (peer: string, context: Context): void {
    for (const active of this.#lifecycle.listActive()) {
      if (active.stage.kind === 'connecting' && active.stage.target === peer) this.#lifecycle.sendAttempt(active, context)
    }
  }

  #handleConnected (peer: string, context: Context): void {
    this.#sendWaiting(peer, context)
    for (const active of this.#lifecycle.listActive()) this.#lifecycle.sendQuery(active, context)
    this.#outcomeLookups.update(context)
  }

  #handleDisconnected (peer: string, context: Context): void {
    for (const active of this.#lifecycle.listActive()) {
      const { stage } = active
      if (stage.kind === 'querying' && stage.target === peer) active.stage = { ...stage, sent: false }
      for (const attempt of [...active.attempts.values()]) {
        if (attempt.endpoint !== peer) continue
        this.#lifecycle.settleAttempt(active, attempt, 'failed', context)
        if (active.key !== undefined && stage.kind === 'open') this.#lifecycle.query(active, active.key, context)
        else this.#lifecycle.handleLostAttempt(active, { error: 'connection-lost', outcome: 'unknown' }, context)
      }
    }
    this.#outcomeLookups.noteDisconnected(context)
  }

  #handleTick (context: Context): void {
    for (const active of this.#lifecycle.listActive()) this.#advanceRequest(active, context)
    this.#outcomeLookups.update(context)
    this.#updateLeave(context)
  }

  /** Advances a request whose deadline or wait has passed. */
  #advanceRequest (active: ActiveRequest, context: Context): void {
    const { stage } = active
    switch (stage.kind) {
      case 'open':
        if (context.nowMs >= active.deadlineAtMs) this.#lifecycle.expire(active, context)
        else if (isHedgeDue(active, context.nowMs)) this.#lifecycle.hedge(active, context)
        break
      case 'backoff':
        if (context.nowMs >= active.deadlineAtMs) this.#lifecycle.expire(active, context)
        else if (context.nowMs >= stage.untilMs) this.#lifecycle.sendAttempt(active, context)
        break
      case 'connecting':
        if (context.nowMs >= stage.untilMs) this.#lifecycle.fail(active, { error: 'home-lost', outcome: 'unknown' }, context)
        break
      case 'cancelling':
        if (context.nowMs >= stage.untilMs) this.#lifecycle.fail(active, { error: 'deadline-exceeded', outcome: 'unknown' }, context)
        break
      case 'querying':
        if (context.nowMs >= stage.untilMs) this.#lifecycle.fail(active, { error: active.headSent ? 'stream-broken' : 'connection-lost', outcome: 'unknown' }, context)
        break
    }
  }

  #updateLeave (context: Context): void {
    if (this.#leave === undefined || this.#hasLeft) return
    const inFlight = this.#lifecycle.countActive()
    const isHoldOver = context.nowMs >= this.#leave.holdUntilMs
    const isDeadlinePassed = context.nowMs >= this.#leave.deadlineAtMs
    if (!isDeadlinePassed && (!isHoldOver || inFlight > 0)) return
    if (inFlight > 0) {
      context.emit({ kind: 'log', event: 'work-cut', fields: { count: inFlight } })
      for (const active of this.#lifecycle.listActive()) this.#lifecycle.fail(active, { error: 'leaving', outcome: 'unknown' }, context)
    }
    this.#hasLeft = true
    context.emit({ kind: 'leave-finished' })
  }
}

/** Lists the endpoint processes that a request needs a connection to. */
function listTargets (active: ActiveRequest): readonly string[] {
  const targets = [...active.attempts.values()].map(attempt => attempt.endpoint)
  return active.stage.kind === 'connecting' || active.stage.kind === 'querying' ? [...targets, active.stage.target] : targets
}

function isHedgeDue (active: ActiveRequest, nowMs: number): boolean {
  const { hedgeAfterMs } = active.profile
  if (hedgeAfterMs === undefined || !active.idempotent || active.winner !== undefined || active.attempts.size !== 1) return false
  return active.attemptsMade === 1 && nowMs - active.receivedAtMs >= hedgeAfterMs
}

registerPlugin({ name: 'requests', roles: ['entry'], create: options => RequestsPlugin.create(options) })
