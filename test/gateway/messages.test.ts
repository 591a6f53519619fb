import test from 'ava'
import { deflateRawSync } from 'node:zlib'
import { createSocket } from 'node:dgram'
import { setTimeout as wait } from 'node:timers/promises'
import fc from 'fast-check'
import { pack } from 'msgpackr'
import { decodeRankState } from '../../platform/engine.js'
import { GatewayLink } from '../../src/gateway/link.js'
import { decodeMessage } from '../../src/gateway/link-messages.js'
import type { Heartbeat } from '../../src/gateway/link-messages.js'
import { decodeReply, decodeRequest, encodeEnvelope, isDeflated } from '../../src/gateway/rank-messages.js'
import { hashName } from '../../src/kernel/hash.js'
import { decodeCounts, encodeCounts } from '../../src/plugins/gateway/count-table.js'
import { RecentPopularity } from '../../src/plugins/lockstep/popularity.js'
import { PROPERTY } from './property.js'
import { findUdpPort } from './ports.js'

const STATE = { id: 'g2', bornMs: 1, callerAddress: '127.0.0.1:1', domain: 'a', isReady: true, inFlight: { e1: 2 } }
const HEARTBEAT = { version: 1, state: STATE, address: { host: '127.0.0.1', port: 9 }, strikes: [{ fingerprint: 'f', count: 1 }] }
const RANK = { group: 'g', epoch: 1, rank: 0, size: 2, isOpen: true, bornMs: 1, pace: 1, step: 3, map: 0, prepared: undefined, armed: undefined, held: undefined }

const ODD_HEARTBEATS: Readonly<Record<string, unknown>> = {
  'port above the range': { ...HEARTBEAT, address: { host: '127.0.0.1', port: 80_800 } },
  'host that is no number': { ...HEARTBEAT, address: { host: 'elsewhere', port: 9 } },
  'no address': { ...HEARTBEAT, address: 'nowhere' },
  'address for callers that is none': { ...HEARTBEAT, state: { ...STATE, callerAddress: '127.0.0.1:80800' } },
  'load that is no number': { ...HEARTBEAT, state: { ...STATE, inFlight: { e1: 'many' } } },
  'no load': { ...HEARTBEAT, state: { ...STATE, inFlight: undefined } },
  'silent endpoints that are none': { ...HEARTBEAT, state: { ...STATE, silent: 5 } },
  'strikes that are none': { ...HEARTBEAT, strikes: 'many' },
  'limit without end': { ...HEARTBEAT, state: { ...STATE, limits: { e1: { perS: Infinity, ageMs: 1 } } } },
  'start that is no number': { ...HEARTBEAT, state: { ...STATE, bornMs: NaN } }
}

// Guards against review/5 on a related path: the address in a datagram of another gateway is dialled as well.
test('a heartbeat with values that cannot be used ends no gateway and is not passed on', async t => {
  const received: Heartbeat[] = []
  const errors: string[] = []
  const port = await findUdpPort()
  const link = GatewayLink.create({ host: '127.0.0.1', port }, { handleHeartbeat: heartbeat => { received.push(heartbeat) }, lendShare: () => false, handleEvidence: () => {}, listEvidence: () => [], handleLimits: () => {}, listLimits: () => ({}), handleNews: () => {}, handleError: reason => { errors.push(reason) } })
  await link.start()
  const sender = createSocket('udp4')
  for (const message of Object.values(ODD_HEARTBEATS)) sender.send(pack(message), port, '127.0.0.1')
  sender.send(pack(HEARTBEAT), port, '127.0.0.1')
  await wait(100)
  link.send({ ...STATE, id: 'g1' }, [])
  await wait(50)
  link.stop()
  sender.close()
  t.deepEqual(received.map(({ state }) => state.id), ['g2'])
  t.deepEqual(errors, Object.keys(ODD_HEARTBEATS).map(() => 'unusable message of 127.0.0.1'))
})

const PING = { version: 1, kind: 'ping', sender: ['g2', 5, 1], sequence: 1, digest: 7, counts: encodeCounts({ e1: 2 }), updates: [['g3', 5, 4]] }
const ENTRY = { id: 'g3', bornMs: 1, callerAddress: '127.0.0.1:1', domain: 'a', host: '127.0.0.1', port: 9, incarnation: 1, code: 1 }
const MEMBERS = { version: 1, kind: 'members', sender: ['g2', 5, 1], entries: [ENTRY] }

const ODD_MEMBER_MESSAGES: Readonly<Record<string, unknown>> = {
  'sender without a name': { ...PING, sender: ['', 5, 1] },
  'state that does not exist': { ...PING, updates: [['g3', 5, 6]] },
  'incarnation that is no whole number': { ...PING, updates: [['g3', 1.5, 0]] },
  'update with too few values': { ...PING, updates: [['g3', 5]] },
  'too many updates': { ...PING, updates: Array.from({ length: 200 }, () => ['g3', 5, 0]) },
  'table of counts that is cut off': { ...PING, counts: Buffer.alloc(7) },
  'table of counts that is too long': { ...PING, counts: Buffer.alloc(500) },
  'counts that are none': { ...PING, counts: [1, 2] },
  'no sequence number': { ...PING, sequence: undefined },
  'ping of nobody': { ...PING, kind: 'ping-request', target: '' },
  'gateway at no address': { ...MEMBERS, entries: [{ ...ENTRY, host: 'elsewhere' }] },
  'gateway without an address for callers': { ...MEMBERS, entries: [{ ...ENTRY, callerAddress: '127.0.0.1:80800' }] },
  'too many gateways': { ...MEMBERS, entries: Array.from({ length: 100 }, () => ENTRY) },
  'heartbeat with an incarnation that is none': { ...HEARTBEAT, incarnation: 'first' }
}

