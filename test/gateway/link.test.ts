import test from 'ava'
import { createSocket } from 'node:dgram'
import { setTimeout as wait } from 'node:timers/promises'
import { answerRankRequest } from '../../src/gateway/agent.js'
import type { RankEngine } from '../../src/gateway/agent.js'
import { LineWriter } from '../../src/gateway/lines.js'
import { EVIDENCE_BYTES_MAX } from '../../src/gateway/evidence-messages.js'
import { GatewayLink } from '../../src/gateway/link.js'
import type { Heartbeat } from '../../src/gateway/link-messages.js'
import { RankClient, RankServer } from '../../src/gateway/rank-link.js'
import type { CrashEvidence } from '../../src/plugins/gateway/part-crashes.js'
import { findUdpPort } from './ports.js'

const STATE = { id: 'g1', bornMs: 1, callerAddress: '10.0.0.1:1', domain: 'a', isReady: true, inFlight: {} }

// Guards against two gateways of which only one knows the other, and against datagrams of other programs.
test('a gateway sends heartbeats back to one that it did not know', async t => {
  const [first, second] = [{ host: '127.0.0.1', port: await findUdpPort() }, { host: '127.0.0.1', port: await findUdpPort() }]
  const received: Heartbeat[] = []
  const fail = (reason: string): void => { t.fail(reason) }
  const handlers = { handleHeartbeat: (heartbeat: Heartbeat): void => { received.push(heartbeat) }, lendShare: () => false, handleEvidence: () => {}, listEvidence: () => [], handleLimits: () => {}, listLimits: () => ({}), handleNews: () => {}, handleError: fail }
  const a = GatewayLink.create(first, handlers)
  const b = GatewayLink.create(second, handlers)
  await Promise.all([a.start(), b.start()])
  const otherProgram = createSocket('udp4')
  otherProgram.send('no heartbeat', second.port, second.host)
  a.addTarget('g2', second)
  a.send(STATE, [{ fingerprint: 'f', count: 1 }])
  await wait(50)
  b.send({ ...STATE, id: 'g2' }, [])
  await wait(50)
  for (const link of [a, b]) link.stop()
  otherProgram.close()
  t.deepEqual(received.map(({ state, strikes }) => ({ id: state.id, strikes })), [{ id: 'g1', strikes: [{ fingerprint: 'f', count: 1 }] }, { id: 'g2', strikes: [] }])
})

// Guards against evidence that is cut at the size of a datagram, and against heartbeats that repeat the first datagram only.
test('evidence that takes many datagrams arrives, and heartbeats repeat all of it', async t => {
  const [first, second] = [{ host: '127.0.0.1', port: await findUdpPort() }, { host: '127.0.0.1', port: await findUdpPort() }]
  const received = { news: new Set<string>(), heartbeats: new Set<string>() }
  const note = (set: Set<string>, evidence: readonly CrashEvidence[]): void => { for (const { accused } of evidence) for (const { part } of accused) set.add(part) }
  const sizes: number[] = []
  const handlers = { handleHeartbeat: () => {}, lendShare: () => false, handleEvidence: () => {}, listEvidence: () => [], handleLimits: () => {}, listLimits: () => ({}), handleNews: () => {}, handleError: (reason: string) => { t.fail(reason) } }
  let isNews = true
  const a = GatewayLink.create(first, { ...handlers, handleSent: (_purpose, bytes) => { sizes.push(bytes) } })
  const b = GatewayLink.create(second, { ...handlers, handleEvidence: ({ evidence }) => { note(isNews ? received.news : received.heartbeats, evidence) } })
  await Promise.all([a.start(), b.start()])
  a.addTarget('g2', second)
  const accused = Array.from({ length: 1_000 }, (_value, index) => ({ part: `p${index}`, teams: ['t1', 't2'], depth: index, ageMs: 0.5 }))
  const evidence = [{ crash: 'e1/1', service: 's', ageMs: 1, accused, harmless: [], cleared: [] }]
  a.sendEvidence(evidence)
  await wait(100)
  const datagrams = sizes.length
  isNews = false
  for (let sent = 0; sent < datagrams; sent += 1) a.send(STATE, [], evidence)
  await wait(100)
  for (const link of [a, b]) link.stop()
  t.true(datagrams > 3 && datagrams < 10, `${datagrams} datagrams`)
  t.true(Math.max(...sizes) < EVIDENCE_BYTES_MAX + 500, `${Math.max(...sizes)} bytes`)
  t.deepEqual([received.news.size, received.heartbeats.size], [1_000, 1_000])
})

