/** Sends orders to the endpoint, each with its fencing number. */

import { Agent, request } from 'undici'
import type { EndpointOrder } from '../../kernel/effects.js'
import type { KernelEvent } from '../../kernel/events.js'
import type { Connector } from '../security/tls.js'

/** Time for one order in ms; loading weights is answered when accepted. */
const ORDER_TIMEOUT_MS = 30_000

const ORDERS_PATH = '/v1/orders'
const STATUS_OLD_FENCE = 409

/** What the sender of orders is created with. */
export interface OrderSenderOptions {
  readonly url: string
  readonly dispatch: (event: KernelEvent) => void
  /** Opens connections with TLS files. */
  readonly connector?: Connector
}

/** Carries out the `order` effects of an endpoint process. */
export class OrderSender {
  readonly #options: OrderSenderOptions
  readonly #agent: Agent

  private constructor (options: OrderSenderOptions) {
    this.#options = options
    this.#agent = new Agent({ connections: 1, ...(options.connector === undefined ? {} : { connect: options.connector }) })
  }

  /**
   * @param options - endpoint and where to send events
   * @returns a sender of orders
   */
  static create (options: OrderSenderOptions): OrderSender {
    return new OrderSender(options)
  }

  /**
   * Sends one order; its answer arrives as an `order-answered` event. An order
   * without an answer counts as refused once its connection is closed.
   *
   * @param orderId - names the order in the answer
   * @param fence - fencing number
   * @param order - what to do
   */
  send (orderId: string, fence: number, order: EndpointOrder): void {
    this.#post(fence, order).then(
      result => { this.#options.dispatch({ kind: 'order-answered', orderId, ...result }) },
      () => { this.#options.dispatch({ kind: 'order-answered', orderId, accepted: false, fence }) }
    )
  }

  /** Closes the connection. */
  async stop (): Promise<void> {
    await this.#agent.destroy()
  }

  async #post (fence: number, order: EndpointOrder): Promise<{ readonly accepted: boolean, readonly fence: number }> {
    const response = await request(new URL(ORDERS_PATH, this.#options.url), {
      dispatcher: this.#agent,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ fence, order }),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS)
    })
    const result = await response.body.json() as { readonly fence?: number }
    return { accepted: response.statusCode < 300, fence: response.statusCode === STATUS_OLD_FENCE ? result.fence ?? fence : fence }
  }
}
