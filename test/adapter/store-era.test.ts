import test from 'ava'
import { createServer } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import fc from 'fast-check'
import { Left, Right } from 'purify-ts'
import { StoreClient } from '../../platform/client.js'
import { RoutesPlugin } from '../../src/plugins/gateway/routes.js'
import type { GatewayConfiguration } from '../../src/gateway/model.js'
import { EVACUATION_HOLD_MS, EvacuationTable } from '../../src/gateway/evacuations.js'
import { EraTracker } from '../../src/gateway/store-era.js'
import { StoreFollower } from '../../src/gateway/store.js'
import type { Change, StoreKind } from '../../src/gateway/store.js'

/** Times without waits, so that a property can be checked many times. */
const TIMES = { waitMs: 1, collectMs: 0, retryMaxMs: 0 }

interface Item { readonly name: string, readonly value: number }

interface Write { readonly revision: number, readonly change: Change<Item> }

/** Store that can lose its last writes, and whose answers can be held back. */
class LossyStore {
  #writes: readonly Write[] = []
  #era = 1
  /** Answers that have been given and not been delivered. */
  #held: Array<() => void> = []
  isHolding = false

  get revision (): number {
    return this.#writes.at(-1)?.revision ?? 0
  }

  write (change: Change<Item>): void {
    this.#writes = [...this.#writes, { revision: this.revision + 1, change }]
  }

  /** Comes back without the last writes. @returns the lost ones */
  lose (count: number): readonly Write[] {
    const kept = this.#writes.slice(0, Math.max(0, this.#writes.length - count))
    const lost = this.#writes.slice(kept.length)
    this.#writes = kept
    this.#era += 1
    return lost
  }

  deliver (): void {
    const held = this.#held
    this.#held = []
    for (const release of held) release()
  }

  list (isOfKind: (name: string) => boolean): ReadonlyMap<string, Item> {
    const items = new Map<string, Item>()
    for (const { change } of this.#writes) {
      if (change.kind === 'removed') items.delete(change.name)
      else if (isOfKind(change.item.name)) items.set(change.item.name, change.item)
    }
    return items
  }

