import test from 'ava'
import fc from 'fast-check'
import { StatusListener } from '../../src/gateway/status-listener.js'
import { answerExplain } from '../../src/gateway/explain-answer.js'
import { parseGatewaySettings } from '../../platform/settings.js'
import { ExplainedGateway } from './explained-gateway.js'
import { startOnFreePort } from './ports.js'
import { ENGINE } from './views.js'

const KEY = 'a-key-of-operators'

const RESULT = fc.constantFrom('ok' as const, 'ok' as const, 'failed' as const, 'unreachable' as const)
const ENDPOINT = fc.record({
  domain: fc.constantFrom('a', 'b'),
  started: fc.nat(6),
  elsewhere: fc.nat(3),
  ended: fc.array(RESULT, { maxLength: 3 }),
  elapsedMs: fc.integer({ min: 5, max: 90 }),
  agent: fc.constantFrom('none' as const, 'denied' as const, 'contended' as const, 'silent' as const)
})

// Guards against an explanation that changes a count, a permit, a log, a metric or the random numbers, or that names another endpoint than the live decision takes.
test('an explanation changes nothing and names what is chosen next', async t => {
  let sampled = 0
  await fc.assert(fc.asyncProperty(fc.array(ENDPOINT, { minLength: 1, maxLength: 6 }), fc.boolean(), fc.integer({ min: 0, max: 20_000 }), async (endpoints, hasAgents, ageMs) => {
    const gateway = ExplainedGateway.create(endpoints.length)
    gateway.applyConfiguration({}, hasAgents ? 9 : 0, hasAgents ? ENGINE : undefined)
    gateway.context.coldLimits.noteListed(0)
    gateway.noteElsewhere(Object.fromEntries(endpoints.map(({ elsewhere }, at) => [`e${at}`, elsewhere])))
    for (const [at, { domain, started, ended, elapsedMs, agent }] of endpoints.entries()) {
      gateway.add(`e${at}`, { domain })
      gateway.note(`e${at}`, started, ended, elapsedMs)
      if (agent === 'silent') gateway.context.coldLimits.noteAgentSilent(`e${at}`, gateway.nowMs)
      else if (agent !== 'none') gateway.context.coldLimits.noteDenied(`e${at}`, gateway.nowMs + (agent === 'denied' ? 500 : -1), gateway.nowMs)
    }
    gateway.nowMs += ageMs % 3 === 0 ? ageMs : 0
    const before = await gateway.describeState()
    const service = gateway.explainService()
    t.deepEqual(gateway.explainService(), service)
    t.deepEqual(await gateway.describeState(), before)
    const { admission } = service
    const chosen = gateway.choose()
    if (admission.kind !== 'start' || admission.access === 'borrowed-share') {
      t.is(chosen, undefined)
      return
    }
    if (admission.sampleSize !== undefined) sampled += 1
    else t.true(admission.choices > 1 || chosen === service.candidates[0]!.endpoint)
    t.true(admission.endpoints.includes(chosen!), `${chosen} of ${admission.endpoints.join(' ')}`)
  }), { seed: 7, numRuns: 400 })
  t.true(sampled > 10, `${sampled} sampled`)
})

// Guards against an explanation that depends on whether an endpoint was considered before.
test('an explanation creates no measurements', t => {
  const gateway = ExplainedGateway.create()
  gateway.applyConfiguration()
  gateway.add('e1')
  gateway.explain()
  gateway.context.selection.noteEnd('e1', 'failed', 10, gateway.nowMs)
  t.is(gateway.explainService().candidates[0]!.terms!.failures, 0)
})

test('each cause that keeps a request from an endpoint is named', t => {
  const gateway = ExplainedGateway.create()
  gateway.applyConfiguration({}, 9, ENGINE)
  for (const id of ['free', 'busy', 'cut', 'denied', 'pausing', 'leaving']) gateway.add(id)
  gateway.add('draining', { state: 'draining' })
  gateway.add('out', { domain: 'c' })
  gateway.add('remote', { domain: 'b' })
  gateway.note('busy', 3, ['ok', 'failed'], 60)
  gateway.note('free', 0, ['ok'], 20)
  gateway.note('cut', 0, ['unreachable'])
  gateway.context.coldLimits.noteDenied('denied', gateway.nowMs + 300, gateway.nowMs)
  gateway.context.noteAnnouncement(gateway.context.endpoints.find('pausing')!, { isLeaving: false, pause: { kind: 'time', ms: 900 } })
  gateway.context.noteAnnouncement(gateway.context.endpoints.find('leaving')!, { isLeaving: true, pause: { kind: 'none' } })
  gateway.context.endpoints.setEvacuated(new Set(['c']))
  t.snapshot(gateway.explain())
})

