/** Finds an endpoint that may be sent a request now, and the permit that it needs when it is or may be cold. */

import { assertNever } from '../kernel/errors.js'
import type { RoomRequest } from '../plugins/gateway/engine-load.js'
import type { PermitRate, PermitReply } from '../plugins/gateway/permits.js'
import type { Selection } from '../plugins/gateway/selection.js'
import type { GatewayContext } from './context.js'
import { Permit } from './permit.js'

/** Time in ms after which an agent counts as silent; agents get only a small share of a core. */
const PERMIT_TIMEOUT_MS = 75

/** Time in ms after which another gateway counts as not lending; most answer within 2 ms. */
const SHARE_TIMEOUT_MS = 30

/** Number of shares that are asked of other gateways. */
const BORROWS_MAX = 4

/** Number of agents that are asked for a permit that applies at once. */
const ASKS_MAX = 12

/** Endpoints that are asked for a load no higher than usual; the following ones need only have a free slot. */
const BALANCED_ASKS_MAX = 2

/** Endpoints of the own failure domain without room after which others are asked: of a request, and of one in the queue. */
const HOME_ASKS_MAX = 3
const HOME_ASKS_QUEUED_MAX = 1

/** Endpoints that are asked whether they have room. */
const ROOM_ASKS_MAX = 5

/** Asks the agent of an endpoint for a permit, when `room` is given only if it has that room; undefined when it does not answer. */
export type AskPermit = (selection: Selection, rate: PermitRate, waitMaxMs: number, timeoutMs: number, room?: RoomRequest) => Promise<PermitReply | undefined>

/** Asks another gateway for one of its shares of an endpoint; undefined when it does not answer. */
export type AskShare = (owner: string, endpoint: string, timeoutMs: number) => Promise<boolean | undefined>

/** Endpoint that needs a permit or a share, and the rate of its permits. */
export interface LimitedSelection extends Selection {
  readonly rate: PermitRate
}

/** Gateway that may lend a share of an endpoint. */
export interface Lender {
  readonly selection: Selection
  readonly owner: string
}

/** What allows a request to be sent. */
export type AdmittedAccess = 'unlimited' | 'permit' | 'share' | 'borrowed-share'

/** How an admission ended. */
export type AdmissionResult =
  /** The selection counts as started; `permit` is undefined when the endpoint needs none. */
  | { readonly kind: 'admitted', readonly selection: Selection, readonly access: AdmittedAccess, readonly permit: Permit | undefined }
  /** Every usable endpoint is at its limit. */
  | { readonly kind: 'limited' }
  /** No endpoint that was asked had room. */
  | { readonly kind: 'full' }
  | { readonly kind: 'no-endpoint' }

/** A request that looks for an endpoint. */
export interface AdmissionOptions {
  readonly requestId: string
  readonly service: string
  /** Endpoints already tried. */
  readonly tried: ReadonlySet<string>
  /** Tokens of memory that the request is expected to take at its endpoint. */
  readonly tokens: number
  /** Slots that an endpoint must have free besides the one for the request; undefined when the request is sent to a full one as well. */
  readonly reserved: number | undefined
  /** Endpoints that are asked whether they have room, any that has a free slot will do; undefined for a search that balances the load. */
  readonly roomAsksMax?: number
  /** Longest time in ms for which the request can look for an endpoint that grants a permit at once, and then wait for a permit. */
  readonly waitMaxMs: number
}

/** Parts of the gateway that an admission uses. */
export type AdmissionContext = Pick<GatewayContext, 'askPermit' | 'askShare' | 'choose' | 'chooseLender' | 'chooseSoonest' | 'clock' | 'coldLimits' | 'domainShares' | 'getNowMs' | 'listAvailable' | 'log' | 'metrics' | 'selection' | 'serviceLoad'>

/** Search of one request for an endpoint. */
export class Admission {
  readonly #options: AdmissionOptions
  readonly #context: AdmissionContext
  readonly #handle: (result: AdmissionResult) => void
  readonly #startedAtMs: number
  #asks = 0
  #borrows = 0
  /** Endpoints that had no room. */
  readonly #busy = new Set<string>()
  /** Failure domains in which an agent has not answered, as when they are cut off. */
  readonly #silentDomains = new Set<string>()
  #hasWaited = false
  #isDone = false
  #held: Selection | undefined
  #cancelTimer: (() => void) | undefined

