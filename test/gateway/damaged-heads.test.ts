import test from 'ava'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { RepeatPolicy } from '../../src/gateway/model.js'
import { formatProof, startHarness } from './harness.js'
import type { CallerAnswer, Harness, Script } from './harness.js'
import { PROPERTY } from './property.js'

const STREAM = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
const BODY = 'whole body'

/** Gives what follows the head its framing. */
type Framing = 'length' | 'chunks' | 'connection'
const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'connection']

function formatHead (request: IncomingMessage, framing: Framing, body: string): string {
  const line = { length: `Content-Length: ${body.length}\r\n`, chunks: 'Transfer-Encoding: chunked\r\n', connection: '' }[framing]
  return `HTTP/1.1 200 OK\r\n${formatProof(request)}Connection: close\r\n${line}\r\n`
}

/** Frames a body, in two chunks of unequal size. */
function formatBody (framing: Framing, body: string): string {
  if (framing !== 'chunks') return body
  const chunks = [body.slice(0, 4), body.slice(4), '']
  return chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')
}

const others: Script = (_request, response) => { response.end('of the other') }
const otherStream: Script = (request, response) => {
  for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= 2; id += 1) response.write(`id: ${id}\ndata: ${id === 1 ? 'a' : 'b'}\n\n`)
  response.end()
}

/** Closes the connection of an endpoint after it has written part of an answer. */
type Close = (socket: Socket, part: string) => void
const CLOSES: Readonly<Record<string, Close>> = {
  end: (socket, part) => { socket.end(part) },
  reset: (socket, part) => { socket.write(part, () => { socket.resetAndDestroy() }) },
  'two pieces': (socket, part) => {
    socket.write(part.slice(0, part.length >> 1))
    setTimeout(() => { socket.end(part.slice(part.length >> 1)) }, 2)
  }
}

/** Harness whose first endpoint answers as `answer.script` says; it is sound again before each call. */
async function startDamaged (repeat: RepeatPolicy, scripts: Readonly<Record<string, Script>>, answer: { script: Script }): Promise<{ readonly harness: Harness, call (): Promise<CallerAnswer> }> {
  const harness = await startHarness(repeat, { e1: (...call) => { answer.script(...call) }, ...scripts }, { attemptsMax: Object.keys(scripts).length + 1 })
  let nextId = 100_000
  return {
    harness,
    call: async () => {
      for (const id of ['e1', 'e2', 'e3']) harness.context.forget(id)
      // Ids of one length, so that the places in a head stay the same.
      nextId += 1
      return await harness.call({ headers: { 'heatherdoor-request-id': `d${nextId}` } })
    }
  }
}

/** Lists cuts inside a head: all of them by hand, otherwise some and those near its end. */
function listCuts (length: number): readonly number[] {
  const step = PROPERTY.numRuns >= 1_000 ? 1 : 7
  return Array.from({ length }, (_value, cut) => cut).filter(cut => (cut + PROPERTY.seed) % step === 0 || cut > length - 8)
}

const LOST = '502 "The connection to the endpoint process was lost." complete'

/** Answers by kind of request when an endpoint closes inside the head of its answer and another one is sound. */
const AFTER_CUT: Readonly<Record<RepeatPolicy, string>> = {
  idempotent: '200 "of the other" complete',
  'at-most-once': LOST,
  'resumable-stream': `200 ${JSON.stringify(STREAM)} complete`,
  'at-most-once-stream': LOST
}

function formatAnswer ({ status, body, isComplete }: CallerAnswer): string {
  return `${status} ${JSON.stringify(body)} ${isComplete ? 'complete' : 'cut'}`
}

// Guards against an operators' report: an endpoint closed inside the head of its answer, and the caller got a success with an empty or short body.
test('an answer that is cut inside its head is never a success', async t => {
  const faults: string[] = []
  for (const repeat of Object.keys(AFTER_CUT) as readonly RepeatPolicy[]) {
    const isStream = repeat.endsWith('stream')
    const answer = { script: others }
    const { harness, call } = await startDamaged(repeat, { e2: isStream ? otherStream : others }, answer)
    for (const framing of FRAMINGS) {
      for (const [how, close] of Object.entries(CLOSES)) {
        let head = ''
        let cut = 0
        answer.script = request => {
          head = formatHead(request, framing, isStream ? STREAM : BODY)
          close(request.socket, head.slice(0, cut))
        }
        await call()
        for (cut of listCuts(head.length)) {
          const got = formatAnswer(await call())
          if (got !== AFTER_CUT[repeat]) faults.push(`${repeat}, ${framing}, ${how} after ${cut} of ${head.length}: ${got}`)
        }
      }
    }
    t.is(harness.lines.filter(line => line.includes('"internal-error"')).length, 0)
    harness.close()
  }
  t.deepEqual(faults, [])
})

