import test from 'ava'
import { pack } from 'msgpackr'
import { decodeMessage } from '../../src/gateway/link-messages.js'
import { FOLLOWED_KINDS, RELAY_GRACE_MS, WatchRoles, chooseWatchers } from '../../src/gateway/watch-roles.js'
import type { WatchNews } from '../../src/gateway/watch-roles.js'
import { BOUNDS, WatchSimulation } from './watch-simulation.js'
import type { Delays } from './watch-simulation.js'

const SEEDS = [1, 2, 3]
const FLEET = { domains: 3, perDomain: 8 }

/** Plays a fault from second 10 on, with changes at uneven times around it. @returns the worst of all seeds */
function playFault (start: (simulation: WatchSimulation) => void, options: { readonly loss?: number, readonly hasRoles?: boolean } = {}): Delays {
  const results = SEEDS.map(seed => {
    const simulation = WatchSimulation.create({ ...FLEET, ...options, seed })
    simulation.run(10_000)
    start(simulation)
    for (const atMs of [10_000, 10_370, 11_210, 12_590, 14_030, 16_870, 19_250]) {
      simulation.run(atMs + seed * 70)
      simulation.write()
    }
    simulation.run(25_000)
    return simulation.measure()
  })
  return {
    calmMs: Math.max(...results.map(({ calmMs }) => calmMs)),
    latestMs: Math.max(...results.map(({ latestMs }) => latestMs)),
    callsPerS: Math.max(...results.map(({ callsPerS }) => callsPerS)),
    datagramsPerS: Math.max(...results.map(({ datagramsPerS }) => datagramsPerS))
  }
}

const FAULTS: Readonly<Record<string, (simulation: WatchSimulation) => void>> = {
  none: () => {},
  'a watcher freezes': simulation => { simulation.disturb(simulation.listWatchers('d0')[0]!, { isFrozen: true }) },
  'all watchers of a domain freeze': simulation => { for (const watcher of simulation.listWatchers('d0')) simulation.disturb(watcher, { isFrozen: true }) },
  'a watcher is cut off from the store alone': simulation => { simulation.disturb(simulation.listWatchers('d0')[0]!, { isCutFromStore: true }) },
  'all watchers of a domain are cut off from the store': simulation => { for (const watcher of simulation.listWatchers('d0')) simulation.disturb(watcher, { isCutFromStore: true }) },
  'a watcher lies behind: its connection is silent': simulation => { simulation.silence(simulation.listWatchers('d0')[0]!) },
  'the connections of all listeners of a domain are silent': simulation => { for (const listener of simulation.listListeners('d0')) simulation.silence(listener) },
  'all connections are silent': simulation => { for (const gateway of simulation.gateways) simulation.silence(gateway) },
  'a listener is silent while all watchers of its domain freeze': simulation => {
    for (const watcher of simulation.listWatchers('d0')) simulation.disturb(watcher, { isFrozen: true })
    simulation.silence(simulation.listListeners('d0')[0]!)
  },
  'a listener is silent, and no messages of watchers reach it': simulation => {
    const listener = simulation.listListeners('d0')[0]!
    listener.faults.losesNews = true
    simulation.silence(listener)
  },
  'a domain is cut off from the others': simulation => { for (const gateway of simulation.gateways) if (gateway.domain === 'd0') simulation.disturb(gateway, { isCutFromPeers: true }) }
}

// Guards against changes that are late at a gateway in touch because another one is frozen, behind or cut off, or because all connections are silent at once.
test('each fault keeps the bounds at every gateway in touch', t => {
  for (const [name, start] of Object.entries(FAULTS)) {
    for (const loss of [0, 0.2]) {
      const delays = playFault(start, { loss })
      t.log(`${name}, ${loss * 100} % of datagrams lost: ${JSON.stringify(delays)}`)
      t.true(delays.latestMs <= 0, `${name}: ${delays.latestMs} ms late`)
      t.true(delays.calmMs <= BOUNDS.applyMs, `${name}: ${delays.calmMs} ms`)
    }
    if (name === 'all connections are silent') t.log(`${name}, no roles: ${JSON.stringify(playFault(start, { hasRoles: false }))}`)
  }
})

// Guards against gateways that rely on watchers which are being restarted.
test('a rolling restart keeps the bounds', t => {
  for (const seed of SEEDS) {
    const simulation = WatchSimulation.create({ ...FLEET, seed, loss: 0.05 })
    simulation.run(8_000)
    for (const [at, gateway] of simulation.gateways.entries()) {
      simulation.kill(gateway)
      simulation.run(simulation.nowMs + 400)
      simulation.restart(gateway)
      if (at % 3 === 0) simulation.write()
      simulation.run(simulation.nowMs + 300)
    }
    simulation.run(simulation.nowMs + 5_000)
    const delays = simulation.measure()
    if (seed === 1) t.log(`rolling restart: ${JSON.stringify(delays)}`)
    t.true(delays.latestMs <= 0, `${delays.latestMs} ms late`)
  }
})

