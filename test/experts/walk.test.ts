import test from 'ava'
import { runWalk } from '../../bench/experts/walk.js'

// Guards against any interleaving in which two ranks use different maps in one step.
test('no interleaving uses two maps in one step', t => {
  const result = runWalk({ ranks: 3, checksFencing: false, budget: { takeOvers: 1, limits: 1 }, statesMax: 200_000 })
  t.log(result)
  t.is(result.violation, undefined)
})
