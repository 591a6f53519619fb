import test from 'ava'
import type { ExecutionContext } from 'ava'
import { PlatformClient } from '../../src/edge/platform/client.js'
import type { PlatformClientOptions } from '../../src/edge/platform/client.js'
import { Platform } from '../../standins/platform/platform.js'
import { waitFor } from '../standins/tools.js'

interface WatchSession {
  readonly platform: Platform
  readonly client: PlatformClient
  /** Changes and states that the watch reported, in order. */
  readonly received: string[]
  readonly stop: () => void
}

async function startWatch (t: ExecutionContext, options: Partial<PlatformClientOptions> = {}): Promise<WatchSession> {
  const platform = await Platform.start()
  platform.store.update('a/1', 'one', 0)
  platform.store.update('b/1', 'other', 0)
  const client = PlatformClient.create({ urls: [platform.url], timeoutMs: 1000, reconnectSpreadMs: 20, seed: 1, ...options })
  t.teardown(async () => {
    await client.close()
    await platform.stop()
  })
  const received: string[] = []
  const stop = client.watch('a/',
    (key, value, revision) => { received.push(`${key}=${value ?? 'removed'}@${revision}`) },
    state => { received.push(state) })
  await waitFor(() => received.length === 1)
  return { platform, client, received, stop }
}

function update ({ platform }: WatchSession, key: string, value: string | null): void {
  platform.store.update(key, value, platform.store.find(key)?.revision ?? 0)
}

// Guards against changes that are missed or reported twice before, during and after an outage.
test.serial('changes before, during and after an outage are reported once', async t => {
  const session = await startWatch(t)
  update(session, 'a/2', 'two')
  update(session, 'b/1', 'unwatched')
  update(session, 'a/1', 'uno')
  await waitFor(() => session.received.length === 3)
  session.platform.applyFaults({ outage: 'break' })
  await waitFor(() => session.received.includes('lost'))
  update(session, 'a/1', null)
  update(session, 'a/3', 'three')
  session.platform.applyFaults({ outage: 'none' })
  await waitFor(() => session.received.includes('found') && session.received.includes('a/3=three@7'))
  session.stop()
  update(session, 'a/4', 'four')
  await new Promise(resolve => { setTimeout(resolve, 50) })
  t.snapshot([...session.received].sort())
})

// Guards against a watch that misses removals when the platform no longer has the
// events, and against one that reports older states again.
test.serial('a watch lists again when the platform no longer has the events', async t => {
  const session = await startWatch(t)
  for (let index = 0; index < 25_000; index += 1) session.platform.store.update('b/1', String(index), session.platform.store.find('b/1')!.revision)
  session.platform.store.update('a/1', null, 1)
  session.platform.store.update('a/2', 'two', 0)
  update(session, 'b/1', 'end')
  await waitFor(() => session.received.length === 3)
  t.snapshot(session.received)
})

// Guards against a watch that waits forever on an unresponsive connection.
test.serial('an unresponsive platform is detected', async t => {
  const session = await startWatch(t, { timeoutMs: 500 })
  session.platform.applyFaults({ outage: 'hang' })
  update(session, 'a/1', 'uno')
  const startMs = performance.now()
  while (!session.received.includes('lost') && performance.now() - startMs < 10_000) await new Promise(resolve => { setTimeout(resolve, 20) })
  t.true(session.received.includes('lost'))
  session.platform.applyFaults({ outage: 'none' })
  await waitFor(() => session.received.includes('a/1=uno@3'))
})

// Guards against all clients reconnecting at the same time after an outage, which
// would exceed the platform's rate limit.
test.serial('reconnects are spread over time', async t => {
  const session = await startWatch(t, { reconnectSpreadMs: 1000 })
  const clients = Array.from({ length: 20 }, (_, seed) =>
    PlatformClient.create({ urls: [session.platform.url], timeoutMs: 1000, reconnectSpreadMs: 1000, seed }))
  t.teardown(async () => { for (const client of clients) await client.close() })
  const states: string[][] = clients.map(() => [])
  const foundAtMs: number[] = []
  clients.forEach((client, index) => client.watch('a/', () => {}, state => {
    states[index]!.push(state)
    if (state === 'found') foundAtMs.push(performance.now())
  }))
  await waitFor(() => (session.platform.listCounters()['watch'] ?? 0) >= 21)
  session.platform.applyFaults({ outage: 'break' })
  await waitFor(() => states.every(list => list.includes('lost')))
  const endMs = performance.now()
  session.platform.applyFaults({ outage: 'none' })
  await waitFor(() => states.every(list => list.includes('found')))
  const quarters = new Set(foundAtMs.map(atMs => Math.floor((atMs - endMs) / 250)))
  t.true(quarters.size >= 3, [...quarters].join())
})
