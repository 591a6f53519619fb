import test from 'ava'
import { PlatformClient } from '../../src/edge/platform/client.js'
import { Platform } from '../../standins/platform/platform.js'

// Guards against lost updates: two writers with the same revision must not both succeed.
test('conditional updates', async t => {
  const platform = await Platform.start()
  const client = PlatformClient.create({ urls: [platform.url], timeoutMs: 1000 })
  t.teardown(async () => {
    await client.close()
    await platform.stop()
  })
  t.snapshot([
    await client.read('config/root'),
    await client.write('config/root', 'a', 0),
    await client.write('config/root', 'b', 0),
    await client.write('config/root', 'b', 1),
    await client.read('config/root'),
    await client.remove('config/root', 1),
    await client.remove('config/root', 2),
    await client.read('config/root')
  ])
})
