import test from 'ava'
import { execFile } from 'node:child_process'
import { join } from 'node:path'
import { answerExplain } from '../../src/gateway/explain-answer.js'
import { StatusListener } from '../../src/gateway/status-listener.js'
import { ExplainedGateway } from '../gateway/explained-gateway.js'
import { startOnFreePort } from '../gateway/ports.js'
import { ENGINE } from '../gateway/views.js'
import { Session } from './fake.js'

const ASK = 'explain h /a/x --gateway http://10.0.0.1:9464 --key-file operators.key'

/** Runs commands against the answers of a gateway. */
function startSession (gateway: ExplainedGateway, key = 'a-key-of-operators'): Session {
  const session = Session.create()
  session.writeFile('operators.key', 'a-key-of-operators\n')
  session.gateway = (url, headers) => {
    const { pathname, search } = new URL(url)
    const { status, body = '' } = answerExplain({ path: `${pathname}${search}`, headers }, key, question => gateway.explain(question))!
    return { kind: 'answered', status, body: JSON.parse(body) as unknown }
  }
  return session
}

function createGateway (): ExplainedGateway {
  const gateway = ExplainedGateway.create()
  gateway.applyConfiguration({}, 9, ENGINE)
  for (const [id, domain] of [['s-0', 'a'], ['s-1', 'a'], ['s-2', 'b'], ['s-3', 'b'], ['s-4', 'a']] as const) gateway.add(id, { domain, coldRemainingMs: id === 's-2' ? 1_500 : 0 })
  gateway.note('s-0', 3, ['ok'], 30)
  gateway.note('s-1', 1, ['ok', 'failed'], 20)
  gateway.note('s-3', 0, ['unreachable'])
  gateway.noteElsewhere({ 's-0': 1 })
  gateway.context.noteAnnouncement(gateway.context.endpoints.find('s-4')!, { isLeaving: true, pause: { kind: 'none' } })
  return gateway
}

// Guards against unintended changes of the text and the JSON.
test('an explanation as text and as JSON', async t => {
  const gateway = createGateway()
  const session = startSession(gateway)
  t.is(await session.run(`${ASK} --team t1 --prompt-tokens 100`), 0)
  gateway.context.coldLimits.noteDenied('s-1', gateway.nowMs + 40, gateway.nowMs)
  t.is(await session.run(`${ASK} --team t2`), 0)
  for (const id of ['s-0', 's-1', 's-2', 's-3']) gateway.context.coldLimits.noteDenied(id, gateway.nowMs + 40, gateway.nowMs)
  t.is(await session.run(`${ASK} --team t2`), 0)
  gateway.noteElsewhere({ 's-0': 400 })
  gateway.nowMs += 900
  t.is(await session.run(`${ASK} --team t2`), 0)
  gateway.context.endpoints.setEvacuated(new Set(['a', 'b']))
  t.is(await session.run(`${ASK} --team t1`), 0)
  t.is(await session.run(`${ASK} --team t1 --json`), 0)
  t.snapshot(session.formatTranscript())
})

// Guards against a command that does not reach the listener of a gateway as it is.
test('the program asks a listener', async t => {
  const gateway = createGateway()
  const listener = StatusListener.create({
    bounds: { listenerConnectionsMax: 10, heldBytesMax: 1_000_000 },
    answer: (path, headers) => answerExplain({ path, headers }, 'a-key-of-operators', question => gateway.explain(question)) ?? { status: 404 },
    noteBound: () => {},
    handleError: reason => { t.fail(reason) }
  })
  t.teardown(() => { listener.stop() })
  const port = await startOnFreePort(async candidate => { await listener.start({ host: '127.0.0.1', port: candidate }) })
  const session = Session.create()
  session.writeFile('right.key', 'a-key-of-operators\n')
  session.writeFile('wrong.key', 'a-key-of-nobody\n')
  const run = async (key: string, url: string): Promise<readonly [number, string]> => await new Promise(resolve => {
    execFile(process.execPath, ['dist/src/bin/heatherdoor.js', 'explain', 'h', '/a/x', '--gateway', url, '--key-file', join(session.folder, key), '--team', 't1', '--json'], (failure, out) => {
      resolve([typeof failure?.code === 'number' ? failure.code : 0, out])
    })
  })
  const url = `http://127.0.0.1:${port}`
  const [code, out] = await run('right.key', url)
  t.is(code, 0)
  t.deepEqual((JSON.parse(out) as { readonly explanation: unknown }).explanation, gateway.explain())
  t.is((await run('wrong.key', url))[0], 9)
  t.is((await run('right.key', 'http://127.0.0.1:1'))[0], 8)
})

test('each question without an explanation has an exit code of its own', async t => {
  const gateway = ExplainedGateway.create()
  const session = startSession(gateway)
  t.is(await session.run(ASK), 7)
  gateway.applyConfiguration()
  gateway.context.isInformed = false
  t.is(await session.run(`${ASK} --team t1`), 7)
  t.is(await session.run(ASK.replace('/a/x', '/b')), 5)
  t.is(await session.run(ASK), 6)
  t.is(await session.run(`${ASK} --team t9`), 6)
  t.is(await session.run(`${ASK} --team t9 --json`), 6)
  session.gateway = startSession(gateway, 'another-key-of-operators').gateway
  t.is(await session.run(ASK), 9)
  session.gateway = () => ({ kind: 'unreachable', reason: 'connect ECONNREFUSED 10.0.0.1:9464' })
  t.is(await session.run(ASK), 8)
  session.gateway = () => ({ kind: 'answered', status: 404, body: undefined })
  t.is(await session.run(ASK), 1)
  session.gateway = () => ({ kind: 'answered', status: 200, body: undefined })
  t.is(await session.run(ASK), 1)
  for (const bad of [ASK.replace('/a/x', 'a'), ASK.replace('http://10.0.0.1:9464', 'nowhere'), 'explain h /a/x', 'explain h --gateway http://10.0.0.1:9464', `${ASK} --prompt-tokens x`]) t.is(await session.run(bad), 2, bad)
  t.false(session.formatTranscript().includes('a-key-of-operators'))
  t.snapshot(session.formatTranscript())
})
