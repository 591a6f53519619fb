import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { computeNamedBound } from '../../bench/cold-fleet-model.js'
import { computeNamedBudget } from '../../src/plugins/gateway/limit-budgets.js'
import { NamedLimitsPlugin, STATEMENT_TTL_MS } from '../../src/plugins/gateway/named-limits.js'
import type { LimitStatement } from '../../src/plugins/gateway/named-limits.js'
import { PermitBucket } from '../../src/plugins/gateway/permits.js'
import { startHarness } from './harness.js'
import type { Script } from './harness.js'

const LIMIT_PER_S = 1
const REQUESTS_PER_S = 25
const DURATION_MS = 5_000

/** Requests in four seconds that an endpoint tolerates when it names `LIMIT_PER_S`: 1.5 times as many as that allows, and 5. */
const BOUND = 11

// Guards against sending an endpoint more requests than the rate that it names in its answers.
test('an endpoint that names the rate that it takes gets no more, and the others serve the rest', async t => {
  const arrivalsMs: number[] = []
  const limited: Script = (_request, response) => {
    arrivalsMs.push(performance.now())
    response.setHeader('Server-Limit', String(LIMIT_PER_S))
    response.end('ran')
  }
  const unlimited: Script = (_request, response) => { response.end('ran') }
  const harness = await startHarness('idempotent', { e1: limited, e2: unlimited })
  harness.context.coldLimits.noteListed(-10_000)
  const statuses = await Promise.all(Array.from({ length: DURATION_MS / 1_000 * REQUESTS_PER_S }, async (_value, index) => {
    await wait(1_000 * index / REQUESTS_PER_S)
    return (await harness.call()).status
  }))
  harness.close()
  const most = Math.max(...arrivalsMs.map(fromMs => arrivalsMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 4_000).length))
  t.log(`${most} requests in 4 s, ${BOUND} allowed; ${statuses.filter(status => status !== 200).length} of ${statuses.length} refused`)
  t.true(most <= BOUND, `${most} requests in 4 s`)
  t.true(statuses.every(status => status === 200))
})

test('permits and shares together stay within the limit that an endpoint names', t => {
  for (const perS of [0.000000001, 0.1, 0.25, 1, 1.5, 3.7, 14, 1_000, 999_999_999]) {
    const bound = computeNamedBound(perS)
    const { permits, shares } = computeNamedBudget(perS, true)
    t.true(permits.burst + permits.perS * 4.25 + shares <= bound, `${perS}`)
    t.true(computeNamedBudget(perS, false).shares <= bound, `${perS}`)
    t.true(shares >= 1 && Number.isInteger(shares))
  }
})

const named = (perS: number): LimitStatement => ({ kind: 'rate', perS })
const none: LimitStatement = { kind: 'none' }

test('a limit rises, falls and ends with what the endpoint says', t => {
  const limits = NamedLimitsPlugin.create()
  const changes = [
    limits.noteAnswer('e', none, 0, 10), limits.noteAnswer('e', named(2), 0, 100), limits.noteAnswer('e', named(2), 50, 200), limits.noteAnswer('e', named(5), 50, 300),
    // This request was sent before the limit was known, so its answer may be older than the limit.
    limits.noteAnswer('e', none, 90, 310),
    limits.noteAnswer('e', named(1), 200, 400), limits.noteAnswer('e', none, 350, 500)
  ]
  t.deepEqual(changes, ['none', 'named', 'none', 'changed', 'none', 'changed', 'ended'])
  t.is(limits.find('e', 500), undefined)
})

// Guards against an outage or a crash because a limit makes no sense.
test('an unreadable limit changes nothing and is reported once in a while', t => {
  const limits = NamedLimitsPlugin.create()
  const unreadable: LimitStatement = { kind: 'unreadable', text: '-1' }
  limits.noteAnswer('e', named(2), 0, 100)
  t.deepEqual([200, 300, 200 + STATEMENT_TTL_MS].map(atMs => limits.noteAnswer('e', unreadable, 150, atMs)), ['unreadable', 'none', 'unreadable'])
  t.is(limits.find('e', 300), 2)
})

test('a limit that nobody hears of any more ends, and a restarted endpoint has none', t => {
  const limits = NamedLimitsPlugin.create()
  limits.noteAnswer('e', named(2), 0, 0)
  t.is(limits.find('e', STATEMENT_TTL_MS), 2)
  t.is(limits.find('e', STATEMENT_TTL_MS + 1), undefined)
  limits.noteAnswer('e', named(2), 0, 20_000)
  limits.forget('e')
  t.is(limits.find('e', 20_000), undefined)
})

test('the newest statement counts, whichever gateway was told', t => {
  const [one, other] = [NamedLimitsPlugin.create(), NamedLimitsPlugin.create()]
  one.noteAnswer('e', named(2), 0, 100)
  other.merge('e', one.list('own', 110)['e']!, 111)
  t.is(other.find('e', 111), 2)
  other.noteAnswer('e', none, 150, 200)
  one.merge('e', other.list('own', 210)['e']!, 211)
  t.is(one.find('e', 211), undefined)
  other.merge('e', { perS: 2, ageMs: 111 }, 211)
  t.is(other.find('e', 211), undefined)
})

test('an agent grants at the rate that one gateway knows to all of them, and at the full rate once it has ended', t => {
  const agent = PermitBucket.create(-10_000)
  const count = (fromMs: number, statement: { perS: number | null, ageMs: number } | undefined): number => {
    let granted = 0
    for (let at = fromMs; at < fromMs + 4_000; at += 10) {
      const isInformed = at % 20 === 0 && statement !== undefined
      if (agent.reserve({ perS: 30, burst: 3, ...(isInformed ? { named: statement } : {}) }, 0, at).kind === 'granted') granted += 1
    }
    return granted
  }
  const counts = { unlimited: count(0, undefined), limited: count(4_000, { perS: 1.5, ageMs: 5 }), ended: count(8_000, { perS: null, ageMs: 5 }) }
  t.true(counts.unlimited > 110 && counts.limited <= 14 && counts.limited >= 6 && counts.ended > 110, JSON.stringify(counts))
})
