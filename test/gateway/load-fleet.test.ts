import test from 'ava'
import { simulateLoadFleet } from '../../bench/load-fleet-model.js'
import type { LoadKind, LoadResult, LoadScenario } from '../../bench/load-fleet-model.js'

const KIND: LoadKind = { name: 'text', share: 1, priority: 1, latencyTargetMs: 400 }

const BASE: LoadScenario = { gateways: 41, endpoints: 63, usage: 0.6, knowsAge: true, waitsForRoom: true, kinds: [KIND], teams: [1], durationMs: 9_000, seed: 1 }

function describe ({ gateways, endpoints, usage, knowsAge }: LoadScenario, { requests, waitedInVain, refused, waitP99Ms, spread, asks }: LoadResult): string {
  return `${gateways} gateways, ${endpoints} endpoints, usage ${usage}, ${knowsAge ? 'samples' : 'all compared'}: of ${requests} requests ${waitedInVain} waited behind a full endpoint in vain, ${refused} refused, p99 of waits ${waitP99Ms} ms, busiest ${spread.toFixed(2)} of the mean, ${asks.toFixed(2)} questions`
}

// Guards against gateways with the same old counts that send their requests to the same few endpoints.
test('few requests wait behind a full endpoint while another one has room, at 30 to 610 gateways', async t => {
  for (const [gateways, endpoints] of [[30, 63], [41, 63], [100, 100], [300, 100], [610, 100]] as const) {
    const scenario = { ...BASE, gateways, endpoints }
    const after = await simulateLoadFleet(scenario)
    if (gateways === 41) t.log(describe({ ...scenario, knowsAge: false, waitsForRoom: false }, await simulateLoadFleet({ ...scenario, knowsAge: false, waitsForRoom: false })))
    t.log(describe(scenario, after))
    t.true(after.waitedInVain <= 0.01 * after.requests, describe(scenario, after))
    t.is(after.refused, 0)
  }
})

// Guards small deployments, whose gateways know the load well, against choices among fewer endpoints.
test('8 gateways compare all endpoints', async t => {
  const scenario = { ...BASE, gateways: 8, endpoints: 16 }
  const after = await simulateLoadFleet(scenario)
  t.log(describe(scenario, after))
  t.deepEqual(after, await simulateLoadFleet({ ...scenario, knowsAge: false, waitsForRoom: false }))
})

// Guards against refusing requests, or waiting long for them, because agents cannot say whether there is room.
test('requests are served while the agents of a failure domain do not answer', async t => {
  const scenario = { ...BASE, silentDomain: 'a' }
  const before = await simulateLoadFleet({ ...scenario, knowsAge: false, waitsForRoom: false })
  t.log(describe({ ...scenario, knowsAge: false, waitsForRoom: false }, before))
  const result = await simulateLoadFleet(scenario)
  t.log(describe(scenario, result))
  t.true(result.refused <= 0.05 * result.requests, describe(scenario, result))
})

const KINDS: readonly LoadKind[] = [
  { name: 'urgent', share: 0.36, priority: 0, latencyTargetMs: 400 },
  { name: 'normal', share: 0.16, priority: 1, latencyTargetMs: 400 },
  { name: 'patient', share: 0.48, priority: 2, latencyTargetMs: 1_000 }
]

/** A loss of capacity for five seconds, then the time until all is as before. */
const LOSS: LoadScenario = { ...BASE, usage: 0.7, kinds: KINDS, teams: [8, 4, 2, 1, 1], slowdown: { fromMs: 5_000, toMs: 10_000, factor: 2.2 }, durationMs: 16_000 }

function formatServed ({ served }: LoadResult): string {
  return [...served].map(([part, { requests, onTime, late, lost, refusals }]) => `${part}: ${requests}, ${(onTime / requests).toFixed(3)} on time, ${(late / requests).toFixed(3)} late, ${(lost / requests).toFixed(3)} lost, ${refusals} refusals`).join('; ')
}

function computeOnTime ({ served }: LoadResult, part: string): number {
  const { onTime, requests } = served.get(part)!
  return onTime / requests
}

// Guards against slots that are full of requests whose time is over, while those that could be on time wait behind them.
test('a loss of capacity makes few urgent requests late, and no team, failure domain or size pays for it alone', async t => {
  const before = await simulateLoadFleet({ ...LOSS, waitsForRoom: false })
  const after = await simulateLoadFleet(LOSS)
  t.log(`waiting at endpoints: ${formatServed(before)}`)
  t.log(`waiting for room: ${formatServed(after)}`)
  t.true(computeOnTime(after, 'urgent') >= 0.95)
  t.true(computeOnTime(after, 'patient') >= computeOnTime(before, 'patient'))
  for (const part of ['t0', 't4', 'a', 'b', 'c', 'large', 'small']) t.true(computeOnTime(after, part) >= 0.8 * computeOnTime(after, 'small'), part)
})

// Guards against requests that are kept waiting or refused because agents have gone silent in the middle of an overload.
test('requests go on being served when agents fall silent during a loss of capacity', async t => {
  const result = await simulateLoadFleet({ ...LOSS, silentDomain: 'b', durationMs: 12_000 })
  t.log(formatServed(result))
  t.true(computeOnTime(result, 'urgent') >= 0.5)
})
