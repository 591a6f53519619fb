import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { CONFIGURATION, TestCluster, waitFor } from './gateway-cluster.js'

const KEYS = { ...CONFIGURATION, tenants: [{ name: 't1', api_keys: ['k1', 'k2'] }] }
const WITHDRAWN = { ...CONFIGURATION, version: 5, tenants: [{ name: 't1', api_keys: ['k2'] }] }

const withKey = (key: string): Readonly<Record<string, string>> => ({ authorization: `Bearer ${key}` })

// Guards against a key that was withdrawn, or an endpoint that has left, in use again after a restart, when the process knows nothing of before.
test('a gateway that is started again uses neither a withdrawn key nor an endpoint that has left', async t => {
  const cluster = await TestCluster.create(KEYS)
  t.teardown(() => { cluster.stop() })
  const [g1, g2] = [cluster.startGateway('g1'), cluster.startGateway('g2')]
  for (const gateway of [g1, g2]) await waitFor(t, `${gateway.name} is ready`, 20_000, async () => await cluster.isReady(gateway))
  t.is((await cluster.request(g1, 0, withKey('k1'))).status, 200)

  cluster.store.put('config', 'main', WITHDRAWN)
  const restarted = await cluster.restartGateway(g1)
  const statuses = new Set<number>()
  await waitFor(t, 'the key is refused', 20_000, async () => {
    const { status } = await cluster.request(restarted, 0, withKey('k1'))
    statuses.add(status)
    return status === 401
  })
  t.false(statuses.has(200))

  cluster.store.remove('servers', 'e1')
  await waitFor(t, 'the other gateway has dropped the endpoint', 2_000, async () => (await cluster.request(g2, 0, withKey('k2'))).status === 503)
  const arrivals = cluster.arrivals.length
  const again = await cluster.restartGateway(restarted)
  await waitFor(t, 'ready', 20_000, async () => await cluster.isReady(again))
  await wait(500)
  t.is((await cluster.request(again, 0, withKey('k2'))).status, 503)
  t.is(cluster.arrivals.length, arrivals)
})

test('a gateway that is started again while the store is away serves nothing from memory', async t => {
  const cluster = await TestCluster.create(KEYS)
  t.teardown(() => { cluster.stop() })
  const [g1, g2] = [cluster.startGateway('g1'), cluster.startGateway('g2')]
  for (const gateway of [g1, g2]) await waitFor(t, `${gateway.name} is ready`, 20_000, async () => await cluster.isReady(gateway))
  cluster.store.stop()
  const restarted = await cluster.restartGateway(g1)
  await waitFor(t, 'it refuses', 20_000, async () => (await cluster.request(restarted, 0, withKey('k1'))).status === 503)
  await wait(1_000)
  t.is((await cluster.request(restarted, 0, withKey('k1'))).status, 503)
  t.false(await cluster.isReady(restarted))
  t.is((await cluster.request(g2, 0, withKey('k1'))).status, 200)
})
