import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { formatProof, startHarness } from './harness.js'
import type { Script } from './harness.js'

const answer: Script = (_request, response, body) => { response.end(`ran ${body}`) }
const closeConnection: Script = request => { request.socket.destroy() }
const fail: Script = (_request, response) => {
  response.statusCode = 500
  response.end('failed')
}
const refuse: Script = (_request, response) => {
  response.statusCode = 503
  response.setHeader('Heatherdoor-Not-Executed', '1')
  response.end()
}
const misdirect: Script = (_request, response) => {
  response.statusCode = 421
  response.end()
}
const answerForOtherRequest: Script = (_request, response) => {
  response.setHeader('Heatherdoor-Request-Id', 'another')
  response.end('of another request')
}
const neverAnswer: Script = () => {}

/** Streams events after `last-event-id` up to `last`; unless that is 4, closes the connection inside the next event. */
function stream (last: number): Script {
  return (request, response) => {
    response.setHeader('Content-Type', 'text/event-stream')
    for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= last; id += 1) response.write(`id: ${id}\ndata: x\n\n`)
    if (last === 4) response.end()
    else response.write('id: ', () => { setTimeout(() => { request.socket.destroy() }, 20) })
  }
}

/** Sends one request through a gateway; idle endpoints are tried in the order of their ids. */
async function run (repeat: Parameters<typeof startHarness>[0], scripts: Parameters<typeof startHarness>[1], changes?: Parameters<typeof startHarness>[2]): Promise<unknown> {
  const harness = await startHarness(repeat, scripts, changes)
  const got = await harness.call()
  harness.close()
  return { ...got, retryAfter: got.retryAfter === undefined ? 'none' : 'set', received: harness.received }
}

// Guards against an at-most-once request that runs twice, or that fails although it could safely be retried.
test('a request that may run only once', async t => {
  const once = { attemptsMax: 1 }
  t.snapshot({
    'endpoint closes the connection': await run('at-most-once', { e1: closeConnection, e2: answer }, once),
    'endpoint accepts no connection': await run('at-most-once', { e1: undefined, e2: answer }, once),
    'endpoint refuses': await run('at-most-once', { e1: refuse, e2: answer }, once),
    'endpoint refuses, two may be tried': await run('at-most-once', { e1: refuse, e2: answer }),
    'endpoint fails': await run('at-most-once', { e1: fail, e2: answer }),
    'another incarnation has the address': await run('at-most-once', { e1: misdirect, e2: answer }, once),
    'answer belongs to another request': await run('at-most-once', { e1: answerForOtherRequest, e2: answer }),
    'no endpoint': await run('at-most-once', {})
  })
})

// Guards against returning a failure to the caller although another endpoint could have answered.
test('a request that may run again', async t => {
  t.snapshot({
    'endpoint closes the connection': await run('idempotent', { e1: closeConnection, e2: answer }),
    'endpoint fails': await run('idempotent', { e1: fail, e2: answer }),
    'both fail': await run('idempotent', { e1: fail, e2: fail }),
    'answer belongs to another request': await run('idempotent', { e1: answerForOtherRequest, e2: answer }),
    'three fail, two may be tried': await run('idempotent', { e1: closeConnection, e2: closeConnection, e3: answer })
  })
})

// Guards against missing or repeated events in a stream, and against a truncated stream that looks complete.
test('a stream that breaks', async t => {
  t.snapshot({
    'resumed at another endpoint': await run('resumable-stream', { e1: stream(2), e2: stream(4) }),
    'may not be repeated': await run('at-most-once-stream', { e1: stream(2), e2: stream(4) }),
    'breaks at every endpoint': await run('resumable-stream', { e1: stream(2), e2: stream(3) })
  })
})

// Guards against answering 502 although the endpoint had answered, when it sends more than its answer.
test('bytes after a complete answer do not spoil the answer', async t => {
  const answerAndMore: Script = request => { request.socket.end(`HTTP/1.1 200 OK\r\n${formatProof(request)}Content-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother`) }
  const answerAndGarbage: Script = request => { request.socket.end(`HTTP/1.1 200 OK\r\n${formatProof(request)}Content-Length: 5\r\n\r\nwhole\x00garbage`) }
  for (const script of [answerAndMore, answerAndGarbage]) {
    const harness = await startHarness('at-most-once', { e1: script })
    const { status, body } = await harness.call()
    harness.close()
    t.deepEqual([status, body], [200, 'whole'])
  }
})

