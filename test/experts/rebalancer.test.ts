import test from 'ava'
import type { Effect } from '../../src/kernel/effects.js'
import type { Context } from '../../src/kernel/plugin.js'
import { Rebalancer } from '../../src/plugins/experts/placement/rebalancer.js'
import type { Placement } from '../../src/plugins/experts/placement/shape.js'
import { Simulation } from './simulation.js'
import { buildStaticPlacement } from '../../src/plugins/experts/placement/static.js'

const shape = { layers: 2, experts: 8, slots: 3, hosts: ['a', 'b', 'c', 'd'] }

// Guards against counts of an older map attributed to experts of the current one, and against a slow rank that is not detected.
test('the planner uses reports of the map in force only', t => {
  const planner = Rebalancer.create('g', shape)
  const effects: Effect[] = []
  const ranks = buildStaticPlacement(shape)
  const run = (mapVersion: number, atMs: number): Placement | undefined => {
    ranks.forEach((layers, rank) => {
      const counts = layers.map(experts => experts.map(expert => expert === 0 ? 9000 : 100))
      planner.noteLoad({ kind: 'expert-load', group: 'g', rank, step: 1, stepMs: rank === 3 ? 200 : 50, mapVersion, counts })
    })
    for (let tick = 0; tick < 20; tick += 1) {
      const context = { nowMs: atMs + tick, emit: (effect: Effect) => { effects.push(effect) } } as unknown as Context
      const wanted = planner.choosePlacement({ version: 2, step: 0, fence: 1, ranks }, context)
      if (wanted !== undefined) return wanted
    }
    return undefined
  }
  t.is(run(1, 0), undefined)
  t.is(planner.getExplanation(), undefined)
  t.not(run(2, 20_000), undefined)
  t.snapshot({ explanation: planner.getExplanation(), speeds: planner.listSpeeds(), effects })
})

// Guards against reports that never reach the planner, and against a group that changes its map repeatedly under steady load.
test('a group under uneven load changes its map and then keeps it', t => {
  const simulation = Simulation.create({ ranks: 4, holders: 2, checksFencing: true, seed: 1, changesAtMs: [], tokens: [700, 100, 100, 100] }).run(120_000)
  const commits = simulation.log.filter(line => line.includes('"committed":true') && line.includes(' e0 '))
  t.is(new Set(simulation.executed.values()).size, 2)
  t.snapshot(commits)
})
