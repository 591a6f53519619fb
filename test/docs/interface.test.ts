import test from 'ava'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { METRICS } from '../../src/edge/metrics/table.js'
import { ERROR_RESPONSES } from '../../src/kernel/errors.js'
import { LOG_EVENTS } from '../../src/kernel/log-events.js'

const PAGE = readFileSync(fileURLToPath(new URL('../../../docs/interface.md', import.meta.url)), 'utf8')

// Guards against metrics, log events and error kinds that docs/interface.md does not name.
test('the interface page names every metric, log event and error kind', t => {
  const metrics = Object.entries({ ...METRICS.entry, ...METRICS.endpoint, ...METRICS.gateway })
    .map(([name, { type }]) => `heatherdoor_${name}${type === 'counter' ? '_total' : ''}`)
  const names = [...metrics, ...LOG_EVENTS, ...Object.keys(ERROR_RESPONSES)]
  t.deepEqual(names.filter(name => !PAGE.includes(`\`${name}\``)), [])
})
