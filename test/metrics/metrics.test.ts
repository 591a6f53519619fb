import test from 'ava'
import { Metrics } from '../../src/edge/metrics/metrics.js'

const PROCESS_LINES = /^heatherdoor_(resident_bytes|cpu_seconds)/

// Guards against renamed metrics and label sets without bound, which fill a process's memory.
test('the page shows the closed table with bounded labels', async t => {
  const metrics = Metrics.create({ role: 'entry' })
  metrics.count('errors_total', 'overloaded')
  metrics.count('errors_total', 'text from a caller')
  metrics.count('errors_total')
  metrics.count('no_such_metric')
  metrics.count('request_ms')
  metrics.observe('errors_total', 3)
  metrics.observe('members', Number.NaN)
  metrics.observe('cap', 16)
  metrics.observe('members', 16)
  metrics.observe('members', 12)
  metrics.observe('request_ms', 42, 'bookings')
  for (let index = 0; index < 100; index += 1) metrics.count('requests_total', `service-${index}`)
  const lines = (await metrics.format()).split('\n').filter(line => !PROCESS_LINES.test(line))
  t.is(lines.filter(line => line.startsWith('heatherdoor_requests_total')).length, 65)
  t.true(lines.includes('heatherdoor_requests_total{service="other",role="entry"} 36'))
  t.snapshot(lines.filter(line => !line.startsWith('heatherdoor_requests_total')).join('\n'))
})