// Guards against listeners that rely for too long on watchers which are silent, where others learn late that these are gone.
test('silent listeners notice in time that all watchers of their domain are frozen, whatever the bounds demand', t => {
  for (const noticeMs of [2_000, 2_500, 3_000, 4_000]) {
    for (const goneMs of [1_500, 3_500]) {
      const latest = SEEDS.map(seed => {
        const simulation = WatchSimulation.create({ ...FLEET, seed, loss: 0.2, bounds: { noticeMs, applyMs: noticeMs - 1_000 }, goneMs })
        const startMs = 10_000 + seed * 170
        simulation.run(startMs)
        for (const watcher of simulation.listWatchers('d0')) simulation.disturb(watcher, { isFrozen: true })
        for (const listener of simulation.listListeners('d0')) simulation.silence(listener)
        for (const afterMs of [0, 370, 900, 1_500, 2_500, 4_000]) {
          simulation.run(startMs + afterMs)
          simulation.write()
        }
        simulation.run(startMs + 8_000)
        return simulation.measure().latestMs
      })
      t.log(`noticed within ${noticeMs} ms, gone after ${goneMs} ms: ${Math.max(...latest)} ms after the bound`)
      t.true(Math.max(...latest) <= 0, `${noticeMs}, ${goneMs}: ${Math.max(...latest)} ms late`)
    }
  }
})

// Guards against roles that cost as many calls as each gateway following the store for itself, and against messages that grow with the fleet.
test('roles save calls', t => {
  const figures = [1, 2, 3].flatMap(domains => [4, 14, 20].map(perDomain => {
    const [before, after] = [false, true].map(hasRoles => {
      const simulation = WatchSimulation.create({ domains, perDomain, seed: 1, hasRoles })
      simulation.run(40_000)
      return simulation.measure()
    })
    return { domains, perDomain, callsBefore: before!.callsPerS, callsAfter: after!.callsPerS, datagramsAfter: after!.datagramsPerS }
  }))
  for (const figure of figures) t.log(JSON.stringify(figure))
  for (const { perDomain, callsBefore, callsAfter, datagramsAfter } of figures) {
    if (perDomain < 5) t.is(callsAfter, callsBefore)
    else t.true(callsAfter < callsBefore / 2)
    t.true(datagramsAfter <= 2.5)
  }
})

// Guards against a place that moves although its gateway is there.
test('only the place of a gateway that is gone moves', t => {
  const ids = Array.from({ length: 20 }, (_value, at) => `g${at}`)
  const chosen = chooseWatchers('d', ids)
  t.is(chosen.length, 2)
  for (const gone of ids) {
    const kept = chosen.filter(id => id !== gone)
    t.deepEqual(chooseWatchers('d', ids.filter(id => id !== gone)).filter(id => kept.includes(id)), kept)
  }
})

const NEWS: WatchNews = { id: 'w1', era: 2, isHearing: true, changed: [5, 6, 7], seen: [9, 9, 9] }
const OTHERS = ['w1', 'w2', 'a', 'b', 'c', 'd', 'e'].map(id => ({ id, domain: 'x' }))

/** @returns roles of a listener that has seen revision 5 of each kind in era 2 */
function createListener (): WatchRoles {
  const roles = WatchRoles.create({ id: 'self', domain: 'x' }, 0, BOUNDS.noticeMs)
  for (const kind of ['endpoints', 'configuration', 'evacuations'] as const) roles.noteProgress(kind, { era: 2, seen: 5, changed: undefined }, 4_000)
  return roles
}

// Guards against watches that are given up without a reason, or again and again for the same one.
test('a watch is given up once for each change that others told of', t => {
  const roles = createListener()
  roles.noteNews(NEWS, 5_000)
  const asked = [5_000, 5_000 + RELAY_GRACE_MS, 5_000 + RELAY_GRACE_MS + 100, 8_000].map(atMs => roles.listOverdue(atMs))
  t.deepEqual(asked, [[], ['configuration', 'evacuations'], [], []])
  roles.noteNews({ ...NEWS, era: 3, changed: [1, 1, 1] }, 9_000)
  t.deepEqual(roles.listOverdue(9_500), ['endpoints', 'configuration', 'evacuations'])
  roles.noteNews({ ...NEWS, id: 'w2', era: 1, changed: [99, 99, 99] }, 10_000)
  t.deepEqual(roles.listOverdue(11_000), [])
})

// Guards against long waits while no watcher hears the store, or while they disagree.
test('a gateway waits long only while watchers hear the store and agree', t => {
  const roles = createListener()
  const choose = (atMs: number): string => roles.chooseRole(OTHERS, false, atMs)
  const chosen = [choose(2_000), choose(4_000)]
  roles.noteNews(NEWS, 5_000)
  chosen.push(choose(5_100), choose(7_500), choose(7_600))
  roles.noteNews({ ...NEWS, isHearing: false }, 8_000)
  chosen.push(choose(8_000))
  for (let atMs = 9_000; atMs <= 11_000; atMs += 1_000) {
    roles.noteNews({ ...NEWS, changed: [20, 6, 7], seen: [20, 20, 20] }, atMs)
    roles.noteNews({ ...NEWS, id: 'w2' }, atMs)
    chosen.push(choose(atMs))
  }
  chosen.push(roles.chooseRole(OTHERS.slice(0, 4), false, 12_000))
  t.deepEqual(chosen, ['starting', 'unheard', 'listener', 'listener', 'unheard', 'unheard', 'listener', 'unheard', 'unheard', 'alone'])
})

