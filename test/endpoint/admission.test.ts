/** Admission: order of starts, limits of the queue, caps. */

import test from 'ava'
import fc from 'fast-check'
import { TestProcess, TERMS, FakeCluster, buildSubmit } from './harness.js'
import type { PriorityClass, Submit } from '../../src/protocol/messages.js'

const SEED = 7

function createHome (warmCap: number, coldCap = warmCap, teamShareMax = 1): TestProcess {
  FakeCluster.create({ teamShareMax, warmCap, coldCap })
  return new TestProcess()
}

function submitWork (home: TestProcess, team: string, count: number, priority: PriorityClass = 'normal', overrides: Partial<Submit> = {}): void {
  for (let index = 0; index < count; index++) {
    home.handle(buildSubmit(`${team}${index}`, { team, terms: { ...TERMS, priority, profile: priority, queueMax: 20 }, ...overrides }))
  }
}

/** Completes running work until the queue is empty; returns the work ids in order of start. */
function completeAllInOrder (home: TestProcess): readonly string[] {
  const started = (): string[] => home.transcript.flatMap(line => line.split(' < run ')[1] ?? [])
  for (let index = 0; index < started().length; index++) home.completeWork(started()[index]!)
  return started()
}

const countRefused = (home: TestProcess, error: string): number => home.transcript.filter(line => line.includes(`error=${error}`)).length

// Guards against urgent work that waits behind lower classes, and against starvation of lower classes.
test.serial('priority classes: urgent work starts first, one of eight starts goes to the oldest work of a lower class', t => {
  const home = createHome(1)
  submitWork(home, 'background', 3, 'background')
  submitWork(home, 'normal', 3)
  submitWork(home, 'urgent', 18, 'urgent')
  t.snapshot(completeAllInOrder(home).join(' '))
})

// Guards against a team that gets more starts than its weight allows because it came first.
test.serial('teams: starts are shared by weight, not by order of arrival', t => {
  const home = createHome(1)
  submitWork(home, 'large', 12, 'normal', { teamWeight: 2 })
  submitWork(home, 'small', 6)
  t.snapshot(completeAllInOrder(home).join(' '))
})

// Guards against one team that fills the queue and the endpoint.
test.serial('a full queue evicts the newest work of the team with the largest share; a team stays within its share of the cap', t => {
  const home = createHome(4, 4, 0.5)
  submitWork(home, 'large', 30)
  t.is(countRefused(home, 'overloaded'), 6)
  submitWork(home, 'small', 3)
  t.is(home.transcript.filter(line => /refused workId=small/.test(line)).length, 0)
  t.is(countRefused(home, 'overloaded'), 9)
  t.snapshot(completeAllInOrder(home).slice(0, 12).join(' '))
})

// Guards against overloading a cold endpoint, whichever signal shows that it is cold.
test.serial('cold starts are detected by report, new start id and first-byte time', t => {
  const home = createHome(10, 2)
  const caps: Record<string, number> = {}
  const recordCap = (name: string): void => { caps[name] = home.kernel.getPort('admission').describeState().cap }
  const report = (startId: string, warmth: number): void => { home.dispatch({ kind: 'endpoint-reported', report: { healthy: true, startId, warmth } }) }
  home.advanceTime(500)
  recordCap('no report')
  report('s1', 0.5)
  recordCap('half warm')
  report('s1', 1)
  recordCap('warm')
  submitWork(home, 'quick', 12)
  for (let index = 0; index < 12; index++) {
    home.nowMs += 100
    home.completeWork(`quick${index}`)
  }
  submitWork(home, 'slow', 1)
  home.advanceTime(4_500)
  recordCap('one request without a first byte for 4.5 s')
  submitWork(home, 'stalled', 2)
  home.advanceTime(4_500)
  recordCap('three requests without a first byte')
  for (const workId of ['slow0', 'stalled0', 'stalled1']) home.completeWork(workId)
  home.advanceTime(70_000)
  recordCap('70 s later')
  report('s2', 1)
  recordCap('new start that reports warm')
  t.snapshot(caps)
})

// Guards against starts above the cap or at an unhealthy endpoint in any order of reports, ends and offers.
test.serial('nothing starts above the cap or while unhealthy', t => {
  let starts = 0
  const step = fc.oneof(
    fc.record({ kind: fc.constant('offer' as const), priority: fc.constantFrom<PriorityClass>('urgent', 'normal', 'background'), team: fc.constantFrom('a', 'b', 'c') }),
    fc.record({ kind: fc.constant('end' as const), at: fc.nat(20), whole: fc.boolean() }),
    fc.record({ kind: fc.constant('report' as const), healthy: fc.constantFrom(true, true, true, false), startId: fc.constantFrom('s1', 's2'), warmth: fc.double({ min: 0, max: 1, noNaN: true }) }),
    fc.record({ kind: fc.constantFrom('crash' as const, 'tick' as const) })
  )
  fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 80, size: 'max' }), steps => {
    const home = createHome(6, 1)
    const running: string[] = []
    steps.forEach((next, index) => {
      home.nowMs += 300
      const effects = next.kind === 'offer'
        ? home.handle(buildSubmit(`w${index}`, { team: next.team, terms: { ...TERMS, priority: next.priority, idempotent: true } }))
        : next.kind === 'end'
          ? running.splice(next.at % (running.length + 1), 1).flatMap(workId => home.dispatch(next.whole ? { kind: 'endpoint-ended', workId } : { kind: 'endpoint-failed', workId, sent: true }))
          : home.dispatch(next.kind === 'report' ? { kind: 'endpoint-reported', report: next } : next.kind === 'crash' ? { kind: 'endpoint-crashed', crashId: `c${index}` } : { kind: 'tick' })
      const started = effects.flatMap(effect => effect.kind === 'run' ? effect.work.workId : [])
      running.push(...started)
      starts += started.length
      const state = home.kernel.getPort('admission').describeState()
      if (started.length > 0) t.true(state.healthy && running.length <= state.cap)
      t.is(state.running, running.length)
    })
  }), { seed: SEED, numRuns: 500 })
  t.log(`seed ${SEED}: 500 sessions, ${starts} starts`)
})
