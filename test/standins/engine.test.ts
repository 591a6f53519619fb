import test from 'ava'
import { Agent } from 'undici'
import { StepClock } from '../../standins/engine/clock.js'
import { Engine } from '../../standins/engine/engine.js'
import type { EngineOptions } from '../../standins/engine/options.js'
import { sendCall, waitFor } from './tools.js'
import type { CallResult } from './tools.js'

const PATH = '/v1/chat/completions'

async function startEngine (t: { teardown: (end: () => Promise<void>) => void }, options: EngineOptions, clock?: StepClock): Promise<Engine> {
  const engine = await Engine.start({ stepMs: 1, downMs: 30, ...options }, clock)
  t.teardown(async () => { await engine.stop() })
  return engine
}

async function send (engine: Engine, content: string, maxTokens: number, options: Parameters<typeof sendCall>[4] = {}): Promise<CallResult> {
  return await sendCall(engine.url, 'POST', PATH, { model: 'm', stream: true, max_tokens: maxTokens, messages: [{ content }] }, options)
}

async function order (engine: Engine, fence: number, body: object): Promise<CallResult> {
  return await sendCall(engine.url, 'POST', '/v1/orders', { fence, order: body })
}

// Guards against engines that generate different streams for one request, so that a resumed stream would be corrupt.
test.serial('engines give the same stream, whole and resumed', async t => {
  const [first, second] = [await startEngine(t, {}), await startEngine(t, {})]
  const whole = (await send(first, 'oil', 4))[1] as string
  t.snapshot([whole, await sendCall(first.url, 'POST', PATH, { prompt: 'oil', max_tokens: 4 })])
  t.is((await send(second, 'oil', 4, { headers: { 'heatherdoor-resume-from': '2' } }))[1], whole.split('\n\n').slice(2).join('\n\n'))
  first.applyFaults({ break_streams: { count: 1, after_chunks: 2 } })
  t.deepEqual([await send(first, 'oil', 4), await send(first, 'oil', 4)], [['broken'], [200, whole]])
})

// Guards against a cancelled request that keeps its slot in the batch.
test.serial('a closed connection cancels, urgent requests enter the batch first', async t => {
  const engine = await startEngine(t, { batchMax: 1, stepMs: 5 })
  const ended: string[] = []
  const run = async (priority: string, maxTokens: number, limitMs?: number): Promise<void> => {
    const headers = { 'heatherdoor-priority': priority, 'heatherdoor-request-id': priority }
    const result = await send(engine, priority, maxTokens, { headers, ...(limitMs === undefined ? {} : { timeoutMs: limitMs }) })
    ended.push(`${priority} ${result[0]}`)
  }
  const long = run('normal', 1000, 500)
  await waitFor(() => engine.describeCounters().running === 1)
  const waiting = [run('background', 1), run('urgent', 1)]
  await waitFor(() => engine.describeCounters().started === 3)
  await Promise.all([...waiting, long])
  t.snapshot([ended, engine.describeCounters()])
})

// Guards against an overload during a cold start that does not crash the engine, and a crash that keeps old state.
test.serial('cold starts, crashes and a prompt that crashes the engine', async t => {
  const engine = await startEngine(t, { coldCap: 2, warmMs: 60_000 })
  const load = async (): Promise<unknown> => {
    const { start_id: startId, warmth, healthy } = (await sendCall(engine.url, 'GET', '/v1/load'))[1] as Record<string, number>
    return { startId, cold: warmth! < 0.5, healthy }
  }
  const states = [await load()]
  engine.applyFaults({ cold: true, healthy: false })
  states.push(await load())
  const withinCap = await Promise.all(['a', 'b'].map(async text => (await send(engine, text, 1))[0]))
  t.deepEqual(withinCap, [200, 200])
  const answers = await Promise.all(['a', 'b', 'c'].map(async text => await send(engine, text, 100)))
  const refused = await send(engine, 'd', 1)
  for (const fault of ['poison', 'crash'] as const) {
    await waitFor(async () => (await sendCall(engine.url, 'GET', '/v1/load'))[0] === 200)
    states.push(await load())
    if (fault === 'poison') answers.push(await send(engine, 'a __crash__ b', 4))
    else await sendCall(engine.url, 'POST', '/faults', { crash: true, down_ms: 10 })
  }
  await waitFor(() => engine.describeCounters().crashes === 3)
  await waitFor(async () => (await sendCall(engine.url, 'GET', '/v1/load'))[0] === 200)
  states.push(await load())
  t.snapshot({ states, answers, refused, crashes: engine.describeCounters().crashes })
})