  private constructor (options: AdmissionOptions, context: AdmissionContext, handle: (result: AdmissionResult) => void) {
    this.#options = options
    this.#context = context
    this.#handle = handle
    this.#startedAtMs = context.getNowMs()
  }

  /**
   * @param options - the request
   * @param context - shared context of the gateway
   * @param handle - called once with the result, unless the admission is cancelled
   * @returns an admission that has not started
   */
  static create (options: AdmissionOptions, context: AdmissionContext, handle: (result: AdmissionResult) => void): Admission {
    return new Admission(options, context, handle)
  }

  start (): void {
    const { service, tried, waitMaxMs } = this.#options
    const nowMs = this.#context.getNowMs()
    const mayAsk = this.#asks === 0 || (this.#asks < ASKS_MAX && nowMs - this.#startedAtMs < waitMaxMs)
    const selection = mayAsk ? this.#context.choose(service, this.#busy.size === 0 ? tried : new Set([...tried, ...this.#busy]), this.#silentDomains, nowMs, this.#busy.size >= (this.#options.roomAsksMax === undefined ? HOME_ASKS_MAX : HOME_ASKS_QUEUED_MAX)) : undefined
    if (selection === undefined && this.#busy.size === 0) {
      this.#borrowOrWait(nowMs)
      return
    }
    if (selection === undefined || this.#busy.has(selection.endpoint.record.id)) {
      this.#finish({ kind: 'full' })
      return
    }
    const { access } = selection
    switch (access.kind) {
      case 'unlimited':
        this.#admit(selection, 'unlimited', undefined)
        break
      case 'share':
        this.#context.coldLimits.spendShare(selection.endpoint.record.id, nowMs)
        this.#admit(selection, 'share', Permit.create(this.#context.clock, 0))
        break
      case 'permit':
        this.#ask(selection, access.rate, 0, this.#findRoom(selection, nowMs))
        break
      case 'denied':
      case 'borrow':
        throw new Error(`endpoint chosen without access: ${access.kind}`)
      default:
        assertNever(access)
    }
  }

  /** Stops the search; the handler is not called afterwards. */
  cancel (): void {
    if (this.#isDone) return
    this.#isDone = true
    this.#cancelTimer?.()
    this.#release()
  }

  /** Borrows a share, else waits for a permit. */
  #borrowOrWait (nowMs: number): void {
    const { service, waitMaxMs } = this.#options
    const lender = this.#borrows < BORROWS_MAX ? this.#context.chooseLender(service, nowMs) : undefined
    if (lender !== undefined) {
      this.#borrow(lender)
      return
    }
    // A request in the queue asks again soon; others would wait behind it meanwhile.
    const soonest = this.#hasWaited || this.#options.roomAsksMax !== undefined ? undefined : this.#context.chooseSoonest(service, nowMs)
    if (soonest === undefined) {
      this.#finish({ kind: this.#context.listAvailable(service).length === 0 ? 'no-endpoint' : 'limited' })
      return
    }
    this.#hasWaited = true
    this.#ask(soonest, soonest.rate, waitMaxMs)
  }

  #borrow ({ selection, owner }: Lender): void {
    const { id } = selection.endpoint.record
    const permit = Permit.create(this.#context.clock, 0)
    this.#borrows += 1
    this.#hold(selection)
    this.#context.askShare(owner, id, SHARE_TIMEOUT_MS).then(isLent => {
      if (this.#isDone) return
      this.#context.metrics.count('borrowed_shares', isLent === undefined ? 'silent' : isLent ? 'granted' : 'denied')
      if (isLent === true) this.#admitIfUsable(selection, 'borrowed-share', permit)
      else this.#restart()
    }, (error: unknown) => {
      this.#context.log('internal-error', { reason: String(error) })
      if (!this.#isDone) this.#restart()
    })
  }