test('each way in which a request waits or is refused is named', t => {
  const admissions = (hasAgents: boolean, prepare: (gateway: ExplainedGateway) => void): unknown => {
    const gateway = ExplainedGateway.create()
    gateway.applyConfiguration({}, hasAgents ? 9 : 0, hasAgents ? { ...ENGINE, layers: 1 } : undefined)
    gateway.add('e1')
    prepare(gateway)
    const explanation = gateway.explain()
    return explanation.kind === 'explained' ? explanation.services[0]!.admission : explanation
  }
  const enter = ({ context, nowMs }: ExplainedGateway, priority: number, enteredMs: number): void => {
    context.roomQueue.enter({ requestId: 'w', service: 's', team: 't2', priority, tokens: 10, isReturned: false, onTimeUntilMs: nowMs + enteredMs, untilMs: nowMs + 1_500 }, { ask: () => {}, refuse: () => {} })
  }
  const lose = ({ context, nowMs }: ExplainedGateway, expectedMs: number): void => {
    context.outages.noteCrash('s', nowMs - 4_000 + expectedMs)
    context.outages.noteState(context.endpoints.find('e1')!, { group: 'group', size: 1, isOpen: false }, context.endpoints.listUsable('s'), nowMs)
  }
  t.snapshot({
    unlimited: admissions(false, () => {}),
    permit: admissions(true, () => {}),
    'permit later': admissions(true, ({ context, nowMs }) => { context.coldLimits.noteDenied('e1', nowMs + 30, nowMs) }),
    'behind another': admissions(true, gateway => { enter(gateway, 1, 50) }),
    'before a less urgent one': admissions(true, gateway => { enter(gateway, 2, 50) }),
    'a queue in which all is late': admissions(true, gateway => {
      enter(gateway, 0, 100)
      enter(gateway, 0, 1_100)
      gateway.nowMs += 1_000
    }),
    'a short outage': admissions(true, gateway => { lose(gateway, 150) }),
    'a long outage': admissions(true, gateway => { lose(gateway, 1_000) }),
    'no endpoint': admissions(true, ({ context }) => { context.endpoints.remove('e1') }),
    'silent agent without shares': admissions(true, ({ context, nowMs }) => { context.coldLimits.noteAgentSilent('e1', nowMs) }),
    leaving: admissions(true, gateway => { gateway.isTooLate = true }),
    'too many requests': admissions(true, ({ context }) => { context.requestRoom.updateBounds({ requestsMax: 0, aheadMax: 0 }) }),
    'not informed': admissions(true, ({ context }) => { context.isInformed = false })
  })
})

test('a gateway or caller about whom nothing can be explained gets an answer of its own', t => {
  const gateway = ExplainedGateway.create()
  t.deepEqual(gateway.explain(), { kind: 'unconfigured' })
  gateway.applyConfiguration()
  t.deepEqual(gateway.explain({ path: '/b' }), { kind: 'unknown-path', version: 1 })
  t.deepEqual(gateway.explain({ caller: { kind: 'team', team: 't9' } }), { kind: 'unknown-team', version: 1, team: 't9' })
  t.deepEqual(gateway.explain({ caller: { kind: 'credential', credential: 'k9' } }), { kind: 'unauthenticated', version: 1 })
  t.deepEqual(gateway.explain({ caller: { kind: 'anonymous' } }), { kind: 'unauthenticated', version: 1 })
  t.like(gateway.explain({ caller: { kind: 'credential', credential: 'k2' } }), { kind: 'explained', team: 't2', priority: 0, priorityOf: 'team' })
})

// Guards against explanations without the key, and against metrics that need one.
test('the listener explains to those who have the key', async t => {
  const gateway = ExplainedGateway.create()
  gateway.applyConfiguration()
  gateway.add('e1')
  const errors: string[] = []
  const start = async (key: string | undefined): Promise<(path: string, headers?: Record<string, string>) => Promise<readonly [number, string]>> => {
    const listener = StatusListener.create({
      bounds: { listenerConnectionsMax: 10, heldBytesMax: 1_000_000 },
      answer: (path, headers) => answerExplain({ path, headers }, key, question => gateway.explain(question)) ?? { status: 200, body: 'metrics' },
      noteBound: () => {},
      handleError: reason => { errors.push(reason) }
    })
    t.teardown(() => { listener.stop() })
    const port = await startOnFreePort(async candidate => { await listener.start({ host: '127.0.0.1', port: candidate }) })
    return async (path, headers = {}) => {
      const response = await fetch(`http://127.0.0.1:${port}${path}`, { headers: { connection: 'close', ...headers } })
      return [response.status, await response.text()]
    }
  }
  const [closed, open] = [await start(undefined), await start(KEY)]
  const authorization = `Bearer ${KEY}`
  const question = '/explain?host=H:80&path=/a/x'
  t.is((await closed(question, { authorization }))[0], 404)
  t.deepEqual(await closed('/metrics'), [200, 'metrics'])
  t.deepEqual(await open('/metrics'), [200, 'metrics'])
  for (const wrong of ['', 'Bearer', `Bearer ${KEY}x`, `Bearer ${KEY.slice(1)}`, `Basic ${KEY}`]) t.is((await open(question, { authorization: wrong }))[0], 401, wrong)
  t.is((await open(question))[0], 401)
  for (const bad of ['/explain', '/explain?host=h', '/explain?host=h&path=a', `${question}&prompt_tokens=-1`, `${question}&answer_tokens=1e3`]) t.is((await open(bad, { authorization }))[0], 400, bad)
  t.is((await open(`${question}&team=t1`, { authorization, 'x-explain-credential': 'k1' }))[0], 400)
  const [status, body] = await open(question, { authorization, 'x-explain-credential': 'k1' })
  t.is(status, 200)
  t.deepEqual(JSON.parse(body), gateway.explain())
  t.false(body.includes('k1') || body.includes(KEY))
  t.deepEqual([errors, gateway.lines], [[], []])
})

// Guards against a key that is short or cannot be sent, and against a fault that shows it.
test('a key of operators is checked', t => {
  const find = (line: string): readonly string[] => (parseGatewaySettings(`[operators]\n${line}\n`).swap().extract() as readonly string[]).filter(fault => fault.startsWith('operators'))
  t.deepEqual(find(''), [])
  t.deepEqual(find(`key = "${KEY}"`), [])
  for (const line of ['key = "fifteen-letters"', 'key = "a key with spaces in it"', 'key = 1234567890123456', `key = "${'x'.repeat(257)}"`, 'key = ""']) {
    t.deepEqual(find(line), ['operators.key: expected 16 to 256 printable ASCII characters without spaces, found another value'], line)
  }
})
