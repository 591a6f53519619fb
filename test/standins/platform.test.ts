import test from 'ava'
import { TokenBucket } from '../../standins/platform/bucket.js'
import { Platform } from '../../standins/platform/platform.js'
import { sendCall, waitFor } from './tools.js'
import type { CallResult } from './tools.js'

const ROOT = '/v1/objects/config%2Froot'

// Guards against fault controls without effect: each one must change the responses,
// and must leave no effect once it is reset.
test.serial('fault controls', async t => {
  const platform = await Platform.start()
  t.teardown(async () => { await platform.stop() })
  const session: [string, ...CallResult][] = []
  const run = async (step: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown, revision?: number): Promise<void> => {
    const answer = await sendCall(platform.url, method, path, body, revision === undefined ? {} : { headers: { 'if-match': String(revision) } })
    session.push([step, ...answer])
  }
  await run('create', 'PUT', ROOT, { value: 'a' }, 0)
  await run('without revision', 'PUT', ROOT, { value: 'a' })
  await run('too large', 'PUT', ROOT, { value: 'x'.repeat(1_048_577) }, 1)
  for (const outage of ['status', 'break', 'hang'] as const) {
    platform.applyFaults({ outage })
    await run(`outage ${outage}`, 'GET', ROOT)
  }
  await run('end of outage', 'POST', '/faults', { outage: 'none' })
  await run('read', 'GET', ROOT)
  platform.applyFaults({ lose_answers: 1 })
  await run('lost answer', 'PUT', ROOT, { value: 'b' }, 1)
  platform.applyFaults({ lose_writes: 1 })
  await run('lost write', 'PUT', ROOT, { value: 'c' }, 2)
  await run('read', 'GET', ROOT)
  platform.applyFaults({ stale_reads: 1 })
  await run('stale read', 'GET', ROOT)
  platform.applyFaults({ stale_reads: 0, slow_ms: 2000 })
  await run('slow', 'GET', ROOT)
  platform.applyFaults({ slow_ms: 0 })
  await run('remove', 'DELETE', ROOT, undefined, 2)
  await run('list', 'GET', '/v1/objects?prefix=config')
  await run('unknown fault', 'POST', '/faults', { outages: 'none' })
  await run('counters', 'GET', '/counters')
  t.snapshot(session.map(([step, status, body]) => [step, status, status === 400 ? '' : body]))
})

// Guards against a watch that misses changes made between two polls, or keeps a reader with an unknown revision waiting.
test.serial('watches', async t => {
  const platform = await Platform.start()
  t.teardown(async () => { await platform.stop() })
  const watch = async (since: number, timeoutMs: number): Promise<CallResult> =>
    await sendCall(platform.url, 'GET', `/v1/watch?prefix=a/&since=${since}&timeout_ms=${timeoutMs}`)
  platform.store.update('a/1', 'x', 0)
  platform.store.update('b/1', 'x', 0)
  const past = await watch(0, 100)
  const waiting = watch(2, 60_000)
  await waitFor(() => platform.listCounters()['watch'] === 2)
  platform.store.update('a/1', null, 1)
  t.snapshot({
    past, waiting: await waiting, all: await watch(0, 100), idle: await watch(3, 20), future: await watch(9, 100)
  })
})

// Guards against a list of hosts that is more up to date than that of a real platform.
test.serial('the list of hosts lags', async t => {
  const platform = await Platform.start()
  t.teardown(async () => { await platform.stop() })
  await sendCall(platform.url, 'PUT', '/hosts', [{ name: 'h1', domain: 'a', state: 'leaving' }])
  const before = await sendCall(platform.url, 'GET', '/v1/hosts')
  platform.applyFaults({ hosts_lag_ms: 0 })
  t.snapshot([before, await sendCall(platform.url, 'GET', '/v1/hosts')])
})

// Guards against a rate limit that ignores waiting watches, which the real platform counts as calls.
test.serial('rate limit', async t => {
  const bucket = TokenBucket.create(2, 0)
  const accepted = (nowMs: number): boolean => bucket.takeToken(nowMs)
  t.deepEqual([accepted(0), accepted(0), accepted(0), accepted(499), accepted(501)], [true, true, false, false, true])
  bucket.updateHeldCalls(1, 10_000)
  bucket.updateHeldCalls(1, 10_000)
  t.deepEqual([accepted(20_000), accepted(20_000), accepted(20_000), accepted(30_000)], [true, true, false, false])
  bucket.updateHeldCalls(-1, 30_000)
  t.deepEqual([accepted(30_900), accepted(31_100)], [false, true])
  const platform = await Platform.start({ writesPerS: 1, credential: 's' })
  t.teardown(async () => { await platform.stop() })
  const write = async (credential: string): Promise<CallResult> =>
    await sendCall(platform.url, 'PUT', ROOT, { value: 'a' }, { headers: { 'if-match': '7', authorization: `Bearer ${credential}` } })
  t.snapshot([await write('wrong'), await write('s'), await write('s'), platform.listCounters()])
})
