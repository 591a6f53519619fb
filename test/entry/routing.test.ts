import test from 'ava'
import fc from 'fast-check'
import type { EndpointSpec } from '../../src/kernel/configuration.js'
import { Random } from '../../src/kernel/random.js'
import { chooseSubset, SUBSET_MAX } from '../../src/plugins/membership/subset.js'
import { chooseCandidate } from '../../src/plugins/routing/choice.js'
import type { Candidate, ChoiceInput } from '../../src/plugins/routing/choice.js'
import { Ejector } from '../../src/plugins/routing/ejection.js'
import { computeLoad, computeSlowStartShare } from '../../src/plugins/routing/load.js'
import { DOMAINS, PROFILE, Session, buildConfiguration, buildProcess, buildRequest, buildState } from './session.js'

const spec = (index: number, domain: string): EndpointSpec => ({
  id: `s-${index}`, host: `h${index}`, domain, service: 's', peerAddress: `127.0.0.1:${index}`, checksFencing: true, warmCap: 8, coldCap: 1
})

const candidate = (id: string, inFlight: number, domain = 'a'): Candidate => ({ id, domain, load: (inFlight + 1) / 8, requestLoad: 1 / 8 })

const choose = (candidates: readonly Candidate[], changes: Partial<ChoiceInput> = {}, seed = 1): string | undefined =>
  chooseCandidate({ candidates, domain: 'a', fingerprint: 'f', suspect: false, ...changes }, Random.create(seed))?.endpoint

// Guards against an entry that opens too many connections, or has none left when one domain fails.
test('subset is bounded and spans domains', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 1, max: 60 }), fc.constantFrom(...DOMAINS), (count, services, domain) => {
    const endpoints = Array.from({ length: count }, (_, index) => spec(index, DOMAINS[index % 3]!))
    const subset = chooseSubset({ id: 'e1', domain }, endpoints, services)
    const spans = new Set(subset.map(endpoint => endpoint.domain)).size
    return subset.length <= SUBSET_MAX && new Set(subset).size === subset.length && spans >= Math.min(2, count) && subset.length >= Math.min(count, 4)
  }), { numRuns: 200, seed: 14 })
  t.pass()
})

// Guards against ejecting so many endpoints that the remaining ones are overloaded.
test('at most a third of the endpoints is ejected', t => {
  const event = fc.record({ id: fc.integer({ min: 0, max: 8 }), fails: fc.boolean(), elapsedMs: fc.integer({ min: 1, max: 9_000 }) })
  fc.assert(fc.property(fc.integer({ min: 1, max: 9 }), fc.array(event, { maxLength: 200 }), (count, events) => {
    const ejector = Ejector.create()
    const known = Array.from({ length: count }, (_, index) => ({ id: `s${index}`, stepMs: index === 0 ? 900 : 20 }))
    return events.every(({ id, fails, elapsedMs }, index) => {
      if (fails) ejector.noteFailure(`s${id}`)
      else ejector.noteSuccess(`s${id}`, elapsedMs)
      ejector.ejectOutliers(known, index * 500)
      return known.filter(endpoint => ejector.isEjected(endpoint.id, index * 500)).length <= count / 3
    })
  }), { numRuns: 200, seed: 15 })
  const ejector = Ejector.create()
  t.deepEqual(ejector.ejectOutliers([20, 21, 22, 90].map((stepMs, index) => ({ id: `s${index}`, stepMs })), 0), [{ id: 's3', reason: 'step-time' }])
  t.false(ejector.isEjected('s3', 10_000))
})