// Guards against a silenced connection that still answers late: tests of silent connections would then pass on slowness alone.
test.serial('silent connections, stalls, slow steps and delayed load reports', async t => {
  const engine = await startEngine(t, { loadLagMs: 200 })
  const dispatcher = new Agent({ connections: 1 })
  const kept = [await send(engine, 'a', 1, { agent: dispatcher })]
  engine.applyFaults({ silence: true })
  kept.push(await send(engine, 'a', 1, { agent: dispatcher }))
  t.deepEqual(kept.map(([status]) => status), [200, 'silent'])
  t.is((await send(engine, 'a', 1))[0], 200)
  engine.applyFaults({ stall_ms: 1500 })
  t.is((await send(engine, 'a', 1))[0], 'silent')
  await waitFor(async () => (await send(engine, 'a', 1))[0] === 200)
  const stepMs = async (): Promise<unknown> => ((await sendCall(engine.url, 'GET', '/v1/load'))[1] as Record<string, unknown>)['step_ms']
  engine.applyFaults({ slow_factor: 4 })
  t.is(await stepMs(), 1)
  await waitFor(async () => await stepMs() === 4)
  const startMs = performance.now()
  t.is((await send(engine, 'a', 20))[0], 200)
  t.true(performance.now() - startMs >= 70)
})

// Guards against cache events that arrive immediately and without gaps, which real engines do not guarantee.
test.serial('cache events are late and have gaps', async t => {
  const engine = await startEngine(t, { cacheBlocks: 3, cacheGapEvery: 3, cacheLagMs: 300 })
  const events = async (): Promise<unknown> => (await sendCall(engine.url, 'GET', '/v1/cache-events?since=1'))[1]
  await send(engine, 'x'.repeat(130), 1)
  const early = await events()
  await send(engine, 'x'.repeat(260), 1)
  await waitFor(async () => (await events() as { events: unknown[] }).events.length >= 3)
  t.snapshot([early, await events(), ((await sendCall(engine.url, 'GET', '/v1/load'))[1] as Record<string, unknown>)['cache']])
})

// Guards against ranks using two expert maps in one step unnoticed, and against orders of a former lease holder.
test.serial('orders hold ranks, change maps and check fencing numbers', async t => {
  const clock = StepClock.create()
  const ranks = [
    await startEngine(t, { stepMs: 2, mapLoadMs: 1, checksFencing: true }, clock),
    await startEngine(t, { stepMs: 2, mapLoadMs: 1 }, clock)
  ]
  const [first, second] = ranks as [Engine, Engine]
  const held = 300
  const session = [
    await order(first, 5, { kind: 'use-map', version: 7, step: held }),
    await order(first, 5, { kind: 'hold-at-step', step: 0 }),
    await order(first, 5, { kind: 'hold-at-step', step: held }),
    await order(first, 4, { kind: 'release-hold' }),
    await order(second, 5, { kind: 'load-map', version: 7, layers: [[0, 1]] }),
    await order(second, 4, { kind: 'use-map', version: 7, step: held }),
    await order(first, 6, { kind: 'load-map', version: 7, layers: [[0, 1]] }),
    await order(first, 6, { kind: 'use-map', version: 7, step: held })
  ].map(([status, body]) => [status, { ...body as object, step: '' }])
  const state = async (rank: Engine): Promise<unknown[]> => {
    const load = (await sendCall(rank.url, 'GET', '/v1/load'))[1] as Record<string, unknown>
    return [load['step'], load['held'], load['map_version']]
  }
  await waitFor(async () => (await state(first))[0] === held - 1)
  const before = [await state(first), await state(second)]
  await order(first, 6, { kind: 'release-hold' })
  await waitFor(() => second.describeCounters().map_history.length === 2)
  t.is((await order(second, 6, { kind: 'use-map', version: 7, step: held }))[0], 200)
  t.is((await order(second, 6, { kind: 'use-map', version: 7, step: held - 1 }))[0], 409)
  t.snapshot({ session, before, histories: ranks.map(rank => rank.describeCounters().map_history) })
})
