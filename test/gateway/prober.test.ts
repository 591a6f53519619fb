import test from 'ava'
import { encodeCounts } from '../../src/plugins/gateway/count-table.js'
import { GatewayMembers, encodeState } from '../../src/plugins/gateway/members.js'
import type { MemberUpdate } from '../../src/plugins/gateway/members.js'
import { GatewayProber } from '../../src/plugins/gateway/prober.js'
import type { MemberMessage } from '../../src/plugins/gateway/prober.js'

const ALIVE = encodeState('alive', true)
const REQUESTER: MemberUpdate = ['g1', 1, ALIVE]
const TARGET: MemberUpdate = ['g2', 1, ALIVE]

interface Relaying {
  readonly prober: GatewayProber
  /** Sequence numbers of the pings that were sent for others, and of the acknowledgements that were passed on. */
  readonly pings: number[]
  readonly passedOn: number[]
  request (sequence: number, nowMs: number): void
  acknowledge (sequence: number, nowMs: number): void
}

/** A prober of the full exchange, whose `tick` is never called. */
function createRelaying (): Relaying {
  const members = GatewayMembers.create({ id: 'g0', bornMs: 1, callerAddress: '', domain: 'a', host: '', port: 1 }, { handleChange () {}, handleRefuted () {} })
  for (const [id, incarnation, code] of [REQUESTER, TARGET]) members.applyEntry({ id, bornMs: 1, callerAddress: '', domain: 'a', host: id, port: 1, incarnation, code }, true, 0)
  const pings: number[] = []
  const passedOn: number[] = []
  const post = (_target: string, message: MemberMessage): void => {
    if (message.kind === 'ping') pings.push(message.sequence)
    if (message.kind === 'ack') passedOn.push(message.sequence)
  }
  const prober = GatewayProber.create(members, { post, announce () {}, greet () {}, listTargets: () => ['g1', 'g2'], countTargets: () => 2, encodeCounts: () => encodeCounts({}), handleCounts () {}, pickFloat: () => 0 })
  return {
    prober,
    pings,
    passedOn,
    request (sequence, nowMs) { prober.handleMessage({ kind: 'ping-request', sender: REQUESTER, sequence, target: 'g2', updates: [] }, () => {}, nowMs) },
    acknowledge (sequence, nowMs) { prober.handleMessage({ kind: 'ack', sender: TARGET, sequence, digest: 0, counts: encodeCounts({}), updates: [] }, () => {}, nowMs) }
  }
}

// Guards against a table that grows for ever at a gateway of the full exchange, as it never ticks.
test('pings for others are forgotten without ticks', t => {
  const relaying = createRelaying()
  for (let count = 0; count < 100; count += 1) relaying.request(count, count * 500)
  t.is(relaying.pings.length, 100)
  t.is(relaying.prober.countRelays(), 4)
  relaying.acknowledge(relaying.pings.at(-1)!, 99 * 500 + 2_001)
  t.deepEqual(relaying.passedOn, [])
})

test('of many pings for others at once the latest ones are kept', t => {
  const relaying = createRelaying()
  for (let count = 1; count <= 1_500; count += 1) relaying.request(count, 0)
  t.is(relaying.prober.countRelays(), 1_000)
  for (const at of [0, 499, 500, 1_499]) relaying.acknowledge(relaying.pings[at]!, 100)
  t.deepEqual(relaying.passedOn, [501, 1_500])
  t.is(relaying.prober.countRelays(), 998)
})
