import test from 'ava'
import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { CALLER_PORT, CONFIGURATION, MEMORY_MB, TestCluster, waitFor } from './gateway-cluster.js'

const SLOW_CALLERS = 200
const EVENT_BYTES = 900_000

const STREAMS = {
  ...CONFIGURATION,
  routes: [
    ...CONFIGURATION.routes,
    { ...CONFIGURATION.routes[0]!, name: 'text', path_prefix: '/text/', route_kind: 'streaming', resumable: true, timeout_ms: 20_000 }
  ]
}

/** Opens a stream and reads nothing of it. */
function openUnread (ip: string, index: number): Socket {
  const socket = connect({ host: ip, port: CALLER_PORT })
  socket.on('error', () => {})
  socket.pause()
  socket.write(`POST /text/b HTTP/1.1\r\nHost: h\r\nHeatherdoor-Deadline-Ms: 20000\r\nHeatherdoor-Request-Id: slow${index}\r\nContent-Length: 0\r\n\r\n`)
  return socket
}

function readPeakMb (pid: number): number {
  return Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1024
}

// Guards against events behind callers that do not read, which together take more memory than the process has.
test('large events behind many callers that do not read stay within the memory, and others are served', async t => {
  const cluster = await TestCluster.create(STREAMS, 400)
  t.teardown(() => { cluster.stop() })
  const event = `data: ${'x'.repeat(EVENT_BYTES)}\n\n`
  cluster.answerOddly = (request, response) => {
    if (request.url?.startsWith('/text/') !== true) return false
    response.setHeader('Content-Type', 'text/event-stream')
    let id = 0
    const pump = (): void => { while (!response.destroyed && response.write(`id: ${id += 1}\n${event}`)); }
    response.on('drain', pump)
    pump()
    return true
  }
  const gateway = cluster.startGateway('g1')
  await waitFor(t, 'ready', 20_000, async () => await cluster.isReady(gateway))
  const calmMb = readPeakMb(gateway.child.pid!)
  const callers: Socket[] = []
  for (let index = 0; index < SLOW_CALLERS; index += 1) {
    callers.push(openUnread(gateway.ip, index))
    await wait(5)
  }
  await wait(2_000)
  const small: number[] = []
  for (let count = 0; count < 20; count += 1) {
    small.push((await cluster.request(gateway, 10)).status)
    await wait(50)
  }
  const peakMb = readPeakMb(gateway.child.pid!)
  t.log(`peak ${Math.round(peakMb)} MB, ${Math.round(calmMb)} MB calm; ${small.filter(status => status === 200).length} of ${small.length} small requests answered`)
  for (const caller of callers) caller.destroy()
  t.is(gateway.child.exitCode, null)
  t.true(peakMb < MEMORY_MB, `${peakMb} MB`)
  t.deepEqual([...new Set(small)], [200])
})
