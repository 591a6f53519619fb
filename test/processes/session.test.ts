import test from 'ava'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { request } from 'undici'
import { waitUntil } from '../../bench/processes/ready.js'
import { createCredential } from '../../src/edge/security/credentials.js'
import { LiveDeployment, findBasePort } from './live-deployment.js'
import { maskVaryingParts } from './masks.js'

const IP = '127.0.0.1'
const BOOKING = JSON.stringify({ board: 'b', slot: '1' })
const CHAT = { model: 'oil', stream: true, max_tokens: 200, messages: [{ role: 'user', content: 'blend' }] }

interface Call {
  readonly path: string
  readonly port?: number
  readonly credential?: string | undefined
  readonly key?: string
  readonly body?: string
}

class SessionTranscript {
  readonly lines: string[] = []

  constructor (readonly live: LiveDeployment) {}

  record (title: string, text: string): void {
    this.lines.push(`${title}: ${maskVaryingParts(text)}`)
  }

  async call (title: string, { path, port, credential = this.live.files.teamKey, key, body }: Call): Promise<string> {
    const answer = await request(`http://${IP}:${port ?? this.live.files.findEntryPorts(0).callers}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { ...(credential === '' ? {} : { authorization: `Bearer ${credential}` }), ...(key === undefined ? {} : { 'idempotency-key': key }) },
      body: body ?? null
    })
    const text = await answer.body.text()
    const header = (name: string): string => String(answer.headers[`heatherdoor-${name}`] ?? '-')
    this.record(title, `${answer.statusCode} outcome=${header('outcome')} send=${header('send')} ${text.trimEnd()}`)
    return text
  }

  /** Sends raw HTTP text and reads until the entry closes the connection. */
  async sendRawText (title: string, lines: readonly string[]): Promise<void> {
    const socket = connect(this.live.files.findEntryPorts(0).callers, IP)
    let answer = ''
    socket.on('data', (data: Buffer) => { answer += data.toString() })
    socket.write([...lines, '', ''].join('\r\n'))
    await once(socket, 'close')
    const [head = '', body = ''] = answer.split('\r\n\r\n')
    this.record(title, [...head.split('\r\n').filter(line => /^(HTTP|heatherdoor-(outcome|send))/.test(line)), body].join(' '))
  }
}

async function recordCallerErrors (session: SessionTranscript): Promise<void> {
  const { live } = session
  const bookings = '/services/counter/bookings'
  const outsider = createCredential('hd', 'outsider')
  const configuration = live.writeSettings('configuration.toml', 'second.toml', text => `${text}\n[[teams]]\nname = "outsider"\nweight = 1\nservices = ["guidance"]\nkeys = ["${outsider.stored}"]\n`)
  const applied = await live.runCommand('apply', configuration, '--expect', '1', '--by', 'eleni', '--reason', 'a new team')
  session.record('apply', `[${applied.code}] ${applied.output.trimEnd()}`)
  await waitUntil('the new team is known', async () => {
    const answer = await request(`http://${IP}:${live.files.findEntryPorts(0).callers}/v1/address`, { headers: { authorization: `Bearer ${outsider.text}` } })
    await answer.body.dump()
    return answer.statusCode === 200
  })
  await session.call('a team without access', { path: bookings, credential: outsider.text, body: BOOKING })
  await session.call('unknown model', { path: '/v1/chat/completions', body: JSON.stringify({ ...CHAT, model: 'none' }) })
  await session.call('unknown service', { path: '/services/none/x', body: BOOKING })
  await session.call('unknown path', { path: '/v2/x' })
  await session.call('malformed path', { path: '/services/%zz/x' })
  await session.call('malformed body', { path: '/v1/chat/completions', body: '{' })
  await session.call('no credential', { path: bookings, credential: '', body: BOOKING })
  await session.call('wrong team key', { path: bookings, credential: createCredential('hd', 'team-0').text, body: BOOKING })
  await session.call('key without token', { path: bookings, key: 'my-own-key', body: BOOKING })
  const key = await live.createKey('counter-0', 'k')
  await session.call('booking', { path: bookings, key, body: BOOKING })
  await session.call('same key, same body', { path: bookings, key, body: BOOKING })
  await session.call('same key, other body', { path: bookings, key, body: '{"board":"c","slot":"2"}' })
  session.record('runs', String(await live.countRuns(key)))
  const head = ['POST /services/counter/bookings HTTP/1.1', 'host: entry', `authorization: Bearer ${live.files.teamKey}`, 'connection: close']
  await session.sendRawText('body too large', [...head, 'content-length: 99999999'])
  await session.sendRawText('body too large, with a key', [...head, `idempotency-key: ${key}`, 'content-length: 99999999'])
  await session.sendRawText('malformed HTTP', ['GET / HTTP/1.1', 'no header'])
}

