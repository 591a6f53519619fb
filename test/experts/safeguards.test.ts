import test from 'ava'
import type { Effect } from '../../src/kernel/effects.js'
import { Random } from '../../src/kernel/random.js'
import type { MapPrepare } from '../../src/protocol/messages.js'
import { CHANGE_RULES, ChangeCoordinator, INITIAL_CHANGE } from '../../src/plugins/experts/change-coordinator.js'
import type { ChangeRules } from '../../src/plugins/experts/change-coordinator.js'
import { RankParticipant } from '../../src/plugins/experts/rank-participant.js'
import { INITIAL_RANK, RANK_RULES } from '../../src/plugins/experts/rank-state.js'
import type { RankRules, RankState } from '../../src/plugins/experts/rank-state.js'

const base = { version: 1, step: 0, layers: [] }
const joined: RankState = { ...INITIAL_RANK, joined: true, synced: true, fence: 1, decidedVersion: 1, base }
const prepare: MapPrepare = { kind: 'map-prepare', group: 'g', version: 2, step: 9, fence: 1, rank: 0, layers: [], base: 1, baseStep: 0 }

function runRank (rules: Partial<RankRules>, state: RankState, run: (rank: RankParticipant, context: Parameters<RankParticipant['handleTick']>[1]) => void): { rank: RankParticipant, effects: Effect[] } {
  const effects: Effect[] = []
  const rank = RankParticipant.create({ group: 'g', rank: 0, ranks: 2 }, { ...RANK_RULES, ...rules }, state)
  run(rank, { nowMs: 0, random: Random.create(1), emit: effect => { effects.push(effect) } })
  return { rank, effects }
}

function runChange (rules: Partial<ChangeRules>, run: (change: ChangeCoordinator, context: Parameters<ChangeCoordinator['handleTick']>[0]) => void): readonly Effect[] {
  const effects: Effect[] = []
  const record = { version: 1, decision: 'commit', fence: 1, map: { version: 1, step: 0, fence: 1, ranks: [] } } as const
  const change = ChangeCoordinator.create('g', ['r0'], { ...CHANGE_RULES, ...rules }, { ...INITIAL_CHANGE, fence: 1, closed: true, stored: { revision: 1, record } })
  run(change, { nowMs: 0, emit: effect => { effects.push(effect) } })
  return effects
}

const FOUND = { kind: 'found', revision: 1, value: JSON.stringify({ version: 1, decision: 'commit', fence: 1, map: { version: 1, step: 0, fence: 1, ranks: [] } }) } as const

// These safeguards overlap: the exhaustive walk finds no violation when only one is off, so each is tested by its effect.

// Guards against a promise that counts for two proposals of one version.
test('keepsPromise: a second proposal of a promised version is refused', t => {
  const promised: RankState = { ...joined, pending: { version: 2, step: 9, layers: [], fence: 1, holder: 'e0', promised: true, sinceMs: 0 } }
  const run = (rules: Partial<RankRules>): number | undefined =>
    runRank(rules, promised, (rank, context) => { rank.handlePrepare('e1', { ...prepare, fence: 2 }, context) }).rank.getState().pending?.fence
  t.is(run({}), 1)
  t.is(run({ keepsPromise: false }), 2)
})

// Guards against a rank that is held for a version whose outcome it will never learn.
test('refusesOldProposals: a proposal of a decided version is refused', t => {
  const later: RankState = { ...joined, decidedVersion: 2 }
  const run = (rules: Partial<RankRules>): boolean =>
    runRank(rules, later, (rank, context) => { rank.handlePrepare('e0', prepare, context) }).rank.getState().pending !== undefined
  t.false(run({}))
  t.true(run({ refusesOldProposals: false }))
})

// Guards against a late message that reverts a rank to an older decision.
test('ignoresOldDecisions: a decision below the latest changes nothing', t => {
  const later: RankState = { ...joined, decidedVersion: 5, base: { version: 5, step: 9, layers: [] } }
  const run = (rules: Partial<RankRules>): number => runRank(rules, later, (rank, context) => {
    rank.handleDecided({ kind: 'map-decided', group: 'g', version: 3, fence: 1, decision: 'commit', mapVersion: 3, step: 1 }, context)
  }).rank.getState().decidedVersion
  t.is(run({}), 5)
  t.is(run({ ignoresOldDecisions: false }), 3)
})

// Guards against a new holder that leaves ranks held for the old holder's proposal.
test('closesOnTakeOver: a new holder writes before it proposes', t => {
  const run = (rules: Partial<ChangeRules>): readonly string[] => runChange(rules, (change, context) => {
    change.updateLease(2)
    change.handleTick(context)
    change.handlePlatform('map/g/1', FOUND, context)
  }).map(effect => effect.kind === 'platform-call' ? effect.operation.kind : effect.kind)
  t.deepEqual(run({}), ['read', 'write'])
  t.deepEqual(run({ closesOnTakeOver: false }), ['read', 'send'])
})

// Guards against a second proposal with the same version and fencing number but other content.
test('closesOnTakeOver: a lease acquired again with the same fencing number closes the next version again', t => {
  const effects = runChange({}, (change, context) => {
    change.updateLease(0)
    change.updateLease(1)
    change.handleTick(context)
    change.handlePlatform('map/g/1', FOUND, context)
    t.false(change.isReady())
    change.handlePlatform('map/g/2', { kind: 'written', revision: 2 }, context)
    t.true(change.isReady())
  })
  t.deepEqual(effects.map(effect => effect.kind === 'platform-call' ? effect.operation.kind : effect.kind), ['read', 'write', 'send'])
})

// Guards against abandoning or guessing an outcome when the platform's answer is lost.
test('readsBack: a lost answer is followed by a read', t => {
  const run = (rules: Partial<ChangeRules>): readonly string[] => runChange(rules, (change, context) => {
    change.propose({ ranks: [[]], step: 9 })
    change.handleTick(context)
    change.handlePlatform('map/g/1', FOUND, context)
    change.handlePrepared('r0', { kind: 'map-prepared', group: 'g', version: 2, fence: 1, rank: 0, accepted: true, step: 1 }, context)
    change.handlePlatform('map/g/2', { kind: 'unknown' }, context)
  }).filter(effect => effect.kind === 'platform-call').map(effect => effect.operation.kind)
  t.deepEqual(run({}), ['read', 'write', 'read'])
  t.deepEqual(run({ readsBack: false }), ['read', 'write'])
})
