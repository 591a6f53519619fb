import test from 'ava'
import type { Message } from '../../src/protocol/messages.js'
import { DOMAINS, PROFILE, Session, buildConfiguration, buildProcess, buildRequest, buildState } from './session.js'

const encode = (text: string): Uint8Array => Buffer.from(text)

function sendResponse (session: Session, peer: string, workId: string, chunks: readonly string[], from = 0): void {
  session.receive(peer, { kind: 'head', workId, status: 200, headers: [['content-type', 'text/plain']] })
  chunks.forEach((text, index) => { session.receive(peer, { kind: 'chunk', workId, index: from + index, data: encode(text) }) })
}

function refuse (session: Session, changes: Partial<Extract<Message, { kind: 'refused' }>>): void {
  const { peer, workId } = session.findSubmit()
  session.receive(peer, { kind: 'refused', workId, error: 'overloaded', outcome: 'not-run', configVersion: 1, ...changes })
}

// Guards against losing, duplicating or reordering chunks of a response.
test('request end to end', t => {
  const session = Session.createReady('book')
  session.dispatch(buildRequest('r1'))
  const { peer, workId } = session.findSubmit()
  session.receive(peer, { kind: 'accepted', workId, queued: 0, waitMs: 0 })
  session.receive(peer, { kind: 'started', workId })
  sendResponse(session, peer, workId, ['one', 'two'])
  session.receive(peer, { kind: 'chunk', workId, index: 1, data: encode('two') })
  session.receive(peer, { kind: 'end', workId, chunks: 2 })
  session.receive(peer, { kind: 'end', workId, chunks: 2 })
  t.snapshot([session.takeEffects(), session.kernel.getPort('requests').explain('r1')])
})

// Guards against sending a POST without a key twice, or reporting "not-run" after it was forwarded.
test('a POST without a key gets one attempt under an internal key', t => {
  const session = Session.createReady('book')
  session.dispatch(buildRequest('r1', { method: 'POST' }))
  refuse(session, { error: 'endpoint-failed', outcome: 'unknown' })
  session.advanceTime(3_000)
  t.snapshot(session.takeEffects())
})

// Guards against failing a POST because of a planned leave although another endpoint could run it.
test('a POST refused by a leaving endpoint is sent to another endpoint', t => {
  const session = Session.createReady('book')
  session.dispatch(buildRequest('r1', { method: 'POST' }))
  refuse(session, { error: 'leaving' })
  session.advanceTime(500)
  const { peer, workId } = session.findSubmit()
  sendResponse(session, peer, workId, ['ok'])
  session.receive(peer, { kind: 'end', workId, chunks: 1 })
  t.snapshot(session.takeEffects())
})

// Guards against sending a repeated request to any process but the home named by its key, and against reporting a wrong outcome for it.
test('a keyed request goes to its home, follows a moved home and reports unknown for a lost home', t => {
  const session = Session.createReady('book')
  const send = (id: string, keyText: string) => { session.dispatch(buildRequest(id, { method: 'POST', keyText })) }
  send('r1', session.formatKey('book-b'))
  refuse(session, { error: 'key-closed', outcome: 'not-run' })
  send('r2', session.formatKey('book-b', 9))
  send('r3', 'no-token')
  send('r4', session.formatKey('book-b').replace('.4.', '.5.').replace('mac', 'forged'))
  send('r5', session.formatKey('gone'))
  session.receive('book-b', { kind: 'heartbeat', incarnation: 1, configVersion: 1, endpoint: buildState('book', { leaving: true, movedTo: 'book-c' }) })
  session.disconnect('book', 'b')
  send('r6', session.formatKey('book-b'))
  t.snapshot(session.takeEffects())
})

// Guards against reporting "not-run" at the deadline before the home has confirmed it.
test('a request whose deadline passes in the queue is cancelled at its home', t => {
  for (const [confirmed, outcome] of [[true, 'not-run'], [true, 'run'], [false, 'unknown']] as const) {
    const session = Session.createReady('book')
    session.dispatch(buildRequest('r1', { method: 'POST', keyText: session.formatKey('book-b'), deadlineMs: 1_000 }))
    const { peer, workId } = session.findSubmit()
    session.advanceTime(1_200)
    if (confirmed) session.receive(peer, { kind: 'cancelled', workId, outcome })
    session.advanceTime(1_200)
    t.snapshot(session.takeEffects(), `${confirmed} ${outcome}`)
  }
})

// Guards against reporting an unconfirmed outcome for a POST whose connection was lost.
test('the home is queried when the connection is lost after submit', t => {
  for (const state of ['not-run', 'running', 'unknown'] as const) {
    const session = Session.createReady('book')
    session.dispatch(buildRequest('r1', { method: 'POST', keyText: session.formatKey('book-b') }))
    session.disconnect('book', 'b')
    session.advanceTime(300)
    session.connect('book', 'b')
    session.receive('book-b', { kind: 'query-answer', queryId: 'query-r1-1', state })
    t.snapshot(session.takeEffects(), state)
  }
  const replaced = Session.createReady('book')
  replaced.dispatch(buildRequest('r1', { method: 'POST', keyText: replaced.formatKey('book-b') }))
  replaced.disconnect('book', 'b')
  replaced.connect('book', 'b', 2)
  t.snapshot(replaced.takeEffects(), 'another incarnation')
  const absent = Session.createReady('book')
  absent.dispatch(buildRequest('r1', { method: 'POST', keyText: absent.formatKey('book-b') }))
  absent.disconnect('book', 'b')
  absent.advanceTime(2_500)
  t.snapshot(absent.takeEffects(), 'never returns')
})