// Guards against a status at the deadline that claims that a request did not run when it may have.
test('a request whose endpoint never answers ends at its deadline', async t => {
  const harness = await startHarness('idempotent', { e1: neverAnswer })
  const startedAtMs = performance.now()
  const got = await harness.call({ deadlineMs: 200 })
  const elapsedMs = performance.now() - startedAtMs
  harness.close()
  t.is(got.status, 504)
  t.true(elapsedMs > 190 && elapsedMs < 700, `${elapsedMs} ms`)
})

// Guards against endpoints that keep working for callers that have disconnected.
test('a caller that disconnects ends the attempt', async t => {
  let closed = 0
  const harness = await startHarness('idempotent', { e1: request => { request.socket.on('close', () => { closed += 1 }) } })
  await harness.call({ leaveAfterMs: 50 })
  await wait(150)
  t.is(closed, 1)
  t.is(harness.context.listExchanges().length, 0)
  harness.close()
})

// Guards against running a request whose credential or path the configuration does not allow, or that arrives during a stop.
test('requests that the configuration does not allow are refused', async t => {
  const harness = await startHarness('idempotent', { e1: answer })
  const statuses = {
    allowed: (await harness.call()).status,
    unknownKey: (await harness.call({ key: 'k9' })).status,
    unknownPath: (await harness.call({ path: '/z/' })).status
  }
  harness.server.updateStage('refusing')
  t.deepEqual({ ...statuses, leaving: (await harness.call()).status }, { allowed: 200, unknownKey: 401, unknownPath: 404, leaving: 503 })
  t.is(harness.received['e1']!.length, 1)
  harness.close()
})

// Guards against a failed request whose cause the log does not show.
test('the log shows each attempt and why the request failed', async t => {
  const harness = await startHarness('at-most-once', { e1: closeConnection })
  await harness.call()
  harness.close()
  t.snapshot(harness.lines.map(line => {
    const { event, result, endpoint, status, mayHaveRun } = JSON.parse(line) as Record<string, unknown>
    return { event, result, endpoint, status, mayHaveRun }
  }))
})

// Guards against a stream that is resumed although its endpoint is well, because the gateway itself had stood still.
test('an event that was incomplete while the gateway stood still is not given up', async t => {
  let finish = (): void => {}
  const harness = await startHarness('resumable-stream', {
    e1: (_request, response) => {
      response.setHeader('Content-Type', 'text/event-stream')
      response.write('id: 1\ndata: x\n\nid: 2')
      finish = () => { response.end('\ndata: y\n\n') }
    },
    e2: stream(4)
  })
  const answer = harness.call()
  while (harness.context.memory.countAnswerBytes() === 0) await wait(5)
  for (const exchange of harness.context.listExchanges()) exchange.checkLiveness(performance.now() + 4_000)
  finish()
  const { body, isComplete } = await answer
  harness.close()
  t.deepEqual([body, isComplete, harness.received['e2']], ['id: 1\ndata: x\n\nid: 2\ndata: y\n\n', true, []])
})

// Guards against telling a caller that its request did not run on the word of an endpoint that has not said so.
test('an endpoint that refuses without saying that the request did not run may have run it', async t => {
  const results: Record<string, unknown> = {}
  for (const status of [408, 429, 503]) {
    const refuseUnclearly: Script = (_request, response) => {
      response.statusCode = status
      response.end('busy')
    }
    const ofOtherRequest: Script = (request, response, body) => {
      response.setHeader('Heatherdoor-Not-Executed', '1')
      response.setHeader('Heatherdoor-Request-Id', 'another')
      refuseUnclearly(request, response, body)
    }
    for (const repeat of ['at-most-once', 'at-most-once-stream', 'idempotent'] as const) {
      const alone = await run(repeat, { e1: refuseUnclearly }) as { readonly status: number }
      results[`${status} ${repeat}`] = alone.status
      results[`${status} ${repeat}, of another request`] = (await run(repeat, { e1: ofOtherRequest }) as { readonly status: number }).status
      const two = await run(repeat, { e1: refuseUnclearly, e2: answer }) as { readonly received: Readonly<Record<string, readonly string[]>> }
      results[`${status} ${repeat}, another endpoint`] = two.received['e2']!.length
    }
  }
  t.snapshot(results)
})
