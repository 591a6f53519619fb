import test from 'ava'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { Metrics } from '../../src/edge/metrics/metrics.js'
import { METRICS } from '../../src/edge/metrics/table.js'

const PROCESS_LINES = /^heatherdoor_(resident_bytes|cpu_seconds)/

// Guards against renamed metrics, and against unbounded label values, which would use up the memory of a process.
test('format returns the metrics of the table with bounded labels', async t => {
  const metrics = Metrics.create({ role: 'entry' })
  metrics.count('requests', 'overloaded')
  metrics.count('requests', 'text from a caller')
  metrics.count('requests')
  metrics.count('no_such_metric')
  metrics.count('request_ms')
  metrics.observe('requests', 3)
  metrics.observe('members', Number.NaN)
  metrics.observe('cap', 16)
  metrics.observe('members', 16)
  metrics.observe('members', 12)
  metrics.observe('request_ms', 42, 'bookings')
  for (let index = 0; index < 100; index += 1) metrics.count('requests_received', `service-${index}`)
  const lines = (await metrics.format()).split('\n').filter(line => !PROCESS_LINES.test(line))
  t.is(lines.filter(line => line.startsWith('heatherdoor_requests_received_total')).length, 65)
  t.true(lines.includes('heatherdoor_requests_received_total{service="other",role="entry"} 36'))
  t.snapshot(lines.filter(line => !line.startsWith('heatherdoor_requests_received_total')).join('\n'))
})

// Guards against kernel effects with a metric that is missing in the table and so is only counted as unlisted.
test('every metric used in kernel code is in the table', t => {
  const known = new Set(Object.values(METRICS).flatMap(table => Object.keys(table)))
  const files = readdirSync('src', { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.ts'))
  let found = 0
  for (const file of files) {
    const text = readFileSync(join('src', file), 'utf8')
    for (const [, name] of text.matchAll(/kind: '(?:count|observe)', metric: '([^']+)'/g)) {
      found += 1
      t.true(known.has(name!), `${file}: ${name}`)
    }
  }
  t.true(found > 0)
})
