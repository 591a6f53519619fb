import test from 'ava'
import fc from 'fast-check'
import { Random } from '../../src/kernel/random.js'
import { Simulation } from './simulation.js'
import type { SimulationOptions } from './simulation.js'

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

/** Runs one interleaving; throws when ranks use different maps in one step or the group has stopped at the end. */
function runRandom (options: SimulationOptions, faults: readonly Fault[], lossPercent: number): Simulation {
  const random = Random.create(options.seed)
  const simulation = Simulation.create(options)
  simulation.route = () => {
    if (simulation.nowMs > FAULTS_END_MS) return [1]
    const delay = (): number => random.pickInt(10) === 0 ? random.pickInt(9000) : random.pickInt(30)
    if (random.pickInt(100) < lossPercent) return []
    return random.pickInt(100) < lossPercent ? [delay(), delay()] : [delay()]
  }
  simulation.run(END_MS, faults.flatMap(fault => listActions(simulation, fault)))
  if (simulation.lastStepMs < END_MS - 2000) throw new Error(`the group has not stepped since ${simulation.lastStepMs} ms`)
  return simulation
}

function listActions (simulation: Simulation, { kind, node, atMs, forMs }: Fault): readonly Action[] {
  const id = NODES[node]!
  const endMs = atMs + forMs
  switch (kind) {
    case 'kill': return [[atMs, () => { simulation.stopProcess(id) }], [endMs, () => { simulation.startProcess(id) }]]
    case 'pause': return [[atMs, () => { simulation.setPaused(id, true) }], [endMs, () => { simulation.setPaused(id, false) }]]
    case 'engine': return [[atMs, () => { simulation.restartEngine(node % simulation.options.ranks) }]]
    case 'platform': return [[atMs, () => { simulation.isPlatformUp = false }], [endMs, () => { simulation.isPlatformUp = true }]]
    case 'answer': return [[atMs, () => { simulation.answersToLose += 1 }]]
  }
}

const changesAtMs = [3000, 6000, 9000, 14_000, 20_000, 30_000, 38_000, 60_000]

// Guards against any fault sequence in which two ranks use different maps in one step, or that stops the group permanently.
for (const checksFencing of [false, true]) {
  test(`random faults cause no step with two maps (checks fencing: ${checksFencing})`, t => {
    let commits = 0
    fc.assert(fc.property(fc.array(fault, { maxLength: 8 }), fc.nat(), fc.constantFrom(0, 5, 20), (faults, seed, loss) => {
      commits += new Set(runRandom({ ranks: 3, holders: 2, checksFencing, seed, changesAtMs }, faults, loss).executed.values()).size - 1
    }), { seed: 41, numRuns: RUNS })
    t.log({ runs: RUNS, seed: 41, commits })
    t.true(commits > RUNS)
  })
}

// Guards against checks that would not detect a platform that ignores the condition of a write.
test('random faults reveal a platform that ignores write conditions', t => {
  const found = fc.check(fc.property(fc.array(fault, { maxLength: 8 }), fc.nat(), fc.constantFrom(0, 5, 20), (faults, seed, loss) => {
    runRandom({ ranks: 3, holders: 2, checksFencing: false, seed, changesAtMs, conditionalWrites: false }, faults, loss)
  }), { seed: 41, numRuns: 40, endOnFailure: true })
  t.regex(String(found.errorInstance), /uses map/)
})