// Guards against an outcome lookup whose query is lost with its connection or never answered.
test('an outcome lookup repeats its query after a reconnect and ends with unknown after a timeout', t => {
  const session = Session.createReady('book')
  const ask = (askId: string, keyText: string) => { session.dispatch({ kind: 'outcome-requested', lookupId: askId, team: 't', keyText }) }
  ask('a1', session.formatKey('book-b'))
  session.disconnect('book', 'b')
  session.connect('book', 'b')
  session.receive('book-b', { kind: 'query-answer', queryId: 'ask-a1', state: 'run' })
  ask('a2', 'nonsense')
  ask('a3', session.formatKey('book-b'))
  session.advanceTime(2_100)
  t.snapshot(session.takeEffects())
})

// Guards against missing or duplicate chunks, or a second end, when a stream is resumed on another endpoint.
test('a broken stream is resumed on another endpoint', t => {
  const session = Session.createReady('chat')
  session.dispatch(buildRequest('r1', { service: 'chat', method: 'POST' }))
  const first = session.findSubmit()
  sendResponse(session, first.peer, first.workId, ['a', 'b'])
  session.receive(first.peer, { kind: 'chunk', workId: first.workId, index: 3, data: encode('d') })
  const second = session.findSubmit()
  sendResponse(session, second.peer, second.workId, ['c', 'd'], 2)
  session.receive(second.peer, { kind: 'end', workId: second.workId, chunks: 4 })
  t.not(first.peer, second.peer)
  t.snapshot(session.takeEffects())
})

// Guards against a truncated response that looks complete.
test('a broken stream that cannot be resumed ends with an error', t => {
  const session = Session.createReady('book')
  session.dispatch(buildRequest('r1'))
  const { peer, workId } = session.findSubmit()
  sendResponse(session, peer, workId, ['a'])
  session.receive(peer, { kind: 'end', workId, chunks: 2 })
  t.snapshot(session.takeEffects())
})

// Guards against retries beyond the retry budget, of non-idempotent work or after the deadline.
test('no retry is sent when the retry budget is spent', t => {
  const session = Session.createReady('book')
  for (let count = 1; count <= 5; count += 1) {
    session.dispatch(buildRequest(`r${count}`))
    refuse(session, {})
    session.advanceTime(300)
  }
  t.snapshot(session.takeEffects())
})

// Guards against a hedged request that gets two responses, or whose other attempt is not cancelled.
test('a hedged request gets one response', t => {
  const profiles = [{ ...PROFILE, hedgeAfterMs: 500 }]
  const session = Session.createReady('book', buildConfiguration(1, { profiles }))
  session.dispatch(buildRequest('r1'))
  const first = session.findSubmit()
  session.advanceTime(600)
  const second = session.findSubmit()
  t.not(first.peer, second.peer)
  sendResponse(session, second.peer, second.workId, ['x'])
  sendResponse(session, first.peer, first.workId, ['y'])
  session.receive(second.peer, { kind: 'end', workId: second.workId, chunks: 1 })
  t.snapshot(session.takeEffects())
})

// Guards against sending work to a domain that was taken out of service, and against interrupting work that already runs there.
test('a domain out of service gets no new work', t => {
  const session = Session.createReady('book')
  session.dispatch(buildRequest('r1'))
  const first = session.findSubmit()
  t.is(first.peer, 'book-a')
  const domains = DOMAINS.map(name => ({ name, region: 'r', state: name === 'a' ? 'out' as const : 'in' as const }))
  session.dispatch({ kind: 'configuration-offered', configuration: buildConfiguration(2, { domains }), source: 'test' })
  for (let count = 2; count < 10; count += 1) {
    session.dispatch(buildRequest(`r${count}`))
    t.not(session.findSubmit().peer, 'book-a')
  }
  sendResponse(session, first.peer, first.workId, ['x'])
  t.deepEqual(session.dispatch({ kind: 'message-received', peer: buildProcess('book-a', 'endpoint'), message: { kind: 'end', workId: first.workId, chunks: 1 } })
    .filter(({ kind }) => kind === 'reply-end').length, 1)
})

// Guards against a process that exits while callers still have its address cached or wait for a response.
test('a leaving entry waits for cached addresses and requests, and responds to requests that it interrupts', t => {
  const session = Session.createReady('book')
  session.dispatch(buildRequest('r1', { deadlineMs: 5_000 }))
  const { peer, workId } = session.findSubmit()
  session.dispatch({ kind: 'leave-requested', deadlineMs: 60_000 })
  session.advanceTime(4_000)
  sendResponse(session, peer, workId, ['x'])
  session.receive(peer, { kind: 'end', workId, chunks: 1 })
  session.advanceTime(25_900)
  t.false(session.takeEffects().includes('leave-finished'))
  session.advanceTime(100)
  t.deepEqual(session.takeEffects(), ['leave-finished'])
  const cut = Session.createReady('book')
  cut.dispatch(buildRequest('r1'))
  cut.dispatch({ kind: 'leave-requested', deadlineMs: 2_000 })
  cut.advanceTime(3_000)
  t.snapshot(cut.takeEffects())
})