// Guards against sending work to other domains too early or too late, and against prefix affinity that overloads an endpoint.
test('the local domain is preferred and prefix affinity is bounded by load', t => {
  const idle = DOMAINS.flatMap(domain => [0, 1, 2].map(index => candidate(`${domain}${index}`, 0, domain)))
  t.is(choose(idle)?.[0], 'a')
  const busy = idle.map(known => known.domain === 'a' ? candidate(known.id, 8, 'a') : known)
  t.true(Array.from({ length: 20 }, (_, seed) => choose(busy, {}, seed)).some(id => id?.[0] !== 'a'))
  const preferred = choose(idle, { prefixHash: 'p' })!
  t.is(choose(idle, { prefixHash: 'p' }, 2), preferred)
  const loaded = idle.map(known => known.id === preferred ? candidate(known.id, 3) : known)
  t.not(choose(loaded, { prefixHash: 'p' }), preferred)
  t.is(choose(loaded, { suspect: true }, 1), choose([...loaded].reverse(), { suspect: true }, 2))
})

// Guards against sending a returning endpoint its full share at once, and against old load reports that do not lose weight.
test('slow start and decay of load reports', t => {
  t.deepEqual([0, 5_000, 20_000].map(nowMs => computeSlowStartShare({ slowStartAtMs: 0 }, nowMs)), [0.1, 0.25, 1])
  const counters = { inFlight: 2, inFlightAtReport: 1, reportedAtMs: 0, slowStartAtMs: -Infinity }
  const state = buildState('s', { running: 5 })
  t.is(computeLoad(state, counters, 0).load, 7 / 8)
  t.true(computeLoad(state, counters, 4_000).load < 4 / 8)
})

// Guards against key tokens whose homes are in the same failure domain, and against homes that are leaving.
test('homes are in different domains and accept new work', t => {
  const session = Session.createReady('book')
  const context = { nowMs: session.nowMs, random: Random.create(3), self: session.self, emit: () => {}, raise: () => {}, getPort: session.kernel.getPort.bind(session.kernel), findPort: () => undefined }
  const list = () => session.kernel.getPort('routing').chooseHomes('book', context).map(({ domain }) => domain)
  t.is(list()[0], 'a')
  t.is(new Set(list()).size, 2)
  session.dispatch({ kind: 'configuration-offered', configuration: buildConfiguration(2, { profiles: [{ ...PROFILE, domains: ['c'] }] }), source: 'test' })
  t.deepEqual(list(), ['c'])
  session.dispatch({ kind: 'configuration-offered', configuration: buildConfiguration(3), source: 'test' })
  session.receive('book-a', { kind: 'heartbeat', incarnation: 1, configVersion: 1, endpoint: buildState('book', { leaving: true }) })
  t.deepEqual([...list()].sort(), ['b', 'c'])
  session.dispatch({ kind: 'hosts-listed', live: [], leaving: ['host-book-b'] })
  t.deepEqual(list(), ['c'])
  session.receive('book-c', { kind: 'heartbeat', incarnation: 1, configVersion: 1, endpoint: buildState('book', { healthy: false }) })
  session.dispatch(buildRequest('r1'))
  t.true(session.takeEffects().some(line => line.startsWith('reply-error r1 no-endpoint not-run false')))
  t.is(session.kernel.getPort('routing').chooseEndpoint({ service: 'book', profile: { ...PROFILE, domains: ['a'] }, fingerprint: 'f', exclude: new Set() }, context), undefined)
})

// Guards against an endpoint process that does not report its state or its leave to entries.
test('an endpoint process reports its state in heartbeats', t => {
  const session = Session.create(buildProcess('book-a', 'endpoint'), 'book')
  const read = () => session.dispatch({ kind: 'peer-connected', peer: buildProcess('e1', 'entry') })
    .flatMap(effect => effect.kind === 'send' && effect.message.kind === 'heartbeat' ? [effect.message.endpoint] : [])[0]
  const { kernel } = session
  t.deepEqual(read(), { service: 'book', window: kernel.getPort('outcomes').getWindow(), ...kernel.getPort('admission').describeState(), leaving: false })
  session.dispatch({ kind: 'leave-requested', deadlineMs: 60_000 })
  t.true(read()?.leaving)
})
