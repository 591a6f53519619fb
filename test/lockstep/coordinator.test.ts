import test from 'ava'
import { MapCoordinator } from '../../src/plugins/lockstep/coordinator.js'
import type { AddressedOrder, GroupMap, RankReading } from '../../src/plugins/lockstep/rank.js'
import { Random } from '../../src/kernel/random.js'
import { FakeGroup } from './group.js'

const MAP: GroupMap = [[[0], [1], [2]]]

/** Runs one keeper against a group without faults and notes what it does. */
function runCalm (rounds: number): readonly string[] {
  const group = FakeGroup.create(3)
  const keeper = MapCoordinator.create(7)
  const notes: string[] = []
  for (let round = 0; round < rounds; round += 1) {
    const nowMs = round * 10
    if (keeper.map === undefined) keeper.noteMap(MAP, group.ranks[0]!.map)
    if (round === 1) keeper.propose(MAP, nowMs)
    const { orders, ended } = keeper.decide(group.readAll(nowMs), nowMs)
    for (const order of orders) group.take(order)
    if (orders.length > 0) notes.push(`${keeper.phase.kind}: ${orders.map(({ rank, order }) => `${order.kind}@${rank}`).join(' ')}`)
    if (ended !== undefined) notes.push(`${ended} on maps ${group.ranks.map(rank => rank.map).join(' ')}`)
    if (round % 2 === 0) group.beginPass()
  }
  return notes
}

// Guards against a change that skips a phase or never ends.
test('a change prepares, holds, arms and releases', t => {
  t.snapshot(runCalm(20))
})

/** Rounds at the end of a walk, after its faults, in which the group must go on. */
const TAIL_ROUNDS = 120

interface Late {
  readonly order: AddressedOrder
  readonly dueRound: number
}

/** What a walk does wrong on purpose. */
interface WalkOptions {
  readonly seed: number
  readonly keepers: number
  readonly rounds: number
}

/** Two keepers work on one group whose orders get lost, come late, and whose ranks are read at different moments. */
function runWalk ({ seed, keepers, rounds }: WalkOptions): { readonly group: FakeGroup, readonly committed: number, readonly stepsAtEnd: number } {
  const random = Random.create(seed)
  const group = FakeGroup.create(3)
  const nodes = Array.from({ length: keepers }, () => ({ keeper: MapCoordinator.create(random.pickInt(1_000)), states: group.readAll(0), isAwake: true }))
  let late: Late[] = []
  let committed = 0
  let stepsAtEnd = 0
  for (let round = 0; round < rounds; round += 1) {
    const isFaulty = round < rounds - 400
    for (const due of late.filter(({ dueRound }) => dueRound <= round)) group.take(due.order)
    late = late.filter(({ dueRound }) => dueRound > round)
    if (random.pickInt(3) === 0 && group.beginPass() && round >= rounds - TAIL_ROUNDS) stepsAtEnd += 1
    if (isFaulty && random.pickInt(400) === 0) group.restart()
    nodes.forEach((node, index) => {
      if (isFaulty && random.pickInt(60) === 0) node.isAwake = !node.isAwake
      if (isFaulty && random.pickInt(300) === 0) node.keeper = MapCoordinator.create(random.pickInt(1_000))
      // After the faults only one keeper is left, as after a partition.
      if (!isFaulty) node.isAwake = index === 0
      if (!node.isAwake) return
      const rank = random.pickInt(3)
      // A reply brings the state of one rank at a time, so that a decision mixes moments.
      if (isFaulty && random.pickInt(2) === 0) node.states[rank] = group.read(rank, round * 10)
      else node.states = group.readAll(round * 10)
      if (new Set(node.states.map(state => state.epoch)).size > 1) return
      if (node.keeper.map === undefined) node.keeper.noteMap(MAP, node.states[0]!.map)
      if (random.pickInt(8) === 0) node.keeper.propose(MAP, round * 10)
      const { orders, ended } = node.keeper.decide(node.states, round * 10)
      if (ended === 'committed') committed += 1
      for (const order of orders) late = deliver(order, group, late, isFaulty ? random : undefined, round, node)
    })
  }
  return { group, committed, stepsAtEnd }
}

