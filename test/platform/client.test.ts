import { readFileSync } from 'node:fs'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'
import { PlatformClient } from '../../src/edge/platform/client.js'
import type { PlatformClientOptions } from '../../src/edge/platform/client.js'
import type { PlatformFaults } from '../../standins/platform/faults.js'
import { Platform } from '../../standins/platform/platform.js'
import type { PlatformOptions } from '../../standins/platform/platform.js'
import { waitFor } from '../standins/tools.js'

const KEY = 'config/root'

async function startPlatformAndClient (
  t: ExecutionContext, platformOptions: PlatformOptions = {}, options: Partial<PlatformClientOptions> = {}
): Promise<{ platform: Platform, client: PlatformClient }> {
  const platform = await Platform.start(platformOptions)
  const client = PlatformClient.create({ urls: [platform.url], timeoutMs: 2000, ...options })
  t.teardown(async () => {
    await client.close()
    await platform.stop()
  })
  return { platform, client }
}

// Guards against lost updates: of two writes that expect the same revision only one may succeed.
test.serial('conditional updates', async t => {
  const results: string[] = []
  const { client } = await startPlatformAndClient(t, {}, { onResult: (result, elapsedMs) => { results.push(`${result} ${elapsedMs > 0 && elapsedMs < 2000}`) } })
  t.snapshot([
    await client.read(KEY),
    await client.write(KEY, 'a', 0),
    await client.write(KEY, 'b', 0),
    await client.write(KEY, 'b', 1),
    await client.read(KEY),
    await client.list('config/'),
    await client.remove(KEY, 1),
    await client.remove(KEY, 2),
    await client.read(KEY),
    results
  ])
  await t.throwsAsync(client.write(KEY, 'é'.repeat(600_000), 0), { instanceOf: RangeError })
})

// Guards against reporting a write whose response was lost as written or as not written.
test.serial('results under each fault', async t => {
  const { platform, client } = await startPlatformAndClient(t, {}, { timeoutMs: 600 })
  await client.write(KEY, 'a', 0)
  const observed: unknown[] = []
  const faults: readonly PlatformFaults[] = [
    { outage: 'status' }, { outage: 'break' }, { outage: 'hang' }, { slow_ms: 1000 }, { lose_answers: 1 }, { lose_writes: 1 }
  ]
  for (const fault of faults) {
    const { revision } = platform.store.find(KEY)!
    platform.applyFaults(fault)
    const write = await client.write(KEY, 'b', revision)
    const read = await client.read(KEY)
    const list = (await client.list('')).kind
    platform.applyFaults({ outage: 'none', slow_ms: 0, lose_answers: 0, lose_writes: 0 })
    observed.push([fault, { write, read: read.kind, list }])
  }
  t.snapshot(observed)
})

// Guards against treating refused calls as writes that may have taken effect.
test.serial('refused connections, credentials and rate limits', async t => {
  const { platform, client } = await startPlatformAndClient(t, { credential: 's', writesPerS: 1, readsPerS: 1 })
  const allowed = PlatformClient.create({ urls: [platform.url], timeoutMs: 2000, credential: 's' })
  const observed = [
    await client.write(KEY, 'a', 0), await client.read(KEY), await allowed.write(KEY, 'a', 0), await allowed.write(KEY, 'b', 1),
    await allowed.read(KEY), await allowed.read(KEY)
  ]
  await allowed.close()
  await platform.stop()
  // A new client has no connection on which the write could have been sent.
  const newClient = PlatformClient.create({ urls: [platform.url], timeoutMs: 2000 })
  observed.push(await newClient.write(KEY, 'b', 1), await newClient.read(KEY))
  await newClient.close()
  t.snapshot(observed)
})

// Guards against one timeout per open connection after all of them stopped responding.
test.serial('unresponsive connections are replaced together', async t => {
  const { platform, client } = await startPlatformAndClient(t, {}, { timeoutMs: 1000 })
  const readAll = async (): Promise<readonly string[]> =>
    (await Promise.all(Array.from({ length: 8 }, async () => await client.read(KEY)))).map(({ kind }) => kind)
  t.deepEqual(new Set(await readAll()), new Set(['missing']))
  platform.applyFaults({ silence: true })
  t.deepEqual([await client.read(KEY), await client.read(KEY)], [{ kind: 'unavailable' }, { kind: 'missing' }])
  t.deepEqual(new Set(await readAll()), new Set(['missing']))
})

