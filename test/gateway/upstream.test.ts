import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { Attempt } from '../../src/gateway/upstream.js'

/** How the endpoint closes the connection after part of an answer. */
type Ending = 'end' | 'reset'

/** Starts an endpoint in a thread of its own, so that its data and its reset have both arrived when the blocked event loop polls again. */
async function startEndpoint (ending: Ending): Promise<{ readonly port: number, readonly worker: Worker }> {
  const code = `
    const { createServer } = require('node:net')
    const { parentPort } = require('node:worker_threads')
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => setTimeout(() => socket.write('HTTP/1.1 200 OK\\r\\n\\r\\npart', () => { ${ending === 'reset' ? 'socket.resetAndDestroy()' : 'socket.end()'} }), 30))
    })
    server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))`
  const worker = new Worker(code, { eval: true })
  const [port] = await once(worker, 'message') as [number]
  return { port, worker }
}

async function runAttempt (port: number, delayMs: number): Promise<readonly string[]> {
  const notes: string[] = []
  await new Promise<void>(resolve => {
    Attempt.create({ address: { host: '127.0.0.1', port }, method: 'GET', path: '/', headers: { host: 'h' }, body: Buffer.alloc(0) }, {
      handleHead: status => { notes.push(`head ${status}`) },
      handleData: chunk => { notes.push(`data ${chunk.toString()}`) },
      handleEnd: () => {
        notes.push('end')
        resolve()
      },
      handleFailure: failure => {
        notes.push(`${failure.kind}`)
        resolve()
      }
    })
    const untilMs = Date.now() + delayMs
    setTimeout(() => { while (Date.now() < untilMs); }, 5)
  })
  return notes
}

// Guards against a truncated answer without a length that looks complete: Node.js reports a reset read together with data as an end.
test('an answer without a length whose connection is reset is broken', async t => {
  for (const ending of ['end', 'reset'] as const) {
    const { port, worker } = await startEndpoint(ending)
    const notes = await runAttempt(port, 80)
    t.is(notes.at(-1), ending === 'end' ? 'end' : 'broken', ending)
    await worker.terminate()
  }
})

// Guards against treating a request that was never sent as one that may have run.
test('an address that accepts no connections is unreachable, a connection that closes is broken', async t => {
  const server = createServer((socket: Socket) => { socket.once('data', () => { socket.destroy() }) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  t.deepEqual(await runAttempt(port, 0), ['broken'])
  server.close()
  await once(server, 'close')
  t.deepEqual(await runAttempt(port, 0), ['unreachable'])
})
