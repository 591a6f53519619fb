/** Sends orders to the endpoint, each with a fencing number. */

import { Agent, request } from 'undici'
import type { EndpointOrder } from '../../kernel/effects.js'
import type { KernelEvent } from '../../kernel/events.js'
import type { Connector } from '../security/tls.js'

/** Timeout of one order in ms. The endpoint responds to a `load-map` order when it accepts it, not when the weights are loaded. */
const ORDER_TIMEOUT_MS = 30_000

const ORDERS_PATH = '/v1/orders'
const STATUS_OLD_FENCE = 409

/** Largest response to an order in bytes. */
const RESPONSE_BYTES_MAX = 4 * 1024 * 1024

/** What an order sender is created with. */
export interface OrderSenderOptions {
  readonly url: string
  readonly dispatch: (event: KernelEvent) => void
  /** Opens TLS connections; plain HTTP when absent. */
  readonly connector?: Connector
}

/** Applies the `order` effects of an endpoint process. */
export class OrderSender {
  readonly #options: OrderSenderOptions
  readonly #agent: Agent

  private constructor (options: OrderSenderOptions) {
    this.#options = options
    this.#agent = new Agent({ connections: 1, maxResponseSize: RESPONSE_BYTES_MAX, ...(options.connector === undefined ? {} : { connect: options.connector }) })
  }

  /**
   * @param options - endpoint and event dispatch
   * @returns an order sender
   */
  static create (options: OrderSenderOptions): OrderSender {
    return new OrderSender(options)
  }

  /**
   * Sends one order and dispatches the result as an `order-answered` event. An
   * order without a response counts as refused once its connection is closed.
   *
   * @param orderId - id of the order in the `order-answered` event
   * @param fence - fencing number
   * @param order - order for the endpoint
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
    const responseBody = await response.body.json() as { readonly fence?: number }
    return { accepted: response.statusCode < 300, fence: response.statusCode === STATUS_OLD_FENCE ? responseBody.fence ?? fence : fence }
  }
}