  /** @param isHeldBack - whether answers of the kind are delivered late while `isHolding` */
  createKind (isOfKind: (name: string) => boolean, isHeldBack: boolean): StoreKind<Item> {
    const answer = async <T>(value: T): Promise<T> => {
      if (isHeldBack && this.isHolding) await new Promise<void>(resolve => { this.#held.push(resolve) })
      else await new Promise(resolve => { setImmediate(resolve) })
      return value
    }
    return {
      list: async () => await answer(Right({ items: [...this.list(isOfKind).values()], revision: this.revision, era: this.#era })),
      watch: async revision => {
        if (revision > this.revision) return await answer(Left('history-gone' as const))
        const changes = this.#writes.filter(write => write.revision > revision).map(({ change }) => change)
          .filter(change => isOfKind(change.kind === 'removed' ? change.name : change.item.name))
        return await answer(Right({ changes, revision: this.revision, era: this.#era }))
      }
    }
  }
}

/** Follows one kind of a store, and keeps what it was told. */
function followKind (store: LossyStore, eras: EraTracker, isOfKind: (name: string) => boolean, handleItem: (item: Item) => void = () => {}): { readonly view: ReadonlyMap<string, Item>, readonly follower: StoreFollower<Item> } {
  const view = new Map<string, Item>()
  const follower = StoreFollower.create(store.createKind(isOfKind, isOfKind === isEndpoint), TIMES, {
    handleList (items) {
      view.clear()
      for (const item of items) {
        view.set(item.name, item)
        handleItem(item)
      }
    },
    handleChanges (changes) {
      for (const change of changes) {
        if (change.kind === 'removed') {
          view.delete(change.name)
        } else {
          view.set(change.item.name, change.item)
          handleItem(change.item)
        }
      }
    },
    handleState () {}
  }, eras)
  return { view, follower }
}

function buildConfiguration (version: number): GatewayConfiguration {
  return { version, routes: new Map(), services: new Map(), limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}

const waitTurns = async (count: number): Promise<void> => {
  for (let turn = 0; turn < count; turn += 1) await new Promise(resolve => { setTimeout(resolve, 0) })
}

const isConfiguration = (name: string): boolean => name === 'main'
const isEndpoint = (name: string): boolean => !isConfiguration(name)

type Step =
  | { readonly kind: 'write' | 'remove', readonly at: number }
  | { readonly kind: 'configure' | 'hold' | 'deliver' | 'rewrite' }
  | { readonly kind: 'lose' | 'wait', readonly count: number }

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('write', 'remove'), at: fc.nat(3) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('configure', 'hold', 'deliver', 'rewrite') }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('lose', 'wait'), count: fc.integer({ min: 1, max: 4 }) }) }
)

/** Plays steps against two followers of one store. @returns versions of the configuration in force in order, and the views at the end beside the store */
async function playSteps (steps: readonly Step[]): Promise<{ readonly versions: readonly number[], readonly views: readonly unknown[], readonly stored: readonly unknown[] }> {
  const store = new LossyStore()
  const eras = EraTracker.create()
  const routes = RoutesPlugin.create()
  const versions: number[] = []
  const endpoints = followKind(store, eras, isEndpoint)
  const configuration = followKind(store, eras, isConfiguration, ({ value }) => {
    routes.accept(buildConfiguration(value))
    versions.push(routes.getVersion() ?? 0)
  })
  const runs = [endpoints.follower.run(), configuration.follower.run()]
  let version = 0
  let value = 0
  let lost: readonly Write[] = []
  const rewrite = (): void => {
    for (const { change } of lost) store.write(change)
    lost = []
  }
  const run = async (step: Step): Promise<void> => {
    switch (step.kind) {
      case 'write': return store.write({ kind: 'written', item: { name: `e${step.at}`, value: value++ } })
      case 'remove': return store.write({ kind: 'removed', name: `e${step.at}` })
      case 'configure':
        version += 1
        return store.write({ kind: 'written', item: { name: 'main', value: version } })
      case 'lose':
        lost = [...lost, ...store.lose(step.count)]
        return
      case 'rewrite': return rewrite()
      case 'hold':
        store.isHolding = true
        return
      case 'deliver':
        store.isHolding = false
        return store.deliver()
      case 'wait': return await waitTurns(step.count)
    }
  }
  for (const step of steps) await run(step)
  rewrite()
  store.isHolding = false
  store.deliver()
  await waitTurns(12)
  for (const { follower } of [endpoints, configuration]) follower.stop()
  await waitTurns(1)
  store.deliver()
  await Promise.all(runs)
  return { versions, views: [endpoints, configuration].map(({ view }) => sortItems(view)), stored: [isEndpoint, isConfiguration].map(isOfKind => sortItems(store.list(isOfKind))) }
}

function sortItems (items: ReadonlyMap<string, Item>): readonly Item[] {
  return [...items.values()].sort((a, b) => a.name.localeCompare(b.name))
}

// Guards against changes that are skipped because their revisions were given out before, late answers of an older era that are applied, and a configuration that regresses.
test('what is followed converges to a store that loses writes, and the configuration never regresses', async t => {
  await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { minLength: 4, maxLength: 24 }), async steps => {
    const { versions, views, stored } = await playSteps(steps)
    t.deepEqual(views, stored)
    t.deepEqual(versions, versions.toSorted((a, b) => a - b))
  }), { seed: 10, numRuns: 150 })
})

// Guards against a skipped change: the revision that a follower continues from has been given out again, so its watch is answered normally.
test('a watch that is answered in a new era is followed by a listing', async t => {
  const causes: string[] = []
  const changed: string[] = []
  const answers = [
    Right({ changes: [], revision: 10, era: 4 }),
    Right({ changes: [{ kind: 'written' as const, item: 'late' }], revision: 12, era: 5 }),
    Right({ changes: [{ kind: 'written' as const, item: 'old' }], revision: 99, era: 4 }),
    Right({ changes: [{ kind: 'written' as const, item: 'new' }], revision: 13, era: 5 })
  ]
  const eras: number[] = []
  let calls = 0
  const follower = StoreFollower.create<string>({
    list: async () => Right({ items: [], revision: 10, era: calls < 2 ? 4 : 5 }),
    watch: async () => {
      const answer = answers[calls++]
      if (answer === undefined) follower.stop()
      return answer ?? Left('no-answer')
    }
  }, TIMES, {
    handleList: (_items, cause) => { causes.push(cause.kind) },
    handleChanges: changes => { for (const change of changes) if (change.kind === 'written') changed.push(change.item) },
    handleState () {}
  }, EraTracker.create(era => { eras.push(era) }))
  await follower.run()
  t.deepEqual(causes.slice(0, 2), ['current', 'after-era-change'])
  t.deepEqual(changed, ['new'])
  t.deepEqual(eras, [5])
})

// Guards against an era that is read from a damaged header, or a list that joins pages of two eras.
test('the client reads the era of each answer', async t => {
  const eras: ReadonlyArray<string | undefined> = ['7', undefined, '-1', '7a', '1e3', '99999999999999999999', '']
  let next = 0
  let pages: readonly string[] = []
  const server = createServer((request, response) => {
    request.resume()
    const isList = request.url?.includes('watch') !== true
    const era = isList ? pages[next++] : eras[next++]
    if (era !== undefined) response.setHeader('Store-Era', era)
    response.end(JSON.stringify(isList ? { items: [{ metadata: { name: `n${next}`, revision: 1 }, spec: {} }], has_more: next < pages.length, current_rev: 5 } : { events: [], current_rev: 5 }))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = StoreClient.create({ address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port }, handleResult () {} })
  t.teardown(() => {
    client.close()
    server.close()
  })
  const read: unknown[] = []
  for (let at = 0; at < eras.length; at += 1) read.push((await client.watch('servers', 5, 1)).map(({ era }) => era).extract())
  t.deepEqual(read, [7, undefined, undefined, undefined, undefined, undefined, undefined])
  const listings: unknown[] = []
  for (const [first, second] of [['3', '3'], ['3', '4']] as const) {
    next = 0
    pages = [first, second]
    listings.push((await client.list('servers')).map(({ items, era }) => ({ count: items.length, era })).extract())
  }
  t.deepEqual(listings, [{ count: 2, era: 3 }, 'history-gone'])
})

// Guards against requests to a domain whose evacuation the store lost, and against an evacuation that never ends because nobody writes it again.
test('an evacuation that the store lost stays in force for a bounded time', t => {
  const table = EvacuationTable.create()
  table.replaceAll(['a', 'b'], false, 0)
  table.replaceAll(['c'], true, 1_000)
  const held = [...table.list()].sort()
  table.merge([{ kind: 'written', item: 'a' }, { kind: 'removed', name: 'c' }])
  const isEnded = [table.expire(1_000 + EVACUATION_HOLD_MS - 1), table.expire(1_000 + EVACUATION_HOLD_MS)]
  t.snapshot({ held, isEnded, after: [...table.list()] })
  t.deepEqual(held, ['a', 'b', 'c'])
  t.deepEqual([...table.list()], ['a'])
  table.replaceAll([], false, 10_000)
  t.deepEqual([...table.list()], [])
})
