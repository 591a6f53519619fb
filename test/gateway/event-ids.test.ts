import test from 'ava'
import fc from 'fast-check'
import { platformDialect } from '../../platform/dialect.js'
import { EventOrder } from '../../src/gateway/event-order.js'
import { EventSplitter } from '../../src/gateway/events.js'
import { startHarness } from './harness.js'
import type { Script } from './harness.js'
import { PROPERTY } from './property.js'

const rest: Script = (request, response) => {
  response.setHeader('Content-Type', 'text/event-stream')
  for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= 3; id += 1) response.write(`id: ${id}\ndata: x\n\n`)
  response.end()
}

/** Sends events and breaks off. */
function breakOffAfter (events: string): Script {
  return (request, response) => {
    response.setHeader('Content-Type', 'text/event-stream')
    response.write(Buffer.from(events, 'latin1'), () => { setTimeout(() => { request.socket.destroy() }, 20) })
  }
}

const WHOLE = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n'

/** Events whose last id cannot stand in a header. */
const SPOILT: Readonly<Record<string, string>> = {
  'the first id': 'id: \x11\ndata: x\n\n',
  'an id after two good events': 'id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: \x13\ndata: x\n\n',
  'the second id of an event': 'id: 1\nid: \x11\ndata: x\n\n',
  'a zero byte': 'id: 1\ndata: x\n\nid: 2\x00\ndata: x\n\n'
}

// Guards against review/4: the id of a spoilt event, sent on to resume the stream, ended the gateway, or left the stream hanging until its time limit.
test('a stream is not resumed after an event whose id cannot be sent', async t => {
  for (const [name, events] of Object.entries(SPOILT)) {
    for (const parts of [undefined, ['a', 'b']]) {
      const harness = await startHarness('resumable-stream', { e1: breakOffAfter(events), e2: rest })
      const startedAtMs = performance.now()
      const { body, isComplete } = await harness.call({ deadlineMs: 2_000, ...(parts === undefined ? {} : { parts }) })
      harness.close()
      t.deepEqual([body, isComplete], [WHOLE, true], name)
      t.true(performance.now() - startedAtMs < 1_000, name)
    }
  }
})

/** Pieces of a whole stream. */
const PIECES = 6

