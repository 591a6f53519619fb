import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { Runner } from '../../src/edge/endpoint/runner.js'
import type { KernelEvent } from '../../src/kernel/events.js'
import type { Submit } from '../../src/protocol/messages.js'

const BODY = 'data: {"text":"x"}\n\ndata: [DONE]\n\n'

/** Answers with a whole stream, and those that end with their head. */
const STATUSES = ['000 ', '000 OK', '000', '0 OK', '99 Low', '099 Low', '600 High', '999 High', '2000 Long', '-200 OK', '20 OK', '200 OK', '200 ', '200', '599 Last']
const STATUSES_WITHOUT_END = ['100 Continue', '101 Switching', '103 Early Hints', '199 Low']

/** Time after which an answer that has not ended is given up, in ms. */
const GIVE_UP_MS = 1_000

/** Describes what reaches the kernel, which passes heads and chunks on to callers. */
async function describeRun (runner: Runner, events: KernelEvent[], resumeFrom: number | undefined): Promise<string> {
  events.length = 0
  const endMs = performance.now() + GIVE_UP_MS
  runner.run({ workId: 'w', requestId: 'r', method: 'POST', path: '/', headers: [], body: Buffer.from('x'), terms: { priority: 'normal' }, ...(resumeFrom === undefined ? {} : { resumeFrom }) } as unknown as Submit)
  while (!events.some(({ kind }) => kind === 'endpoint-ended' || kind === 'endpoint-failed')) {
    if (performance.now() > endMs) runner.abort('w')
    await wait(5)
  }
  return events.map(event => event.kind === 'endpoint-head' ? `head ${event.status}` : event.kind.replace('endpoint-', '')).join(', ')
}

// Guards against an operators' report: an answer with the status 000 reached a client as an answer.
test('no answer with a status outside 200 to 599 leaves an endpoint process, on a first attempt or on a resumed stream', async t => {
  let answer = ''
  const server = createServer(socket => { socket.on('error', () => {}).on('data', () => { socket.write(answer) }) }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const events: KernelEvent[] = []
  const runner = Runner.create({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, fence: 1, dispatch: event => { events.push(event) } })
  const lines: string[] = []
  for (const resumeFrom of [undefined, 3]) {
    for (const status of [...STATUSES, ...STATUSES_WITHOUT_END]) {
      const rest = STATUSES_WITHOUT_END.includes(status) ? '\r\n' : `content-type: text/event-stream\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`
      answer = `HTTP/1.1 ${status}\r\n${rest}`
      const result = await describeRun(runner, events, resumeFrom)
      lines.push(`${resumeFrom === undefined ? 'first' : 'resumed'} "${status}": ${result}`)
      if (!/^(200|599)/.test(status)) t.is(result, 'failed', status)
    }
  }
  await runner.stop()
  server.close()
  t.snapshot(lines)
})
