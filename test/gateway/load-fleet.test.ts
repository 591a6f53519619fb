import test from 'ava'
import { simulateLoadFleet } from '../../bench/load-fleet-model.js'
import type { LoadResult, LoadScenario } from '../../bench/load-fleet-model.js'

const BASE: LoadScenario = { gateways: 41, endpoints: 63, usage: 0.6, knowsAge: true, durationMs: 9_000, seed: 1 }

function describe ({ gateways, endpoints, usage, knowsAge }: LoadScenario, { requests, waitedInVain, refused, waitP99Ms, spread, asks }: LoadResult): string {
  return `${gateways} gateways, ${endpoints} endpoints, usage ${usage}, ${knowsAge ? 'samples' : 'all compared'}: of ${requests} requests ${waitedInVain} waited behind a full endpoint in vain, ${refused} refused, p99 of waits ${waitP99Ms} ms, busiest ${spread.toFixed(2)} of the mean, ${asks.toFixed(2)} questions`
}

// Guards against gateways with the same old counts that send their requests to the same few endpoints.
test('few requests wait behind a full endpoint while another one has room, at 30 to 610 gateways', async t => {
  for (const [gateways, endpoints] of [[30, 63], [41, 63], [100, 100], [300, 100], [610, 100]] as const) {
    const scenario = { ...BASE, gateways, endpoints }
    const after = await simulateLoadFleet(scenario)
    if (gateways === 41) t.log(describe({ ...scenario, knowsAge: false }, await simulateLoadFleet({ ...scenario, knowsAge: false })))
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
  t.deepEqual(after, await simulateLoadFleet({ ...scenario, knowsAge: false }))
})

// Guards against refusing requests, or waiting long for them, because agents cannot say whether there is room.
test('requests are served while the agents of a failure domain do not answer', async t => {
  const scenario = { ...BASE, silentDomain: 'a' }
  const before = await simulateLoadFleet({ ...scenario, knowsAge: false })
  t.log(describe({ ...scenario, knowsAge: false }, before))
  const result = await simulateLoadFleet(scenario)
  t.log(describe(scenario, result))
  t.true(result.refused <= 0.05 * result.requests, describe(scenario, result))
})
