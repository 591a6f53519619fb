import test from 'ava'
import fc from 'fast-check'
import type { Configuration } from '../../src/kernel/configuration.js'
import type { Message, ProcessRef } from '../../src/protocol/messages.js'
import { Network } from './network.js'
import { Session, buildConfiguration, buildProcess, buildState } from './session.js'
import { buildConfigurationRead } from './configuration-read.js'

function buildEntries (count: number): readonly ProcessRef[] {
  return Array.from({ length: count }, (_, index) => buildProcess(`entry-${String(index).padStart(3, '0')}`, 'entry', `d${index % 9}`, 1_760_000_000_000 + index))
}

const DOMAINS = Array.from({ length: 9 }, (_, index) => ({ name: `d${index}`, region: `r${index % 3}`, state: 'in' as const }))

function buildSpecs (entries: readonly ProcessRef[]): Configuration['entries'] {
  return entries.map(({ id, host, domain, address }) => ({ id, host, domain, callerUrl: `http://${id}`, peerAddress: address }))
}

function startNetwork (entries: readonly ProcessRef[], options: { seed: number, stepMs: number, measureBytes?: boolean }): Network {
  const network = Network.create(options)
  const read = buildConfigurationRead(buildConfiguration(1, { entries: buildSpecs(entries), domains: DOMAINS, endpoints: [] }))
  for (const entry of entries) network.add(entry, entries.slice(0, 3))
  for (const entry of entries) network.dispatch(entry.id, read)
  return network
}

function listViews (network: Network): readonly string[] {
  return [...network.nodes.values()].filter(({ isUp: up }) => up).map(({ kernel }) => kernel.getPort('membership').listEntries().map(({ id }) => id).join())
}

// Guards against using a silent connection for more than 3 s, and against processes that reconnect at the same time.
test('a silent connection is replaced', t => {
  const session = Session.createReady('book')
  session.advanceTime(3_500, ['book-a', 'book-c'])
  t.is(session.kernel.getPort('membership').findPeer('book-b'), undefined)
  session.connect('book', 'b')
  session.advanceTime(1_000)
  t.snapshot(session.takeEffects().filter(line => line.includes('book-b')))
  t.truthy(session.kernel.getPort('membership').findPeer('book-b'))
})

// Guards against dropping a live member because one connection to it was lost.
test('a suspected member refutes the suspicion with a higher incarnation', t => {
  const session = Session.create()
  const other = buildProcess('e2', 'entry', 'b', 5)
  const list = () => session.kernel.getPort('membership').listEntries().map(({ id }) => id)
  session.dispatch({ kind: 'peer-connected', peer: other })
  const claim = (incarnation: number, state: 'alive' | 'suspect', process = other) =>
    session.receive(other, { kind: 'probe', sequence: 1, updates: [{ process: { ...process, incarnation }, state, configVersion: 0 }] })
  claim(5, 'suspect', buildProcess('e3', 'entry', 'c'))
  claim(5, 'suspect')
  t.deepEqual(list(), ['e1'])
  claim(5, 'alive')
  t.deepEqual(list(), ['e1'])
  claim(6, 'alive')
  t.deepEqual(list(), ['e1', 'e2'])
  session.takeEffects()
  claim(1, 'suspect', session.self)
  t.snapshot(session.takeEffects())
})

// Guards against member lists that differ between processes after a crash, a leave and a partition.
test('membership converges', t => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 9_999 }), fc.integer({ min: 4, max: 24 }), (seed, count) => {
    const entries = buildEntries(count)
    const network = startNetwork(entries, { seed, stepMs: 100 })
    network.advanceTime(5_000)
    const split = Math.floor(count / 2)
    network.isReachable = (a, b) => (Number(a.slice(-3)) < split) === (Number(b.slice(-3)) < split)
    network.kill('entry-001')
    network.dispatch('entry-002', { kind: 'leave-requested', deadlineMs: 60_000 })
    network.advanceTime(20_000)
    network.isReachable = () => true
    network.advanceTime(60_000)
    const expected = entries.map(({ id }) => id).filter(id => id !== 'entry-001' && id !== 'entry-002').join()
    for (const view of listViews(network)) if (view !== expected) throw new Error(`member list is ${view}, expected ${expected}`)
  }), { numRuns: 10, seed: 12 })
  t.pass()
})

// Guards against control traffic above 3 KB/s per node in a large system, and against a configuration that takes more than 15 s to reach all nodes.
test('610 members stay within 3 KB/s per node', t => {
  const entries = buildEntries(610)
  const network = startNetwork(entries, { seed: 1, stepMs: 200, measureBytes: true })
  network.advanceTime(10_000)
  const measure = (ms: number): number => {
    for (const node of network.nodes.values()) node.sentBytes = 0
    network.advanceTime(ms)
    return Math.max(...[...network.nodes.values()].map(({ sentBytes }) => sentBytes * 1000 / ms))
  }
  const quiet = measure(10_000)
  const second = buildConfigurationRead(buildConfiguration(2, { entries: buildSpecs(entries), domains: DOMAINS, endpoints: [] }))
  network.dispatch('entry-300', second)
  const startMs = network.nowMs
  const hasAll = (): boolean => [...network.nodes.values()].every(({ kernel }) => kernel.getPort('configuration').getCurrent().version === 2)
  while (!hasAll() && network.nowMs < startMs + 15_000) network.advanceTime(200)
  t.log(`configuration from one entry to all ${entries.length}: ${network.nowMs - startMs} ms`)
  t.true(hasAll())
  const movedEndpoint = buildProcess('worker-0123', 'endpoint', 'd0', 1_760_000_000_000)
  const heartbeat: Message = { kind: 'heartbeat', incarnation: movedEndpoint.incarnation, configVersion: 2, endpoint: buildState('book', { leaving: true, movedTo: 'worker-4321' }) }
  for (const entry of ['entry-007', 'entry-008']) network.dispatch(entry, { kind: 'message-received', peer: movedEndpoint, message: heartbeat })
  for (let index = 0; index < 6; index += 1) network.kill(`entry-${String(100 + index * 50)}`)
  const busy = measure(10_000)
  network.advanceTime(10_000)
  const counts = listViews(network).map(view => view.split(',').length)

  t.log(`largest traffic sent per node: idle ${Math.round(quiet)} B/s, after 6 deaths ${Math.round(busy)} B/s; largest gossip of a message ${network.largestUpdatesBytes} B`)
  const watchers = [...network.nodes.values()].filter(({ isUp: up, kernel }) => up && kernel.getPort('membership').isWatcher())
  t.is(watchers.length, 6)
  const informed = [...network.nodes.values()].filter(({ isUp: up, kernel }) => up && kernel.getPort('requests').listMoves(network.nowMs).length === 1)
  t.is(informed.length, 604)
  t.true(counts.every(count => count === 604))
  t.true(quiet <= 3_000 && busy <= 3_000)
  t.true(network.largestUpdatesBytes <= 600)
})
