import test from 'ava'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { parseDescriptorLimit } from '../../src/edge/connections/descriptors.js'
import { RequestRoom, computeCallerBounds, computeDescriptorsMax, decideConnection } from '../../src/gateway/caller-limits.js'
import type { ConnectionState } from '../../src/gateway/caller-limits.js'
import { startHarness } from './harness.js'
import type { Harness, Script } from './harness.js'

const MB = 1024 * 1024

test('the bounds of small and large hosts keep descriptors for files, the store and operators', t => {
  t.snapshot([320, 600, 2_069, 4_100, Infinity].map(limit => ({ limit, ...computeCallerBounds(limit, 202 * MB) })))
  for (const limit of [320, 600, 2_069, 4_100]) {
    const { connectionsMax, requestsMax, listenerConnectionsMax } = computeCallerBounds(limit, 202 * MB)
    t.true(connectionsMax + requestsMax + 3 * listenerConnectionsMax <= limit - 264)
  }
})

test('the smaller limit of the settings and the process holds', t => {
  const text = 'Limit Soft Limit Hard Limit Units\nMax open files            1024                 4096                 files\n'
  const own = parseDescriptorLimit(text)
  t.deepEqual([computeDescriptorsMax(600, own), computeDescriptorsMax(4_100, own), computeDescriptorsMax(undefined, own), computeDescriptorsMax(undefined, undefined)], [600, 1_024, 1_024, 20_000])
})

// Guards against one caller or team that takes the room of all others.
test('one address or team leaves room for others, and all of it is given back', t => {
  const room = RequestRoom.create({ requestsMax: 100, aheadMax: 50 })
  const takeAll = (address: string, team: string | undefined): { readonly taken: number, readonly result: string } => {
    for (let taken = 0; ; taken += 1) {
      const result = room.take({}, { address, team })
      if (result !== 'taken') return { taken, result }
    }
  }
  t.deepEqual(takeAll('a', undefined), { taken: 80, result: 'address' })
  t.false(room.mayRunAhead)
  t.deepEqual(takeAll('b', 'x'), { taken: 16, result: 'address' })
  t.deepEqual(takeAll('c', 'x').result, 'team')
  const owner = {}
  t.is(room.take(owner, { address: 'd', team: 'y' }), 'taken')
  const count = room.countRequests()
  room.release(owner)
  room.release(owner)
  t.is(room.countRequests(), count - 1)
})

const busy = (address: string): ConnectionState => ({ address, idleSinceMs: undefined, stalledSinceMs: undefined })
const idle = (address: string, idleSinceMs: number): ConnectionState => ({ ...busy(address), idleSinceMs })
const stalled = (address: string, stalledSinceMs: number): ConnectionState => ({ ...busy(address), stalledSinceMs })

test('connections that are idle or unread give way, and those with requests stay', t => {
  const nowMs = 10_000
  const decide = (open: readonly ConnectionState[], address = 'z'): unknown => decideConnection(open, address, 4, nowMs)
  t.snapshot({
    room: decide([busy('a'), busy('b')]),
    idleLongest: decide([busy('a'), idle('a', 900), idle('b', 500), stalled('b', 1)]),
    unread: decide([busy('a'), stalled('a', 7_000), stalled('b', 6_000), busy('b')]),
    unreadForAMoment: decide([busy('a'), stalled('a', 9_500), busy('b'), busy('b')]),
    allBusy: decide([busy('a'), busy('a'), busy('b'), busy('b')]),
    ofTheLargest: decide([idle('a', 100), busy('b'), busy('b'), idle('b', 200)], 'b'),
    ownShareTaken: decide([idle('a', 100), busy('a'), busy('a'), busy('a')].slice(0, 4), 'a')
  })
})

// Guards against a log line for each request of a crowd, and against a crowd that is not logged at all.
test('requests beyond a bound are counted one by one, and logged together', async t => {
  const harness = await startHarness('idempotent', { e1: (_request, response) => { response.end('ok') } })
  t.teardown(() => { harness.close() })
  harness.context.requestRoom.updateBounds({ requestsMax: 0, aheadMax: 0 })
  const listMet = (): readonly unknown[] => harness.lines.map(line => JSON.parse(line) as Record<string, unknown>).filter(({ event }) => event === 'bound-met').map(({ bound, count }) => `${String(bound)} ${String(count)}`)
  const results = [await harness.call(), await harness.call(), await harness.call()]
  t.deepEqual(results.map(({ status }) => status), [503, 503, 503])
  await wait(700)
  t.deepEqual(listMet(), ['requests 3'])
  await harness.call()
  await wait(700)
  t.deepEqual(listMet(), ['requests 3', 'requests 1'])
  t.regex(await harness.context.metrics.format(), /bounds_met_total\{bound="requests",role="gateway"\} 4/)
})

