import test from 'ava'
import { once } from 'node:events'
import { setTimeout as wait } from 'node:timers/promises'
import { CONFIGURATION, GRACE_MS, TestCluster, waitFor } from './gateway-cluster.js'
import type { Gateway } from './gateway-cluster.js'

/** Time in ms within which a killed gateway must leave the directory; it is detected after 1.5 s without heartbeats. */
const DIRECTORY_DROP_TIMEOUT_MS = 3_000

// Guards against callers that are directed to a leaving or dead gateway, and against responses cut off by a planned stop.
test('gateways discover each other, serve the directory, and stop without cutting off a response', async t => {
  const cluster = await TestCluster.create()
  t.teardown(() => { cluster.stop() })
  const [g1, g2, g3] = ['g1', 'g2', 'g3'].map(name => cluster.startGateway(name)) as [Gateway, Gateway, Gateway]
  for (const gateway of [g1, g2, g3]) {
    await waitFor(t, `${gateway.name} is ready and knows all`, 20_000, async () => await cluster.isReady(gateway) && (await cluster.listAddresses(gateway)).join() === 'g1,g2,g3')
  }
  t.deepEqual([...cluster.store.listNames('gateways')].sort(), ['g1', 'g2', 'g3'])
  t.deepEqual(await cluster.request(g1, 0), { status: 200, body: 'ran' })

  const slow = cluster.request(g1, 1_000)
  await wait(200)
  const leftAtMs = performance.now()
  const exited = once(g1.child, 'exit')
  g1.child.kill('SIGTERM')
  await waitFor(t, 'the leaving gateway is not ready', 500, async () => !await cluster.isReady(g1))
  await waitFor(t, 'others drop the leaving gateway', 1_000, async () => (await cluster.listAddresses(g2)).join() === 'g2,g3')
  t.deepEqual(await slow, { status: 200, body: 'ran' })
  t.deepEqual(await exited, [0, null])
  t.true(performance.now() - leftAtMs < GRACE_MS)
  t.deepEqual([...cluster.store.listNames('gateways')].sort(), ['g2', 'g3'])

  g3.child.kill('SIGKILL')
  await waitFor(t, 'others drop the dead gateway', DIRECTORY_DROP_TIMEOUT_MS, async () => (await cluster.listAddresses(g2)).join() === 'g2')
  t.deepEqual(await cluster.request(g2, 0), { status: 200, body: 'ran' })
})

// Guards against a gateway that ignores changes by operators or endpoints, and against a reload of settings that ends the process.
test('a gateway applies changes in the store and keeps running after a reload of its settings', async t => {
  const cluster = await TestCluster.create()
  t.teardown(() => { cluster.stop() })
  const g1 = cluster.startGateway('g1')
  await waitFor(t, 'ready', 20_000, async () => await cluster.isReady(g1))
  g1.child.kill('SIGHUP')
  cluster.store.put('config', 'main', { ...CONFIGURATION, version: 7, routes: [{ ...CONFIGURATION.routes[0], path_prefix: '/c/' }] })
  await waitFor(t, 'the dropped route is unknown', 2_000, async () => (await cluster.request(g1, 0)).status === 404)
  cluster.store.put('config', 'main', { ...CONFIGURATION, version: 9 })
  await waitFor(t, 'the route is back', 2_000, async () => (await cluster.request(g1, 0)).status === 200)
  cluster.store.put('evacuations', 'a', {})
  await waitFor(t, 'nothing is sent to a domain out of service', 5_000, async () => (await cluster.request(g1, 0)).status === 503)
  cluster.store.remove('evacuations', 'a')
  await waitFor(t, 'the domain is back', 5_000, async () => (await cluster.request(g1, 0)).status === 200)
  cluster.store.remove('servers', 'e1')
  await waitFor(t, 'an endpoint that is gone gets nothing', 2_000, async () => (await cluster.request(g1, 0)).status === 503)
  t.true(g1.lines.some(line => line.includes('"settings-reloaded"')))
})
