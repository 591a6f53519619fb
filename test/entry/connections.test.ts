import test from 'ava'
import type { ExecutionContext } from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { computeConnectionsMax, computeHandshakesMax } from '../../src/edge/connections/descriptors.js'
import { ConnectionTable } from '../../src/edge/connections/table.js'
import type { ConnectionLimits } from '../../src/edge/connections/table.js'
import type { LimitReason } from '../../src/edge/connections/limit-log.js'
import { HeldBytes } from '../../src/edge/entry/held-bytes.js'

const IP = '127.0.0.1'
const REQUEST = 'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'

interface TestServer {
  readonly port: number
  readonly reached: LimitReason[]
  isHeldBackCalls: number
}

async function startServer (t: ExecutionContext, limits: Partial<ConnectionLimits>, handle: RequestListener, requestTimeout = 10_000): Promise<TestServer> {
  const server = createServer({ requestTimeout, headersTimeout: requestTimeout, connectionsCheckingInterval: 50 }, handle)
  const started = { port: 0, reached: [] as LimitReason[], isHeldBackCalls: 0 }
  const table = ConnectionTable.create(server, { connectionsMax: 100, connectionRequestsMax: 2, unreadTimeoutMs: 60_000, requestTimeoutMs: requestTimeout, isTls: false, noteLimit: limit => { started.reached.push(limit) }, ...limits })
  server.on('clientError', (_error, socket) => {
    if (table.isHeldBack(socket as Socket)) started.isHeldBackCalls += 1
    else socket.destroy()
  })
  server.listen(0, IP)
  await once(server, 'listening')
  t.teardown(() => { server.close().closeAllConnections() })
  started.port = (server.address() as AddressInfo).port
  return started
}

function open (t: ExecutionContext, port: number): Socket & { text: string } {
  const socket = Object.assign(connect(port, IP), { text: '' })
  socket.on('error', () => {}).on('data', data => { socket.text += String(data) })
  t.teardown(() => { socket.destroy() })
  return socket
}

const countAnswers = (text: string): number => text.split('HTTP/1.1 200').length - 1

// Guards against a gate that stops for good, reorders requests, or starts more of them than it should.
test('requests sent ahead, with and without bodies, are all answered in order, a few at a time', async t => {
  const count = 300
  let running = 0
  let most = 0
  const { port } = await startServer(t, {}, (request, response) => {
    running += 1
    most = Math.max(most, running)
    let bytes = 0
    request.on('data', (data: Buffer) => { bytes += data.length }).on('end', () => {
      setTimeout(() => {
        running -= 1
        response.end(`[${request.url} ${bytes}]`)
      }, 1)
    })
  })
  const socket = open(t, port)
  // Of 1,000 bytes, pieces end inside most bodies.
  const sizes = Array.from({ length: count }, (_, index) => index % 7 === 0 ? 40_000 : index % 7 < 3 ? 1_000 : index % 5)
  socket.write(sizes.map((size, index) => `POST /${index} HTTP/1.1\r\nhost: h\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`).join(''))
  while (countAnswers(socket.text) < count && !socket.destroyed) await wait(10)
  t.deepEqual([...socket.text.matchAll(/\[\/(\d+) (\d+)\]/g)].map(match => [Number(match[1]), Number(match[2])]), sizes.map((size, index) => [index, size]))
  // Less than two are unanswered before a piece, and one piece of 1 KB starts at most 20 of these.
  t.true(most <= 22, `${most} ran at once`)
})

// Guards against callers inside the limits that are cut off because the entry itself read no further.
test('a request that is held back for longer than the time limit of a request is answered', async t => {
  const server = await startServer(t, {}, (_request, response) => { setTimeout(() => { response.end('x') }, 500) }, 200)
  const socket = open(t, server.port)
  // Long heads, so that the pieces cut requests apart.
  const request = `GET /a HTTP/1.1\r\nhost: h\r\nx-long: ${'y'.repeat(700)}\r\n\r\n`
  socket.write(request.repeat(12))
  while (countAnswers(socket.text) < 12 && !socket.destroyed) await wait(10)
  t.is(countAnswers(socket.text), 12)
  t.true(server.isHeldBackCalls > 0, 'the time limit was met')
})

