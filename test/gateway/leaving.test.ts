import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { LAPSE_GRACE_MS } from '../../src/plugins/gateway/endpoints.js'
import { startHarness } from './harness.js'
import type { Script } from './harness.js'

const answer: Script = (_request, response) => { response.end('ran') }
const answerAndLeave: Script = (_request, response) => {
  response.setHeader('Server-Leaving', '1')
  response.end('ran')
}
const refuseAndLeave: Script = (_request, response) => {
  response.statusCode = 503
  response.setHeader('Heatherdoor-Not-Executed', '1')
  response.setHeader('Server-Leaving', '1')
  response.end()
}
/** Streams two events, says that it leaves, and breaks off in the middle of the third. */
const streamAndLeave: Script = (request, response) => {
  response.setHeader('Content-Type', 'text/event-stream')
  response.setHeader('Server-Leaving', '1')
  response.write('id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: ', () => { setTimeout(() => { request.socket.destroy() }, 20) })
}
const streamRest: Script = (_request, response) => {
  response.setHeader('Content-Type', 'text/event-stream')
  response.end('id: 3\ndata: x\n\n')
}

// Guards against requests to an endpoint that has said in an answer that it leaves, whatever the store lists.
test('an endpoint that says that it leaves gets no further request', async t => {
  const harness = await startHarness('idempotent', { e1: answerAndLeave, e2: answer })
  const statuses = []
  for (let call = 0; call < 6; call += 1) statuses.push((await harness.call()).status)
  const { record } = harness.context.endpoints.find('e1')!
  harness.context.endpoints.replaceAll([record, harness.context.endpoints.find('e2')!.record], harness.context.getNowMs() + LAPSE_GRACE_MS, harness.context.getNowMs())
  statuses.push((await harness.call()).status)
  harness.context.endpoints.remove('e1')
  harness.context.endpoints.upsert(record, harness.context.getNowMs())
  statuses.push((await harness.call()).status)
  harness.close()
  t.deepEqual([statuses, harness.received['e1']!.length], [Array.from({ length: 8 }, () => 200), 1])
})

test('requests that were sent before an endpoint said that it leaves are answered', async t => {
  let isLeaving = false
  const harness = await startHarness('idempotent', {
    e1: (_request, response) => {
      if (isLeaving) response.setHeader('Server-Leaving', '1')
      const delayMs = isLeaving ? 0 : 200
      isLeaving = true
      setTimeout(() => { response.end('ran') }, delayMs)
    }
  })
  const early = harness.call()
  await wait(50)
  const statuses = [(await harness.call()).status, (await harness.call()).status, (await early).status]
  harness.close()
  t.deepEqual(statuses, [200, 503, 200])
})

test('a new start of an endpoint at the same address serves', async t => {
  const harness = await startHarness('idempotent', { e1: answerAndLeave })
  await harness.call()
  const { record } = harness.context.endpoints.find('e1')!
  harness.context.endpoints.upsert({ ...record, bornMs: 2 }, harness.context.getNowMs())
  const restarted = (await harness.call()).status
  harness.context.endpoints.upsert({ ...record, id: 'e9', bornMs: 3 }, harness.context.getNowMs())
  const renamed = (await harness.call()).status
  harness.close()
  t.deepEqual([restarted, renamed], [200, 200])
})

test('a retry and the rest of a broken stream avoid an endpoint that leaves', async t => {
  const retried = await startHarness('at-most-once', { e1: refuseAndLeave })
  const refused = await retried.call()
  retried.close()
  t.deepEqual([refused.status, retried.received['e1']!.length], [503, 1])

  const alone = await startHarness('resumable-stream', { e1: streamAndLeave })
  const broken = await alone.call()
  alone.close()
  t.deepEqual([broken.isComplete, alone.received['e1']!.length], [false, 1])

  const resumed = await startHarness('resumable-stream', { e1: streamAndLeave, e2: streamRest })
  const whole = await resumed.call()
  resumed.close()
  t.deepEqual([whole.isComplete, whole.body], [true, 'id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n'])
})

// Guards against a request that is sent after a wait to an endpoint that has left in the meantime.
test('a permit that an agent granted is not used when the endpoint says that it leaves', async t => {
  const cold = { coldPerS: 30, askPermit: async () => ({ kind: 'granted' as const, delayMs: askedBefore++ === 0 ? 0 : 150 }) }
  let askedBefore = 0
  const engine = { slots: 8, stride: 6, stepMs: 6, perRequestMs: 0.4, readPerS: 61_200, promptTokens: 800, answerTokens: 140, layers: 0, experts: 0, slotsPerRank: 0, spare: 0, expertMb: 0, linkMbps: 0, expertShare: 0 }
  const harness = await startHarness('idempotent', {
    e1: (_request, response) => {
      response.setHeader('Server-Leaving', '1')
      setTimeout(() => { response.end('ran') }, 50)
    }
  }, { latencyTargetMs: 1_000 }, engine, cold)
  const first = harness.call()
  await wait(20)
  const statuses = [(await harness.call()).status, (await first).status]
  harness.close()
  t.deepEqual([statuses, harness.received['e1']!.length], [[503, 200], 1])
})

// Guards against the announcement of one endpoint that is taken for that of another.
test('an answer of an endpoint that has taken over the address, or to another request, makes nobody leave', async t => {
  const leaveInVain = (status: number, requestId?: string): Script => (_request, response) => {
    response.statusCode = status
    response.setHeader('Server-Leaving', '1')
    if (requestId !== undefined) response.setHeader('Heatherdoor-Request-Id', requestId)
    response.end()
  }
  const harness = await startHarness('idempotent', { e1: leaveInVain(200, 'another'), e2: answer })
  await harness.call()
  t.true(harness.context.listAvailable('s').some(({ record }) => record.id === 'e1'))
  harness.close()
  const misdirected = await startHarness('idempotent', { e1: leaveInVain(421), e2: answer })
  await misdirected.call()
  const { record } = misdirected.context.endpoints.find('e2')!
  misdirected.context.endpoints.upsert({ ...record, id: 'e1', bornMs: 2, address: { host: '127.0.0.2', port: 1 } }, misdirected.context.getNowMs())
  t.true(misdirected.context.listAvailable('s').some(({ record: { id } }) => id === 'e1'))
  misdirected.close()
})
