import test from 'ava'
import { Logger } from '../../src/edge/log/logger.js'
import type { LogEvent } from '../../src/kernel/log-events.js'

// Guards against bodies and keys in the log, fields that overwrite the properties
// of every line, and lines of one process written by the logger of another.
test('lines have time, process, event and redacted fields', t => {
  const lines: string[] = []
  const first = Logger.create({ processId: 'entry-1', write: line => { lines.push(line) } })
  const second = Logger.create({ processId: 'entry-2', write: line => { lines.push(`second ${line}`) } })
  first.write('process-started', { version: 3, leaving: false })
  second.write('request-refused', { error: 'overloaded 100 %d', body: 'text', keyText: 'k', time: 'now', long: 'x'.repeat(1000) })
  first.write('no-such-event' as LogEvent, { peer: 'a' })
  t.is(lines.length, 3)
  t.snapshot(lines.map(line => line.replace(/"time":"[^"]+Z"/, '"time":"T"')))
})
