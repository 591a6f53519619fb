/** Property tests: for any order of events, a key runs at most once, outcomes are correct and responses reach the right attempt. */

import test from 'ava'
import fc from 'fast-check'
import { Executions } from '../../src/plugins/outcomes/executions.js'
import { SubmitHandler } from '../../src/plugins/outcomes/submit-handler.js'
import { OutcomesPlugin } from '../../src/plugins/outcomes/plugin.js'
import { Records } from '../../src/plugins/outcomes/records.js'
import { RecordTable } from '../../src/plugins/outcomes/table.js'
import { Simulation } from './simulation.js'
import type { Step } from './simulation.js'
import type { Submit } from '../../src/protocol/messages.js'

const SEED = 20_261_204
const SESSIONS = 2_000

const pick = fc.nat(30)
const STEPS: readonly (readonly [weight: number, arbitrary: fc.Arbitrary<Step>])[] = [
  [6, fc.record({ kind: fc.constant('send' as const), entry: fc.nat(2), key: fc.nat(11), body: fc.constantFrom(0, 0, 0, 1), moved: fc.boolean() })],
  [4, fc.record({ kind: fc.constant('resend' as const), entry: fc.nat(2), pick, moved: fc.boolean() })],
  [8, fc.record({ kind: fc.constant('deliver' as const), pick })],
  [3, fc.record({ kind: fc.constant('settle' as const), pick })],
  [4, fc.record({ kind: fc.constantFrom('cancel' as const, 'query' as const, 'repeat' as const, 'lose' as const), pick })],
  [3, fc.record({ kind: fc.constant('end' as const), pick, result: fc.constantFrom('whole' as const, 'whole' as const, 'broken' as const, 'unsent' as const) })],
  [2, fc.record({ kind: fc.constant('wait' as const), ms: fc.constantFrom(500, 1_500, 2_500, 5_000, 30_000, 4 * 30_000, 31 * 30_000) })],
  [1, fc.record({ kind: fc.constant('pause' as const), ms: fc.constantFrom(2_500, 40_000) })],
  [1, fc.record({ kind: fc.constant('kill' as const), id: fc.constantFrom('h1' as const, 'h1' as const, 'h2' as const) })],
  [1, fc.constant({ kind: 'leave' as const })]
]
/** Steps that are left out of half of the sessions, so that handovers complete there. */
const isDisruptive = (step: Step): boolean => ['lose', 'pause', 'kill'].includes(step.kind) || (step.kind === 'wait' && step.ms > 4 * 30_000)
const sessions = fc.tuple(fc.boolean(), fc.array(fc.oneof(...STEPS.map(([weight, arbitrary]) => ({ weight, arbitrary }))), { minLength: 20, maxLength: 120, size: 'max' }))
  .map(([hasNoDisruptions, steps]) => hasNoDisruptions ? steps.map(step => !isDisruptive(step) ? step : { kind: 'wait' as const, ms: 1_500 }) : steps)

/** Runs sessions until one has a violation that matches the pattern. */
function checkSessions (pattern: RegExp): { readonly count: number, readonly violation: string, readonly counts: Record<string, number> } {
  const counts: Record<string, number> = {}
  const result = fc.check(fc.property(sessions, session => {
    const simulation = new Simulation()
    for (const step of session) simulation.apply(step)
    simulation.check()
    for (const [name, count] of Object.entries(simulation.counts)) counts[name] = (counts[name] ?? 0) + count
    const violation = simulation.violations.find(text => pattern.test(text))
    if (violation !== undefined) throw new Error(violation)
  }), { seed: SEED, numRuns: SESSIONS, endOnFailure: true })
  return { count: result.numRuns, violation: result.failed ? `${String(result.errorInstance)} in ${fc.stringify(result.counterexample)}` : '', counts }
}

// Guards against a second run of a key, a false "not run", and a response sent to the wrong attempt.
test.serial('random interleavings of send, repeat, cancel, kill, pause, leave, lost and reordered messages', t => {
  const { count, violation, counts } = checkSessions(/./)
  t.log(`seed ${SEED}: ${count} sessions`, counts)
  t.is(violation, '')
})

/** Mutations that each disable a safeguard, with the pattern of the violations that must follow. */
const mutations: readonly (readonly [name: string, pattern: RegExp, owner: object, method: string, build: (original: (...args: never[]) => unknown) => (this: never, ...args: never[]) => unknown])[] = [
  ['lookup of the record', /ran \d+ times/, RecordTable.prototype, 'find', () => () => undefined],
  ['record of a refused key', /reported as not run but ran/, RecordTable.prototype, 'update', original => function (this: never, ...[scope, record]: never[]) {
    if ((record as unknown as { state: { kind: string } }).state.kind !== 'closed') original.call(this, scope!, record!)
    else (this as RecordTable).remove(scope!)
  }],
  ['start limit', /ran \d+ times/, RecordTable.prototype, 'getAge', () => () => 'startable'],
  ['incarnation in the key', /ran \d+ times/, Records.prototype, 'findTable', () => function (this: never) { return (this as Records).ownTable }],
  ['pause check', /waited before a pause/, OutcomesPlugin.prototype, 'checkTime', original => function (this: never, ...[context]: never[]) {
    const { nowMs } = context as unknown as { nowMs: number }
    for (let at = (this as { at?: number }).at ?? 0; at < nowMs; at += 1_000) original.call(this, { ...(context as unknown as object), nowMs: at } as never)
    original.call(this, context!)
    Object.assign(this as object, { at: nowMs })
  }],
  ['outcome of a cancel', /reported as not run but ran/, Executions.prototype, 'handleCancel', original => function (this: never, ...args: never[]) {
    original.apply(this, args)
    return 'not-run'
  }],
  ['comparison of bodies', /got the response of/, SubmitHandler.prototype, 'handleSubmit', original => function (this: never, ...[peer, work, context]: never[]) {
    original.call(this, peer!, { ...(work as unknown as Submit), bodyHash: 'b0' } as never, context!)
  }],
  ['window of the leaving home at its successor', /reported as not run but ran/, RecordTable, 'create', original => function (this: never, ...[home, incarnation, startMs]: never[]) {
    return original.call(this, home!, incarnation!, startMs!, 0 as never)
  }],
  ['emptying the queue at a leave', /ran \d+ times/, Executions.prototype, 'listWaiting', () => () => []]
]

for (const [name, pattern, owner, method, build] of mutations) {
  // Guards against a property test that would pass without the safeguard.
  test.serial(`the property fails without: ${name}`, t => {
    const original = Reflect.get(owner, method) as (...args: never[]) => unknown
    Reflect.set(owner, method, build(original))
    const { count, violation } = checkSessions(pattern)
    Reflect.set(owner, method, original)
    t.log(`seed ${SEED}: found after ${count} sessions: ${violation.split(' in [')[0]}`)
    t.not(violation, '')
  })
}
