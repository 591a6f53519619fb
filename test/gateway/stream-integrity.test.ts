import test from 'ava'
import { startHarness } from './harness.js'
import type { Harness, Script } from './harness.js'

const EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'

/** Streams two events and breaks off in the middle of the third. */
const breakOff: Script = (request, response) => {
  response.setHeader('Content-Type', 'text/event-stream')
  response.write(`${EVENTS}id: `, () => { setTimeout(() => { request.socket.destroy() }, 20) })
}

/** Answers with an error that a caller must not find in its stream. */
function answerError (status: number, headers: Readonly<Record<string, string>> = {}): Script {
  return (_request, response) => {
    response.statusCode = status
    for (const [name, value] of Object.entries(headers)) response.setHeader(name, value)
    response.end('error text\n\n')
  }
}

async function callOnce (scripts: Readonly<Record<string, Script | undefined>>, repeat: Parameters<typeof startHarness>[0] = 'resumable-stream'): Promise<{ readonly harness: Harness, readonly isComplete: boolean, readonly body: string, readonly status: number }> {
  const harness = await startHarness(repeat, scripts)
  const got = await harness.call().finally(() => { harness.close() })
  return { harness, ...got }
}

// Guards against the error of the next endpoint in the middle of a stream, and against a stream that breaks off but looks complete.
test('an error that an endpoint answers to the rest of a stream never reaches the caller', async t => {
  const results: Record<string, unknown> = {}
  for (const status of [201, 204, 206, 301, 400, 404, 409, 410, 422, 429, 500, 502, 503, 504]) {
    const { isComplete, body, status: callerStatus } = await callOnce({ e1: breakOff, e2: answerError(status) })
    results[status] = { callerStatus, isComplete, isWhole: body === EVENTS }
  }
  t.snapshot(results)
})
