import test from 'ava'
import { FleetSystem } from '../../bench/fleet/callers.js'
import { createDeployments } from '../../bench/fleet/deployments.js'
import type { WorkKind, WorkResult } from '../../bench/fleet/work.js'

const KINDS: readonly WorkKind[] = ['write', 'read', 'read', 'stream']

// Guards against an endpoint process that closes the connections to its seeds
// while entries send work over them, which cut off requests 10 s after start.
test('without faults no connection closes and every request succeeds', t => {
  for (const deployment of createDeployments()) {
    const system = FleetSystem.create(deployment, 1)
    const results: WorkResult[] = []
    for (let index = 0; index < 1_000; index += 1) {
      const startMs = 5_000 + index * 15
      system.fleet.clock.schedule(startMs, () => {
        system.submit({ id: `w${index}`, kind: KINDS[index % KINDS.length] ?? 'read', team: `team-${index % 10}`, startMs }, result => { results.push(result) })
      })
    }
    system.fleet.clock.run(30_000)
    t.is(results.filter(result => result.ok).length, 1_000)
    t.is(system.fleet.disconnectCount, 0)
  }
})
