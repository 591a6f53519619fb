import test from 'ava'
import type { Message } from '../../src/protocol/messages.js'
import { Simulation } from './simulation.js'
import type { SimulationOptions } from './simulation.js'

type Action = readonly [atMs: number, run: (simulation: Simulation) => void]

const base: SimulationOptions = { ranks: 3, holders: 2, checksFencing: false, seed: 1, changesAtMs: [5000] }

/** Drops, delays or duplicates the first messages of a kind. */
function alterMessages (kind: Message['kind'], count: number, delays: readonly number[]): Action {
  return [0, simulation => {
    let left = count
    simulation.route = (_from, _to, message) => message.kind === kind && 'version' in message && simulation.nowMs >= 5000 && left-- > 0 ? delays : [1]
  }]
}

/** Fault scenarios; the change is proposed at 5120 ms, prepared at 5170 ms and decided at 5190 to 5200 ms. */
const SCENARIOS: readonly { readonly name: string, readonly guards: string, readonly options?: Partial<SimulationOptions>, readonly actions: readonly Action[] }[] = [
  { name: 'no fault', guards: 'ranks that change at different steps', actions: [] },
  { name: 'prepare lost', guards: 'a change that never ends', actions: [alterMessages('map-prepare', 1, [])] },
  { name: 'responses to prepare delayed and duplicated', guards: 'a late response taken for another version', actions: [alterMessages('map-prepared', 3, [1, 8000])] },
  { name: 'decision lost for all ranks', guards: 'a rank that never learns the outcome', actions: [alterMessages('map-decided', 3, [])] },
  {
    name: 'old proposal and decision arrive after the next change',
    guards: 'a late message that undoes a newer map',
    options: { changesAtMs: [5000, 8000] },
    actions: [[0, simulation => {
      simulation.route = (_from, _to, message) => message.kind === 'map-decided' || message.kind === 'map-prepare' ? [1, 5000] : [1]
    }]]
  },
  { name: 'rank stalls before it can prepare', guards: 'a group blocked by one silent rank', actions: [[5100, simulation => { simulation.setPaused('r1', true) }], [40_000, simulation => { simulation.setPaused('r1', false) }]] },
  { name: 'rank process is killed after its promise and is replaced', guards: 'a replacement that forgets the promise', actions: [[5180, simulation => { simulation.stopProcess('r1') }], [7000, simulation => { simulation.startProcess('r1') }]] },
  { name: 'rank process is killed while it prepares', guards: 'a commit based on a lost promise', actions: [[5140, simulation => { simulation.stopProcess('r1') }], [6000, simulation => { simulation.startProcess('r1') }]] },
  { name: 'engine restarts after the promise', guards: 'an engine that steps without its hold', actions: [alterMessages('map-decided', 9, [1500]), [5180, simulation => { simulation.restartEngine(1) }]] },
  { name: 'engine and rank process are replaced together', guards: 'an empty rank that steps without the map in force', actions: [[5180, simulation => { simulation.stopProcess('r1'); simulation.restartEngine(1) }], [7000, simulation => { simulation.startProcess('r1') }]] },
  { name: 'holder is killed before it decides', guards: 'a stall that lasts as long as the lease', actions: [[5165, simulation => { simulation.stopProcess('e0') }]] },
  { name: 'holder is killed after it sent the decision', guards: 'ranks that wait for a dead holder', actions: [[5185, simulation => { simulation.stopProcess('e0') }]] },
  { name: 'paused holder resumes after another took over', guards: 'a commit by the old holder', actions: [[5185, simulation => { simulation.setPaused('e0', true) }], [45_000, simulation => { simulation.setPaused('e0', false) }]] },
  { name: 'platform response lost after the decision was written', guards: 'an abort sent for a committed map', actions: [[5000, simulation => { simulation.answersToLose = 1 }]] },
  { name: 'platform down while ranks are held', guards: 'a decision taken without the platform', actions: [[5175, simulation => { simulation.isPlatformUp = false }], [12_000, simulation => { simulation.isPlatformUp = true }]] },
  { name: 'platform down before the change', guards: 'a change started without the platform', actions: [[4000, simulation => { simulation.isPlatformUp = false }], [9000, simulation => { simulation.isPlatformUp = true }]] }
]

for (const checksFencing of [false, true]) {
  for (const { name, guards, options, actions } of SCENARIOS) {
    // Guards against the fault named in `guards`; the simulation throws when two ranks use different maps in one step.
    test(`${name} (${checksFencing ? 'engine checks fencing' : 'engine ignores fencing'}): guards against ${guards}`, t => {
      const simulation = Simulation.create({ ...base, ...options, checksFencing }).run(60_000, actions)
      const last = Math.max(...simulation.executed.keys())
      t.true(simulation.executed.size > 0 && simulation.engines.every(engine => engine.step >= last), 'the group steps on')
      if (!checksFencing) t.snapshot({ versions: listChanges(simulation), longestStallMs: simulation.longestStallMs, log: simulation.log })
    })
  }
}

function listChanges (simulation: Simulation): readonly string[] {
  const changes: string[] = []
  for (const [step, version] of simulation.executed) if (version !== simulation.executed.get(step - 1)) changes.push(`step ${step} map ${version}`)
  return changes
}