test('a gateway lends a share once, and a gateway that is gone lends none', async t => {
  const [first, second] = [{ host: '127.0.0.1', port: await findUdpPort() }, { host: '127.0.0.1', port: await findUdpPort() }]
  const fail = (reason: string): void => { t.fail(reason) }
  const lent: string[] = []
  const borrower = GatewayLink.create(first, { handleHeartbeat: () => {}, lendShare: () => false, handleEvidence: () => {}, listEvidence: () => [], handleLimits: () => {}, listLimits: () => ({}), handleNews: () => {}, handleError: fail })
  const owner = GatewayLink.create(second, { handleHeartbeat: () => {}, lendShare: endpoint => lent.push(endpoint) === 1, handleEvidence: () => {}, listEvidence: () => [], handleLimits: () => {}, listLimits: () => ({}), handleNews: () => {}, handleError: fail })
  await Promise.all([borrower.start(), owner.start()])
  borrower.addTarget('g2', second)
  const replies = [await borrower.requestShare('g2', 'e1', 500), await borrower.requestShare('g2', 'e1', 500), await borrower.requestShare('g3', 'e1', 50)]
  owner.stop()
  replies.push(await borrower.requestShare('g2', 'e1', 50))
  borrower.stop()
  t.deepEqual(replies, [true, false, undefined, undefined])
})

const ENGINE: RankEngine = {
  readState: async () => ({ group: 'g', epoch: 1, rank: 0, size: 1, isOpen: true, bornMs: 1, pace: 1, step: 4, map: 0, prepared: undefined, armed: undefined, held: undefined }),
  readCounts: async () => [1, 2],
  readMap: async () => [[0]],
  send: async () => 'accepted'
}

// Guards against replies matched to the wrong request, and against waiting forever for an agent that is gone.
test('a map coordinator reads a rank and sends it orders through its agent', async t => {
  const port = await findUdpPort()
  const fail = (reason: string): void => { t.fail(reason) }
  const server = RankServer.create(async request => request.kind === 'permit' ? { kind: 'granted', delayMs: request.waitMaxMs } : await answerRankRequest(ENGINE, { host: 'h', port: 1 }, request), fail)
  await server.start({ host: '127.0.0.1', port })
  const client = RankClient.create(port, fail)
  await client.start({ host: '127.0.0.1', port: 0 })
  const replies = await Promise.all([
    client.sendRequest('127.0.0.1', { kind: 'read', wantsCounts: true, wantsMap: true }, 500),
    client.sendRequest('127.0.0.1', { kind: 'order', epoch: 1, order: { kind: 'hold', step: 9 } }, 500),
    client.sendRequest('127.0.0.2', { kind: 'read', wantsCounts: false, wantsMap: false }, 50)
  ])
  client.stop()
  server.stop()
  t.snapshot(replies)
})

// Guards against deflated requests to agents of the version before, which would drop them.
test('requests are deflated once the agent has sent a deflated reply, and bytes count as they are sent', async t => {
  const port = await findUdpPort()
  const fail = (reason: string): void => { t.fail(reason) }
  const maps: unknown[] = []
  const server = RankServer.create(async request => {
    if (request.kind === 'order') maps.push(request.order)
    return { state: undefined, ...(request.kind === 'read' ? { counts: new Array<number>(2_000).fill(1) } : {}) }
  }, fail)
  await server.start({ host: '127.0.0.1', port })
  const sizes: number[] = []
  const client = RankClient.create(port, fail, (kind, _host, bytes) => { if (kind === 'order') sizes.push(bytes) })
  await client.start({ host: '127.0.0.1', port: 0 })
  t.teardown(() => {
    client.stop()
    server.stop()
  })
  const order = { kind: 'prepare' as const, version: 1, map: [[new Array<number>(1_000).fill(7)]] }
  await client.sendRequest('127.0.0.1', { kind: 'order', epoch: 1, order }, 500)
  const reply = await client.sendRequest('127.0.0.1', { kind: 'read', wantsCounts: true, wantsMap: false }, 500)
  await client.sendRequest('127.0.0.1', { kind: 'order', epoch: 1, order }, 500)
  t.is(reply?.counts?.length, 2_000)
  t.deepEqual(maps, [order, order])
  t.is(sizes.length, 4)
  t.true(sizes[2]! < sizes[0]! / 4, sizes.join(' '))
})

// Guards against log output that grows without bound or blocks the process.
test('log lines beyond the rate are dropped and counted', async t => {
  const dropped: number[] = []
  const lines = LineWriter.create(count => { dropped.push(count) })
  for (let line = 0; line < 1_000; line += 1) lines.add('', 0)
  await wait(200)
  t.deepEqual(dropped, [600])
})
