import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { StoreClient } from '../../platform/client.js'
import { StoreFollower, computeFollowerTimes } from '../../src/gateway/store.js'
import type { ChangeBatch, Listing, StoreFailure } from '../../src/gateway/store.js'

/** Times of the smallest fleets. */
const TIMES = computeFollowerTimes({ noticeMs: 3_000, applyMs: 2_000 })

type ResponseHandler = (request: IncomingMessage, response: ServerResponse) => void

function reply (status: number, body?: unknown): ResponseHandler {
  return (_request, response) => {
    response.statusCode = status
    response.end(body === undefined ? '' : JSON.stringify(body))
  }
}

function buildObject (name: string, spec: unknown = {}): unknown {
  return { metadata: { name, revision: 3, created: 1, finalizers: [], deleting: false }, spec, status: null }
}

/** Starts a store that records its requests and passes each to the next handler; the last handler gets all further requests. */
async function startStore (handlers: readonly ResponseHandler[]): Promise<{ readonly client: StoreClient, readonly requested: string[], readonly results: string[], close (): void }> {
  const requested: string[] = []
  const results: string[] = []
  const server = createServer((request, response) => {
    requested.push(`${request.method} ${request.url}`)
    request.resume()
    handlers[Math.min(requested.length, handlers.length) - 1]!(request, response)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const client = StoreClient.create({ address: { host: '127.0.0.1', port }, handleResult: result => { results.push(result) } })
  return {
    client,
    requested,
    results,
    close () {
      client.close()
      server.close()
      server.closeAllConnections()
    }
  }
}

// Guards against a list that is given up, or that repeats a page for ever, because of entries that cannot be read.
test('a list goes on after entries that cannot be read', async t => {
  const unreadable = (name: string): unknown => ({ metadata: { name, revision: 'x' }, spec: 5 })
  const store = await startStore([
    reply(200, { items: [buildObject('a'), unreadable('b')], has_more: true, current_rev: 10 }),
    reply(200, { items: [unreadable('c'), 5, null], has_more: true, current_rev: 10 }),
    reply(200, { items: [buildObject('d')], has_more: false, current_rev: 10 })
  ])
  const listed = await store.client.list('servers')
  store.close()
  t.deepEqual(listed.map(({ items }) => items.map(({ name }) => name)).extract(), ['a', 'd'])
  t.deepEqual(store.requested, ['GET /heatherdoor/objects/servers', 'GET /heatherdoor/objects/servers?after=b', 'GET /heatherdoor/objects/servers?after=c'])
})

// Guards against missing entries after the first page, and against a watch that misses changes between pages.
test('a list reads every page and returns the revision of the first', async t => {
  const store = await startStore([
    reply(200, { items: [buildObject('a'), buildObject('b')], has_more: true, current_rev: 10 }),
    reply(200, { items: [buildObject('c')], has_more: false, current_rev: 12 })
  ])
  const listed = await store.client.list('servers')
  store.close()
  t.deepEqual(listed.map(({ items, revision }) => ({ names: items.map(({ name }) => name), revision })).extract(), { names: ['a', 'b', 'c'], revision: 10 })
  t.deepEqual(store.requested, ['GET /heatherdoor/objects/servers', 'GET /heatherdoor/objects/servers?after=b'])
})

// Guards against a failure that is taken for an empty response.
test('each kind of failure is distinguished', async t => {
  const failures: Readonly<Record<string, ResponseHandler>> = {
    'history-gone': reply(410),
    busy: reply(429),
    unavailable: reply(503),
    malformed: (_request, response) => { response.end('no json') },
    'no-answer': request => { request.socket.destroy() }
  }
  for (const [failure, handler] of Object.entries(failures)) {
    const store = await startStore([handler])
    t.is((await store.client.watch('servers', 5, 10)).swap().extract() as string, failure)
    t.deepEqual(store.results, [failure])
    store.close()
  }
})

// Guards against a watch that never ends on a silent connection, and against reuse of that connection.
test('a call to a silent store times out and the next call uses another connection', async t => {
  const ports = new Set<number | undefined>()
  const store = await startStore([
    request => { ports.add(request.socket.remotePort) },
    (request, response) => {
      ports.add(request.socket.remotePort)
      reply(200, { events: [{ deleted: true, object: buildObject('a') }, { deleted: false, object: buildObject('b') }, { deleted: false, object: 1 }], current_rev: 9 })(request, response)
    }
  ])
  t.is((await store.client.watch('servers', 5, 10)).swap().extract() as string, 'no-answer')
  const batch = await store.client.watch('servers', 5, 10)
  store.close()
  t.deepEqual(batch.map(({ changes, revision }) => ({ kinds: changes.map(({ kind }) => kind), revision })).extract(), { kinds: ['removed', 'written'], revision: 9 })
  t.is(ports.size, 2)
})

// Guards against a restarted host that cannot register because the entry of its previous start still exists.
test('a write replaces an existing entry', async t => {
  const store = await startStore([reply(409, buildObject('g')), reply(200, buildObject('g'))])
  t.true((await store.client.write('gateways', 'g', {})).isRight())
  store.close()
  t.deepEqual(store.requested, ['POST /heatherdoor/objects/gateways', 'PUT /heatherdoor/objects/gateways/g'])
})

/** Runs a follower with scripted results and records its callbacks. */
async function runFollower (results: readonly ('list' | 'change' | 'idle' | StoreFailure)[]): Promise<readonly string[]> {
  const notes: string[] = []
  let next = 0
  const takeResult = (): typeof results[number] => {
    const result = results[next++]
    if (result !== undefined) return result
    follower.stop()
    return 'idle'
  }
  const follower = StoreFollower.create<string>({
    async list (): Promise<Either<StoreFailure, Listing<string>>> {
      const result = takeResult()
      return result === 'list' ? Right({ items: ['a'], revision: 1 }) : Left(result as StoreFailure)
    },
    async watch (revision, waitMs): Promise<Either<StoreFailure, ChangeBatch<string>>> {
      const result = takeResult()
      notes.push(`watch ${revision} for ${waitMs} ms`)
      if (result === 'change') return Right({ changes: [{ kind: 'removed', name: 'a' }], revision: revision + 1 })
      return result === 'idle' ? Right({ changes: [], revision }) : Left(result as StoreFailure)
    }
  }, TIMES, {
    handleList: (items, cause) => { notes.push(`list ${items.join()} ${cause.kind}`) },
    handleChanges: (changes, returned) => { notes.push(`${changes.map(({ kind }) => kind).join()} away=${returned !== undefined}`) },
    handleState: (state, reason) => { notes.push(`${state} ${reason}`.trim()) }
  })
  await follower.run()
  return notes
}

// Guards against missed changes, against a full list after each lost connection, and against entries that expired in an outage and are taken for removed.
test('a follower continues from its revision, lists again when the history is gone, and reports outages', async t => {
  t.snapshot({
    'one cut connection': await runFollower(['list', 'change', 'no-answer', 'change']),
    outage: await runFollower(['list', 'unavailable', 'unavailable', 'change', 'idle']),
    'history gone': await runFollower(['list', 'history-gone', 'list', 'idle']),
    'start without the store': await runFollower(['no-answer', 'busy', 'list', 'idle'])
  })
})

// Guards against a long watch that stays on a silent connection, or is repeated late, although the follower was told to ask again.
test('a watch that is given up is asked again at once, on a new connection and with a short wait', async t => {
  const ports = new Set<number | undefined>()
  const store = await startStore([
    reply(200, { items: [], has_more: false, current_rev: 5 }),
    reply(200, { events: [{ deleted: false, object: buildObject('a') }], current_rev: 6 }),
    request => { ports.add(request.socket.remotePort) },
    (request, response) => {
      ports.add(request.socket.remotePort)
      reply(200, { events: [{ deleted: false, object: buildObject('b') }], current_rev: 7 })(request, response)
    },
    () => {}
  ])
  t.teardown(() => { store.close() })
  const seen: string[] = []
  const follower = StoreFollower.create({
    list: async () => await store.client.list('servers'),
    watch: async (revision, waitMs, signal) => await store.client.watch('servers', revision, waitMs, signal)
  }, { ...TIMES, waitMs: 30_000 }, {
    handleList () {},
    handleChanges: changes => { seen.push(...changes.map(change => change.kind === 'written' ? change.item.name : change.name)) },
    handleState: state => { seen.push(state) }
  })
  const run = follower.run()
  while (store.requested.length < 3) await wait(5)
  follower.updateWait(30_000)
  const startedAtMs = performance.now()
  follower.updateWait(TIMES.waitMs)
  while (seen.length < 2) await wait(5)
  t.true(performance.now() - startedAtMs < TIMES.collectMs)
  while (store.requested.length < 5) await wait(5)
  follower.stop()
  await run
  t.deepEqual(seen, ['a', 'b'])
  t.deepEqual(store.requested.slice(2).map(request => request.replace('GET /heatherdoor/objects/', '')), ['servers?watch=6&wait_ms=30000', 'servers?watch=6&wait_ms=100', 'servers?watch=7&wait_ms=2000'])
  t.is(ports.size, 2)
  t.deepEqual(store.results, ['ok', 'ok', 'abandoned', 'ok', 'abandoned'])
})

// Guards against one call for each change, by every gateway, when many endpoints register in a short time.
test('changes in quick succession are read together', async t => {
  const startedAtMs = performance.now()
  /** An entry is written every 10 ms for half a second. */
  const countWritten = (): number => Math.min(50, Math.floor((performance.now() - startedAtMs) / 10))
  const seen: string[] = []
  let calls = 0
  const follower = StoreFollower.create<string>({
    async list () {
      return Right({ items: [], revision: 0 })
    },
    async watch (revision) {
      calls += 1
      while (countWritten() <= revision) {
        if (revision >= 50) return Right({ changes: [], revision })
        await new Promise(resolve => { setTimeout(resolve, 5) })
      }
      const written = countWritten()
      return Right({ changes: Array.from({ length: written - revision }, (_, at) => ({ kind: 'written' as const, item: `e${revision + at}` })), revision: written })
    }
  }, TIMES, {
    handleList () {},
    handleChanges (changes) {
      seen.push(...changes.map(change => change.kind === 'written' ? change.item : change.name))
      if (seen.length === 50) follower.stop()
    },
    handleState () {}
  })
  await follower.run()
  t.is(new Set(seen).size, 50)
  t.true(performance.now() - startedAtMs < 1_000)
  t.true(calls <= 5, `${calls} calls`)
})

// Guards against calls to the store that keep their pace although the bounds of a larger fleet are longer, and against times that exceed a bound.
test('a follower waits as long as the bounds allow', t => {
  const bounds = [{ noticeMs: 3_000, applyMs: 2_000 }, { noticeMs: 4_000, applyMs: 3_000 }, { noticeMs: 5_000, applyMs: 4_000 }, { noticeMs: 0, applyMs: 0 }]
  t.snapshot(bounds.map(bound => ({ ...bound, ...computeFollowerTimes(bound) })))
  for (const { noticeMs, applyMs } of bounds.slice(0, 3)) {
    const { waitMs, collectMs, retryMaxMs } = computeFollowerTimes({ noticeMs, applyMs })
    t.true(waitMs + 700 + 100 <= noticeMs)
    t.true(collectMs + retryMaxMs < applyMs / 2)
  }
})
