import test from 'ava'
import fc from 'fast-check'
import { applyDelta, computeDelta } from '../../src/plugins/configuration/delta.js'
import { decodeMessage, encodeMessage } from '../../src/protocol/codec.js'
import type { Message } from '../../src/protocol/messages.js'
import { Network } from './network.js'
import { PROFILE, Session, buildConfiguration, buildProcess } from './session.js'
import { buildConfigurationRead } from './configuration-read.js'

const peer = buildProcess('e2', 'entry', 'b')
const getVersion = (session: Session): number => session.kernel.getPort('configuration').getCurrent().version

// Guards against replacing a version by an older one that arrives late, or by another configuration with the same number.
test('older versions and a second configuration with the same version are ignored', t => {
  const session = Session.create()
  const winner = buildConfiguration(3, { profiles: [{ ...PROFILE, attemptsMax: 9 }] })
  const versions: number[] = []
  for (const read of [buildConfigurationRead(buildConfiguration(2)), buildConfigurationRead(winner), buildConfigurationRead(buildConfiguration(3)), buildConfigurationRead(buildConfiguration(1)), buildConfigurationRead(buildConfiguration(2))]) {
    session.dispatch(read)
    versions.push(getVersion(session))
  }
  t.deepEqual(versions, [2, 3, 3, 3, 3])
  t.is(session.kernel.getPort('configuration').findProfile('plain')?.attemptsMax, 9)
})

// Guards against a process that starts during a platform outage staying without configuration, and against pulling parts again that it already has.
test('a process that starts during a platform outage pulls the configuration from a peer', t => {
  const session = Session.create()
  const older = buildConfigurationRead(buildConfiguration(3))
  const newer = buildConfigurationRead(buildConfiguration(5, { profiles: [{ ...PROFILE, attemptsMax: 9 }] }))
  session.dispatch({ kind: 'peer-connected', peer })
  session.receive(peer, { kind: 'heartbeat', incarnation: 1, configVersion: 3 })
  session.receive(peer, { kind: 'heartbeat', incarnation: 1, configVersion: 3 })
  session.receive(peer, { kind: 'config-parts', version: 3, root: older.root, parts: older.parts })
  session.receive(peer, { kind: 'heartbeat', incarnation: 1, configVersion: 5 })
  session.receive(peer, { kind: 'config-parts', version: 5, root: newer.root, parts: newer.parts.filter(part => !older.parts.some(held => held[0] === part[0])) })
  session.receive(peer, { kind: 'config-parts', version: 3, root: older.root, parts: older.parts })
  session.receive(peer, { kind: 'config-pull', have: 3, hashes: older.parts.map(([hash]) => hash) })
  t.is(getVersion(session), 5)
  t.snapshot(session.takeEffects())
})

// Guards against accepting parts that do not match their hash, and against an incomplete configuration in force.
test('wrong or missing parts are rejected', t => {
  const session = Session.create()
  const read = buildConfigurationRead(buildConfiguration(4))
  session.dispatch({ ...read, parts: read.parts.map(([hash, json]) => [hash, `${json} `]) })
  session.dispatch({ ...read, parts: read.parts.slice(1) })
  session.dispatch({ ...read, root: '{' })
  t.is(getVersion(session), 0)
  session.dispatch(read)
  t.is(getVersion(session), 4)
})

// Guards against sending all teams to each process when one team changes, and against a delta that yields a different text.
test('a change of one team is sent as a delta', t => {
  const team = (index: number, weight = 1) => ({ name: `team-${index}`, weight, services: ['book', 'chat'], keys: [{ salt: 's'.repeat(32), hash: 'h'.repeat(64) }] })
  const teams = Array.from({ length: 200 }, (_, index) => team(index))
  const server = Session.create()
  const client = Session.create(peer)
  const buildTeamsRead = (version: number, weight: number) => buildConfigurationRead(buildConfiguration(version, { teams: teams.map((known, index) => index === 100 ? team(100, weight) : known) }))
  server.dispatch(buildTeamsRead(1, 1))
  client.dispatch(buildTeamsRead(1, 1))
  server.dispatch(buildTeamsRead(2, 7))
  const exchange = (from: Session, to: Session, message: Message): Message => {
    const [effect] = to.receive(from.self, message)
    if (effect?.kind !== 'send') throw new Error('the session did not send a message')
    return effect.message
  }
  const pull = exchange(server, client, { kind: 'heartbeat', incarnation: 1, configVersion: 2 })
  const parts = exchange(client, server, pull)
  client.receive(server.self, parts)
  t.is(getVersion(client), 2)
  t.is(client.kernel.getPort('configuration').findTeam('team-100')?.weight, 7)
  const bytes = encodeMessage(pull).length + encodeMessage(parts).length
  t.log(`pull and parts ${bytes} B, whole part ${JSON.stringify(teams).length} B`)
  t.true(bytes < 1_500)
})

// Guards against deltas that yield a different text after encoding, for example when a surrogate pair is split.
test('deltas survive encoding', t => {
  const text = fc.array(fc.constantFrom('a', 'b', '😀', '😁', '🙀', 'é', '"'), { maxLength: 12 }).map(units => units.join(''))
  fc.assert(fc.property(text, text, (older, newer) => {
    const sent = encodeMessage({ kind: 'config-parts', version: 1, root: '', parts: [], deltas: [computeDelta('x', older, 'y', newer)] })
    const message = decodeMessage(sent).unsafeCoerce()
    return message.kind === 'config-parts' && applyDelta(older, message.deltas![0]!) === newer
  }), { numRuns: 2_000, seed: 13 })
  t.pass()
})

// Guards against a version that decreases on any process when messages are delayed, duplicated or reordered.
test('versions never decrease and all processes reach the newest', t => {
  const steps = fc.array(fc.record({ node: fc.integer({ min: 0, max: 5 }), version: fc.integer({ min: 1, max: 9 }), waitMs: fc.integer({ min: 0, max: 1_500 }) }), { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(steps, fc.integer({ min: 0, max: 9_999 }), (changes, seed) => {
    const network = Network.create({ seed, stepMs: 100, delaySteps: 25, repeatShare: 0.3 })
    const entries = Array.from({ length: 6 }, (_, index) => buildProcess(`e${index}`, 'entry', 'a'))
    for (const entry of entries) network.add(entry, entries.filter(other => other !== entry))
    const seen = new Map<string, number>()
    const check = (): void => {
      for (const [id, { kernel }] of network.nodes) {
        const { version } = kernel.getPort('configuration').getCurrent()
        if (version < (seen.get(id) ?? 0)) throw new Error(`the version of ${id} decreased to ${version}`)
        seen.set(id, version)
      }
    }
    for (const { node, version, waitMs } of changes) {
      network.dispatch(`e${node}`, buildConfigurationRead(buildConfiguration(version)))
      for (let passed = 0; passed < waitMs; passed += 100) {
        network.advanceTime(100)
        check()
      }
    }
    network.advanceTime(15_000)
    check()
    const newest = Math.max(...changes.map(({ version }) => version))
    if ([...seen.values()].some(version => version !== newest)) throw new Error(`not all processes reached version ${newest}: ${[...seen.values()].join()}`)
  }), { numRuns: 30, seed: 11 })
  t.pass()
})

// Guards against a plug-in order that depends on module loading: membership must handle a lost peer before the requests plug-in looks it up.
test('plug-ins run in the order of their imports', t => {
  const own = ['configuration', 'membership', 'routing', 'requests']
  t.deepEqual(Session.create().kernel.listPluginNames().filter(name => own.includes(name)), own)
})
