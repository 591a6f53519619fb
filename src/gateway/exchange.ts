/** Handles one request at a gateway: its attempts, retries, stream resumptions and answer. */

import { assertNever } from '../kernel/errors.js'
import type { ErrorKind } from '../kernel/errors.js'
import type { EndpointView } from '../plugins/gateway/endpoints.js'
import type { AttemptResult } from '../plugins/gateway/selection.js'
import { classifyAnswer } from './answer-kind.js'
import { hasChunkForm } from './chunk-form.js'
import { RoomAdmission } from './room-admission.js'
import type { RoomResult } from './room-admission.js'
import { buildRoomWait, computePermitWaitMs } from './request-work.js'
import type { EventBatch } from './events.js'
import type { GatewayContext } from './context.js'
import type { MonitoredRequest } from './crash-monitor.js'
import type { ExchangeOptions } from './exchange-options.js'
import type { AnswerHead, RawHeaders } from './model.js'
import { FinalAnswer } from './final-answer.js'
import { ATTEMPT_MIN_MS, isStream, mayRunAgain } from './repeat.js'
import { assembleAnswer, checkSilence, createRunningAttempt, hasBegun, noteReadingResumed, noteStreamBytes } from './running-attempt.js'
import type { RunningAttempt } from './running-attempt.js'
import { settleAttempt } from './settle-attempt.js'
import { StartGate } from './start-gate.js'
import { StreamAnswer } from './stream-answer.js'
import { computeUrgency, isLate } from './urgency.js'
import { Attempt } from './upstream.js'
import type { AttemptFailure } from './upstream.js'

/** Time in ms to wait after the deadline, because the answer that the endpoint sends at its own deadline is still in transit. */
const ANSWER_GRACE_MS = 60

/** Backoff in ms before a request that an endpoint refused is sent to another one. */
const REFUSED_BACKOFF_MS = 30

/** One request from its receipt to the end of the answer. */
export class Exchange {
  readonly #options: ExchangeOptions
  readonly #context: GatewayContext
  readonly #deadlineAtMs: number
  readonly #monitored: MonitoredRequest
  readonly #gate: StartGate
  readonly #stream: StreamAnswer
  readonly #final: FinalAnswer
  readonly #tried = new Set<string>()
  #timer: NodeJS.Timeout | undefined
  #backoff: NodeJS.Timeout | undefined
  #admission: RoomAdmission | undefined
  #running: RunningAttempt | undefined
  /** Endpoint whose load counts an attempt that is not running yet. */
  #chosen: EndpointView | undefined
  #isDone = false
  /** Whether the caller has left; an attempt that may run only once goes on without it. */
  #isCallerGone = false

  private constructor (options: ExchangeOptions, context: GatewayContext) {
    this.#options = options
    this.#context = context
    const { request, fingerprint, team, route, service, receivedAtMs } = options
    this.#stream = StreamAnswer.create({ response: options.response, isResumable: route.repeat === 'resumable-stream', lastEventId: request.lastEventId, parseEventId: text => context.dialect.parseEventId(text), memory: context.memory })
    this.#monitored = { requestId: request.requestId, fingerprint, team: team?.name ?? '', parts: request.sharedParts ?? [] }
    this.#deadlineAtMs = receivedAtMs + Math.min(request.deadlineMs ?? Infinity, route.timeoutMs)
    this.#final = FinalAnswer.create({ exchange: options, context, stream: this.#stream, deadlineAtMs: this.#deadlineAtMs })
    const held = { requestId: request.requestId, service, receivedAtMs, deadlineAtMs: this.#deadlineAtMs, priority: team?.priority ?? route.priority }
    this.#gate = StartGate.create(context, held, {
      proceed: () => { this.#runStep(() => { this.#admit() }) },
      refuse: () => { this.#runStep(() => { this.#fail('overloaded') }) }
    })
  }

  /**
   * @param options - the request
   * @param context - shared context of the gateway
   * @returns an exchange that has not started
   */
  static create (options: ExchangeOptions, context: GatewayContext): Exchange {
    return new Exchange(options, context)
  }

  /** Sends the first attempt. */
  start (): void {
    this.#runStep(() => { this.#begin() })
  }

  #begin (): void {
    const nowMs = this.#context.getNowMs()
    this.#context.retries.noteRequest(this.#options.service, nowMs)
    this.#timer = setTimeout(() => { this.#runStep(() => { this.#handleDeadline() }) }, Math.max(0, this.#deadlineAtMs - nowMs) + ANSWER_GRACE_MS)
    this.#options.response.on('close', () => { this.#runStep(() => { this.#handleCallerClosed() }) })
    this.#options.response.on('drain', () => { this.#runStep(() => { this.#resumeReading() }) })
    this.#startAttempt()
  }