async function recordOperatorCalls (session: SessionTranscript): Promise<void> {
  const { files } = session.live
  const port = files.findEntryPorts(0).operations
  await session.call('operator without a credential', { port, path: '/v1/status', credential: '' })
  await session.call('operator with a team key', { port, path: '/v1/status' })
  await session.call('operator, unknown path', { port, path: '/v1/none', credential: files.operatorCredential })
  await session.call('operator, unknown request', { port, path: '/v1/explain/none', credential: files.operatorCredential })
  await session.call('ready', { port, path: '/readyz', credential: '' })
  const metrics = await (await request(`http://${IP}:${port}/metrics`)).body.text()
  const picked = /^heatherdoor_(requests_total|outcomes_total|configuration_version|members|peers|requests_in_flight|configurations_total)\{/
  const lines = metrics.split('\n').filter(line => picked.test(line) && !/result="(no-endpoint|ok|unauthenticated)"|outcome="not-run"/.test(line))
  session.record('metrics', `\n${lines.sort().join('\n')}`)
}

// Guards against changed, missing or wrong responses of real processes to invalid requests.
test.serial('responses to invalid requests by callers and operators', async t => {
  const live = await LiveDeployment.start()
  const session = new SessionTranscript(live)
  try {
    await waitUntil('all four endpoint processes are peers', async () => {
      const answer = await request(`http://${IP}:${live.files.findEntryPorts(0).operations}/metrics`)
      return /heatherdoor_peers\{[^}]*\} 5\n/.test(await answer.body.text())
    })
    await recordCallerErrors(session)
    await recordOperatorCalls(session)
    const log = readFileSync(live.files.getPath('entry-0.log'), 'utf8').split('\n')
    t.deepEqual(log.filter(line => line !== '' && !line.startsWith('{')), [], 'only JSON lines are printed')
    t.snapshot(session.lines.join('\n'))
  } finally {
    const ended = await live.stop()
    t.deepEqual(ended.filter(({ code }) => code !== 0), [])
  }
})

// Guards against processes that fail to start or that end without telling the operator why, or with a wrong exit code.
test.serial('output and exit codes at failed starts, connection failures and forced stops', async t => {
  const live = await LiveDeployment.start({ serviceMs: 3_000 })
  const session = new SessionTranscript(live)
  try {
    const bad = live.writeSettings('entry-0.toml', 'bad.toml', text => text.replace('address_hold_ms = 1000', 'adress_hold_ms = 5').replace('leave_deadline_ms = 15000', 'leave_deadline_ms = "soon"'))
    for (const [title, settings] of [['bad settings', bad], ['port taken', live.files.getPath('entry-0.toml')]] as const) {
      const { code, output } = await live.runUntilExit('src/bin/entry.js', settings)
      session.record(title, `[${code}]\n${output}`)
    }
    writeFileSync(live.files.getPath('other.secret'), 'x'.repeat(32))
    live.startEntry('stranger', live.writeSettings('entry-1.toml', 'stranger.toml', text => text
      .replaceAll('cluster.secret', 'other.secret').replace('process_id = "entry-1"', 'process_id = "stranger"').replaceAll(/^port = (\d+)/gm, (_, port) => `port = ${Number(port) + 30}`)))
    // `peer-refused` is also logged for a seed that had not started yet.
    const findRefusalLine = (): string | undefined => live.listLogLines('entry-0', ['peer-refused']).find(line => line.includes('secret'))
    await waitUntil('the process with the wrong cluster secret is refused', async () => findRefusalLine() !== undefined)
    session.record('wrong cluster secret', findRefusalLine() ?? '')
    // Fault instead of a restart: a restarted stand-in is empty, which the watch treats as a stale platform.
    await live.applyPlatformFault({ outage: 'break' })
    await waitUntil('the platform is lost', async () => live.listLogLines('entry-0', ['platform-lost']).length > 0)
    await live.applyPlatformFault({ outage: 'none' })
    await waitUntil('the platform is found', async () => live.listLogLines('entry-0', ['platform-found']).length > 0)
    session.record('platform', `\n${live.listLogLines('entry-0', ['platform-lost', 'platform-found']).join('\n')}`)

    const body = JSON.stringify(CHAT)
    const streamed = await request(`http://${IP}:${live.files.findEntryPorts(0).callers}/v1/chat/completions`, { method: 'POST', headers: { authorization: `Bearer ${live.files.teamKey}` }, body })
    let text = ''
    const cut = (async (): Promise<boolean> => {
      try {
        for await (const chunk of streamed.body) text += String(chunk)
        return false
      } catch {
        return true
      }
    })()
    await waitUntil('some text has arrived', async () => text.includes('data: '))
    live.signal('entry-0', 'SIGKILL')
    session.record('entry killed in mid-stream', `${streamed.statusCode} cut=${await cut} end mark=${text.includes('[DONE]')}`)

    const key = await live.createKey('counter-0', 'k')
    const booking = live.sendBooking(1, key).then(() => 'answered', () => 'broken')
    await waitUntil('the booking runs', async () => await live.countRuns(key) === 1)
    live.signal('entry-1', 'SIGTERM')
    await waitUntil('the planned stop began', async () => live.listLogLines('entry-1', ['process-leaving']).length > 0)
    live.signal('entry-1', 'SIGTERM')
    session.record('second signal', `[${await live.waitForExit('entry-1') ?? 'killed'}] ${await booking}`)
    await waitUntil('the log is written', async () => live.listLogLines('entry-1', ['work-cut']).length > 0)
    session.record('its log', `\n${live.listLogLines('entry-1', ['process-leaving', 'work-cut']).join('\n')}`)
    t.snapshot(session.lines.join('\n'))
  } finally {
    await live.kill()
  }
})

// Guards against a demo that fails or whose output changes.
test.serial('the demo succeeds and prints the expected output', async t => {
  const child = spawn(process.execPath, ['dist/demo/main.js'], { env: { ...process.env, DEMO_FIRST_PORT: String(await findBasePort()) }, stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', (data: Buffer) => { output += data.toString() })
  const [code] = await once(child, 'close')
  const masked = maskVaryingParts(output).replace(/use \S+ \(\w+\) or \S+ \(\w+\)/, 'use <both entries>')
  t.is(code, 0, output)
  t.snapshot(masked)
})
