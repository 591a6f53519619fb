import test from 'ava'
import { EndpointProbe } from '../../src/gateway/endpoint-probe.js'
import type { EngineSpec, RepeatPolicy } from '../../src/gateway/model.js'
import type { RankState } from '../../src/plugins/lockstep/rank.js'
import { LivenessPlugin } from '../../src/plugins/gateway/liveness.js'
import { startHarness } from './harness.js'
import type { Harness, Script } from './harness.js'

const ENGINE: EngineSpec = {
  slots: 8, stride: 5, stepMs: 6, perRequestMs: 1, readPerS: 60_000, promptTokens: 800, answerTokens: 140, layers: 1, experts: 4, slotsPerRank: 2, spare: 1, expertMb: 1, linkMbps: 100, expertShare: 0.5
}
const STATE: RankState = { group: 'g', epoch: 1, rank: 0, size: 2, isOpen: true, bornMs: 1, pace: 1, step: 1, map: 0, prepared: undefined, armed: undefined, held: undefined }

/** Streams an event every 50 ms up to `last`; unless that is 12, then sends nothing more and leaves the stream open. */
function stream (last: number): Script {
  return (request, response) => {
    response.setHeader('Content-Type', 'text/event-stream')
    let id = Number(request.headers['last-event-id'] ?? 0)
    const timer = setInterval(() => {
      id += 1
      if (id <= last) response.write(`id: ${id}\ndata: x\n\n`)
      if (id <= last && id < 12) return
      clearInterval(timer)
      if (last === 12) response.end()
    }, 50)
  }
}

/** Probes endpoints as a gateway does; those in `unresponsive` do not answer. */
function startProbing (harness: Harness, unresponsive: readonly string[]): () => void {
  const isUnresponsive = (port: number): boolean => harness.context.endpoints.listAll().some(({ record }) => record.address.port === port && unresponsive.includes(record.id))
  const probe = EndpointProbe.create(harness.context, { sendRequest: async () => undefined }, {
    readState: async ({ port }) => isUnresponsive(port) ? undefined : STATE
  })
  const timer = setInterval(() => { probe.checkAll(performance.now()) }, 50)
  return () => { clearInterval(timer) }
}

/** Runs two requests at once, one at each endpoint, and returns the outcome of the first; the second shows activity of the other endpoint. */
async function run (repeat: RepeatPolicy, first: Script, unresponsive: readonly string[], other: Script = stream(12)): Promise<unknown> {
  const harness = await startHarness(repeat, { e1: first, e2: other }, { attemptsMax: 2 }, ENGINE)
  const stop = startProbing(harness, unresponsive)
  const [got] = await Promise.all([harness.call({ leaveAfterMs: 1_400 }), harness.call({ leaveAfterMs: 1_400 })])
  stop()
  harness.close()
  return { ids: got.body.match(/id: (\d+)/g)?.map(id => Number(id.slice(4))), isComplete: got.isComplete, received: harness.received, events: harness.lines.filter(line => /endpoint-silent|stream-resumed|request-retried/.test(line)).map(line => (JSON.parse(line) as { event: string }).event) }
}

// Guards against streams that stall at a frozen or disconnected host until their callers disconnect.
test('a stream at an unresponsive endpoint is resumed at another one', async t => {
  t.snapshot({
    'unresponsive in the middle': await run('resumable-stream', stream(4), ['e1']),
    'unresponsive from the start': await run('resumable-stream', () => {}, ['e1']),
    'sends nothing, but answers probes': await run('resumable-stream', stream(4), []),
    'may run only once': await run('at-most-once-stream', stream(4), ['e1'])
  })
})

// Guards against moving streams back and forth when a whole group pauses or the gateway itself is cut off.
test('endpoints are not abandoned when none responds', async t => {
  t.snapshot(await run('resumable-stream', stream(4), ['e1', 'e2'], stream(4)))
})

// Guards against too many probes, and against an endpoint that still counts as unresponsive after it responds again.
test('activity decides when an endpoint is probed and counts as unresponsive', t => {
  const liveness = LivenessPlugin.create()
  liveness.noteActivity('e1', 's', 0)
  liveness.noteActivity('e2', 's', 900)
  t.snapshot({
    'waits shortly': liveness.shouldProbe('e1', 100, 1_000),
    'another request was answered recently': liveness.shouldProbe('e2', 300, 1_000),
    'waits too long': liveness.shouldProbe('e1', 300, 1_000),
    'probed already': liveness.shouldProbe('e1', 400, 1_100),
    'no answer to the probe': [liveness.noteUnanswered('e1', 's'), liveness.decideUnanswered(), liveness.isUnresponsive('e1')],
    'another is heard after the probe': [liveness.noteActivity('e2', 's', 1_250), liveness.decideUnanswered(), liveness.isUnresponsive('e1')],
    'probed again later': [liveness.listDueProbes(1_400), liveness.listDueProbes(1_600), liveness.listDueProbes(1_700)],
    'active again': [liveness.noteActivity('e1', 's', 1_800), liveness.isUnresponsive('e1')],
    'suspected by another gateway': [liveness.noteActivity('e1', 's', 2_450), liveness.noteSuspected('e2'), liveness.listDueProbes(2_500), liveness.noteUnanswered('e2', 's'), liveness.noteActivity('e1', 's', 2_600), liveness.decideUnanswered(), liveness.listUnresponsive(), liveness.noteActivity('e2', 's', 2_700), liveness.listUnresponsive()],
    'no other endpoint active': [liveness.shouldProbe('e1', 300, 4_000), liveness.noteUnanswered('e1', 's'), liveness.decideUnanswered(), liveness.isUnresponsive('e1')]
  })
})

// Guards against giving up the first of several endpoints that fall silent together because another was heard a little later.
test('only what other endpoints send after a probe shows that its endpoint does not respond', t => {
  for (const laterMs of [0, 31, 100, 200, 390]) {
    const liveness = LivenessPlugin.create()
    liveness.noteActivity('e1', 's', 1_000)
    liveness.noteActivity('e2', 's', 1_000 + laterMs)
    const probedAtMs = Math.max(1_000 + laterMs, 1_250) + 1
    t.true(liveness.shouldProbe('e1', probedAtMs - 1_000, probedAtMs))
    liveness.noteUnanswered('e1', 's')
    t.deepEqual(liveness.decideUnanswered(), [], `last heard ${laterMs} ms apart`)
    liveness.noteActivity('e2', 's', probedAtMs + 50)
    t.deepEqual(liveness.decideUnanswered(), ['e1'])
    t.true(liveness.isUnresponsive('e1'))
  }
})
