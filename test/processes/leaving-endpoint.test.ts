import test from 'ava'
import { TestCluster, waitFor } from './gateway-cluster.js'
import type { Gateway } from './gateway-cluster.js'

const CALLS = 5

/** Sends requests one after the other. @returns their statuses, and how many reached the endpoint */
async function callRepeatedly (cluster: TestCluster, gateway: Gateway): Promise<{ readonly statuses: readonly number[], readonly arrived: number }> {
  const before = cluster.arrivals.length
  const statuses: number[] = []
  for (let call = 0; call < CALLS; call += 1) statuses.push((await cluster.request(gateway, 0)).status)
  return { statuses, arrived: cluster.arrivals.length - before }
}

// Guards against requests to a leaving endpoint by a gateway that has passed on its announcement, with the store in reach, started again, and with the store away.
test('each gateway learns from one answer that an endpoint leaves, also after a restart and while the store is away', async t => {
  const cluster = await TestCluster.create()
  t.teardown(() => { cluster.stop() })
  const [g1, g2] = [cluster.startGateway('g1'), cluster.startGateway('g2')]
  for (const gateway of [g1, g2]) await waitFor(t, `${gateway.name} is ready`, 20_000, async () => await cluster.isReady(gateway))
  cluster.endpointHeaders = { 'Server-Leaving': '1' }
  const learned = { statuses: [200, ...Array.from({ length: CALLS - 1 }, () => 503)], arrived: 1 }
  t.deepEqual(await callRepeatedly(cluster, g1), learned)

  const restarted = await cluster.restartGateway(g1)
  await waitFor(t, 'ready again', 20_000, async () => await cluster.isReady(restarted))
  t.deepEqual(await callRepeatedly(cluster, restarted), learned)

  cluster.store.stop()
  t.deepEqual(await callRepeatedly(cluster, g2), learned)
  await waitFor(t, 'the announcement is logged', 2_000, async () => g2.lines.some(line => line.includes('"endpoint-announced"') && line.includes('"leaving"')))
})
