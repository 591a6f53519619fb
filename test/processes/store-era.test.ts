import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { CONFIGURATION, TestCluster, waitFor } from './gateway-cluster.js'

const withKey = (key: string): Readonly<Record<string, string>> => ({ authorization: `Bearer ${key}` })
const buildVersion = (version: number, keys: readonly string[]): unknown => ({ ...CONFIGURATION, version, tenants: [{ name: 't1', api_keys: keys }] })

// Guards against a key that is in use again, an evacuation that ends, and gateways that nobody finds any more, when the store comes back from an older copy.
test('what the store had acknowledged stays in force when it comes back from an older copy', async t => {
  const cluster = await TestCluster.create(buildVersion(3, ['k1', 'k2']))
  t.teardown(() => { cluster.stop() })
  const { store } = cluster
  const copy = store.copy()
  const gateways = [cluster.startGateway('g1'), cluster.startGateway('g2')]
  for (const gateway of gateways) await waitFor(t, `${gateway.name} is ready`, 20_000, async () => await cluster.isReady(gateway))
  store.put('config', 'main', buildVersion(5, ['k2']))
  for (const gateway of gateways) await waitFor(t, 'the key is refused', 3_000, async () => (await cluster.request(gateway, 0, withKey('k1'))).status === 401)

  store.restore(copy)
  t.deepEqual(store.listNames('gateways'), [])
  const endsAtMs = performance.now() + 6_000
  while (performance.now() < endsAtMs) {
    for (const gateway of gateways) t.is((await cluster.request(gateway, 0, withKey('k1'))).status, 401)
    for (const gateway of gateways) t.is((await cluster.request(gateway, 0, withKey('k2'))).status, 200)
    await wait(50)
  }
  t.deepEqual([...store.listNames('gateways')].sort(), ['g1', 'g2'])
  t.is(cluster.findLines('store-era-changed').length, gateways.length)

  store.put('config', 'main', buildVersion(5, ['k2']))
  store.put('config', 'main', buildVersion(6, ['k3']))
  for (const gateway of gateways) await waitFor(t, 'the next version is in force', 2_000, async () => (await cluster.request(gateway, 0, withKey('k3'))).status === 200)
  t.is(cluster.findLines('store-era-changed').length, gateways.length)
})