function deliver (order: AddressedOrder, group: FakeGroup, late: Late[], random: Random | undefined, round: number, node: { readonly keeper: MapCoordinator, readonly states: RankReading[] }): Late[] {
  const fate = random?.pickInt(10) ?? 9
  if (fate <= 3) node.keeper.noteUnanswered(order)
  if (fate === 0) return late
  if (fate <= 3) return [...late, { order, dueRound: round + 1 + (random?.pickInt(120) ?? 0) }]
  if (!group.take(order) && order.order.kind === 'prepare') node.keeper.noteRefusedVersion(order.order.version)
  node.states[order.rank] = group.read(order.rank, round * 10)
  return late
}

// Guards against passes that begin with two maps when orders get lost or come late and keepers come, go and compete.
test('no pass begins with two maps, and no hold is left behind', t => {
  let committed = 0
  for (let seed = 1; seed <= 400; seed += 1) {
    const result = runWalk({ seed, keepers: 1 + seed % 2, rounds: 1_600 })
    t.deepEqual(result.group.mixed, [], `seed ${seed}`)
    t.true(result.stepsAtEnd > TAIL_ROUNDS / 6, `seed ${seed}: ${result.stepsAtEnd} steps`)
    committed += result.committed
  }
  t.true(committed > 400, `${committed} changes`)
})

/** Time in ms of one pass of a loaded group. */
const PASS_MS = 50

/** Time in ms for which a host stays silent. */
const SILENT_MS = 3_000

/** Time in ms without an event after which callers leave a stream. */
const CALLER_PATIENCE_MS = 2_000

/**
 * Half of the orders get no answer and are carried out late, and the host of the
 * rank that holds a step falls silent as soon as it holds.
 *
 * @returns longest time in ms between two passes, and how often a change came into use
 */
function runSilentHolder (seed: number): { readonly longestMs: number, readonly committed: number } {
  const random = Random.create(seed)
  const group = FakeGroup.create(4)
  const keeper = MapCoordinator.create(seed)
  let late: { readonly order: AddressedOrder, readonly dueMs: number }[] = []
  let states = group.readAll(0)
  let silentUntilMs: number | undefined
  let passedAtMs = 0
  let longestMs = 0
  let committed = 0
  for (let nowMs = 0; nowMs < 12_000; nowMs += 10) {
    for (const due of late.filter(({ dueMs }) => dueMs <= nowMs)) group.take(due.order)
    late = late.filter(({ dueMs }) => dueMs > nowMs)
    if (nowMs % PASS_MS === 0 && group.beginPass()) {
      longestMs = Math.max(longestMs, nowMs - passedAtMs)
      passedAtMs = nowMs
    }
    const holder = group.ranks.findIndex(rank => rank.held !== undefined)
    if (holder >= 0) silentUntilMs ??= nowMs + SILENT_MS
    // A keeper decides only on readings of all ranks.
    if (silentUntilMs !== undefined && nowMs < silentUntilMs) continue
    states = group.readAll(nowMs)
    if (keeper.map === undefined) keeper.noteMap(MAP, states[0]!.map)
    if (nowMs === 1_000) keeper.propose(MAP, nowMs)
    const { orders, ended } = keeper.decide(states, nowMs)
    if (ended === 'committed') committed += 1
    for (const order of orders) {
      if (random.pickInt(2) === 0) {
        group.take(order)
        continue
      }
      keeper.noteUnanswered(order)
      late.push({ order, dueMs: nowMs + 2_000 + random.pickInt(10_000) })
    }
  }
  return { longestMs, committed }
}

// Guards against streams that stand still until their callers leave, because the host of the rank that holds a step cannot be reached.
test('a silent host of a held step costs no caller its stream while orders get lost', t => {
  for (let seed = 1; seed <= 50; seed += 1) {
    const { longestMs, committed } = runSilentHolder(seed)
    t.true(longestMs < CALLER_PATIENCE_MS, `seed ${seed}: ${longestMs} ms`)
    t.is(committed, 1, `seed ${seed}`)
  }
})
