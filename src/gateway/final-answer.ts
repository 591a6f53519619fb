/** The one answer that ends a request: it is chosen by what is known of the attempts, sent and logged. */

import type { LogFields } from '../edge/log/logger.js'
import { ERROR_RESPONSES } from '../kernel/errors.js'
import type { ErrorKind } from '../kernel/errors.js'
import type { GatewayContext } from './context.js'
import type { ExchangeOptions } from './exchange-options.js'
import type { AnswerHead } from './model.js'
import { ATTEMPT_MIN_MS, chooseStatus, mayRunAgain } from './repeat.js'
import { computeRetryAfterMs, sendAnswer, sendRefusal } from './responses.js'
import type { BufferedAnswer } from './running-attempt.js'
import type { StreamAnswer } from './stream-answer.js'

/** What a final answer is created with. */
export interface FinalAnswerOptions {
  readonly exchange: ExchangeOptions
  readonly context: GatewayContext
  readonly stream: StreamAnswer
  /** Monotonic time in ms at which the caller leaves. */
  readonly deadlineAtMs: number
}

/** Why a request is not sent to another endpoint. */
type RetryObstacle = 'may-have-run' | 'no-time' | 'attempts-used' | 'retry-budget'

/** Final answer of one request. */
export class FinalAnswer {
  readonly #options: FinalAnswerOptions
  /** Attempts that were sent. */
  attempts = 0
  /** Whether any attempt may have run the request. */
  mayHaveRun = false
  /** Whether the last refusal was because the group of the endpoint has lost a rank. */
  isGroupLost = false
  /** Complete error answer of an endpoint, sent to the caller when no retry succeeds. */
  #failureAnswer: BufferedAnswer | undefined
  #retryObstacle: RetryObstacle | undefined

  private constructor (options: FinalAnswerOptions) {
    this.#options = options
  }

  /**
   * @param options - the request, and what its caller has received
   * @returns an answer that has not been sent
   */
  static create (options: FinalAnswerOptions): FinalAnswer {
    return new FinalAnswer(options)
  }

  /** Keeps the error answer of an endpoint for the case that no retry succeeds. */
  keepFailure (answer: BufferedAnswer): void {
    this.#failureAnswer = answer
    this.#options.context.memory.noteSending(this, answer.body.length)
  }

  /** Gives back the memory of the error answer. */
  forgetFailure (): void {
    this.#options.context.memory.releaseAnswer(this)
  }

  /**
   * Spends a retry of the budget unless the request must not be sent again.
   *
   * @param backoffMs - time in ms until it would be sent
   * @returns whether it may be; otherwise the log line of the answer says why not
   */
  acceptRetry (backoffMs: number): boolean {
    this.#retryObstacle = this.#findRetryObstacle(backoffMs)
    return this.#retryObstacle === undefined
  }

  #findRetryObstacle (backoffMs: number): RetryObstacle | undefined {
    const { exchange: { route, service }, context, deadlineAtMs } = this.#options
    const nowMs = context.getNowMs()
    if (this.mayHaveRun && !mayRunAgain(route.repeat)) return 'may-have-run'
    if (nowMs + backoffMs + ATTEMPT_MIN_MS >= deadlineAtMs) return 'no-time'
    if (this.attempts >= route.attemptsMax) return 'attempts-used'
    return context.acceptRetry(service, nowMs) ? undefined : 'retry-budget'
  }

  /** Sends a complete answer of an endpoint. */
  send (answer: BufferedAnswer, result: ErrorKind | 'ok'): void {
    const { exchange: { response, method, service, receivedAtMs }, context } = this.#options
    context.metrics.observe('first_byte_ms', context.getNowMs() - receivedAtMs, service)
    // A response that is closed emits no further event; its caller has left.
    if (!response.destroyed) {
      context.memory.noteSending(response, answer.body.length)
      response.once('close', () => { context.memory.releaseAnswer(response) })
    }
    sendAnswer(response, method, answer)
    this.#report(result, answer.status)
  }

  /** Ends a stream that is complete. */
  endStream (head: AnswerHead): void {
    const { stream } = this.#options
    stream.begin(head)
    stream.end()
    this.#report('ok', head.status)
  }

  /** Sends the error answer of the endpoint if there is one, otherwise one of the gateway; breaks off a stream that has begun. */
  fail (error: ErrorKind): void {
    const { stream } = this.#options
    const failureAnswer = this.#failureAnswer
    if (stream.hasBegun) {
      stream.breakOff()
      this.#report(error, 0)
    } else if (failureAnswer !== undefined) {
      this.send(failureAnswer, error)
    } else {
      this.#refuse(error)
    }
  }

  /** Records that the caller has left. */
  cancel (): void {
    this.#report('cancelled', 0)
  }

  #refuse (error: ErrorKind): void {
    const { exchange: { response, request, service }, context, deadlineAtMs } = this.#options
    const status = chooseStatus(error, this.mayHaveRun)
    const retryAfterMs = status === ERROR_RESPONSES.overloaded.status ? computeRetryAfterMs(context, { service, error, isGroupLost: this.isGroupLost, deadlineAtMs }) : undefined
    sendRefusal(response, context.dialect, request.requestId, error, status, retryAfterMs)
    this.#report(error, status, status === ERROR_RESPONSES.overloaded.status ? { retryAfterMs: Math.round(retryAfterMs ?? 0), ...context.describeService(service) } : {})
  }

  #report (result: ErrorKind | 'ok', status: number, refusal: LogFields = {}): void {
    const { exchange: { request, route, service, receivedAtMs, team }, context, stream } = this.#options
    const elapsedMs = context.getNowMs() - receivedAtMs
    context.metrics.count('requests', result)
    context.metrics.observe('request_ms', elapsedMs, service)
    context.log(result === 'ok' ? 'request-finished' : 'request-refused', {
      request: request.requestId, route: route.name, service, team: team?.name ?? '', status, result, elapsedMs: Math.round(elapsedMs), attempts: this.attempts, events: stream.events, mayHaveRun: this.mayHaveRun, ...(this.#retryObstacle === undefined ? {} : { noRetry: this.#retryObstacle }), ...refusal
    })
  }
}