const hold: (release: (() => void)[]) => Script = release => (_request, response) => {
  response.setHeader('Heatherdoor-Response-Signature', 'signed')
  release.push(() => { response.end('ok') })
}

function sendAhead (harness: Harness, count: number, text = ''): ReturnType<typeof connect> {
  const socket = connect({ host: '127.0.0.1', port: harness.port })
  socket.on('error', () => {})
  socket.write(Array.from({ length: count }, (_value, index) => `POST /a/${index} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nHeatherdoor-Deadline-Ms: 5000\r\nHeatherdoor-Request-Id: ahead${index}\r\nContent-Length: 4\r\n\r\nbody`).join('') + text)
  return socket
}

async function waitUntil (check: () => boolean): Promise<void> {
  for (let count = 0; count < 250 && !check(); count += 1) await wait(20)
}

// Guards against requests that run for a caller that cannot be answered yet.
test('of the requests that a connection sends ahead a few run, and all are answered in order', async t => {
  const release: (() => void)[] = []
  const harness = await startHarness('at-most-once', { e1: hold(release) })
  const socket = sendAhead(harness, 40)
  let received = ''
  socket.on('data', bytes => { received += String(bytes) })
  await waitUntil(() => release.length >= 8)
  await wait(100)
  t.is(release.length, 8)
  const timer = setInterval(() => { for (const finish of release.splice(0)) finish() }, 5)
  await waitUntil(() => received.split('HTTP/1.1 200').length > 40)
  clearInterval(timer)
  const ids = [...received.matchAll(/request-id: (ahead\d+)/gi)].map(match => match[1])
  t.deepEqual(ids, Array.from({ length: 40 }, (_value, index) => `ahead${index}`))
  t.is(harness.server.openRequests, 0)
  socket.destroy()
  harness.close()
})

// Guards against room that is lost with a connection whose answers waited for each other.
test('nothing stays counted when a caller leaves behind answers that wait for the first', async t => {
  const release: (() => void)[] = []
  const harness = await startHarness('at-most-once', { e1: hold(release) })
  const socket = sendAhead(harness, 20)
  await waitUntil(() => release.length >= 8)
  for (const finish of release.splice(1)) finish()
  await wait(50)
  socket.destroy()
  await waitUntil(() => harness.server.openRequests === 0)
  for (const finish of release.splice(0)) finish()
  await waitUntil(() => harness.context.listExchanges().length === 0)
  const { memory, requestRoom } = harness.context
  t.deepEqual({
    open: harness.server.openRequests, connections: harness.server.openConnections, answers: memory.countAnswerBytes(), bodies: memory.countBodyBytes(), requests: requestRoom.countRequests()
  }, { open: 0, connections: 0, answers: 0, bodies: 0, requests: 0 })
  harness.close()
})

// Guards against a status that says that the first request did not run, when it was the next one that could not be read.
test('bytes that are no request are answered after the requests before them', async t => {
  const release: (() => void)[] = []
  const harness = await startHarness('at-most-once', { e1: hold(release) })
  const socket = sendAhead(harness, 1, 'no request\r\n\r\n')
  let received = ''
  socket.on('data', bytes => { received += String(bytes) })
  await waitUntil(() => release.length === 1)
  await wait(50)
  t.is(received, '')
  release[0]!()
  await waitUntil(() => received.includes(' 400 '))
  t.deepEqual([...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(match => match[1]), ['200', '400'])
  harness.close()
})

// Guards against a planned stop that runs what a connection has sent ahead.
test('what waits in a connection is not run in a planned stop', async t => {
  const release: (() => void)[] = []
  const harness = await startHarness('at-most-once', { e1: hold(release) })
  const socket = sendAhead(harness, 30)
  let isClosed = false
  socket.resume().on('close', () => { isClosed = true })
  await waitUntil(() => release.length >= 8)
  harness.server.updateStage('refusing')
  for (const finish of release) finish()
  await waitUntil(() => isClosed)
  t.is(harness.received['e1']!.length, 8)
  t.is(harness.server.openRequests, 0)
  harness.close()
})
