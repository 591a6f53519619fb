import test from 'ava'
import fc from 'fast-check'
import { AuditTrail } from '../../src/cli/audit.js'
import type { AuditEntry } from '../../src/cli/audit.js'
import { RetryingStore } from '../../src/cli/store.js'
import type { ConfigurationRoot } from '../../src/kernel/configuration.js'
import { CONFIGURATION } from '../settings/valid-texts.js'
import { FakeStore, Session } from './fake.js'

const AUTHOR = '--by eleni --reason drill'

async function startSession (): Promise<Session> {
  const session = Session.create()
  await session.run(`apply a.toml --expect 0 ${AUTHOR}`)
  return session
}

function getRoot (session: Session): ConfigurationRoot {
  return JSON.parse(session.store.objects.get('config/root')?.value ?? '') as ConfigurationRoot
}

/* Versions in the audit trail, in order. */
async function listVersions (session: Session): Promise<readonly number[]> {
  const store = RetryingStore.create(session.store, async () => {})
  return (await AuditTrail.create(store).list(1000)).map(({ version }) => version)
}

// Guards against unintended changes of texts and exit codes, and against a repeated command changing the configuration.
test('a session with check, change and read commands', async t => {
  const session = Session.create()
  for (const line of [
    'check a.toml cli.toml', 'show', `apply a.toml --expect 0 ${AUTHOR}`, `apply a.toml --expect 0 ${AUTHOR}`, `apply b.toml --expect 1 ${AUTHOR}`,
    'domain out a --by minh --reason "yearly drill"', 'domain out a --by minh --reason again', `domain out b ${AUTHOR}`, `domain out aa ${AUTHOR}`,
    `domain off a ${AUTHOR}`, `domain in a ${AUTHOR}`, `drain host-4 ${AUTHOR}`, `drain host-4 ${AUTHOR}`, `drain host-9 ${AUTHOR}`, `drain host-4 --undo ${AUTHOR}`,
    `apply a.toml --expect 3 ${AUTHOR}`, `apply a.toml --expect 99 ${AUTHOR}`, `apply a.toml --expect 6 ${AUTHOR}`, 'audit --last 3', 'audit --last 1 --json', 'show', 'profiles'
  ]) await session.run(line)
  t.snapshot(session.formatTranscript())
  t.deepEqual(await listVersions(session), [1, 2, 3, 4, 5, 6, 7])
  for (const [key, { value }] of session.store.objects) {
    if (key.startsWith('audit/') || key === 'config/root') t.false(value.includes('2'.repeat(64)), `${key} holds a key hash`)
  }
})

// Guards against bad input being accepted, or reported with another exit code than 2.
test('bad input', async t => {
  const session = await startSession()
  session.writeFile('broken.toml', 'failure_domains = 3\nservice = []\n')
  session.writeFile('strange.toml', 'colour = "blue"\n')
  session.transcript.length = 0
  for (const line of [
    '', 'aply', 'apply', `apply a.toml ${AUTHOR}`, 'apply a.toml --expect 1', 'apply a.toml --expect 1 --by eleni --reason ""',
    `apply a.toml --expect -1 ${AUTHOR}`, `apply a.toml --expect one ${AUTHOR}`, `apply broken.toml --expect 1 ${AUTHOR}`,
    'check broken.toml strange.toml missing.toml', 'audit --last 0', 'show --colour', 'team-key Big_Team', 'domain out'
  ]) t.is(await session.run(line), 2, line)
  t.snapshot(session.formatTranscript())
})

// Guards against `status` and `explain` not reporting entries that are unreachable, refuse the credential or have an older configuration.
test('status and explain', async t => {
  const session = await startSession()
  const buildStatus = (id: string, version: number) => ({
    process: { id, domain: 'a' },
    configuration: { version, in_force_for_ms: 61_000 },
    in_flight: 3,
    leaving: false,
    peers: [{}, {}],
    failure_domains: [{ name: 'a', state: 'in' }, { name: 'b', state: 'out' }],
    draining_hosts: ['host-4']
  })
  const buildResponse = (body: unknown, code = 200) => ({ kind: 'answered', status: code, body }) as const
  session.transcript.length = 0
  await session.run('status')
  session.operations = url => buildResponse(url.includes('entry-1') ? buildStatus('entry-1', 7) : undefined, url.includes('entry-1') ? 200 : 401)
  await session.run('status')
  session.operations = url => buildResponse(url.includes('entry-1') ? buildStatus('entry-1', 7) : buildStatus('entry-2', 6))
  await session.run('status')
  session.operations = url => buildResponse(buildStatus(url.slice(7, 14), 7))
  await session.run('status')
  session.operations = url => url.includes('entry-1') ? buildResponse(undefined, 404) : buildResponse({ steps: [{ atMs: 10, step: 'received', detail: 'counter' }, { atMs: 62.4, step: 'ended', detail: '' }] })
  await session.run('explain r-1')
  session.operations = () => buildResponse(undefined, 404)
  await session.run('explain r-2')
  t.snapshot(session.formatTranscript())
})

