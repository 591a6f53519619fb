import test from 'ava'
import { World } from './world.js'

const base = { ranks: 3, holders: 2, checksFencing: true, seed: 1 }

// Guards against a change that ranks use from different steps when nothing fails.
test('a change of map without faults', t => {
  const world = World.create({ ...base, changesAtMs: [5000] }).run(10_000)
  t.deepEqual([...new Set(world.executed.values())].length, 2)
  t.snapshot(world.log)
})
