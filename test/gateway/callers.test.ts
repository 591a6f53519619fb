import test from 'ava'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { startHarness } from './harness.js'
import type { Harness, Script } from './harness.js'

/** Time in ms that a test waits after the expected answers for further ones and for the end of the connection. */
const FURTHER_WAIT_MS = 400

/** Longest time in ms that a test waits for the expected answers. */
const ANSWERS_WAIT_MAX_MS = 10_000

/** Answers with the request as the endpoint received it. */
const echo: Script = (request, response, body) => {
  const { authorization, connection, te, 'x-hop': hop, 'x-kept': kept, 'transfer-encoding': encoding, 'content-length': length } = request.headers
  response.end(JSON.stringify({ method: request.method, path: request.url, bytes: body.length, body: body.slice(0, 40), authorization, connection, te, hop, kept, encoding, length }))
}

function openSocket (harness: Harness, isHalfOpen = false): { readonly socket: Socket, read (): string } {
  const socket = connect({ port: harness.port, host: '127.0.0.1', allowHalfOpen: isHalfOpen })
  let text = ''
  socket.on('data', chunk => { text += String(chunk) })
  socket.on('error', () => {})
  return { socket, read: () => text }
}

/** Sends parts with pauses in between and returns the answers, whether the connection was closed, and the requests that reached the endpoint. */
async function exchange (parts: readonly string[], script: Script = echo, { closesSending = false, answers: expected = 1 }: { readonly closesSending?: boolean, readonly answers?: number } = {}): Promise<unknown> {
  const harness = await startHarness('idempotent', { e1: script }, { attemptsMax: 1 })
  const { socket, read } = openSocket(harness, closesSending)
  let isClosed = false
  socket.on('close', () => { isClosed = true })
  socket.on('end', () => { isClosed = true })
  for (const part of parts) {
    socket.write(part)
    await wait(30)
  }
  if (closesSending) socket.end()
  const listAnswers = (): readonly string[] => read().split(/(?=HTTP\/1\.1 \d{3})/).filter(Boolean)
  const endsAtMs = performance.now() + ANSWERS_WAIT_MAX_MS
  const hasAll = (): boolean => isClosed || listAnswers().length >= expected
  while (!hasAll() && performance.now() < endsAtMs) await wait(20)
  await wait(FURTHER_WAIT_MS)
  const answers = listAnswers().map(answer => {
    const [head = '', body = ''] = answer.split('\r\n\r\n')
    return { status: head.split('\r\n')[0], body }
  })
  socket.destroy()
  harness.close()
  return { answers, isClosed, received: harness.received['e1'] }
}

function formatRequest (id: string, headers: readonly string[], body = '', path = '/a/b'): string {
  return [`POST ${path} HTTP/1.1`, 'Host: h', `Heatherdoor-Request-Id: ${id}`, 'Heatherdoor-Deadline-Ms: 1500', 'Authorization: Bearer k1', ...headers, '', body].join('\r\n')
}

// Guards against request smuggling: part of one request being taken for another one by the gateway or an endpoint.
test('requests with an ambiguous length are refused and reach no endpoint', async t => {
  const hidden = 'GET /a/hidden HTTP/1.1\r\nHost: h\r\n\r\n'
  t.snapshot({
    'length and chunks': await exchange([formatRequest('r1', ['Content-Length: 4', 'Transfer-Encoding: chunked'], `0\r\n\r\n${hidden}`)]),
    'two lengths': await exchange([formatRequest('r2', ['Content-Length: 4', 'Content-Length: 40'], `body${hidden}`)]),
    'length that is no number': await exchange([formatRequest('r3', ['Content-Length: 4x'], 'body')]),
    'unknown encoding': await exchange([formatRequest('r4', ['Transfer-Encoding: xchunked'], `4\r\nbody\r\n0\r\n\r\n${hidden}`)]),
    'bad chunk size': await exchange([formatRequest('r5', ['Transfer-Encoding: chunked'], 'zz\r\nbody\r\n0\r\n\r\n')]),
    'space before the colon': await exchange([formatRequest('r6', ['Content-Length : 4'], 'body')]),
    'folded header': await exchange([formatRequest('r7', ['X-Kept: a', ' b', 'Content-Length: 4'], 'body')]),
    'no request id': await exchange(['POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'])
  })
})

// Guards against modified bodies, and against forwarding hop-by-hop headers or the credential of the caller.
test('bodies are forwarded unchanged, hop-by-hop headers and the key are not forwarded', async t => {
  t.snapshot({
    length: await exchange([formatRequest('r1', ['Content-Length: 4', 'X-Kept: yes'], 'body')]),
    chunks: await exchange([formatRequest('r2', ['Transfer-Encoding: chunked']), '2\r\nbo\r\n', '2\r\ndy\r\n', '0\r\n\r\n']),
    'hop headers': await exchange([formatRequest('r3', ['Content-Length: 0', 'Connection: keep-alive, X-Hop', 'X-Hop: 1', 'TE: trailers', 'Keep-Alive: timeout=5'])]),
    'body on request': await exchange([formatRequest('r4', ['Content-Length: 4', 'Expect: 100-continue']), 'body'], echo, { answers: 2 }),
    'body too large': await exchange([formatRequest('r5', ['Content-Length: 2000'], 'x'.repeat(2_000))])
  })
})

// Guards against answers in another order than their requests. A caller that closes only its sending side counts as disconnected, because the two cases look the same.
test('several requests on one connection are answered in order', async t => {
  const slowFirst: Script = (request, response) => { setTimeout(() => { response.end(String(request.url)) }, request.url === '/a/1' ? 150 : 0) }
  t.snapshot({
    pipelined: await exchange([formatRequest('r1', ['Content-Length: 0'], '', '/a/1') + formatRequest('r2', ['Content-Length: 0'], '', '/a/2')], slowFirst, { answers: 2 }),
    'one after the other': await exchange([formatRequest('r1', ['Content-Length: 0'], '', '/a/2'), formatRequest('r2', ['Content-Length: 0'], '', '/a/2')], slowFirst, { answers: 2 }),
    'sending side closed': await exchange([formatRequest('r1', ['Content-Length: 0'], '', '/a/1')], slowFirst, { closesSending: true })
  })
})

// Guards against a slow caller that loses events, or whose stream is abandoned as if its endpoint were unresponsive.
test('a caller that reads slowly receives every event', async t => {
  const events = 4_000
  const harness = await startHarness('resumable-stream', {
    e1: (_request, response) => {
      response.setHeader('Content-Type', 'text/event-stream')
      for (let id = 1; id <= events; id += 1) response.write(`id: ${id}\ndata: ${'x'.repeat(1_000)}\n\n`)
      response.end()
    }
  })
  const { socket, read } = openSocket(harness)
  socket.write(formatRequest('r1', ['Content-Length: 0']))
  await wait(50)
  socket.pause()
  await wait(700)
  for (const exchange of harness.context.listExchanges()) t.is(exchange.checkLiveness(performance.now()), undefined)
  socket.resume()
  for (let turn = 0; turn < 100 && !read().includes(`id: ${events}\n`); turn += 1) await wait(20)
  const ids = [...read().matchAll(/id: (\d+)\n/g)].map(match => Number(match[1]))
  socket.destroy()
  harness.close()
  t.is(ids.length, events)
  t.deepEqual(ids, Array.from({ length: events }, (_, at) => at + 1))
})
