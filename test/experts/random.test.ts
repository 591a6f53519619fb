import test from 'ava'
import fc from 'fast-check'
import { Random } from '../../src/kernel/random.js'
import { World } from './world.js'
import type { WorldOptions } from './world.js'

const FAULTS_END_MS = 40_000
const END_MS = 85_000
const RUNS = 60

type Action = readonly [atMs: number, run: () => void]

type Fault = { readonly kind: 'kill' | 'pause' | 'engine' | 'platform' | 'answer', readonly node: number, readonly atMs: number, readonly forMs: number }

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('kill', 'pause', 'engine', 'platform', 'answer'),
  node: fc.nat(4),
  atMs: fc.integer({ min: 0, max: FAULTS_END_MS - 12_000 }),
  forMs: fc.constantFrom(50, 1000, 5000, 12_000)
})

const NODES = ['r0', 'r1', 'r2', 'e0', 'e1']

/** Runs one interleaving; throws when ranks use different maps in one step or the group stands still at the end. */
function runRandom (options: WorldOptions, faults: readonly Fault[], lossPercent: number): World {
  const random = Random.create(options.seed)
  const world = World.create(options)
  world.route = () => {
    if (world.nowMs > FAULTS_END_MS) return [1]
    const delay = (): number => random.pickInt(10) === 0 ? random.pickInt(9000) : random.pickInt(30)
    if (random.pickInt(100) < lossPercent) return []
    return random.pickInt(100) < lossPercent ? [delay(), delay()] : [delay()]
  }
  world.run(END_MS, faults.flatMap(fault => listActions(world, fault)))
  if (world.lastStepMs < END_MS - 2000) throw new Error(`the group stands still since ${world.lastStepMs} ms`)
  return world
}

function listActions (world: World, { kind, node, atMs, forMs }: Fault): readonly Action[] {
  const id = NODES[node]!
  const endMs = atMs + forMs
  switch (kind) {
    case 'kill': return [[atMs, () => { world.stopProcess(id) }], [endMs, () => { world.startProcess(id) }]]
    case 'pause': return [[atMs, () => { world.updatePaused(id, true) }], [endMs, () => { world.updatePaused(id, false) }]]
    case 'engine': return [[atMs, () => { world.startEngine(node % world.options.ranks) }]]
    case 'platform': return [[atMs, () => { world.platformUp = false }], [endMs, () => { world.platformUp = true }]]
    case 'answer': return [[atMs, () => { world.loseAnswers += 1 }]]
  }
}

const changesAtMs = [3000, 6000, 9000, 14_000, 20_000, 30_000, 38_000, 60_000]

// Guards against any fault sequence in which two ranks use different maps in one step, or that stops the group for good.
for (const checksFencing of [false, true]) {
  test(`random faults keep one map in each step (checks fencing: ${checksFencing})`, t => {
    let commits = 0
    fc.assert(fc.property(fc.array(fault, { maxLength: 8 }), fc.nat(), fc.constantFrom(0, 5, 20), (faults, seed, loss) => {
      commits += new Set(runRandom({ ranks: 3, holders: 2, checksFencing, seed, changesAtMs }, faults, loss).executed.values()).size - 1
    }), { seed: 41, numRuns: RUNS })
    t.log({ runs: RUNS, seed: 41, commits })
    t.true(commits > RUNS)
  })
}

// Guards against checks that would not notice a platform that ignores the condition of a write.
test('random faults show the loss of conditional writes', t => {
  const found = fc.check(fc.property(fc.array(fault, { maxLength: 8 }), fc.nat(), fc.constantFrom(0, 5, 20), (faults, seed, loss) => {
    runRandom({ ranks: 3, holders: 2, checksFencing: false, seed, changesAtMs, conditionalWrites: false }, faults, loss)
  }), { seed: 41, numRuns: 40, endOnFailure: true })
  t.regex(String(found.errorInstance), /uses map/)
})
