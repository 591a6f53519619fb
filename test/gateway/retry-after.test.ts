import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { RetryAfterPlugin } from '../../src/plugins/gateway/retry-after.js'

const SLOTS = 128
const SERVICE_MS = 2_000
const DEADLINE_MS = 8_000

interface BurstResult {
  readonly served: number
  readonly refusedTwice: number
}

/**
 * Simulates a burst of 3 s at nearly twice the capacity of the slots. Refused
 * callers retry once, after the wait but at most after a third of their deadline.
 */
function simulateBurst (seed: number, getWaitMs: (nowMs: number, fraction: number) => number, noteServed: (nowMs: number) => void): BurstResult {
  const random = Random.create(seed)
  const ends: number[] = []
  const returns: number[] = []
  let served = 0
  let refusedTwice = 0
  for (let nowMs = 0; nowMs < 12_000; nowMs += 1) {
    while (ends.length > 0 && ends[0]! <= nowMs) {
      ends.shift()
      noteServed(nowMs)
    }
    const rate = nowMs >= 2_000 && nowMs < 5_000 ? 0.115 : 0.055
    const isFirst = nowMs < 9_000 && random.pickFloat() < rate
    const due = returns.filter(at => at <= nowMs).length
    returns.splice(0, returns.length, ...returns.filter(at => at > nowMs))
    for (let arrival = 0; arrival < due + (isFirst ? 1 : 0); arrival += 1) {
      if (ends.length < SLOTS) {
        served += 1
        ends.push(nowMs + SERVICE_MS)
      } else if (arrival < due) {
        refusedTwice += 1
      } else {
        returns.push(nowMs + Math.min(DEADLINE_MS / 3, getWaitMs(nowMs, random.pickFloat())))
      }
    }
  }
  return { served, refusedTwice }
}

// Guards against refused callers that retry during the same burst and fail for good.
test('fewer callers are refused twice in a burst than with a fixed short wait', t => {
  const totals = { fixed: { served: 0, refusedTwice: 0 }, advised: { served: 0, refusedTwice: 0 } }
  const add = (total: { served: number, refusedTwice: number }, result: BurstResult): void => {
    total.served += result.served
    total.refusedTwice += result.refusedTwice
  }
  for (let seed = 1; seed <= 10; seed += 1) {
    add(totals.fixed, simulateBurst(seed, (_nowMs, fraction) => 250 * (1 + fraction), () => {}))
    const advice = RetryAfterPlugin.create()
    add(totals.advised, simulateBurst(seed, (nowMs, fraction) => advice.computeRetryAfterMs('s', { kind: 'full' }, fraction, nowMs), nowMs => { advice.noteServed('s', nowMs) }))
  }
  t.snapshot(totals)
  t.true(totals.advised.refusedTwice < totals.fixed.refusedTwice)
  t.true(totals.advised.served > totals.fixed.served)
})

// Guards against callers that retry before a group that lost a rank can have formed again.
test('callers are told to wait for seconds while endpoints are lost', t => {
  t.true(RetryAfterPlugin.create().computeRetryAfterMs('s', { kind: 'lost', remainingMs: undefined, longestMs: Infinity }, 0, 0) >= 2_000)
})
