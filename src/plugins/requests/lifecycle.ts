/** Sends the attempts of requests, retries and resumes them, and ends them. */

import { ERROR_RESPONSES } from '../../kernel/errors.js'
import type { ErrorKind } from '../../kernel/errors.js'
import type { Context } from '../../kernel/plugin.js'
import type { RouteChoice } from '../../kernel/ports.js'
import type { RequestKey } from '../../protocol/messages.js'
import { QUERY_TIMEOUT_MS } from './outcome-lookups.js'
import { RetryBudget } from './budget.js'
import type { HomeDirectory } from './homes.js'
import { sendEnd, sendFailure } from './replies.js'
import { buildSubmit, formatWorkId } from './submit.js'
import type { TraceLog } from './trace.js'
import type { ActiveRequest, Attempt, Failure } from './types.js'

/** Longest wait in ms for a connection to the home of a key. */
const CONNECT_TIMEOUT_MS = 2_000

/** Longest wait in ms for the outcomes of attempts cancelled at the deadline. */
const CANCEL_TIMEOUT_MS = 1_000

/** Largest backoff in ms. */
const BACKOFF_MAX_MS = 5_000

/** Retry delay in ms suggested to callers when no endpoint is available. */
const NO_ENDPOINT_RETRY_MS = 1_000

/** Errors caused by planned changes. Work that was refused with one of them and never ran is retried, even when it may run only once. */
const PLANNED_REFUSALS: ReadonlySet<ErrorKind> = new Set(['leaving', 'domain-out', 'configuration-stale'])

/** Requests in flight and the operations that advance them. */
export class Lifecycle {
  readonly #active = new Map<string, ActiveRequest>()
  /** Request id by work id. */
  readonly #requestIdsByWork = new Map<string, string>()
  readonly #budget = RetryBudget.create()
  readonly #homes: HomeDirectory
  readonly #trace: TraceLog

  private constructor (homes: HomeDirectory, trace: TraceLog) {
    this.#homes = homes
    this.#trace = trace
  }

  /**
   * @param homes - finds the process that serves a key
   * @param trace - records the steps of requests for `explain`
   * @returns a lifecycle without requests
   */
  static create (homes: HomeDirectory, trace: TraceLog): Lifecycle {
    return new Lifecycle(homes, trace)
  }

  /** @returns requests in flight */
  listActive (): readonly ActiveRequest[] {
    return [...this.#active.values()]
  }

  /** @returns count of requests in flight */
  countActive (): number {
    return this.#active.size
  }

  /** @returns the request and attempt of a work id; undefined once the attempt has ended */
  findAttempt (workId: string): { readonly active: ActiveRequest, readonly attempt: Attempt } | undefined {
    const active = this.#active.get(this.#requestIdsByWork.get(workId) ?? '')
    const attempt = active?.attempts.get(workId)
    return active === undefined || attempt === undefined ? undefined : { active, attempt }
  }

  /** @returns the request; undefined when it is not in flight */
  findActive (requestId: string): ActiveRequest | undefined {
    return this.#active.get(requestId)
  }

  /** Adds a step to the trace of a request. */
  addTraceStep (active: ActiveRequest, step: string, detail: string, context: Context): void {
    this.#trace.add(active.received.requestId, context.nowMs, step, detail)
  }

  /** Adds a request and sends its first attempt. */
  start (active: ActiveRequest, context: Context): void {
    this.#active.set(active.received.requestId, active)
    this.#budget.noteFirstAttempt(active.received.service)
    this.sendAttempt(active, context)
  }

  /** Sends an attempt to the home of the key, or to an endpoint chosen by routing when there is no key. */
  sendAttempt (active: ActiveRequest, context: Context): void {
    active.stage = { kind: 'open' }
    if (active.key !== undefined) this.#sendToHome(active, active.key, context)
    else this.#sendToChosenEndpoint(active, context)
  }

  #sendToHome (active: ActiveRequest, key: RequestKey, context: Context): void {
    const home = this.#homes.findHome(key, context)
    switch (home.kind) {
      case 'connected':
        this.#submit(active, home.id, 'home', context)
        break
      case 'absent':
        this.#waitForHome(active, home.id, context)
        break
      case 'replaced':
        this.fail(active, { error: 'home-lost', outcome: 'unknown' }, context)
        break
    }
  }

