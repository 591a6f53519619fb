/** Finds an endpoint with a free slot for a request; when there is none, the request waits for one or is refused. */

import { Admission } from './admission.js'
import type { AdmissionContext, AdmissionOptions, AdmissionResult } from './admission.js'
import type { GatewayContext } from './context.js'
import type { RoomWait } from './room-order.js'
import type { RoomTicket } from './room-queue.js'

/** Endpoints that a request in the queue asks at a time. */
const QUEUED_ASKS = 2

/** How a search ended; `limited` also when the request would start too late. */
export type RoomResult = Exclude<AdmissionResult, { readonly kind: 'full' }>

/** A request that looks for an endpoint and may wait for it. */
export interface RoomAdmissionOptions extends Pick<AdmissionOptions, 'tried' | 'waitMaxMs'> {
  readonly wait: RoomWait
  /** Whether the request is sent to a full endpoint rather than kept waiting. */
  readonly mustStart: boolean
}

/** Search of one request. */
export class RoomAdmission {
  readonly #options: RoomAdmissionOptions
  readonly #context: AdmissionContext & Pick<GatewayContext, 'roomQueue'>
  readonly #handle: (result: RoomResult) => void
  #admission: Admission | undefined
  #ticket: RoomTicket | undefined
  #isDone = false

  private constructor (options: RoomAdmissionOptions, context: AdmissionContext & Pick<GatewayContext, 'roomQueue'>, handle: (result: RoomResult) => void) {
    this.#options = options
    this.#context = context
    this.#handle = handle
  }

  /**
   * @param options - the request
   * @param context - shared context of the gateway
   * @param handle - called once with the result, unless the search is cancelled
   * @returns a search that has not started
   */
  static create (options: RoomAdmissionOptions, context: AdmissionContext & Pick<GatewayContext, 'roomQueue'>, handle: (result: RoomResult) => void): RoomAdmission {
    return new RoomAdmission(options, context, handle)
  }

  start (): void {
    const { wait, mustStart } = this.#options
    if (mustStart) this.#search(undefined)
    else if (this.#context.roomQueue.hasEarlier(wait)) this.#enter()
    else this.#search(this.#context.roomQueue.countReserved(wait))
  }

  /** Stops the search; the handler is not called afterwards. */
  cancel (): void {
    if (this.#isDone) return
    this.#isDone = true
    this.#admission?.cancel()
    this.#ticket?.leave()
  }

  #search (reserved: number | undefined, asksMax?: number): void {
    const { wait: { requestId, service, tokens }, tried, waitMaxMs } = this.#options
    this.#admission = Admission.create({ requestId, service, tokens, tried, waitMaxMs, reserved, ...(asksMax === undefined ? {} : { roomAsksMax: asksMax }) }, this.#context, result => { this.#handleResult(result) })
    this.#admission.start()
  }

  #enter (): void {
    this.#ticket = this.#context.roomQueue.enter(this.#options.wait, {
      ask: reserved => { this.#search(reserved, QUEUED_ASKS) },
      refuse: () => { this.#finish({ kind: 'limited' }) }
    })
  }

  #handleResult (result: AdmissionResult): void {
    // What waits goes on waiting while no endpoint can be asked, until the queue refuses it.
    if (result.kind === 'full' || (result.kind === 'limited' && this.#ticket !== undefined)) {
      if (this.#ticket === undefined) this.#enter()
      else this.#ticket.noteFull()
      return
    }
    this.#finish(result)
  }

  #finish (result: RoomResult): void {
    if (this.#isDone) return
    this.#isDone = true
    if (result.kind === 'admitted' && this.#ticket === undefined) this.#context.roomQueue.noteDirectStart(this.#options.wait.service)
    if (result.kind === 'admitted') this.#ticket?.noteStarted()
    else this.#ticket?.leave()
    this.#handle(result)
  }
}
