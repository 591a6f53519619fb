import type { EndpointOrder } from '../../kernel/effects.js'
import type { Context } from '../../kernel/plugin.js'

/** An order with its fencing number. */
export interface FencedOrder {
  readonly fence: number
  readonly order: EndpointOrder
}

/** Orders of one rank: at most one is with the engine, the rest wait. */
export interface OrderQueue {
  readonly sequence: number
  readonly fence: number
  readonly outstanding?: FencedOrder & { readonly orderId: string, readonly sentAtMs: number }
  readonly waiting: readonly FencedOrder[]
}

/** A gate through which nothing has passed. */
export const EMPTY_ORDER_QUEUE: OrderQueue = { sequence: 0, fence: 0, waiting: [] }

/**
 * Queues orders behind those that wait.
 *
 * @param queue - the gate
 * @param fence - fencing number of the orders
 * @param orders - orders in sequence
 * @returns the new gate; its number rises to the orders' number
 */
export function addOrders (queue: OrderQueue, fence: number, orders: readonly EndpointOrder[]): OrderQueue {
  return { ...queue, fence: Math.max(queue.fence, fence), waiting: [...queue.waiting, ...orders.map(order => ({ fence, order }))] }
}

/**
 * Emits the next order when none is with the engine. Engines that ignore fencing
 * numbers carry out whatever arrives, so an order with an older number is dropped
 * here, and an order leaves only after the engine answered the one before it.
 *
 * @param queue - the gate
 * @param context - where the effect goes
 * @returns the new gate
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
 * @param queue - the gate
 * @param keepOutstanding - false when the engine that got the order is gone
 * @returns the gate without waiting orders
 */
export function removeWaiting (queue: OrderQueue, keepOutstanding: boolean): OrderQueue {
  const { outstanding, ...rest } = queue
  return { ...rest, waiting: [], ...(keepOutstanding && outstanding !== undefined ? { outstanding } : {}) }
}

/**
 * @param queue - the gate
 * @returns the gate after the engine answered the outstanding order
 */
export function removeOutstanding (queue: OrderQueue): OrderQueue {
  const { outstanding: _answered, ...rest } = queue
  return rest
}

/**
 * @param queue - the gate
 * @returns whether no order waits or is with the engine
 */
export function isIdle (queue: OrderQueue): boolean {
  return queue.outstanding === undefined && queue.waiting.length === 0
}