function formatEvent (id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`
}

/** Sends the rest of a stream, as `Last-Event-Id` asks for. */
function streamUntil (last: number): Script {
  return (request, response) => {
    response.setHeader('Content-Type', 'text/event-stream')
    for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= last; id += 1) response.write(formatEvent(id))
    response.end()
  }
}

/** Data of the events that a caller reads in a stream, by the specification of server-sent events. */
function readPieces (stream: string): readonly string[] {
  return stream.split(/(?:\r\n|\n|\r)(?:\r\n|\n|\r)/).flatMap(block => {
    const lines = block.split(/\r\n|\n|\r/).flatMap(line => /^data: ?(.*)$/s.exec(line)?.[1] ?? [])
    return lines.length === 0 ? [] : [lines.join('\n')]
  })
}

/** How the answer of the first endpoint ends: after the damaged event, after the next one, or with the stream. */
type Ending = 'break' | 'break-after-next' | 'whole'

interface DamagedStream {
  readonly last: number
  readonly damagedId: number
  /** Line with the id of that event, without its line end. */
  readonly idLine: Buffer
  readonly ending: Ending
}

function sendDamaged ({ last, damagedId, idLine, ending }: DamagedStream): Script {
  const sentIds = ending === 'whole' ? last : Math.min(last, ending === 'break' ? damagedId : damagedId + 1)
  const events = Array.from({ length: sentIds }, (_value, index) => index + 1 === damagedId
    ? Buffer.concat([idLine, Buffer.from(`\ndata: piece ${damagedId}\n\n`)])
    : Buffer.from(formatEvent(index + 1)))
  return (request, response) => {
    response.setHeader('Content-Type', 'text/event-stream')
    if (ending === 'whole') response.end(Buffer.concat(events))
    else response.write(Buffer.concat(events), () => { request.socket.end() })
  }
}

/** Plays streams one after the other. @returns faults in what the caller got */
async function playDamaged (streams: readonly DamagedStream[]): Promise<readonly string[]> {
  const faults: string[] = []
  let first: Script = () => {}
  let second: Script = () => {}
  const harness = await startHarness('resumable-stream', { e1: (...call) => { first(...call) }, e2: (...call) => { second(...call) } })
  for (const stream of streams) {
    first = sendDamaged(stream)
    second = streamUntil(stream.last)
    // The harness gives up endpoints that fail; each run starts with a sound one.
    for (const id of ['e1', 'e2']) harness.context.forget(id)
    const startedAtMs = performance.now()
    const { status, body, isComplete } = await harness.call()
    const expected = Array.from({ length: stream.last }, (_value, index) => `piece ${index + 1}`)
    const pieces = readPieces(body)
    const isWhole = status === 200 && isComplete && pieces.join() === expected.join()
    const isCut = !isComplete && pieces.join() === expected.slice(0, pieces.length).join()
    if (!isWhole && !isCut) faults.push(`${JSON.stringify({ ...stream, idLine: stream.idLine.toString('latin1') })}: ${status} ${JSON.stringify(body)}`)
    if (performance.now() - startedAtMs > 1_000) faults.push(`${JSON.stringify(stream)}: late`)
  }
  faults.push(...harness.lines.filter(line => line.includes('"internal-error"')))
  harness.close()
  return faults
}

const ENDINGS: readonly Ending[] = ['break', 'break-after-next', 'whole']

// Guards against an id that one part of the gateway checks and another one, which reads it otherwise, sends on.
test('a stream whose endpoint sends any bytes for an id reaches its caller whole, or is cut', async t => {
  const odd = ['1\rx', '\r1', '2\rid: 1', '1é', '', ' 1', '1 ', '01', '+1', '1e0', '0x1', '1.0', '-1', '1\x00', '\x7f', '1'.repeat(60_000), '999999999999999', '1000000000000000', '٣', '1\n\nid: 2', 'NaN']
  const streams: DamagedStream[] = []
  for (const damagedId of [1, 3]) {
    for (const ending of ENDINGS) for (const text of odd) streams.push({ last: PIECES, damagedId, idLine: Buffer.from(`id: ${text}`, 'latin1'), ending })
    for (const line of ['id', 'id:', 'id: 1\nid:', 'id:9\nid', 'Id: 1', 'id : 1']) streams.push({ last: PIECES, damagedId, idLine: Buffer.from(line), ending: 'break' })
  }
  t.deepEqual(await playDamaged(streams), [])
  const ids = fc.oneof(fc.uint8Array({ maxLength: 6 }).map(bytes => Buffer.from(bytes)), fc.string({ unit: fc.constantFrom('1', '3', '9', '0', '\r', '\n', ' ', ':', 'id', '\0'), maxLength: 6 }).map(text => Buffer.from(text)))
  const damaged = fc.record({ last: fc.constant(PIECES), damagedId: fc.integer({ min: 1, max: PIECES }), idLine: ids.map(id => Buffer.concat([Buffer.from('id: '), id])), ending: fc.constantFrom(...ENDINGS) })
  t.deepEqual(await playDamaged(fc.sample(damaged, { ...PROPERTY, numRuns: Math.min(PROPERTY.numRuns, 20_000) })), [])
})

// Guards against a stream that is resumed after a damaged id, which is a number like any other, and lacks the events before it.
test('a stream with one wrong bit in an id reaches its caller whole, or is cut', async t => {
  const streams: DamagedStream[] = []
  for (let last = 1; last <= PIECES; last += 1) {
    for (let damagedId = 1; damagedId <= last; damagedId += 1) {
      const idLine = Buffer.from(`id: ${damagedId}`)
      for (let bit = 0; bit < 8 * idLine.length; bit += 1) {
        const damaged = Buffer.from(idLine)
        damaged[bit >> 3]! ^= 1 << (bit & 7)
        for (const ending of ENDINGS) streams.push({ last, damagedId, idLine: damaged, ending })
      }
    }
  }
  t.deepEqual(await playDamaged(streams), [])
})

// Guards against endpoints whose events cannot be passed on because their ids leave out numbers, and against waits for more than one event.
test('an event that leaves out ids is passed on with the next one, or at the end of the stream', async t => {
  const splitter = EventSplitter.create(EventOrder.create({ isResumable: true, parseId: platformDialect.parseEventId }))
  const batches = [formatEvent(5), ': c\n\n', formatEvent(10), formatEvent(15), formatEvent(40)].map(event => splitter.add(Buffer.from(event)))
  t.deepEqual(batches.map(batch => batch === undefined ? undefined : { pieces: readPieces(batch.bytes.toString()), count: batch.count, lastId: Number(batch.lastId) }), [
    undefined, undefined, { pieces: ['piece 5', 'piece 10'], count: 2, lastId: 10 }, { pieces: ['piece 15'], count: 1, lastId: 15 }, { pieces: ['piece 40'], count: 1, lastId: 40 }
  ])
  const harness = await startHarness('resumable-stream', { e1: (_request, response) => { response.end(`${formatEvent(1)}${formatEvent(7)}`) } })
  const { body, isComplete } = await harness.call()
  harness.close()
  t.deepEqual([readPieces(body), isComplete], [['piece 1', 'piece 7'], true])
})

// Guards against a stream that waits for ever for the event that would confirm a damaged id.
test('a stream that stands still after an event that leaves out ids is resumed before that event', async t => {
  const harness = await startHarness('resumable-stream', { e1: (_request, response) => { response.write(`${formatEvent(1)}id: 6\ndata: piece 2\n\n`) }, e2: streamUntil(3) }, { timeoutMs: 5_000 })
  // As the process does in its housekeeping.
  const timer = setInterval(() => { for (const exchange of harness.context.listExchanges()) exchange.checkLiveness(performance.now()) }, 100)
  const startedAtMs = performance.now()
  const { body, isComplete } = await harness.call({ deadlineMs: 4_000 })
  clearInterval(timer)
  harness.close()
  t.deepEqual([readPieces(body), isComplete], [['piece 1', 'piece 2', 'piece 3'], true])
  t.true(performance.now() - startedAtMs < 2_000)
})

// Guards against an event that callers drop, as its data is damaged, and that a resumed stream does not repeat.
test('an event without data is not one of the stream', async t => {
  for (const events of ['id: 1\nxata: piece 1\n\n', 'id: 1\n\n', 'id: 1\n\nid: 2\ndata: piece 2\n\n']) {
    const harness = await startHarness('resumable-stream', { e1: breakOffAfter(events), e2: streamUntil(3) })
    const { body, isComplete } = await harness.call()
    harness.close()
    t.deepEqual([readPieces(body), isComplete], [['piece 1', 'piece 2', 'piece 3'], true], events)
  }
})

// Guards against events that depend on how their bytes were split on the way.
test('the events of a stream are the same however its bytes arrive', t => {
  const pieces = fc.array(fc.constantFrom('id: 1', 'id: 2', 'id: 3', 'data: x', 'data', ': c', '\n', '\r\n', '\r', '\n\n', '\r\n\r\n', '\r\r', 'x', '7'), { maxLength: 30 }).map(parts => Buffer.from(parts.join('')))
  const split = (bytes: Buffer, cuts: readonly number[]): { readonly text: string, readonly count: number, readonly lastId: number | undefined, readonly isForeign: boolean, readonly rest: string } => {
    const splitter = EventSplitter.create(EventOrder.create({ isResumable: true, parseId: platformDialect.parseEventId }))
    const ends = [...new Set([...cuts.map(cut => cut % (bytes.length + 1)), bytes.length])].sort((a, b) => a - b)
    let text = ''
    let count = 0
    let lastId: number | undefined
    let start = 0
    for (const end of ends) {
      const batch = splitter.add(bytes.subarray(start, end))
      start = end
      text += batch?.bytes.toString('latin1') ?? ''
      count += batch?.count ?? 0
      lastId = batch?.lastId ?? lastId
      if (splitter.isForeign) break
    }
    return { text, count, lastId, isForeign: splitter.isForeign, rest: splitter.isForeign ? '' : splitter.getRemainder().toString('latin1') }
  }
  fc.assert(fc.property(pieces, fc.array(fc.nat(200), { maxLength: 8 }), (bytes, cuts) => {
    t.like(split(bytes, cuts), split(bytes, []))
  }), { ...PROPERTY, numRuns: 5 * PROPERTY.numRuns })
})

// Guards against a caller's id that is sent on without a check, and against one that cannot be used and starts the stream again.
test('a caller resumes a stream only after an id', async t => {
  const harness = await startHarness('resumable-stream', { e1: streamUntil(3) })
  const results: Record<string, string> = {}
  for (const id of ['2', '', '0', '02', '-1', '1e0', '9'.repeat(16), 'x', '1,2']) {
    const { status, body } = await harness.call({ headers: { 'last-event-id': id } })
    results[id] = `${status} ${readPieces(body).join(', ')}`
  }
  harness.close()
  t.snapshot([results, harness.received['e1']])
})