  /**
   * Abandons the attempt when its endpoint is silent and another one can take over.
   *
   * @param nowMs - monotonic time in ms
   * @returns the endpoint when it should be probed
   */
  checkLiveness (nowMs: number): EndpointView | undefined {
    const running = this.#running
    if (running?.attempt.isSent !== true || running.isPaused) return undefined
    const timeLimitMs = this.#deadlineAtMs - this.#options.receivedAtMs
    const silence = checkSilence(running, { liveness: this.#context.liveness, repeat: this.#options.route.repeat, timeLimitMs, nowMs })
    if (silence !== undefined) {
      this.#abandon(running, silence, nowMs)
      return undefined
    }
    return this.#context.liveness.shouldProbe(running.endpoint.record.id, nowMs - running.lastActivityMs, nowMs) ? running.endpoint : undefined
  }

  /** Ends the exchange when the grace period of a planned stop is over. */
  abort (): void {
    this.#runStep(() => { this.#fail('leaving') })
  }

  /** Runs a step of the request; after an exception the request ends with the answer that its state allows. */
  #runStep (step: () => void): void {
    this.#context.boundary.run('request', step, () => { this.#fail('internal') }, { request: this.#options.request.requestId })
  }

  #startAttempt (): void {
    const nowMs = this.#context.getNowMs()
    if (this.#isCallerGone) {
      this.#cancel()
      return
    }
    if (!this.#context.crashMonitor.accept(this.#monitored)) {
      this.#fail('quarantined')
      return
    }
    if (this.#deadlineAtMs - nowMs < ATTEMPT_MIN_MS) {
      this.#handleDeadline()
      return
    }
    this.#gate.enter(this.#isLate(nowMs), !this.#stream.hasBegun)
  }

