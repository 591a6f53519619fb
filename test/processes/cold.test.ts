import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { CONFIGURATION, TestCluster, waitFor } from './gateway-cluster.js'
import type { Answer } from './gateway-cluster.js'

const GATEWAYS = 6
const COLD_PER_S = 4
/** Bound on the requests in a second: 1.5 times the rate, and 5. */
const BOUND = 11
const REQUESTS_PER_S = 40

const COLD_CONFIGURATION = {
  ...CONFIGURATION,
  services: [{ name: 's', cold_start_s: 3, cold_per_s: COLD_PER_S, engine: { slots: 8 } }]
}

// The entry in the store says all the time that the endpoint is warm.
test('processes keep an endpoint that turned cold unnoticed within its bound while its agent is killed and gateways are suspended', async t => {
  const cluster = await TestCluster.create(COLD_CONFIGURATION)
  t.teardown(() => { cluster.stop() })
  const agent = cluster.startAgent()
  const gateways = Array.from({ length: GATEWAYS }, (_value, index) => cluster.startGateway(`g${index}`))
  const names = gateways.map(({ name }) => name).join()
  for (const gateway of gateways) await waitFor(t, `${gateway.name} is ready and knows all`, 20_000, async () => await cluster.isReady(gateway) && (await cluster.listAddresses(gateway)).join() === names)

  const startedAtMs = performance.now()
  const calls: Promise<Answer | undefined>[] = []
  const timer = setInterval(() => {
    // A caller of a suspended gateway gives up; only what reaches the endpoint matters here.
    calls.push(cluster.request(gateways[calls.length % GATEWAYS]!, 20).catch(() => undefined))
  }, 1_000 / REQUESTS_PER_S)
  await wait(2_000)
  for (const { child } of gateways.slice(0, 3)) child.kill('SIGSTOP')
  await wait(1_000)
  for (const { child } of gateways.slice(0, 3)) child.kill('SIGCONT')
  await wait(1_000)
  agent.kill('SIGKILL')
  await wait(1_000)
  cluster.startAgent()
  await wait(3_000)
  clearInterval(timer)
  const answers = await Promise.all(calls)
  const elapsedS = (performance.now() - startedAtMs) / 1_000

  const { starts } = cluster
  const most = Math.max(...starts.map(from => starts.filter(at => at >= from && at < from + 1_000).length))
  const statuses = answers.map(answer => answer?.status ?? 0)
  const served = statuses.filter(status => status === 200).length
  t.log(`${most} in a second, ${served} of ${calls.length} served in ${elapsedS.toFixed(1)} s, statuses ${[...new Set(statuses)].join(', ')}`)
  t.true(most <= BOUND, `${most} in a second`)
  t.true(served >= 0.5 * COLD_PER_S * elapsedS, `${served} served in ${elapsedS} s`)
  t.true(statuses.every(status => status === 200 || status === 503 || status === 0))
})