// Guards against connections that hold their answers for ever.
test('a connection that takes no byte of its answer is closed, and one that is slow to be answered is not', async t => {
  const { port, reached } = await startServer(t, { unreadTimeoutMs: 1_000 }, (request, response) => {
    if (request.url === '/a') response.end(Buffer.alloc(16 * 1024 * 1024))
    else setTimeout(() => { response.end('x') }, 3_500)
  })
  const unread = open(t, port).pause()
  const slow = open(t, port)
  unread.write(REQUEST)
  slow.write(REQUEST.replace('/a', '/b'))
  while (countAnswers(slow.text) === 0 && !slow.destroyed) await wait(10)
  t.is(countAnswers(slow.text), 1)
  t.deepEqual(reached, ['unread'])
})

// Guards against work that goes on for callers that have gone, behind an unanswered request.
test('the responses of all unanswered requests are closed with their connection', async t => {
  const count = { opened: 0, closed: 0 }
  const { port } = await startServer(t, { connectionRequestsMax: 5 }, (_request, response) => {
    count.opened += 1
    response.once('close', () => { count.closed += 1 })
  })
  const socket = open(t, port)
  socket.write(REQUEST.repeat(5))
  while (count.opened < 5) await wait(5)
  socket.destroy()
  for (let tries = 0; tries < 200 && count.closed < count.opened; tries += 1) await wait(10)
  t.is(count.closed, count.opened)
})

// Guards against idle connections that keep others out, and against running requests that are cut for new connections.
test('at the bound an idle connection gives way to a new one, and a new one is refused when all are busy', async t => {
  const { port, reached } = await startServer(t, { connectionsMax: 3 }, (request, response) => { if (request.url === '/a') response.end('x') })
  const busy = [open(t, port), open(t, port)]
  for (const socket of busy) socket.write(REQUEST.replace('/a', '/never'))
  const idle = open(t, port)
  await wait(200)
  const late = open(t, port)
  late.write(REQUEST)
  while (countAnswers(late.text) === 0 && !late.destroyed) await wait(10)
  t.is(countAnswers(late.text), 1)
  await wait(50)
  t.deepEqual([idle.destroyed, busy.some(socket => socket.destroyed), reached], [true, false, ['replaced']])
  late.write(REQUEST.replace('/a', '/never'))
  await wait(200)
  const refused = open(t, port)
  await once(refused, 'close')
  t.deepEqual(reached, ['replaced', 'connections'])
})

// Guards against bytes that stay counted, which would refuse everything in the end, and against a bound that does not hold.
test('held bytes refuse bodies without room and give up the largest answer', t => {
  const abandoned: string[] = []
  let noted = 0
  const held = HeldBytes.create(100, () => { noted += 1 })
  const createAnswer = (name: string, unsent: number): { unsent: number, countUnsent: () => number, abandon: () => void } => {
    const answer = { unsent, countUnsent: () => answer.unsent, abandon: () => { abandoned.push(name) } }
    return answer
  }
  const [small, large] = [createAnswer('small', 10), createAnswer('large', 50)]
  t.true(held.acceptBody(30))
  held.noteAnswer(small)
  held.noteAnswer(large)
  t.false(held.acceptBody(20))
  small.unsent = 30
  held.noteAnswer(small)
  t.deepEqual(abandoned, ['large'])
  held.removeBody(30)
  held.removeAnswer(small)
  t.true(held.acceptBody(100))
  t.false(held.acceptBody(1))
  t.is(noted, 3)
})

// Guards against limits that take the descriptors that the process itself needs.
test('connections leave descriptors for everything else', t => {
  t.deepEqual([undefined, 768, 1024, 65_536, 256].map(descriptors => [descriptors, computeConnectionsMax(4096, descriptors), computeHandshakesMax(1024, descriptors)]), [
    [undefined, 4096, 1024],
    [768, 576, 96],
    [1024, 768, 128],
    [65_536, 4096, 1024],
    [256, 192, 32]
  ])
})