  #isLate (nowMs: number): boolean {
    const { request: { deadlineMs }, route, receivedAtMs } = this.#options
    return isLate(route, { deadlineMs, waitedMs: nowMs - receivedAtMs, isResumed: this.#stream.lastEventId !== undefined })
  }

  #admit (): void {
    const leftMs = this.#deadlineAtMs - this.#context.getNowMs()
    const waitMaxMs = computePermitWaitMs(this.#options.route, leftMs)
    const wait = buildRoomWait(this.#options, this.#deadlineAtMs, this.#context.roomQueue.getFirstEventMs(this.#options.service))
    // A caller that has received part of the answer leaves when it waits long for the rest.
    this.#admission = RoomAdmission.create({ wait, mustStart: this.#stream.lastEventId !== undefined, tried: this.#tried, waitMaxMs }, this.#context, result => { this.#runStep(() => { this.#handleAdmission(result) }) })
    this.#admission.start()
  }

  #handleAdmission (result: RoomResult): void {
    this.#admission = undefined
    switch (result.kind) {
      case 'admitted':
        this.#sendAttempt(result)
        break
      case 'limited':
        this.#fail('overloaded')
        break
      case 'no-endpoint':
        this.#fail('no-endpoint')
        break
      default:
        assertNever(result)
    }
  }

  #sendAttempt ({ selection: { endpoint, inFlight }, access, permit }: Extract<RoomResult, { kind: 'admitted' }>): void {
    const { request, method, body, team, route } = this.#options
    const { record } = endpoint
    this.#chosen = endpoint
    const nowMs = this.#context.getNowMs()
    this.#tried.add(record.id)
    this.#final.attempts += 1
    const attemptHeaders = this.#context.dialect.buildAttempt(request.headers, {
      endpointId: record.id,
      deadlineLeftMs: Math.max(1, Math.floor(this.#deadlineAtMs - nowMs)),
      priority: computeUrgency(team?.priority ?? route.priority, this.#isLate(nowMs)),
      bodyBytes: body.length,
      ...(team === undefined ? {} : { team: team.name }),
      ...(this.#stream.lastEventId === undefined ? {} : { lastEventId: this.#stream.lastEventId })
    })
    this.#context.log('work-started', { request: request.requestId, attempt: this.#final.attempts, access, inFlight, ...this.#context.describeEndpoint(endpoint) })
    const attempt = Attempt.create({ address: record.address, method, path: request.path, headers: attemptHeaders, body, findObstacle: () => this.#context.findObstacle(endpoint, permit) }, {
      handleHead: (status, answerHeaders) => { this.#runStep(() => { this.#handleHead(status, answerHeaders) }) },
      handleData: chunk => { this.#runStep(() => { this.#handleData(chunk) }) },
      handleEnd: () => { this.#runStep(() => { this.#handleEnd() }) },
      handleFailure: failure => { this.#runStep(() => { this.#handleFailure(failure) }) }
    })
    this.#running = createRunningAttempt(attempt, endpoint, nowMs)
    this.#chosen = undefined
  }

  /** Retries at another endpoint; stays with this one when no alternative is left, as it may recover. */
  #abandon (running: RunningAttempt, reason: string, nowMs: number): void {
    const { route, service } = this.#options
    const hasAlternative = this.#context.hasAlternative(service, this.#tried)
    if (!mayRunAgain(route.repeat) || !hasAlternative || this.#final.attempts >= route.attemptsMax || !this.#context.acceptRetry(service, nowMs)) return
    running.attempt.abort()
    this.#settleAttempt('silent', reason)
    this.#retry('connection-lost', 0)
  }

  #resumeReading (): void {
    this.#stream.noteDrained()
    const running = this.#running
    if (running === undefined) return
    const nowMs = this.#context.getNowMs()
    noteReadingResumed(running, nowMs)
    running.attempt.resume()
  }

  #handleHead (status: number, headers: RawHeaders): void {
    const running = this.#running
    if (running === undefined) return
    this.#context.dialect.parseAnswer(status, headers).caseOf({
      Left: reason => { this.#break(running, reason) },
      Right: head => { this.#handleDecodedHead(running, head) }
    })
  }

  #handleDecodedHead (running: RunningAttempt, head: AnswerHead): void {
    const { request: { requestId }, route: { repeat } } = this.#options
    const answerKind = classifyAnswer(head, { requestId, repeat, hasBegun: this.#stream.hasBegun })
    if (answerKind.kind === 'broken') {
      this.#break(running, answerKind.reason)
      return
    }
    this.#noteActivity(running)
    if (answerKind.kind !== 'misdirected') {
      this.#context.noteLimit(running.endpoint, head.limit, running.startedAtMs)
      this.#context.noteAnnouncement(running.endpoint, head)
      if (answerKind.kind !== 'refused') this.#context.recovery.noteWorking(running.endpoint)
    }
    running.head = head
    running.answerKind = answerKind
    if (answerKind.kind === 'stream') running.splitter = this.#stream.createSplitter()
  }

  #handleData (chunk: Buffer): void {
    const running = this.#running
    if (running === undefined) return
    this.#noteActivity(running)
    if (running.splitter === undefined) {
      running.body.add(chunk)
      this.#noteBuffered(running, running.body.cost)
      return
    }
    const batch = running.splitter.add(chunk)
    this.#noteBuffered(running, running.splitter.heldCost)
    if (this.#running !== running) return
    if (running.splitter.isTooLarge) {
      this.#break(running, 'event too large')
      return
    }
    noteStreamBytes(running, batch?.count ?? 0, this.#context.getNowMs())
    if (batch !== undefined) this.#writeEvents(running, batch)
    if (running.splitter.isForeign) this.#break(running, 'foreign event')
  }

  #noteBuffered (running: RunningAttempt, bytes: number): void {
    this.#context.memory.noteReading(running, bytes, () => { this.#break(running, 'answer too large') })
  }

  #writeEvents (running: RunningAttempt, batch: EventBatch): void {
    if (running.firstEventMs === undefined) this.#noteFirstEvent(running)
    const hadBegun = hasBegun(running)
    running.events += batch.count
    if (!hadBegun && hasBegun(running)) this.#context.crashMonitor.noteBegun(this.#monitored, running.startedAtMs)
    if (running.head !== undefined) this.#stream.begin(running.head)
    if (this.#stream.write(batch)) return
    running.isPaused = true
    running.attempt.pause()
  }

  /** Closes the connection of an attempt whose answer is not one. */
  #break (running: RunningAttempt, reason: string): void {
    if (this.#running !== running) return
    running.attempt.abort()
    this.#handleFailure({ kind: 'broken', reason })
  }

  #noteActivity (running: RunningAttempt): void {
    running.lastActivityMs = this.#context.getNowMs()
    this.#context.noteActivity(running.endpoint)
  }

  #noteFirstEvent (running: RunningAttempt): void {
    running.firstEventMs = this.#context.getNowMs() - running.startedAtMs
    this.#context.roomQueue.noteFirstEvent(this.#options.service, running.firstEventMs)
    if (this.#stream.hasBegun) return
    this.#context.metrics.observe('first_byte_ms', this.#context.getNowMs() - this.#options.receivedAtMs, this.#options.service)
  }

  #handleEnd (): void {
    const running = this.#running
    if (running?.head === undefined || running.answerKind === undefined) return
    const { head, answerKind } = running
    switch (answerKind.kind) {
      case 'stream':
        this.#endStream(running, head)
        break
      case 'refused':
      case 'misdirected':
        this.#settleAttempt('refused', head.faultyEndpoint === undefined ? `status ${head.status}` : `group lost ${head.faultyEndpoint}`)
        this.#handleRefused(running, head)
        break
      case 'unclear-refusal':
        this.#settleAttempt('failed', `status ${head.status} without a statement that it did not run`)
        this.#fail(this.#stream.hasBegun ? 'stream-broken' : 'endpoint-failed')
        break
      case 'failure':
        this.#context.crashMonitor.noteBegun(this.#monitored, running.startedAtMs)
        this.#settleAttempt('failed')
        this.#final.keepFailure(assembleAnswer(running, head))
        this.#retryOrFail('endpoint-failed', 0)
        break
      case 'no-continuation':
        this.#settleAttempt('failed', `status ${head.status} to the rest of a stream`)
        this.#retryOrFail('stream-broken', 0)
        break
      case 'whole':
        this.#endWhole(running, head)
        break
      case 'broken':
        break
      default:
        assertNever(answerKind)
    }
  }

  #endWhole (running: RunningAttempt, head: AnswerHead): void {
    const answer = assembleAnswer(running, head)
    if (head.isUnframed && hasChunkForm(answer.body)) {
      this.#handleFailure({ kind: 'broken', reason: 'chunks as a body' })
      return
    }
    this.#noteAnswered(running)
    this.#end(() => { this.#final.send(answer, 'ok') })
  }

  #endStream (running: RunningAttempt, head: AnswerHead): void {
    if (running.splitter?.isPartial === true) {
      this.#handleFailure({ kind: 'broken', reason: 'stream ended inside an event' })
      return
    }
    const batch = running.splitter?.finish()
    if (batch !== undefined) this.#writeEvents(running, batch)
    this.#noteAnswered(running)
    this.#end(() => { this.#final.endStream(head) })
  }

  /** Records a complete answer, which shows that the request is harmless. */
  #noteAnswered (running: RunningAttempt): void {
    this.#settleAttempt('ok')
    this.#context.lateLane.noteAnswered(this.#options.service, this.#context.getNowMs() - running.startedAtMs)
    this.#context.crashes.clear(this.#options.fingerprint)
    this.#context.crashMonitor.noteBegun(this.#monitored, running.startedAtMs)
  }

