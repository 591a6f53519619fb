import test from 'ava'
import type { ExecutionContext } from 'ava'
import diagnostics from 'node:diagnostics_channel'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { PeerHub } from '../../src/edge/peer/hub.js'
import type { HubListener } from '../../src/edge/peer/hub.js'
import { startOnFreePort } from '../gateway/ports.js'

const IP = '127.0.0.1'

const UPGRADE = 'GET / HTTP/1.1\r\nhost: peer\r\nupgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-key: MDEyMzQ1Njc4OWFiY2RlZg==\r\nsec-websocket-version: 13\r\n\r\n'

/** Requests that Node.js may begin of one connection: those of two pieces that the gate passes on. */
const BEGUN_MAX = 100

async function startHub (t: ExecutionContext, id: string, events: string[]): Promise<[PeerHub, number]> {
  const listener: HubListener = {
    handlePeerConnected: peer => { events.push(`${id} connected ${peer.id}`) },
    handlePeerDisconnected: peer => { events.push(`${id} disconnected ${peer.id}`) },
    handlePeerMessage: () => undefined,
    handlePeerRefused: reason => { events.push(`${id} refused ${reason}`) }
  }
  const hub = PeerHub.create({ self: { id, role: 'entry', incarnation: 1, domain: 'd', host: 'h', address: IP }, clusterSecret: 's'.repeat(32), getConfigVersion: () => 0 }, listener)
  const port = await startOnFreePort(async candidate => { await hub.start(IP, candidate) })
  t.teardown(async () => { await hub.stop() })
  return [hub, port]
}

// Until its connection is closed, Node.js keeps each request that it has begun: 20 connections of 5,000 ended an entry of 64 MB.
test.serial('of plain requests that are sent ahead few are begun', async t => {
  const begun = new Map<Socket, number>()
  const note = (message: unknown): void => {
    const { socket } = message as { socket: Socket }
    begun.set(socket, (begun.get(socket) ?? 0) + 1)
  }
  diagnostics.subscribe('http.server.request.start', note)
  t.teardown(() => { diagnostics.unsubscribe('http.server.request.start', note) })
  const [, port] = await startHub(t, 'a', [])
  const sockets = Array.from({ length: 20 }, () => {
    const socket = connect({ host: IP, port }).on('error', () => {}).pause()
    socket.write('GET / HTTP/1.1\r\nhost: peer\r\n\r\n'.repeat(5_000))
    return socket
  })
  for (let tries = 0; begun.size < sockets.length && tries < 500; tries += 1) await wait(10)
  await wait(200)
  for (const socket of sockets) socket.destroy()
  t.is(begun.size, sockets.length)
  t.true(Math.max(...begun.values()) <= BEGUN_MAX, `${Math.max(...begun.values())} requests of a connection were begun`)
})

test('a plain request is answered 426, and its connection is closed', async t => {
  const [, port] = await startHub(t, 'a', [])
  const answer = await fetch(`http://${IP}:${port}/`)
  t.is(answer.status, 426)
  t.is(answer.headers.get('connection'), 'close')
})

test('a WebSocket message that arrives in one piece with the request is received whole and in order', async t => {
  const events: string[] = []
  const [, port] = await startHub(t, 'a', events)
  const socket = connect({ host: IP, port }).on('error', () => {})
  t.teardown(() => { socket.destroy() })
  // Masked text frames: the first two, together over a piece of the gate, make one message that is no hello.
  const part = Buffer.alloc(3_000, 'x')
  const frame = (first: number): Buffer => Buffer.concat([Buffer.from([first, 0xfe, part.length >> 8, part.length & 0xff, 0, 0, 0, 0]), part])
  socket.write(Buffer.concat([Buffer.from(UPGRADE), frame(0x02), frame(0x80)]))
  const [head] = await once(socket, 'data') as [Buffer]
  t.true(String(head).startsWith('HTTP/1.1 101 '))
  await once(socket, 'close')
  t.is(events.length, 1)
  t.notRegex(events[0]!, /closed by peer|frame|too much/u, 'the frames were in order')
})

test('hubs connect to each other through the gate', async t => {
  const events: string[] = []
  const [a] = await startHub(t, 'a', events)
  const [, port] = await startHub(t, 'b', events)
  a.connect('b', `${IP}:${port}`)
  for (let tries = 0; events.length < 2 && tries < 500; tries += 1) await wait(10)
  t.deepEqual(events.toSorted(), ['a connected b', 'b connected a'])
})

test('a handshake of another version of WebSocket is refused', async t => {
  const [, port] = await startHub(t, 'a', [])
  const socket = connect({ host: IP, port }).on('error', () => {})
  socket.write(UPGRADE.replace('version: 13', 'version: 1'))
  const [head] = await once(socket, 'data') as [Buffer]
  t.regex(String(head), /^HTTP\/1\.1 4\d\d /u)
})
