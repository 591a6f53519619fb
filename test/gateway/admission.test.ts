import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { Permit } from '../../src/gateway/permit.js'
import type { PermitReply } from '../../src/plugins/gateway/permits.js'
import { startHarness } from './harness.js'
import type { CallOptions, Harness, Script } from './harness.js'
import { ENGINE } from './views.js'

const answer: Script = (_request, response) => { response.end('whole') }

/** How the agent of each endpoint answers, in turn; undefined is no answer. */
type Agents = Readonly<Record<string, readonly (PermitReply | undefined)[]>>

async function run (agents: Agents, call: CallOptions = {}): Promise<{ readonly harness: Harness, readonly result: unknown }> {
  const asked: string[] = []
  const harness = await startHarness('idempotent', Object.fromEntries(Object.keys(agents).map(id => [id, answer])), {}, ENGINE, {
    coldPerS: 14,
    askPermit: async ({ endpoint: { record: { id } } }, rate, waitMaxMs) => {
      const reply = agents[id]![asked.filter(line => line.startsWith(id)).length]
      asked.push(`${id} ${rate.perS.toFixed(1)} a second, burst ${rate.burst}, wait ${Math.round(waitMaxMs)}`)
      await wait(1)
      return reply
    }
  })
  const { status, retryAfter } = await harness.call(call)
  harness.close()
  const lines = harness.lines.map(line => JSON.parse(line) as Record<string, unknown>)
  return { harness, result: { status, retryAfter: retryAfter === undefined ? 'none' : 'set', asked, received: harness.received, log: lines.map(({ event }) => event) } }
}

const GRANTED: PermitReply = { kind: 'granted', delayMs: 0 }
const DENIED: PermitReply = { kind: 'denied', retryMs: 50 }

// Guards against requests to an endpoint that may be cold without a permit, and against refusing one that another endpoint can take.
test('a request is sent with the permit of an agent', async t => {
  t.snapshot({
    'granted at once': (await run({ e1: [GRANTED] })).result,
    'denied, another endpoint grants': (await run({ e1: [DENIED], e2: [GRANTED] })).result,
    'denied everywhere, granted after a wait': (await run({ e1: [DENIED, { kind: 'granted', delayMs: 20 }], e2: [{ kind: 'denied', retryMs: 90 }] })).result,
    'denied everywhere': (await run({ e1: [DENIED, DENIED] })).result,
    'agent does not answer': (await run({ e1: [undefined], e2: [GRANTED] })).result,
    'no agent answers': (await run({ e1: [undefined, undefined] })).result
  })
})

test('a request whose caller leaves while it waits for a permit is not sent', async t => {
  const { harness, result } = await run({ e1: [DENIED, { kind: 'granted', delayMs: 150 }] }, { leaveAfterMs: 60 })
  await wait(200)
  t.deepEqual(harness.received, { e1: [] })
  t.deepEqual(harness.context.selection.listInFlight(), {})
  t.snapshot(result)
})

test('a request that waited for the permit of an endpoint that was drained meanwhile is not sent to it', async t => {
  const harness = await startHarness('idempotent', { e1: answer }, {}, ENGINE, {
    coldPerS: 14,
    askPermit: async (_selection, _rate, waitMaxMs) => {
      await wait(1)
      return waitMaxMs === 0 ? DENIED : { kind: 'granted', delayMs: 100 }
    }
  })
  setTimeout(() => { harness.context.endpoints.remove('e1') }, 50)
  const { status } = await harness.call()
  harness.close()
  t.deepEqual([status, harness.received], [503, { e1: [] }])
})

test('a permit expires by both clocks, also when the host was suspended', t => {
  let nowMs = 0
  let wallMs = 1_000_000
  const clocks = { getNowMs: () => nowMs, getWallMs: () => wallMs }
  const check = (elapsedMs: number, wallElapsedMs: number): boolean => {
    const permit = Permit.create(clocks, 0)
    nowMs += elapsedMs
    wallMs += wallElapsedMs
    return permit.isValid()
  }
  t.deepEqual([check(200, 200), check(300, 300), check(5, 2_000), check(5, -2_000)], [true, false, false, false])
})