  #handleFailure (failure: AttemptFailure): void {
    const running = this.#running
    if (running === undefined) return
    switch (failure.kind) {
      case 'unreachable':
        this.#settleAttempt('unreachable', failure.reason)
        this.#final.attempts -= 1
        this.#startAttempt()
        break
      case 'broken':
        this.#settleAttempt('failed', failure.reason)
        this.#context.crashMonitor.checkBroken(running, this.#monitored, () => {
          this.#runStep(() => { if (!this.#isDone) this.#retryOrFail(this.#stream.hasBegun ? 'stream-broken' : 'connection-lost', 0) })
        })
        break
    }
  }

  #handleRefused (running: RunningAttempt, head: AnswerHead): void {
    if (head.misdirected) {
      // Another endpoint has the address, so the attempt did not reach an endpoint of this route and does not count.
      this.#final.attempts -= 1
      this.#context.noteMisdirected(running.endpoint)
      if (this.#context.acceptRetry(this.#options.service, this.#context.getNowMs())) this.#startAttempt()
      else this.#fail('overloaded')
      return
    }
    this.#final.isGroupLost = head.faultyEndpoint !== undefined
    this.#context.recovery.noteRefused(running.endpoint)
    if (this.#context.listAvailable(this.#options.service).length === 0) this.#fail('no-endpoint')
    else this.#retryOrFail('overloaded', REFUSED_BACKOFF_MS)
  }

  /** Retries when the request may be repeated or has certainly not run; otherwise sends the error. */
  #retryOrFail (error: ErrorKind, backoffMs: number): void {
    if (this.#isCallerGone) {
      this.#cancel()
      return
    }
    if (this.#final.acceptRetry(backoffMs)) this.#retry(error, backoffMs)
    else this.#fail(error)
  }

  #retry (error: ErrorKind, backoffMs: number): void {
    this.#context.metrics.count(this.#stream.hasBegun ? 'resumes' : 'retries')
    this.#context.log(this.#stream.hasBegun ? 'stream-resumed' : 'request-retried', { request: this.#options.request.requestId, error, attempt: this.#final.attempts + 1, events: this.#stream.events })
    if (backoffMs === 0) this.#startAttempt()
    else this.#backoff = setTimeout(() => { this.#runStep(() => { this.#startAttempt() }) }, backoffMs)
  }

  #settleAttempt (result: AttemptResult, reason = ''): void {
    const running = this.#running
    if (running === undefined) return
    this.#running = undefined
    // Whatever follows, an endpoint that has the request and does not state that it did not run may have run it.
    if (running.attempt.isSent && result !== 'refused') this.#final.mayHaveRun = true
    settleAttempt(this.#context, running, { request: this.#options.request, service: this.#options.service, result, reason, events: this.#stream.events })
  }

  #handleDeadline (): void {
    if (this.#isDone) return
    this.#closeAttempt('deadline')
    this.#fail('deadline-exceeded')
  }

  #handleCallerClosed (): void {
    if (this.#isDone) return
    this.#isCallerGone = true
    const { request, route } = this.#options
    this.#context.log('caller-gone', { request: request.requestId, events: this.#stream.events, sent: this.#final.attempts, ...(this.#stream.isDropped ? { reason: 'dropped to free memory' } : {}) })
    const mustGoOn = this.#running?.attempt.isSent === true && !mayRunAgain(route.repeat) && !isStream(route.repeat)
    if (!mustGoOn) this.#cancel()
  }

  /** Ends the request of a caller that has left. */
  #cancel (): void {
    this.#closeAttempt('caller disconnected')
    this.#end(() => { this.#final.cancel() })
  }

  /** Closes the attempt in progress; one that was sent may have run the request. */
  #closeAttempt (reason: string): void {
    const running = this.#running
    if (this.#chosen !== undefined) this.#context.selection.noteEnd(this.#chosen.record.id, 'not-sent', 0, this.#context.getNowMs())
    this.#chosen = undefined
    if (running === undefined) return
    running.attempt.abort()
    this.#settleAttempt('cancelled', reason)
  }

  #fail (error: ErrorKind): void {
    if (this.#isDone) return
    this.#closeAttempt(error)
    this.#end(() => { this.#final.fail(error) })
  }

  /** Sends the final answer, and gives back what the request holds. */
  #end (send: () => void): void {
    this.#isDone = true
    clearTimeout(this.#timer)
    clearTimeout(this.#backoff)
    this.#admission?.cancel()
    this.#gate.leave()
    this.#final.forgetFailure()
    this.#context.memory.releaseBody(this.#options.response)
    this.#context.requestRoom.release(this.#options.response)
    this.#context.boundary.run('request', send, () => { this.#options.response.destroy() }, { request: this.#options.request.requestId })
    this.#context.removeExchange(this)
  }
}
