import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { startHarness } from './harness.js'
import type { Script } from './harness.js'
import type { RepeatPolicy } from '../../src/gateway/model.js'

/** Longest gap in ms between events after which callers leave. */
const CALLER_GAP_MS = 2_000

/** Writes parts of a stream, each after a wait in ms, and ends it. */
function writeParts (parts: readonly (readonly [number, string])[]): Script {
  return async (_request, response) => {
    response.setHeader('Content-Type', 'text/event-stream')
    for (const [delayMs, part] of parts) {
      await wait(delayMs)
      response.write(part)
    }
    response.end()
  }
}

/** Sends two events, and then only blocks that are none. */
const stall: Script = (request, response) => {
  response.setHeader('Content-Type', 'text/event-stream')
  response.write('id: 1\ndata: x\n\nid: 2\ndata: x\n\n')
  const timer = setInterval(() => { response.write(':\n\n') }, 100)
  request.socket.on('close', () => { clearInterval(timer) })
}

const rest: Script = writeParts([[0, 'id: 3\ndata: x\n\n']])

async function run (repeat: RepeatPolicy, scripts: Readonly<Record<string, Script>>, deadlineMs = 6_000): Promise<{ readonly ids: string, readonly isComplete: boolean, readonly elapsedMs: number, readonly atOther: number }> {
  const harness = await startHarness(repeat, scripts, { timeoutMs: 6_000 })
  const timer = setInterval(() => { for (const exchange of harness.context.listExchanges()) exchange.checkLiveness(performance.now()) }, 50)
  const startedAtMs = performance.now()
  const { body, isComplete } = await harness.call({ deadlineMs })
  clearInterval(timer)
  harness.close()
  return { ids: [...body.matchAll(/id: (\d+)/g)].map(match => match[1]).join(), isComplete, elapsedMs: performance.now() - startedAtMs, atOther: harness.received['e2']?.length ?? 0 }
}

// Guards against cutting a stream that is slow but goes on.
test('a stream whose events arrive slowly, or in parts, is not cut', async t => {
  const inParts = writeParts([[0, 'id: 1\ndata: x\n\nid: 2\nda'], [1_500, 'ta: x\n\n']])
  const slowly = writeParts([[900, 'id: 1\ndata: x\n\n'], [900, 'id: 2\ndata: x\n\n'], [900, 'id: 3\ndata: x\n\n']])
  const queued = writeParts([...Array.from({ length: 18 }, () => [100, ': waiting\n\n'] as const), [0, 'id: 1\ndata: x\n\n']])
  const results = await Promise.all([
    run('at-most-once-stream', { e1: inParts, e2: rest }), run('resumable-stream', { e1: inParts }),
    run('at-most-once-stream', { e1: slowly, e2: rest }), run('resumable-stream', { e1: slowly, e2: rest }),
    run('resumable-stream', { e1: queued, e2: rest })
  ])
  t.deepEqual(results.map(({ ids, isComplete, atOther }) => [ids, isComplete, atOther]), [['1,2', true, 0], ['1,2', true, 0], ['1,2,3', true, 0], ['1,2,3', true, 0], ['1', true, 0]])
})

// Guards against a stream that never ends because its endpoint sends bytes, but no events.
test('a stream that stalls although bytes arrive is resumed elsewhere before its caller leaves, or ends at its deadline', async t => {
  const [resumed, once] = await Promise.all([run('resumable-stream', { e1: stall, e2: rest }), run('at-most-once-stream', { e1: stall, e2: rest }, 2_500)])
  t.deepEqual([resumed.ids, resumed.isComplete], ['1,2,3', true])
  t.true(resumed.elapsedMs < CALLER_GAP_MS, `resumed after ${resumed.elapsedMs} ms`)
  t.deepEqual([once.ids, once.isComplete, once.atOther], ['1,2', false, 0])
  t.true(once.elapsedMs < 2_500 + 500, `ended after ${once.elapsedMs} ms`)
})