// Guards against gateways that are dropped, or dialled at addresses that are none, because of a damaged datagram.
test('pings and tables with values that cannot be used are not passed on', t => {
  for (const message of [PING, { ...PING, kind: 'ack' }, { ...PING, kind: 'ping-request', target: 'g3' }, { ...MEMBERS, kind: 'members-request' }, MEMBERS, { ...HEARTBEAT, incarnation: 5 }]) {
    t.deepEqual(decodeMessage(pack(message)).extract(), message)
  }
  for (const [name, message] of Object.entries(ODD_MEMBER_MESSAGES)) t.is(decodeMessage(pack(message)).extract(), 'unusable', name)
  t.deepEqual(decodeCounts(encodeCounts({ e1: 2, e2: 0, e3: 1_000 })), [[hashName('e3'), 255], [hashName('e1'), 2]])
})

// Guards against readings of a rank that end the gateway which changes the maps.
test('a reply of an agent with values that cannot be used is none', t => {
  const usable = { state: RANK, counts: [1, 2], countsId: 5 }
  t.deepEqual(decodeReply(encodeEnvelope(7, usable)).extract(), { id: 7, content: usable })
  t.deepEqual(decodeReply(encodeEnvelope(7, { kind: 'granted', delayMs: 5 })).extract(), { id: 7, content: { kind: 'granted', delayMs: 5 } })
  for (const odd of [{ ...usable, counts: [1.5] }, { ...usable, counts: [-1] }, { ...usable, counts: 'many' }, { state: { ...RANK, pace: NaN } }, { state: { ...RANK, size: 0 } }, { state: { ...RANK, armed: { version: 1 } } }, { state: RANK, experts: [5] }, { kind: 'granted', delayMs: 1e300 }, { kind: 'denied' }, 5, null]) {
    t.is(decodeReply(encodeEnvelope(7, odd)).extract(), 'unusable', JSON.stringify(odd))
  }
  t.is(decodeRankState({ group: { name: 'g', epoch: 1, rank: 1.5, state: 'open' }, size: 2, step: 1, map: 0 }), undefined)
})

// Guards against a popularity that is NaN for good after one reading with a count too few.
test('counters with one count too few are as a missing reading', t => {
  const popularity = RecentPopularity.create(1, 2)
  const read = (counts: readonly number[], atMs: number): void => { popularity.noteCounts([{ rank: 0, incarnation: 'i', counts }], atMs) }
  read([10, 10], 0)
  read([12], 1)
  read([20, 30], 2)
  t.true(popularity.getTotal() > 29 && popularity.getTotal() <= 30, String(popularity.getTotal()))
})

// Guards against datagrams that take all memory once they are inflated.
test('messages are deflated for receivers that take it, and inflated up to a bound', t => {
  const reply = { state: undefined, counts: Array.from({ length: 2_000 }, (_value, at) => at % 3), countsId: 4, countsSince: 3 }
  const bytes = encodeEnvelope(7, reply, true)
  t.true(bytes.length < encodeEnvelope(7, reply).length / 2)
  t.deepEqual(decodeReply(bytes).extract(), { id: 7, content: reply })
  t.false(isDeflated(encodeEnvelope(7, { kind: 'granted', delayMs: 5 }, true)))
  const huge = Buffer.concat([Buffer.of(0xc1), deflateRawSync(Buffer.alloc(50 * 1024 * 1024))])
  t.is(decodeReply(huge).extract(), 'foreign')
})

test('no bytes of a datagram end a process', t => {
  const values = fc.anything({ maxDepth: 4, withNullPrototype: true })
  const messages = fc.oneof(
    fc.uint8Array().map(bytes => Buffer.from(bytes)),
    fc.uint8Array().map(bytes => Buffer.from([0xc1, ...bytes])),
    fc.uint8Array().map(bytes => Buffer.concat([Buffer.of(0xc1), deflateRawSync(bytes)])),
    values.map(content => encodeAny({ version: 1, id: 1, content })),
    fc.record({ version: fc.constant(1), kind: fc.constantFrom('limits', 'evidence', 'evidence-request', 'share-request', 'share-reply', 'watch-news', 'ping', 'ack', 'ping-request', 'members-request', 'members', undefined), state: values, news: values, address: values, limits: values, evidence: values, sender: fc.oneof(fc.constant(['g2', 1, 1]), values), updates: values, entries: values, counts: values, sequence: values, digest: values, target: values }).map(encodeAny),
    fc.tuple(fc.nat(), fc.nat(255)).map(([at, byte]) => {
      const bytes = Buffer.from(pack(HEARTBEAT))
      bytes[at % bytes.length] = byte
      return bytes
    })
  )
  fc.assert(fc.property(messages, bytes => {
    for (const decode of [decodeMessage, decodeRequest, decodeReply]) decode(bytes).extract()
  }), PROPERTY)
  t.pass()
})

function encodeAny (value: unknown): Buffer {
  try {
    return pack(value)
  } catch {
    // Values such as symbols have no encoding, so that no datagram holds them.
    return Buffer.alloc(0)
  }
}
