import { randomUUID } from 'node:crypto'
import type { AddressResponse, Effect } from '../../kernel/effects.js'
import type { ErrorKind } from '../../kernel/errors.js'
import type { KernelEvent, RequestReceived } from '../../kernel/events.js'
import type { KeyState } from '../../protocol/messages.js'
import type { Metrics } from '../metrics/metrics.js'
import type { CallerExchange } from './exchange.js'

/** Timeout of an address or outcome lookup in the kernel in ms. */
const LOOKUP_TIMEOUT_MS = 5_000

/** One chunk gap in this many is measured: observing the histogram for every chunk costs an entry more than 1 % of a core at planned load. */
const GAP_SAMPLING_CHUNKS = 8

type LookupResponse = AddressResponse | KeyState

/** Exchange whose response has not ended. */
interface PendingExchange {
  readonly exchange: CallerExchange
  readonly service: string
  readonly receivedAtMs: number
  /** Number of chunks of the event stream so far. */
  chunks: number
  /** Time of the chunk at which the measured gap starts. */
  gapStartMs: number
}

/** Turns callers' requests into kernel events and writes the kernel's effects to their responses. */
export class CallerBridge {
  readonly #exchanges = new Map<string, PendingExchange>()
  readonly #lookups = new Map<string, (response: LookupResponse | undefined) => void>()
  readonly #requestsMax: number
  #dispatch: (event: KernelEvent) => void = () => undefined
  #metrics: Metrics | undefined

  private constructor (requestsMax: number) {
    this.#requestsMax = requestsMax
  }

  /**
   * @param requestsMax - largest count of requests in flight; unlimited when absent
   * @returns a bridge that is not connected to a kernel yet
   */
  static create (requestsMax = Number.POSITIVE_INFINITY): CallerBridge {
    return new CallerBridge(requestsMax)
  }

  /**
   * @param dispatch - passes an event to the kernel
   * @param metrics - records counts and durations of requests
   */
  connect (dispatch: (event: KernelEvent) => void, metrics: Metrics): void {
    this.#dispatch = dispatch
    this.#metrics = metrics
  }

  /** @returns number of requests whose response has not ended */
  countExchanges (): number {
    return this.#exchanges.size
  }

  /** @returns whether the entry takes no further request or lookup, since too many are in flight */
  isFull (): boolean {
    return this.#exchanges.size + this.#lookups.size >= this.#requestsMax
  }

  /**
   * Passes a request to the kernel.
   *
   * @param exchange - receives the response
   * @param event - the request
   */
  acceptRequest (exchange: CallerExchange, event: RequestReceived): void {
    this.#metrics?.count('requests_received', event.service)
    this.#exchanges.set(exchange.requestId, { exchange, service: event.service, receivedAtMs: performance.now(), chunks: 0, gapStartMs: 0 })
    this.#dispatch(event)
  }

  /**
   * Refuses a request without passing it to the kernel, and counts it.
   *
   * @param exchange - receives the response
   * @param error - reason of the refusal
   * @param hasKey - whether the request has an idempotency key
   */
  refuseRequest (exchange: CallerExchange, error: ErrorKind, hasKey: boolean): void {
    this.#metrics?.count('requests', error)
    this.#metrics?.count('outcomes', exchange.refuse(error, hasKey))
  }

  /**
   * @param requestId - request whose caller closed its connection
   */
  handleCallerGone (requestId: string): void {
    if (this.#exchanges.delete(requestId)) this.#dispatch({ kind: 'caller-gone', requestId })
  }

  /**
   * @param services - services to return key tokens for
   * @returns addresses and key tokens; undefined when the kernel gave none in time
   */
  async findAddress (services: readonly string[]): Promise<AddressResponse | undefined> {
    return await this.#startLookup(lookupId => ({ kind: 'address-requested', lookupId, services })) as AddressResponse | undefined
  }

  /**
   * @param team - team of the caller
   * @param keyText - idempotency key
   * @returns state of the key at its home; `unknown` when the lookup timed out
   */
  async findOutcome (team: string, keyText: string): Promise<KeyState> {
    const response = await this.#startLookup(lookupId => ({ kind: 'outcome-requested', lookupId, team, keyText }))
    return response as KeyState | undefined ?? 'unknown'
  }

  /**
   * Applies an effect of the entry role.
   *
   * @param effect - from the kernel
   */
  applyEffect (effect: Effect): void {
    switch (effect.kind) {
      case 'reply-head':
        this.#exchanges.get(effect.requestId)?.exchange.writeHead(effect.status, effect.headers)
        return
      case 'reply-chunk':
        this.#writeChunk(effect.requestId, effect.data)
        return
      case 'reply-end':
        this.#removeExchange(effect.requestId)?.end()
        return
      case 'reply-error':
        this.#metrics?.count('outcomes', effect.outcome)
        this.#removeExchange(effect.requestId)?.writeError(effect)
        return
      case 'reply-address':
        this.#finishLookup(effect.lookupId, effect.response)
        return
      case 'reply-outcome':
        this.#finishLookup(effect.lookupId, effect.state)
        return
      default:
        throw new Error(`effect ${effect.kind} does not belong to an entry`)
    }
  }

  #writeChunk (requestId: string, data: Uint8Array): void {
    const pending = this.#exchanges.get(requestId)
    if (pending === undefined) return
    if (pending.exchange.isEventStream) this.#observeGap(pending)
    pending.exchange.writeChunk(data)
  }

  #observeGap (pending: PendingExchange): void {
    const position = pending.chunks % GAP_SAMPLING_CHUNKS
    pending.chunks += 1
    if (position === 0) pending.gapStartMs = performance.now()
    else if (position === 1) this.#metrics?.observe('chunk_gap_ms', performance.now() - pending.gapStartMs, pending.service)
  }

  #removeExchange (requestId: string): CallerExchange | undefined {
    const pending = this.#exchanges.get(requestId)
    if (pending === undefined) return undefined
    this.#exchanges.delete(requestId)
    this.#metrics?.observe('request_ms', performance.now() - pending.receivedAtMs, pending.service)
    return pending.exchange
  }

  async #startLookup (buildEvent: (lookupId: string) => KernelEvent): Promise<LookupResponse | undefined> {
    const lookupId = randomUUID()
    return await new Promise(resolve => {
      const timer = setTimeout(() => { this.#finishLookup(lookupId, undefined) }, LOOKUP_TIMEOUT_MS)
      this.#lookups.set(lookupId, response => {
        clearTimeout(timer)
        resolve(response)
      })
      this.#dispatch(buildEvent(lookupId))
    })
  }

  #finishLookup (lookupId: string, response: LookupResponse | undefined): void {
    const resolve = this.#lookups.get(lookupId)
    this.#lookups.delete(lookupId)
    resolve?.(response)
  }
}