// Guards against the same report in the rest of a stream, whose caller has a complete head of another endpoint.
test('the rest of a stream whose head is cut is sent by the next endpoint', async t => {
  const faults: string[] = []
  const answer = { script: others }
  const beginStream: Script = request => { request.socket.end(`${formatHead(request, 'chunks', '')}f\r\nid: 1\ndata: a\n\n\r\n`) }
  const { harness, call } = await startDamaged('resumable-stream', { e2: (...call) => { rest.script(...call) }, e3: otherStream }, answer)
  const rest = { script: others }
  answer.script = beginStream
  for (const framing of FRAMINGS) {
    for (const [how, close] of Object.entries(CLOSES)) {
      let head = ''
      let cut = 0
      rest.script = request => {
        head = formatHead(request, framing, STREAM)
        close(request.socket, head.slice(0, cut))
      }
      await call()
      for (cut of listCuts(head.length)) {
        const got = formatAnswer(await call())
        if (got !== AFTER_CUT['resumable-stream']) faults.push(`${framing}, ${how} after ${cut} of ${head.length}: ${got}`)
      }
    }
  }
  harness.close()
  t.deepEqual(faults, [])
})

/** Plays an answer with each single bit of its head wrong. @returns the answers that were not expected, by the damaged byte and the byte that was sent instead */
async function playWrongBits (repeat: RepeatPolicy, framing: Framing, expected: readonly string[]): Promise<readonly string[]> {
  const isStream = repeat.endsWith('stream')
  const body = isStream ? STREAM : BODY
  const answer = { script: others }
  const { harness, call } = await startDamaged(repeat, { e2: isStream ? otherStream : others }, answer)
  const faults: string[] = []
  let bits = 1
  for (let bit = 0; bit < bits; bit += 1) {
    let place = ''
    answer.script = request => {
      const head = Buffer.from(formatHead(request, framing, body))
      bits = 8 * head.length
      const at = bit >> 3
      const line = head.toString('latin1', head.lastIndexOf('\n', at - 1) + 1, at)
      head[at]! ^= 1 << (bit & 7)
      place = `${JSON.stringify(line)} then ${JSON.stringify(String.fromCharCode(head[at]!))}`
      request.socket.end(Buffer.concat([head, Buffer.from(formatBody(framing, body))]))
    }
    const got = formatAnswer(await call())
    // Another status that may have a body is not to be told from a sound one.
    if (!expected.includes(got.replace(/^(2..|300)/, '200'))) faults.push(`${place}: ${got}`)
  }
  harness.close()
  return faults
}

// Guards against chunks that are passed on as the body itself, with the proof of an endpoint, because the header that names them is damaged.
test('a head with one wrong bit never makes its chunks the body', async t => {
  for (const [repeat, sound] of [['idempotent', BODY], ['at-most-once', BODY], ['resumable-stream', STREAM], ['at-most-once-stream', STREAM]] as const) {
    const whole = `200 ${JSON.stringify(sound)} complete`
    t.deepEqual(await playWrongBits(repeat, 'chunks', [whole, AFTER_CUT[repeat]]), [], repeat)
  }
})

// Guards against short bodies that could be told from whole ones. The rest of a body after a shorter length looks like the bytes that an endpoint may send after a complete answer.
test('a head with one wrong bit shortens a body only by a shorter length', async t => {
  t.snapshot(await playWrongBits('idempotent', 'length', [`200 ${JSON.stringify(BODY)} complete`, AFTER_CUT.idempotent]))
})

// Guards against refusals that nobody can explain: right after the start of a gateway its part of the retry budget is small, as it cannot know what it spent before.
test('a request that is not sent again says why in the log', async t => {
  const answer: { script: Script } = { script: request => { request.socket.end('HTTP/1.1 200 OK\r\nHea') } }
  const { harness, call } = await startDamaged('idempotent', { e2: others }, answer)
  harness.context.retries.setBounds({ ratio: 0.2, windowMs: 10_000, extra: 92 })
  const statuses: number[] = []
  for (let count = 0; count < 20; count += 1) statuses.push((await call()).status)
  harness.close()
  const reasons = harness.lines.flatMap(line => /"event":"request-refused".*"noRetry":"([^"]*)"/.exec(line)?.[1] ?? [])
  t.snapshot({ answered: statuses.filter(status => status === 200).length, failed: statuses.filter(status => status === 502).length, reasons: [...new Set(reasons)], count: reasons.length })
})