// Guards against treating refused connections as writes that may have taken effect.
test.serial('refused connections', async t => {
  const { platform, client } = await startPlatformAndClient(t)
  platform.applyFaults({ refuse_ms: 300 })
  t.deepEqual([await client.write(KEY, 'a', 0), await client.read(KEY)], [{ kind: 'unavailable' }, { kind: 'unavailable' }])
  await waitFor(async () => (await client.write(KEY, 'a', 0)).kind === 'written')
})

// Guards against trusting a platform whose certificate is not signed by the
// configured CA, and against renewed files that are used only after a restart.
test.serial('the CA is verified and renewed', async t => {
  const load = (name: string): Buffer => readFileSync(`test/security/fixtures/${name}`)
  let ca = load('second.crt')
  const { client } = await startPlatformAndClient(t, { tls: { cert: load('first.crt'), key: load('first.key') } }, { tls: () => ({ ca }) })
  const observed = [await client.write(KEY, 'a', 0)]
  ca = load('first.crt')
  observed.push(await client.write(KEY, 'a', 0), await client.read(KEY))
  t.snapshot(observed)
})

// Guards against a client that keeps using an unreachable URL, or repeats a write that may have taken effect.
test.serial('calls fail over to other URLs', async t => {
  const unreachable = await Platform.start()
  await unreachable.stop()
  const failing = await Platform.start()
  t.teardown(async () => { await failing.stop() })
  failing.applyFaults({ outage: 'status' })
  const { platform, client } = await startPlatformAndClient(t)
  const withUnreachableUrl = PlatformClient.create({ urls: [unreachable.url, platform.url], timeoutMs: 2000 })
  const withFailingUrl = PlatformClient.create({ urls: [failing.url, platform.url], timeoutMs: 2000 })
  t.snapshot([
    await withUnreachableUrl.write(KEY, 'a', 0), await withUnreachableUrl.read(KEY),
    await withFailingUrl.write(KEY, 'b', 1), await client.read(KEY), await withFailingUrl.write(KEY, 'b', 1)
  ])
  await withUnreachableUrl.close()
  await withFailingUrl.close()
})

// Guards against a wrong result for a write whose response was lost.
test.serial('writes with lost responses are resolved by reading back', async t => {
  const { platform, client } = await startPlatformAndClient(t)
  const observed: unknown[] = []
  platform.applyFaults({ lose_answers: 1 })
  observed.push(await client.write(KEY, 'a', 0), await client.checkWrite(KEY, 'a', 0))
  platform.applyFaults({ lose_writes: 1 })
  observed.push(await client.write(KEY, 'b', 1), await client.checkWrite(KEY, 'b', 1))
  observed.push(await client.writeUntilKnown(KEY, 'b', 1))
  platform.applyFaults({ stale_reads: 1 })
  observed.push(await client.checkWrite(KEY, 'c', 2), await client.checkWrite('none', 'c', 0))
  platform.applyFaults({ stale_reads: 0, lose_answers: 1 })
  observed.push(await client.writeUntilKnown(KEY, 'c', 2), await client.writeUntilKnown(KEY, 'd', 2))
  observed.push(await client.checkWrite(KEY, 'd', 2))
  platform.applyFaults({ outage: 'break' })
  observed.push(await client.writeUntilKnown(KEY, 'd', 3), await client.checkWrite(KEY, 'd', 3))
  t.snapshot(observed)
})

// Guards against a write that is applied twice, or whose result differs from its effect, when requests or responses are lost.
test.serial('results of two writers with lost responses agree with the platform', async t => {
  const { platform, client } = await startPlatformAndClient(t, { writesPerS: 1e6, readsPerS: 1e6 })
  const step = fc.record({ loseAnswers: fc.nat(2), loseWrites: fc.nat(2), otherWrites: fc.boolean() })
  let run = 0
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 4 }), async steps => {
    const key = `run/${run++}`
    for (const [index, { loseAnswers, loseWrites, otherWrites }] of steps.entries()) {
      const expected = platform.store.find(key)?.revision ?? 0
      platform.applyFaults({ lose_answers: loseAnswers, lose_writes: loseWrites })
      const other = otherWrites ? client.write(key, `other ${index}`, expected) : undefined
      const result = await client.writeUntilKnown(key, `own ${index}`, expected)
      await other
      const events = platform.store.listEvents(key, 0)!.map(event => event.value)
      const hasEffect = events.includes(`own ${index}`)
      t.true(result.kind === 'unknown' || hasEffect === (result.kind === 'written'), JSON.stringify(result))
      t.is(new Set(events).size, events.length)
    }
  }), { seed: 7, numRuns: 40 })
})