// Guards against a change overwriting one that another operator made after the first had read the configuration.
test('two operators at the same time', async t => {
  const session = await startSession()
  session.store.addRule('write config/root', { before: async () => { await session.run('drain host-3 --by minh --reason "new fan"') } })
  t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 3)
  session.store.addRule('write config/root', { before: async () => { await session.run('domain out b --by minh --reason drill') } })
  t.is(await session.run(`drain host-4 ${AUTHOR}`), 0)
  t.deepEqual(getRoot(session).drainingHosts, ['host-3', 'host-4'])
  t.is(getRoot(session).domainStates['b'], 'out')
  t.deepEqual(await listVersions(session), [1, 2, 3, 4])
  t.snapshot(session.formatTranscript())
})

// Guards against a change whose response was lost being reported as failed, made twice or left out of the audit trail.
test('lost responses', async t => {
  for (const [fault, key] of [['lose', 'config/root'], ['drop', 'config/root'], ['late', 'config/root'], ['lose', 'audit/'], ['drop', 'audit/'], ['lose', 'config/part'], ['late', 'config/part']] as const) {
    const session = await startSession()
    session.store.addRule(`write ${key}`, { fault })
    t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 0, `${fault} ${key}`)
    t.is(getRoot(session).version, 2)
    t.deepEqual(await listVersions(session), [1, 2], `${fault} ${key}`)
  }
})

// Guards against a version conflict being reported for a change that took effect: its response was lost and another operator replaced the root before the read-back.
test('a lost response and another change before the read-back', async t => {
  const session = await startSession()
  session.store.addRule('write config/root', { fault: 'lose' })
  session.store.addRule('write config/root', { before: async () => { await session.run('drain host-3 --by minh --reason fan') } })
  t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 0)
  t.is(getRoot(session).version, 3)
  t.deepEqual(await listVersions(session), [1, 2, 3])
})

// Guards against a version conflict being reported for a change that took effect: its response was lost and the read-back was stale.
test('a lost response and a stale read-back', async t => {
  const session = await startSession()
  session.store.addRule('write config/root', { fault: 'lose' })
  session.store.addRule('write config/root', { before: async () => { session.store.addRule('read config/root', { fault: 'stale' }, 2) } })
  t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 0)
  t.regex(session.transcript.at(-1) ?? '', /Version 2 is accepted/)
  t.deepEqual(await listVersions(session), [1, 2])
})

// Guards against an outage being reported as success, and against an unknown effect being reported when it is known that nothing was changed.
test('outages', async t => {
  const session = await startSession()
  session.transcript.length = 0
  session.store.addRule('read config/root', { fault: 'unavailable' }, 5)
  t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 4)
  session.store.addRule('write config/root', { fault: 'unavailable' }, 5)
  t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 4)
  session.store.addRule('write config/root', { fault: 'lose' })
  session.store.addRule('write config/root', { fault: 'unavailable' }, 4)
  t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 4)
  t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 0)
  session.store.addRule('write audit/', { fault: 'unavailable' }, 5)
  t.is(await session.run(`drain host-3 ${AUTHOR}`), 0)
  t.deepEqual(await listVersions(session), [1, 2])
  await session.run('audit --last 1')
  t.deepEqual(await listVersions(session), [1, 2, 3])
  t.snapshot(session.formatTranscript())
})

// Guards against a change missing from the audit trail after its command crashed, at any of its platform calls.
test('a crash at every platform call', async t => {
  const reference = await startSession()
  const start = reference.store.calls.length
  await reference.run(`apply b.toml --expect 1 ${AUTHOR}`)
  const count = reference.store.calls.length - start
  for (let call = 0; call < count; call++) {
    const session = await startSession()
    session.store.crashesAt = start + call
    t.is(await session.run(`apply b.toml --expect 1 ${AUTHOR}`), 1, `crashed at call ${call}`)
    const { version } = getRoot(session)
    t.is(await session.run(`drain host-3 ${AUTHOR}`), 0)
    t.is(getRoot(session).version, version + 1)
    t.deepEqual(await listVersions(session), Array.from({ length: version + 1 }, (_value, index) => index + 1), `crashed at call ${call}`)
  }
  t.true(count > 8)
})

