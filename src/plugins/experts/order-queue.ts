import type { EndpointOrder } from '../../kernel/effects.js'
import type { Context } from '../../kernel/plugin.js'

/** An order with its fencing number. */
export interface FencedOrder {
  readonly fence: number
  readonly order: EndpointOrder
}

/** Orders of one rank to its engine: at most one is outstanding, the rest wait. */
export interface OrderQueue {
  readonly sequence: number
  readonly fence: number
  readonly outstanding?: FencedOrder & { readonly orderId: string, readonly sentAtMs: number }
  readonly waiting: readonly FencedOrder[]
}

/** A queue without orders that has sent none. */
export const EMPTY_ORDER_QUEUE: OrderQueue = { sequence: 0, fence: 0, waiting: [] }

/**
 * Appends orders to those that wait.
 *
 * @param queue - the queue
 * @param fence - fencing number of the orders
 * @param orders - orders in sequence
 * @returns the new queue; its fencing number is raised to that of the orders
 */
export function addOrders (queue: OrderQueue, fence: number, orders: readonly EndpointOrder[]): OrderQueue {
  return { ...queue, fence: Math.max(queue.fence, fence), waiting: [...queue.waiting, ...orders.map(order => ({ fence, order }))] }
}

/**
 * Emits the next order when none is outstanding. Engines that ignore fencing
 * numbers carry out every order that arrives, so an order with an older number is
 * dropped here, and an order is sent only after the engine answered the one before.
 *
 * @param queue - the queue
 * @param context - time and effects
 * @returns the new queue
 */
export function sendNextOrder (queue: OrderQueue, context: Pick<Context, 'emit' | 'nowMs'>): OrderQueue {
  if (queue.outstanding !== undefined) return queue
  const waiting = queue.waiting.filter(item => item.fence >= queue.fence)
  const [next, ...rest] = waiting
  if (next === undefined) return { ...queue, waiting }
  const orderId = `map-${queue.sequence + 1}`
  context.emit({ kind: 'order', orderId, fence: next.fence, order: next.order })
  return { ...queue, sequence: queue.sequence + 1, outstanding: { ...next, orderId, sentAtMs: context.nowMs }, waiting: rest }
}

/**
 * @param queue - the queue
 * @param keepOutstanding - false when the engine that got the outstanding order is gone
 * @returns the queue without waiting orders
 */
export function removeWaiting (queue: OrderQueue, keepOutstanding: boolean): OrderQueue {
  const { outstanding, ...rest } = queue
  return { ...rest, waiting: [], ...(keepOutstanding && outstanding !== undefined ? { outstanding } : {}) }
}

/**
 * @param queue - the queue
 * @returns the queue without the outstanding order, which the engine has answered
 */
export function removeOutstanding (queue: OrderQueue): OrderQueue {
  const { outstanding: _answered, ...rest } = queue
  return rest
}

/**
 * @param queue - the queue
 * @returns whether no order is waiting or outstanding
 */
export function isIdle (queue: OrderQueue): boolean {
  return queue.outstanding === undefined && queue.waiting.length === 0
}
