import fc from 'fast-check'
import test from 'ava'
import { hashName } from '../../src/kernel/hash.js'
import { encodeCounts } from '../../src/plugins/gateway/count-table.js'
import { PeersPlugin } from '../../src/plugins/gateway/peers.js'
import { PROPERTY } from './property.js'
import { buildView } from './views.js'

const GATEWAYS = ['g1', 'g2', 'g3']

/** Endpoints of two services and one that is listed nowhere; the first two have the same hash. */
const ENDPOINTS = ['costarring', 'liquid', 'e1', 'e2', 'e3', 'e4', 'elsewhere']

const gateway = fc.constantFrom(...GATEWAYS)
const inFlight = fc.dictionary(fc.constantFrom(...ENDPOINTS), fc.nat(300), { maxKeys: 7 })
const step = fc.oneof(
  fc.record({ kind: fc.constant('heartbeat' as const), id: gateway, inFlight }),
  fc.record({ kind: fc.constant('counts' as const), id: gateway, inFlight }),
  fc.record({ kind: fc.constant('member' as const), id: gateway, bornMs: fc.nat(2) }),
  fc.record({ kind: fc.constant('removal' as const), id: gateway }),
  fc.record({ kind: fc.constant('pause' as const), elapsedMs: fc.nat(2_000) }),
  fc.record({ kind: fc.constant('list' as const), service: fc.constantFrom('s1', 's2'), endpoints: fc.subarray(ENDPOINTS.slice(0, -1)) })
)

test('the total of a service is the sum over its endpoints, whatever is reported', t => {
  t.is(hashName('costarring'), hashName('liquid'))
  let compared = 0
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
    const peers = PeersPlugin.create('g0')
    const lists = new Map([['s1', ENDPOINTS.slice(0, 4).map(id => buildView(id))], ['s2', ENDPOINTS.slice(2, 6).map(id => buildView(id))]])
    let nowMs = 0
    for (const [at, next] of steps.entries()) {
      switch (next.kind) {
        case 'heartbeat': peers.noteHeartbeat({ id: next.id, bornMs: 1, callerAddress: '', domain: 'a', isReady: true, inFlight: next.inFlight }, nowMs); break
        case 'counts': peers.noteCounts(next.id, encodeCounts(next.inFlight), nowMs); break
        case 'member': peers.noteMember({ id: next.id, bornMs: next.bornMs, callerAddress: '', domain: 'a', host: '', port: 1 }, true, nowMs); break
        case 'removal': peers.removeMember(next.id, nowMs); break
        case 'pause': nowMs += next.elapsedMs; peers.expire(nowMs); break
        case 'list': lists.set(next.service, next.endpoints.map(id => buildView(id))); break
      }
      for (const [service, endpoints] of lists) {
        const sum = endpoints.reduce((total, { record: { id } }) => total + peers.countInFlight(id), 0)
        if (peers.countInFlightOf(service, endpoints) !== sum) throw new Error(`${service} at step ${at}`)
        if (sum > 0) compared += 1
      }
    }
  }), PROPERTY)
  t.true(compared > 0)
})
