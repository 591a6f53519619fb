import test from 'ava'
import type { Script } from './harness.js'
import { formatProof, startHarness } from './harness.js'

/** Status lines that no answer may reach a caller with; those below 200 announce another answer, which never comes. */
const STATUS_LINES = ['000 ', '000 OK', '000', '0 OK', '99 Low', '099 Low', '600 High', '999 High', '2000 Long', '-200 OK', '20 OK', '100 Continue', '103 Early Hints', '199 Low']

const ODD_BODY = 'id: 2\ndata: odd\n\n'

/** Answers with a status line of its own, and with all that an answer needs besides. */
function answerWith (line: string): Script {
  return request => {
    request.socket.on('error', () => {})
    request.socket.end(`HTTP/1.1 ${line}\r\n${formatProof(request)}Content-Type: text/event-stream\r\nContent-Length: ${ODD_BODY.length}\r\n\r\n${ODD_BODY}`)
  }
}

const whole: Script = (_request, response) => { response.end('whole') }

// Guards against an operators' report: an answer with the status 000 reached a client as an answer.
test('no answer with a status outside 200 to 599 reaches a caller, on a first attempt or as the rest of a stream', async t => {
  for (const line of STATUS_LINES) {
    const repeated = await startHarness('idempotent', { e1: answerWith(line), e2: whole })
    const first = await repeated.call()
    repeated.close()
    t.deepEqual([first.status, first.body], [200, 'whole'], line)

    const once = await startHarness('at-most-once', { e1: answerWith(line) })
    const only = await once.call()
    once.close()
    t.is(only.status, 502, line)
    t.false(only.body.includes('odd'), line)

    const stream = await startHarness('resumable-stream', {
      e1: (_request, response) => {
        response.setHeader('Content-Type', 'text/event-stream')
        response.write('id: 1\ndata: a\n\n', () => { response.destroy() })
      },
      e2: answerWith(line)
    })
    const resumed = await stream.call()
    stream.close()
    t.deepEqual([resumed.status, resumed.body, resumed.isComplete], [200, 'id: 1\ndata: a\n\n', false], line)
  }
})