// Guards against a new era that is missed or asked for again and again, and against news of the one before that hide it.
test('news of an era that only some gateways know make the others ask once, and news of the era before change nothing', t => {
  const roles = createListener()
  const late: WatchNews = { ...NEWS, id: 'w2', era: 2, changed: [50, 50, 50], seen: [50, 50, 50] }
  const early: WatchNews = { ...NEWS, era: 3, changed: [0, 0, 0], seen: [1, 0, 0] }
  const all = ['endpoints', 'configuration', 'evacuations']
  const roleOf = (atMs: number): string => roles.chooseRole(OTHERS, false, atMs)
  roles.noteNews(late, 5_000)
  t.deepEqual([roleOf(5_300), roles.listOverdue(5_300)], ['listener', all])
  for (const kind of FOLLOWED_KINDS) roles.noteProgress(kind, { era: 2, seen: 50, changed: 50 }, 5_400)
  // The revisions of the new era are lower. The watcher that does not know it yet counts as behind.
  roles.noteNews(early, 6_000)
  roles.noteNews(late, 6_050)
  t.deepEqual([roleOf(6_300), roles.listOverdue(6_300)], ['listener', all])
  roles.noteNews(early, 7_000)
  roles.noteNews(late, 7_050)
  t.deepEqual([roleOf(7_300), roles.listOverdue(7_300)], ['unheard', []])
  for (const kind of FOLLOWED_KINDS) roles.noteProgress(kind, { era: 3, seen: 2, changed: 2 }, 7_400)
  roles.noteNews({ ...late, changed: [60, 60, 60], seen: [60, 60, 60] }, 7_500)
  t.deepEqual(roles.listOverdue(8_500), [])
  // Once the other watcher knows the era as well, both can be relied on.
  roles.noteNews({ ...early, id: 'w2' }, 8_600)
  roles.noteNews(early, 8_600)
  t.deepEqual([roleOf(8_700), roles.listOverdue(8_900)], ['listener', []])
  // A second change of the era is told like the first one.
  roles.noteNews({ ...early, era: 4 }, 9_000)
  t.deepEqual(roles.listOverdue(9_300), all)
})

// Guards against revisions of the era before in the news of a watcher that has listed some kinds only.
test('a watcher tells revisions of the newest era only', t => {
  const [id] = chooseWatchers('x', OTHERS.map(other => other.id)) as [string]
  const roles = WatchRoles.create({ id, domain: 'x' }, 0, BOUNDS.noticeMs)
  const waits = { endpoints: 4_000, configuration: 4_000, evacuations: 4_000 }
  for (const kind of FOLLOWED_KINDS) roles.noteProgress(kind, { era: 2, seen: 50, changed: 40 }, 4_000)
  t.is(roles.chooseRole(OTHERS.filter(other => other.id !== id), true, 4_000), 'watcher')
  t.deepEqual(roles.takeNews(waits, 4_000), { id, era: 2, isHearing: true, changed: [40, 40, 40], seen: [50, 50, 50] })
  roles.noteProgress('configuration', { era: 3, seen: 7, changed: 6 }, 4_100)
  t.deepEqual(roles.takeNews(waits, 4_100), { id, era: 3, isHearing: true, changed: [0, 6, 0], seen: [0, 7, 0] })
  roles.noteProgress('endpoints', { era: 3, seen: 9, changed: undefined }, 4_200)
  t.deepEqual(roles.takeNews(waits, 4_300), { id, era: 3, isHearing: true, changed: [0, 6, 0], seen: [9, 7, 0] })
})

// Guards against values of a datagram that end a gateway or make it give up its watches for ever.
test('a message with values that cannot be used is none', t => {
  const encode = (news: unknown): Buffer => pack({ version: 1, kind: 'watch-news', news })
  t.log(`bytes of a message: ${encode({ ...NEWS, id: 'front-evosmos-2', changed: [70_000, 70_001, 70_002], seen: [70_010, 70_010, 70_010] }).length}`)
  t.deepEqual(decodeMessage(encode(NEWS)).extract(), { version: 1, kind: 'watch-news', news: NEWS })
  const odd = [{ ...NEWS, id: '' }, { ...NEWS, era: -1 }, { ...NEWS, era: 'x' }, { ...NEWS, isHearing: 1 }, { ...NEWS, changed: [1, 2] }, { ...NEWS, seen: [1, 2, Infinity] }, { ...NEWS, seen: 'all' }, 5, null, undefined]
  for (const news of odd) t.is(decodeMessage(encode(news)).extract(), 'unusable', JSON.stringify(news))
})