  #waitForHome (active: ActiveRequest, target: string, context: Context): void {
    if (context.getPort('configuration').findEndpoint(target) === undefined) {
      this.fail(active, { error: 'home-lost', outcome: 'unknown' }, context)
      return
    }
    active.stage = { kind: 'connecting', target, untilMs: Math.min(active.deadlineAtMs, context.nowMs + CONNECT_TIMEOUT_MS) }
    this.addTraceStep(active, 'connecting', target, context)
    context.raise({ kind: 'peer-wanted', peer: target })
  }

  #sendToChosenEndpoint (active: ActiveRequest, context: Context): void {
    const choice = this.#chooseEndpoint(active, active.triedEndpoints, context) ?? this.#chooseEndpoint(active, new Set(), context)
    if (choice === undefined) {
      this.fail(active, { error: 'no-endpoint', outcome: 'not-run', retryAfterMs: NO_ENDPOINT_RETRY_MS }, context)
      return
    }
    if (!active.idempotent) active.key = this.#createInternalKey(active, choice.endpoint, context)
    this.#submit(active, choice.endpoint, choice.reason, context)
  }

  #chooseEndpoint ({ received, profile }: ActiveRequest, exclude: ReadonlySet<string>, context: Context): RouteChoice | undefined {
    const { service, fingerprint, prefixHash } = received
    return context.getPort('routing').chooseEndpoint({ service, profile, fingerprint, exclude, ...(prefixHash === undefined ? {} : { prefixHash }) }, context)
  }

  /** Creates an internal key, so that the home can be queried for the outcome after a lost connection. */
  #createInternalKey (active: ActiveRequest, endpoint: string, context: Context): RequestKey | undefined {
    const view = context.getPort('membership').findPeer(endpoint)
    const tokens = context.findPort('tokens')
    if (view?.endpoint === undefined || tokens === undefined) return undefined
    const { id, incarnation, domain } = view.process
    const { window } = view.endpoint
    const token = tokens.formatToken(active.received.service, { id, incarnation, domain, window })
    return { home: id, incarnation, window, text: `${token}.${context.random.pickHex(32)}` }
  }

  #submit (active: ActiveRequest, endpoint: string, reason: string, context: Context): void {
    active.attemptsMade += 1
    active.triedEndpoints.add(endpoint)
    const workId = formatWorkId(active)
    active.attempts.set(workId, { workId, endpoint, sentAtMs: context.nowMs, headAfterMs: undefined, chunkCount: active.relayedChunks })
    this.#requestIdsByWork.set(workId, active.received.requestId)
    context.getPort('routing').noteStart(endpoint, context)
    context.emit({ kind: 'send', peer: endpoint, message: buildSubmit(active, workId, context) })
    this.addTraceStep(active, 'submitted', `${endpoint} ${reason}`, context)
  }

  /** Hedges slow idempotent work: sends a second attempt to another endpoint if the retry budget allows it. */
  hedge (active: ActiveRequest, context: Context): void {
    if (active.attemptsMade >= active.profile.attemptsMax) return
    const choice = this.#chooseEndpoint(active, active.triedEndpoints, context)
    if (choice === undefined || !this.#budget.acceptRetry(active.received.service)) return
    context.emit({ kind: 'count', metric: 'hedges' })
    this.#submit(active, choice.endpoint, `hedge ${choice.reason}`, context)
  }

  /** Ends an attempt and reports its result and latency to routing. */
  settleAttempt (active: ActiveRequest, attempt: Attempt, result: 'ok' | 'refused' | 'failed', context: Context): void {
    if (!active.attempts.delete(attempt.workId)) return
    this.#requestIdsByWork.delete(attempt.workId)
    const elapsedMs = attempt.headAfterMs ?? context.nowMs - attempt.sentAtMs
    context.getPort('routing').noteEnd(attempt.endpoint, result, elapsedMs, context)
  }

  /** Cancels and removes every attempt but one. */
  cancelOthers (active: ActiveRequest, keptWorkId: string, context: Context): void {
    for (const attempt of [...active.attempts.values()]) {
      if (attempt.workId !== keptWorkId) this.#cancel(active, attempt, context)
    }
  }

  /** Cancels an attempt whose response is no longer needed. */
  #cancel (active: ActiveRequest, attempt: Attempt, context: Context): void {
    context.emit({ kind: 'send', peer: attempt.endpoint, message: { kind: 'cancel', workId: attempt.workId } })
    this.settleAttempt(active, attempt, 'refused', context)
    active.mayHaveRun = true
  }

  /** Cancels an attempt whose response is inconsistent, and handles it as lost. */
  abortAttempt (active: ActiveRequest, attempt: Attempt, context: Context): void {
    context.emit({ kind: 'send', peer: attempt.endpoint, message: { kind: 'cancel', workId: attempt.workId } })
    this.settleAttempt(active, attempt, 'failed', context)
    this.handleLostAttempt(active, { error: 'stream-broken', outcome: 'unknown' }, context)
  }

  /** Resumes, retries or fails a request after an attempt ended without a complete response. */
  handleLostAttempt (active: ActiveRequest, failure: Failure, context: Context): void {
    if (failure.outcome === 'unknown') active.mayHaveRun = true
    if (failure.outcome === 'run') active.hasRun = true
    this.addTraceStep(active, 'attempt-lost', `${failure.error} ${failure.outcome}`, context)
    if (active.stage.kind === 'cancelling') {
      if (active.attempts.size === 0) this.fail(active, { error: 'deadline-exceeded', outcome: failure.outcome }, context)
      return
    }
    if (active.attempts.size > 0) return
    active.winner = undefined
    if (active.headSent) this.#resume(active, context)
    else if (this.#mayRetry(active, failure)) this.#retry(active, failure, context)
    else this.fail(active, failure, context)
  }

  #mayRetry (active: ActiveRequest, failure: Failure): boolean {
    if (active.attemptsMade >= active.profile.attemptsMax || !active.keyIsInternal) return false
    if (active.idempotent) return ERROR_RESPONSES[failure.error].retryable
    return failure.outcome === 'not-run' && !active.mayHaveRun && PLANNED_REFUSALS.has(failure.error)
  }

  #retry (active: ActiveRequest, failure: Failure, context: Context): void {
    const backoffMs = Math.min(BACKOFF_MAX_MS, active.profile.backoffBaseMs * 2 ** (active.attemptsMade - 1)) * (0.5 + 0.5 * context.random.pickFloat())
    const untilMs = context.nowMs + backoffMs
    if (untilMs >= active.deadlineAtMs || !this.#acceptRetry(active, failure)) {
      this.fail(active, failure, context)
      return
    }
    // The home has closed the internal key of refused non-idempotent work, so the next attempt needs a new one.
    active.key = undefined
    active.stage = { kind: 'backoff', untilMs }
    this.addTraceStep(active, 'backoff', `${Math.round(backoffMs)} ms`, context)
    context.emit({ kind: 'log', event: 'request-retried', fields: { request: active.received.requestId, error: failure.error, attempt: active.attemptsMade + 1 } })
    context.emit({ kind: 'count', metric: 'retries' })
  }

  /** Work refused because of a planned change never ran, so its retry adds no load and does not use the budget. */
  #acceptRetry (active: ActiveRequest, failure: Failure): boolean {
    if (failure.outcome === 'not-run' && PLANNED_REFUSALS.has(failure.error)) return true
    return this.#budget.acceptRetry(active.received.service)
  }

  /**
   * Resumes a model stream at another endpoint. A resume generates only the
   * remaining chunks, so it is limited by the count of attempts and not by the
   * retry budget.
   */
  #resume (active: ActiveRequest, context: Context): void {
    const resumable = active.idempotent && active.serviceKind === 'model' && active.status === 200
    if (!resumable || active.attemptsMade >= active.profile.attemptsMax || context.nowMs >= active.deadlineAtMs) {
      this.fail(active, { error: 'stream-broken', outcome: 'unknown' }, context)
      return
    }
    context.emit({ kind: 'log', event: 'stream-resumed', fields: { request: active.received.requestId, chunks: active.relayedChunks } })
    context.emit({ kind: 'count', metric: 'resumes' })
    this.sendAttempt(active, context)
  }

  /** Queries the home for the state of a key after its connection was lost. */
  query (active: ActiveRequest, key: RequestKey, context: Context): void {
    active.mayHaveRun = true
    const home = this.#homes.findHome(key, context)
    const queryId = `query-${active.received.requestId}-${active.attemptsMade}`
    active.stage = { kind: 'querying', queryId, target: home.id, sent: false, untilMs: context.nowMs + QUERY_TIMEOUT_MS }
    this.addTraceStep(active, 'querying', home.id, context)
    if (home.kind === 'absent') context.raise({ kind: 'peer-wanted', peer: home.id })
    else this.sendQuery(active, context)
  }

  /** Sends the pending query of a request once its home is connected. */
  sendQuery (active: ActiveRequest, context: Context): void {
    if (active.stage.kind !== 'querying' || active.stage.sent || active.key === undefined) return
    const home = this.#homes.findHome(active.key, context)
    if (home.kind === 'replaced') this.fail(active, { error: 'home-lost', outcome: 'unknown' }, context)
    if (home.kind !== 'connected') return
    const { team, service } = active.received
    context.emit({ kind: 'send', peer: home.id, message: { kind: 'query', queryId: active.stage.queryId, team, service, key: active.key } })
    active.stage = { ...active.stage, target: home.id, sent: true }
  }

  /** Waits until the leaving home announces its successor; the key is then sent there. */
  waitForMove (active: ActiveRequest, home: string, context: Context): void {
    active.stage = { kind: 'connecting', target: home, untilMs: Math.min(active.deadlineAtMs, context.nowMs + CONNECT_TIMEOUT_MS) }
    this.addTraceStep(active, 'home-moves', home, context)
  }

  /** Resends the same key to its home, to join the running work or get the stored response. */
  rejoin (active: ActiveRequest, target: string, context: Context): void {
    active.stage = { kind: 'open' }
    this.#submit(active, target, 'rejoin', context)
  }

  /** Cancels all attempts at the deadline and waits up to `CANCEL_TIMEOUT_MS` for their outcomes. */
  expire (active: ActiveRequest, context: Context): void {
    this.addTraceStep(active, 'deadline-passed', '', context)
    if (active.attempts.size === 0) {
      this.fail(active, { error: 'deadline-exceeded', outcome: active.attemptsMade === 0 ? 'not-run' : active.mayHaveRun ? 'unknown' : 'not-run' }, context)
      return
    }
    active.stage = { kind: 'cancelling', untilMs: context.nowMs + CANCEL_TIMEOUT_MS }
    for (const { endpoint, workId } of active.attempts.values()) context.emit({ kind: 'send', peer: endpoint, message: { kind: 'cancel', workId } })
  }

  /** Sends an error response and removes the request. */
  fail (active: ActiveRequest, failure: Failure, context: Context): void {
    const outcome = sendFailure(active, failure, context)
    this.addTraceStep(active, 'failed', `${failure.error} ${outcome}`, context)
    this.#removeRequest(active, context)
  }

  /** Ends a complete response and removes the request. */
  finish (active: ActiveRequest, context: Context): void {
    sendEnd(active, context)
    this.addTraceStep(active, 'finished', `${active.relayedChunks} chunks`, context)
    this.#removeRequest(active, context)
  }

  /** Cancels and removes a request whose caller has disconnected. */
  drop (active: ActiveRequest, context: Context): void {
    this.addTraceStep(active, 'caller-gone', '', context)
    context.emit({ kind: 'count', metric: 'requests', label: 'cancelled' })
    this.#removeRequest(active, context)
  }

  #removeRequest (active: ActiveRequest, context: Context): void {
    for (const attempt of [...active.attempts.values()]) this.#cancel(active, attempt, context)
    this.#active.delete(active.received.requestId)
  }
}
