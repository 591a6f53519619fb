import test from 'ava'
import { Metrics } from '../../src/edge/metrics/metrics.js'
import { Operations } from '../../src/edge/operations.js'
import { OperatorKeys } from '../../src/edge/security/credentials.js'

// Guards against gauges that stay at 0 because they are not updated when the metrics are fetched.
test('/metrics returns the current state of the process', async t => {
  const ports: Readonly<Record<string, unknown>> = {
    configuration: { getCurrent: () => ({ version: 7 }) },
    membership: { listPeers: () => [{}, {}, {}], listEntries: () => [{}, {}] },
    requests: { countInFlight: () => 4 }
  }
  const kernel = { self: { role: 'entry' }, getPort: (name: string) => ports[name] }
  const operations = Operations.create({ kernel: kernel as never, metrics: Metrics.create({ role: 'entry' }), operators: OperatorKeys.create('') })
  const { body } = await operations.handleRequest('/metrics', undefined)
  for (const line of ['configuration_version{role="entry"} 7', 'peers{role="entry"} 3', 'members{role="entry"} 2', 'requests_in_flight{role="entry"} 4']) {
    t.true(body.split('\n').includes(`heatherdoor_${line}`), line)
  }
})
