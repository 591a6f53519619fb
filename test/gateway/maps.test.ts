import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import fc from 'fast-check'
import { CounterSnapshots, CounterSums } from '../../src/gateway/counter-deltas.js'
import type { EngineSpec } from '../../src/gateway/model.js'
import { FakeAgents, LEADER_DELAY_MS, LINK_BYTES_PER_MS, startService } from './map-agents.js'

const RANKS = 192
const ENGINE: EngineSpec = {
  slots: 4, stride: 5, stepMs: 6, perRequestMs: 1, readPerS: 60_000, promptTokens: 800, answerTokens: 140, layers: 10, experts: 384, slotsPerRank: 3, spare: 1, expertMb: 1, linkMbps: 1_000, expertShare: 0.85
}

const STEP_MS = 25

/** Interval in ms at which other experts are in demand. */
const SHIFT_MS = 4_000

/** One in so many datagrams is lost. */
const LOST_ONE_IN = 200

// Guards against maps that never change because the readings or orders of a large group fill the link of the leader.
test('the maps of 192 ranks change although the link of the leader is slow and datagrams get lost', async t => {
  const agents = FakeAgents.create({ ranks: RANKS, engine: ENGINE, lostOneIn: LOST_ONE_IN })
  const { harness, service } = await startService(agents)
  const steps = setInterval(() => { agents.group.beginStep() }, STEP_MS)
  const shifts = setInterval(() => { agents.shifts += 1 }, SHIFT_MS)
  let turnMaxMs = 0
  const startedAtMs = performance.now()
  while (performance.now() - startedAtMs < 15_000) {
    const turn = performance.now()
    const pauseMs = await service.update()
    turnMaxMs = Math.max(turnMaxMs, performance.now() - turn)
    await wait(pauseMs)
  }
  clearInterval(steps)
  clearInterval(shifts)
  harness.close()
  const seconds = (performance.now() - startedAtMs) / 1_000
  const committed = harness.lines.filter(line => line.includes('"map-decided"') && line.includes('"committed"')).length
  const planned = harness.lines.filter(line => line.includes('"map-planned"')).map(line => JSON.parse(line) as { readonly skewBefore: number, readonly skewAfter: number })
  t.log(`${committed} changes in ${seconds.toFixed(1)} s, skew ${planned[0]?.skewBefore} to ${planned.at(-1)?.skewAfter}, ${(agents.bytes / seconds / 1_000).toFixed(0)} KB/s, longest turn ${turnMaxMs.toFixed(0)} ms`)
  t.deepEqual(agents.group.mixedSteps, [])
  t.true(committed >= 3, `${committed} changes`)
  t.true(agents.bytes / seconds / 1_000 < 0.5 * LINK_BYTES_PER_MS, 'at most half of the link')
})

// Guards against demand that is computed from increases which refer to another reading.
test('counters are right whatever replies get lost or arrive late, and whichever process restarts', t => {
  const step = fc.record({ agent: fc.integer({ min: 0, max: 1 }), reader: fc.integer({ min: 0, max: 1 }), event: fc.constantFrom('reply', 'reply', 'reply', 'lost', 'late', 'rank restarts', 'agent restarts', 'agent gone', 'reader restarts') })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
    const agents = [0, 1].map(() => ({ snapshots: CounterSnapshots.create(1), counts: [5, 0, 70] }))
    const readers = [0, 1].map(() => CounterSums.create())
    const late: (() => void)[] = []
    let firstId = 1
    for (const { agent: index, reader, event } of steps) {
      if (event === 'agent gone') readers[reader]!.forget(`a${index}`)
      const agent = agents[index]!
      agent.counts = agent.counts.map((count, at) => count + at)
      if (event === 'rank restarts') agent.counts = [0, 0, 1]
      if (event === 'agent restarts') agent.snapshots = CounterSnapshots.create(firstId += 1_000)
      if (event === 'reader restarts') readers[reader] = CounterSums.create()
      const actual = agent.counts
      const reply = agent.snapshots.encode(actual, readers[reader]!.findId(`a${index}`))
      const sums = readers[reader]!
      const receive = (): void => {
        const counts = sums.decode(`a${index}`, reply)
        if (counts !== undefined && counts.join() !== actual.join()) throw new Error(`${counts.join()} instead of ${actual.join()}`)
      }
      if (event === 'late') late.push(receive)
      else if (event !== 'lost') receive()
      if (late.length > 2) late.shift()!()
    }
  }), { seed: 1, numRuns: 2_000 })
  t.pass()
})

// Guards against a leader that keeps the counters of every agent that it has ever read.
test('the reading of an agent that is gone is not kept', async t => {
  const agents = FakeAgents.create({ ranks: RANKS, engine: ENGINE, lostOneIn: LOST_ONE_IN })
  // Without demand no map changes, during which no counters are read.
  agents.tokensPerMs = 0
  const { harness, service } = await startService(agents)
  t.teardown(() => { harness.close() })
  const update = async (): Promise<void> => {
    await service.update()
    agents.requestedSince.clear()
    for (let turn = 0; turn < 30 && !agents.requestedSince.has('h0'); turn += 1) await service.update()
  }
  await service.update()
  await wait(LEADER_DELAY_MS)
  await update()
  await update()
  t.true(agents.requestedSince.get('h0') !== undefined)
  agents.silent.add('h0')
  harness.context.endpoints.remove('e0')
  await service.update()
  agents.silent.delete('h0')
  await update()
  t.true(agents.requestedSince.has('h0'))
  t.is(agents.requestedSince.get('h0'), undefined)
})