  /** Room that the endpoint is asked for; undefined when the counts of all endpoints are known well. */
  #findRoom ({ endpoint: { record }, isSampled, isNear }: Selection, nowMs: number): RoomRequest | undefined {
    const { service, tokens, reserved, roomAsksMax } = this.#options
    if (!isSampled || reserved === undefined) return undefined
    const slots = Math.max(1, record.slots - reserved)
    const isBalancing = roomAsksMax === undefined && this.#busy.size < BALANCED_ASKS_MAX
    const domain = isNear === true ? record.domain : undefined
    const meanLoad = isBalancing ? this.#context.serviceLoad.findMeanLoad(service, nowMs, domain) : undefined
    return { tokens, loadMax: meanLoad === undefined ? slots : Math.max(1, Math.min(slots, Math.floor(meanLoad) + 1)) }
  }

  #ask (selection: Selection, rate: PermitRate, waitMaxMs: number, room?: RoomRequest): void {
    const askedAtMs = this.#context.getNowMs()
    this.#asks += 1
    this.#hold(selection)
    this.#context.askPermit(selection, rate, waitMaxMs, PERMIT_TIMEOUT_MS, room).then(
      reply => { if (!this.#isDone) this.#handleReply(selection, reply, askedAtMs) },
      (error: unknown) => {
        this.#context.log('internal-error', { reason: String(error) })
        if (!this.#isDone) this.#handleReply(selection, undefined, askedAtMs)
      }
    )
  }

  #handleReply (selection: Selection, reply: PermitReply | undefined, askedAtMs: number): void {
    const { coldLimits } = this.#context
    const nowMs = this.#context.getNowMs()
    const { id, service, domain } = selection.endpoint.record
    this.#context.metrics.count('permits', reply?.kind ?? 'silent')
    if (reply === undefined) {
      this.#silentDomains.add(domain)
      this.#context.serviceLoad.noteSilent(service, domain, nowMs)
      if (this.#isUsable(selection) && coldLimits.noteAgentSilent(id, nowMs)) this.#context.log('agent-silent', { endpoint: id })
      this.#restart()
      return
    }
    if (!this.#isUsable(selection)) {
      this.#restart()
      return
    }
    coldLimits.noteAgentAnswer(id)
    this.#context.domainShares.noteRoundTrip(domain, nowMs - askedAtMs)
    this.#context.serviceLoad.noteAnswered(service, domain)
    if (reply.kind !== 'denied' && reply.load !== undefined) this.#context.serviceLoad.noteLoad(service, domain, reply.load, nowMs)
    if (reply.kind === 'busy') {
      this.#busy.add(id)
      if (this.#busy.size < (this.#options.roomAsksMax ?? ROOM_ASKS_MAX)) {
        this.#restart()
      } else {
        this.#release()
        this.#finish({ kind: 'full' })
      }
      return
    }
    if (reply.kind === 'denied') {
      coldLimits.noteDenied(id, nowMs + reply.retryMs, nowMs)
      this.#context.log('permit-denied', { request: this.#options.requestId, endpoint: id, retryMs: Math.round(reply.retryMs), asks: this.#asks })
      this.#restart()
      return
    }
    // The agent granted the permit after it was asked, so counting from the question never extends it.
    const permit = Permit.create(this.#context.clock, reply.delayMs - (nowMs - askedAtMs))
    if (reply.delayMs === 0) this.#admit(selection, 'permit', permit)
    else this.#cancelTimer = this.#context.clock.schedule(reply.delayMs, () => { this.#admitIfUsable(selection, 'permit', permit) })
  }

  /** Whether the endpoint may still be used; it may have been drained or taken out of service during a wait. */
  #isUsable ({ endpoint: { record: { id } } }: Selection): boolean {
    return this.#context.listAvailable(this.#options.service).some(({ record }) => record.id === id)
  }

  #admitIfUsable (selection: Selection, access: AdmittedAccess, permit: Permit): void {
    if (this.#isUsable(selection)) this.#admit(selection, access, permit)
    else this.#restart()
  }

  /** Looks for another endpoint. */
  #restart (): void {
    this.#release()
    this.start()
  }

  /** Counts the request at the endpoint, so that simultaneous requests choose others. */
  #hold (selection: Selection): void {
    this.#held = selection
    this.#context.selection.noteStart(selection.endpoint)
  }

  #release (): void {
    if (this.#held === undefined) return
    this.#context.selection.noteEnd(this.#held.endpoint.record.id, 'not-sent', 0, this.#context.getNowMs())
    this.#held = undefined
  }

  #admit (selection: Selection, access: AdmittedAccess, permit: Permit | undefined): void {
    if (this.#held === undefined) this.#hold(selection)
    this.#finish({ kind: 'admitted', selection, access, permit })
  }

  #finish (result: AdmissionResult): void {
    this.#isDone = true
    this.#handle(result)
  }
}
