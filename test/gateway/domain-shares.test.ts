import test from 'ava'
import { DomainSharesPlugin, estimateWaitMs } from '../../src/plugins/gateway/domain-shares.js'
import type { DomainRoom } from '../../src/plugins/gateway/domain-shares.js'

const DURATION_MS = 1_000

function buildRooms (loads: Readonly<Record<string, number | undefined>>, endpoints = 21): readonly DomainRoom[] {
  return Object.entries(loads).map(([domain, load]) => ({ domain, endpoints, slots: 7, load }))
}

function createShares (waitMsPerMb = 1_000): DomainSharesPlugin {
  const shares = DomainSharesPlugin.create('a')
  shares.setPrice(waitMsPerMb)
  return shares
}

/** Adjusts four times a second. @returns the share after each second */
function adjust (shares: DomainSharesPlugin, rooms: readonly DomainRoom[], seconds: number, fromS = 0): readonly number[] {
  return Array.from({ length: seconds }, (_value, second) => {
    let share = 0
    for (let quarter = 1; quarter <= 4; quarter += 1) share = shares.adjust('s', rooms, DURATION_MS, (fromS + second) * 1_000 + quarter * 250).share
    return Math.round(share * 100) / 100
  })
}

test('expected waits by load, slots and endpoints', t => {
  const estimate = (load: number | undefined, slots: number, endpoints: number): number | undefined => {
    const waitMs = estimateWaitMs({ load, slots, endpoints }, DURATION_MS)
    return waitMs === undefined ? undefined : Math.round(waitMs * 10) / 10
  }
  t.snapshot({
    '7 slots, 21 endpoints': [0, 2, 3.5, 5, 6, 6.5, 7, 10].map(load => estimate(load, 7, 21)),
    '6 slots, 1 endpoint': [0, 2, 3, 5, 6, 9].map(load => estimate(load, 6, 1)),
    unknown: estimate(undefined, 7, 21)
  })
})

test('shares by seconds: they rise while leaving pays, stay between, and fall afterwards', t => {
  const hot = createShares()
  const free = createShares(0)
  const dear = createShares(100_000)
  for (const shares of [hot, free, dear]) shares.noteRequest('s', 8_000)
  const slow = createShares()
  slow.noteRoundTrip('a', 2)
  for (const domain of ['b', 'c']) slow.noteRoundTrip(domain, 60)
  t.snapshot({
    'room at home': adjust(createShares(), buildRooms({ a: 3, b: 1, c: 1 }), 2),
    'hot, then even': [...adjust(hot, buildRooms({ a: 6.5, b: 2, c: 3 }), 5), ...adjust(hot, buildRooms({ a: 3, b: 3, c: 3 }), 5, 5)],
    'hot, bytes for nothing': adjust(free, buildRooms({ a: 6.5, b: 2, c: 3 }), 3),
    'hot, dear bytes': adjust(dear, buildRooms({ a: 6.5, b: 2, c: 3 }), 3),
    'hot, a slow link': adjust(slow, buildRooms({ a: 6.2, b: 2, c: 3 }), 3),
    'all hot': adjust(createShares(), buildRooms({ a: 6.5, b: 6.5, c: 6.6 }), 2)
  })
})

// Guards against gateways that leave or return together: what they are told follows a change late.
test('a share changes by at most a quarter in a second, also after a pause', t => {
  const shares = createShares()
  const rooms = buildRooms({ a: 20, b: 0, c: 0 })
  shares.adjust('s', rooms, DURATION_MS, 0)
  t.true(shares.adjust('s', rooms, DURATION_MS, 60_000).share <= 0.25)
})

test('between the cost and the gain that it takes to leave, a share stays', t => {
  const shares = createShares()
  shares.noteRequest('s', 40_000)
  adjust(shares, buildRooms({ a: 7, b: 1 }), 2)
  const { share, costMs } = shares.getDecision('s')
  const between = buildRooms({ a: 5.4, b: 1 })
  const gainMs = estimateWaitMs(between[0]!, DURATION_MS)!
  t.true(gainMs > costMs && gainMs < 1.5 * costMs + 5, `${gainMs} ms, ${costMs} ms`)
  t.deepEqual(adjust(shares, between, 3, 10), [share, share, share].map(value => Math.round(value * 100) / 100))
})

// Guards against sending requests away by what was known before heartbeats and agents fell silent.
test('requests return while nothing recent is known of one side', t => {
  for (const unknown of [{ a: undefined, b: 1 }, { a: 7, b: undefined }, { b: 1 }]) {
    const shares = createShares()
    const [high] = adjust(shares, buildRooms({ a: 7, b: 1 }), 1)
    const later = adjust(shares, buildRooms(unknown), 10, 1)
    t.true(high! > 0)
    t.is(later.at(-1), 0)
  }
})

test('endpoints that cannot be used count for nothing', t => {
  const shares = createShares()
  t.deepEqual(adjust(shares, [...buildRooms({ a: 7 }), ...buildRooms({ b: 0 }, 0)], 2), [0, 0])
})

test('without a price there is no decision', t => {
  const shares = DomainSharesPlugin.create('a')
  t.false(shares.isActive)
  t.false(shares.isDue('s', 1_000))
})