// Guards against wrong results, lost changes and changes missing from the audit trail, for random interleavings of commands and faults.
test('concurrent operators under faults', async t => {
  const fault = fc.record({ call: fc.constantFrom('write config/root', 'write audit', 'write config/part', 'read config/root'), fault: fc.constantFrom('lose', 'drop', 'late', 'unavailable') })
  const command = fc.constantFrom('drain host-3', 'drain host-4', 'drain host-3 --undo', 'domain out a', 'domain in a', 'apply b.toml --expect 1', 'apply a.toml --expect 2')
  await fc.assert(fc.asyncProperty(fc.array(command, { minLength: 2, maxLength: 5 }), fc.array(fault, { maxLength: 5 }), fc.infiniteStream(fc.nat(3)), async (commands, faults, turns) => {
    const session = await startSession()
    session.store.pickDelayTurns = () => turns.next().value as number
    for (const { call, fault } of faults) session.store.addRule(call, { fault: call.startsWith('read') ? 'unavailable' : fault as 'lose' })
    await Promise.all(commands.map(async (line, index) => await session.run(`${line} --by op-${index} --reason x`)))
    session.store.pickDelayTurns = () => 0
    await session.run('audit')
    const entries = await AuditTrail.create(RetryingStore.create(session.store, async () => {})).list(100)
    t.deepEqual(entries.map(({ version }) => version), Array.from({ length: getRoot(session).version }, (_value, index) => index + 1))
    commands.forEach((_line, index) => {
      const text = session.transcript[index + 1] ?? ''
      const changed = entries.filter(({ who }) => who === `op-${index}`).map(({ version }) => version)
      const reportedVersion = /Version (\d+) is accepted/.exec(text)?.[1]
      if (reportedVersion !== undefined) t.deepEqual(changed, [Number(reportedVersion)], text)
      else if (!text.includes('It is not known')) t.deepEqual(changed, [], text)
    })
    t.is(await session.run('show'), 0)
  }), { seed: 11, numRuns: 300 })
})

// Guards against unused parts accumulating in the platform, and against removing a part that came into use again.
test('old parts are removed, parts in use stay', async t => {
  const session = Session.create()
  const apply = async (weight: number, expect: number): Promise<number> => {
    session.writeFile('c.toml', CONFIGURATION.replace('weight = 4', `weight = ${weight}`))
    return await session.run(`apply c.toml --expect ${expect} ${AUTHOR}`)
  }
  const listParts = (): readonly string[] => [...session.store.objects.keys()].filter(key => key.startsWith('config/part/'))
  for (let version = 0; version < 30; version++) t.is(await apply(version % 20 + 1, version), 0)
  const inUse = Object.entries(getRoot(session).parts).map(([name, hash]) => `config/part/${name}/${hash}`)
  t.is(listParts().length, inUse.length + 3)
  t.true(inUse.every(key => session.store.objects.has(key)))

  /* The part of weight 10 is about to be removed when another operator puts it in force again. */
  let hasRaced = false
  session.store.addRule('remove config/part', { before: async () => { hasRaced = true; await apply(7, 31) } })
  t.is(await apply(11, 30), 0)
  t.true(hasRaced)
  t.is(await session.run('show'), 0, 'every part of the root is there')
})

// Guards against audit entries being lost or repeated when a page is full, and against an unlimited number of pages.
test('full audit pages are followed by new ones and old pages are removed, despite crashes and lost responses', async t => {
  const limits = { pageMaxBytes: 700, pagesKept: 3, partVersionsKept: 3 }
  const buildEntry = (version: number): AuditEntry => ({
    version, previousVersion: version - 1, when: '', who: 'eleni', command: 'apply', reason: 'x'.repeat(version % 90), differences: [], omitted: 0, changeId: String(version), replacedParts: []
  })
  await fc.assert(fc.asyncProperty(fc.array(fc.record({ at: fc.nat(200), fault: fc.constantFrom('lose', 'drop', 'late', 'die') }), { maxLength: 8 }), async faults => {
    const store = new FakeStore()
    const trail = AuditTrail.create(RetryingStore.create(store, async () => {}), limits)
    for (let version = 1; version <= 40; version++) {
      for (const { fault } of faults.filter(({ at }) => at % 40 === version)) store.addRule(faults.length % 2 === 0 ? 'write' : 'read audit', { fault: fault as 'lose' })
      while (!await trail.add(buildEntry(version)).then(() => true, () => false));
    }
    const pages = [...store.objects.keys()].filter(key => /^audit\/\d/.test(key))
    const kept = (await trail.list(1000)).map(({ version }) => version)
    const first = kept[0] ?? 0
    t.deepEqual(kept, Array.from({ length: kept.length }, (_value, index) => first + index))
    t.is(kept.at(-1), 40)
    t.true(kept.length >= 6)
    t.true(pages.length <= limits.pagesKept + 1, pages.join())
    for (const key of pages) t.true(Buffer.byteLength(store.objects.get(key)?.value ?? '') <= limits.pageMaxBytes)
  }), { seed: 7, numRuns: 60 })
})
