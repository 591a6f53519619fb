import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { Left, Right } from 'purify-ts'
import { Metrics } from '../../src/edge/metrics/metrics.js'
import { FollowedStore, computeLapseEndMs } from '../../src/gateway/followed-store.js'
import type { EndpointRecord } from '../../src/gateway/model.js'
import type { ChangeBatch, StoreKind } from '../../src/gateway/store.js'
import { startHarness } from './harness.js'

/** Bounds of the platform: time for which a removed endpoint may get requests, and from which a gateway counts as connected again. */
const DRAIN_MS = 2_000
const NOTICE_MS = 3_000

const HOUSEKEEPING_MS = 100
const FAILING_CALL_MS = 20

/** Times in ms: outage, and from the first call after it until a store that answers again has an endpoint removed. */
const OUTAGE_MS = 1_000
const REMOVED_AFTER_MS = 800

function createRecord (id: string): EndpointRecord {
  return { id, bornMs: 1, service: 's', address: { host: id, port: 1 }, domain: 'a', state: 'ready', slots: 4, coldRemainingMs: 0 }
}

function createIdleKind<T> (): StoreKind<T> {
  return {
    list: async () => Right({ items: [], revision: 1 }),
    watch: async (revision, waitMs, signal) => await wait(waitMs, undefined, { signal }).then(() => Right({ changes: [], revision }), () => Left('abandoned'))
  }
}

/** A store that is away for a time, lost `lapsed` meanwhile, and removes `removed` after it is back. */
class OutageStore {
  readonly startedAtMs = performance.now()
  returnedAtMs: number | undefined
  removedAtMs: number | undefined

  private constructor () {}

  static create (): OutageStore {
    return new OutageStore()
  }

  readonly endpoints: StoreKind<EndpointRecord> = {
    list: async () => Right({ items: ['stays', 'lapsed', 'removed'].map(createRecord), revision: 1 }),
    watch: async (revision, waitMs) => {
      if (performance.now() < this.startedAtMs + OUTAGE_MS) {
        await wait(FAILING_CALL_MS)
        return Left('no-answer')
      }
      return Right(await this.#answer(revision, waitMs))
    }
  }

  async #answer (revision: number, waitMs: number): Promise<ChangeBatch<EndpointRecord>> {
    if (this.returnedAtMs === undefined) {
      this.returnedAtMs = performance.now()
      return { changes: [{ kind: 'removed', name: 'lapsed' }], revision: 2 }
    }
    await wait(Math.min(waitMs, Math.max(0, this.returnedAtMs + REMOVED_AFTER_MS - performance.now())))
    if (this.removedAtMs !== undefined || performance.now() < this.returnedAtMs + REMOVED_AFTER_MS) return { changes: [], revision }
    this.removedAtMs = performance.now()
    return { changes: [{ kind: 'removed', name: 'removed' }], revision: 3 }
  }
}

// Guards against requests to an endpoint whose removal is told shortly after an outage of the store, for longer than the platform allows.
test('an endpoint that is removed after the store has come back is dropped within the bound', async t => {
  const harness = await startHarness('idempotent', {})
  const { context } = harness
  const store = OutageStore.create()
  const followed = FollowedStore.create({
    self: { id: 'g', domain: 'a' },
    context,
    store: { endpoints: store.endpoints, configuration: createIdleKind(), evacuations: createIdleKind(), listGateways: async () => Right([]), register: async () => Right(undefined), deregister: async () => Right(undefined), close () {} },
    bounds: { noticeMs: NOTICE_MS, applyMs: DRAIN_MS },
    metrics: Metrics.create({ role: 'gateway' }),
    handleConfiguration () {},
    handleEraChange () {},
    isReady: () => true,
    sendNews () {}
  })
  const runs = followed.listFollowers().map(async follower => { await follower.run() })
  const droppedAtMs = new Map<string, number>()
  const timer = setInterval(() => {
    const nowMs = performance.now()
    followed.runHousekeeping(nowMs)
    for (const id of ['stays', 'lapsed', 'removed']) if (followed.hasEndpoints && context.endpoints.find(id) === undefined && !droppedAtMs.has(id)) droppedAtMs.set(id, nowMs)
  }, HOUSEKEEPING_MS)
  while (droppedAtMs.size < 2) await wait(20)
  clearInterval(timer)
  for (const follower of followed.listFollowers()) follower.stop()
  await Promise.all(runs)
  harness.close()
  const removedMs = droppedAtMs.get('removed')! - store.removedAtMs!
  const lapsedMs = droppedAtMs.get('lapsed')! - store.returnedAtMs!
  t.log(`removed ${Math.round(removedMs)} ms, lapsed ${Math.round(lapsedMs)} ms after the store's word`)
  t.true(removedMs <= DRAIN_MS, `${removedMs} ms after its removal`)
  t.true(lapsedMs > DRAIN_MS / 2, `${lapsedMs} ms after the return of the store`)
  t.deepEqual([...droppedAtMs.keys()].sort(), ['lapsed', 'removed'])
})

// Guards against keeping a lapsed endpoint when the gateway counts as connected again, because its first answer came late.
test('lapsed endpoints are kept for a time from the return of the store, and no longer than the notice time', t => {
  t.snapshot({
    'answer soon after the last failure': computeLapseEndMs({ failedAtMs: 1_000, answeredAtMs: 1_200 }, NOTICE_MS),
    'answer long after the start of the call that failed last': computeLapseEndMs({ failedAtMs: 1_000, answeredAtMs: 2_300 }, NOTICE_MS)
  })
  t.true(computeLapseEndMs({ failedAtMs: 1_000, answeredAtMs: 9_000 }, NOTICE_MS) + HOUSEKEEPING_MS <= 1_000 + NOTICE_MS)
})
