import test from 'ava'
import { runWalk } from '../../bench/experts/walk.js'
import type { Budget, WalkOptions } from '../../bench/experts/walk.js'

const WALKS: readonly (readonly [ranks: number, budget: Budget])[] = [
  [3, {}], [3, { lostAnswers: 1 }], [2, { engineRestarts: 1 }], [2, { limits: 1 }], [2, { processRestarts: 1 }]
]

// Guards against any interleaving in which two ranks use different maps in one step.
for (const [ranks, budget] of WALKS) {
  test(`every interleaving of ${ranks} ranks and 2 holders uses one map in each step: ${JSON.stringify(budget)}`, t => {
    const result = runWalk({ ranks, checksFencing: false, budget, statesMax: 100_000 })
    t.log(result)
    t.is(result.violation, undefined)
    t.true(result.finished)
    t.true(result.commits > 0)
  })
}

// Guards against an order of a replaced process that reaches an engine late. Only engines that
// check fencing numbers are safe from it; docs/experts.md states the limitation of the others.
test('an engine that checks fencing numbers refuses the late order of a replaced process', t => {
  const result = runWalk({ ranks: 2, budget: { processRestarts: 1 }, strayOrders: true, checksFencing: true, statesMax: 100_000 })
  t.log(result)
  t.is(result.violation, undefined)
  t.true(result.finished)
})

const VARIANTS: readonly (readonly [name: string, options: Partial<WalkOptions>])[] = [
  ['closesOnJoin', { budget: { processRestarts: 1 }, rankRules: { closesOnJoin: false } }],
  ['holdsBeforePromise', { rankRules: { holdsBeforePromise: false } }],
  ['holdsRestartedEngine', { budget: { engineRestarts: 1 }, rankRules: { holdsRestartedEngine: false } }],
  ['abortsByWrite', { budget: { limits: 1 }, rankRules: { abortsByWrite: false } }],
  ['waitsForAll', { changeRules: { waitsForAll: false } }],
  ['tellsAfterWrite', { budget: { processRestarts: 1 }, changeRules: { tellsAfterWrite: false } }]
]

// Guards against a walk that would not detect a disabled safeguard.
for (const [name, options] of VARIANTS) {
  test(`the walk detects a disabled safeguard: ${name}`, t => {
    const result = runWalk({ ranks: 2, checksFencing: false, budget: {}, statesMax: 100_000, ...options })
    t.log(result.states, result.violation?.at(-1))
    t.not(result.violation, undefined)
  })
}
