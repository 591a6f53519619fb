import fc from 'fast-check'
import test from 'ava'
import { compareClass, RoomOrder } from '../../src/gateway/room-order.js'
import type { OrderedWait } from '../../src/gateway/room-order.js'
import { PROPERTY } from './property.js'

type Step =
  | { readonly kind: 'add', readonly priority: number, readonly isReturned: boolean, readonly startTag: number, readonly onTimeMs: number, readonly endMs: number }
  | { readonly kind: 'remove', readonly place: number }
  | { readonly kind: 'wait', readonly elapsedMs: number }

const small = fc.nat(4)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('add' as const), priority: fc.nat(2), isReturned: fc.boolean(), startTag: small, onTimeMs: fc.integer({ min: -2, max: 12 }), endMs: fc.integer({ min: -2, max: 20 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('remove' as const), place: fc.nat(40) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), elapsedMs: small }) }
)

/** All waiting requests as one sort orders them; equal ones stay in the order in which they were added. */
function sortWaits (waiters: readonly OrderedWait[], nowMs: number): readonly OrderedWait[] {
  return [...waiters].sort((a, b) => compareClass(a.wait, b.wait, nowMs) || a.startTag - b.startTag || a.enteredAtMs - b.enteredAtMs)
}

test('the next request is the one that a sort of all puts first', t => {
  const seen = { first: 0, late: 0, ended: 0 }
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
    const order = RoomOrder.create<OrderedWait>()
    const waiters: OrderedWait[] = []
    let nowMs = 0
    for (const [at, next] of steps.entries()) {
      if (next.kind === 'wait') nowMs += next.elapsedMs
      else if (next.kind === 'remove') {
        const [removed] = waiters.splice(next.place % Math.max(1, waiters.length), 1)
        if (removed !== undefined) order.remove(removed)
      } else {
        const { priority, isReturned, startTag, onTimeMs, endMs } = next
        const waiter = { wait: { requestId: `r${at}`, service: 'chat', team: '', priority, tokens: 1, isReturned, onTimeUntilMs: nowMs + onTimeMs, untilMs: nowMs + endMs }, enteredAtMs: nowMs, startTag }
        waiters.push(waiter)
        order.add(waiter)
      }
      const sorted = sortWaits(waiters, nowMs)
      const oldestMs = Math.min(...waiters.map(({ enteredAtMs }) => enteredAtMs))
      const ended = waiters.filter(({ wait }) => nowMs >= wait.untilMs)
      if (order.findFirst(nowMs) !== sorted[0]) throw new Error(`first at step ${at}`)
      if (order.findOldest(nowMs) !== sorted.find(({ enteredAtMs }) => enteredAtMs === oldestMs)) throw new Error(`oldest at step ${at}`)
      if (order.listEnded(nowMs).map(({ wait }) => wait.requestId).join() !== ended.map(({ wait }) => wait.requestId).join()) throw new Error(`ended at step ${at}`)
      if (order.size !== waiters.length || [0, 1, 2].some(priority => order.hasPriority(priority) !== waiters.some(({ wait }) => wait.priority === priority))) throw new Error(`counts at step ${at}`)
      seen.first += sorted.length > 1 ? 1 : 0
      seen.late += waiters.some(({ wait }) => !wait.isReturned && wait.onTimeUntilMs <= nowMs) ? 1 : 0
      seen.ended += ended.length
    }
  }), PROPERTY)
  t.true(Math.min(...Object.values(seen)) > 0, JSON.stringify(seen))
})
