import test from 'ava'
import { buildKey, buildProcessRef, buildSubmit } from './harness.js'
import { RECORDS_MAX, Records } from '../../src/plugins/outcomes/records.js'
import { formatScope } from '../../src/plugins/outcomes/table.js'
import type { RecordState } from '../../src/plugins/outcomes/table.js'

function addRecord (records: Records, team: string, index: number, state: RecordState): void {
  const work = buildSubmit(`w${index}`, { team, key: buildKey(`${team}${index}`, index % 3) })
  records.update({ table: records.ownTable, scope: formatScope(team, work.service, work.key!) }, work, state)
}

// Guards against one team filling the table for all with refused keys, and against records that outlive their retention time.
test('one team cannot fill the table for the others; expired records are removed', t => {
  const records = Records.create(buildProcessRef('h1'))
  for (let index = 0; index < RECORDS_MAX && !records.isFull('large'); index++) addRecord(records, 'large', index, { kind: 'closed' })
  t.is(records.countRecords(), RECORDS_MAX / 2)
  t.false(records.isFull('small'))
  records.removeExpired(31 * 30_000)
  t.is(records.countRecords(), records.ownTable.list().filter(([, record]) => record.window > 0).length)
  t.is(records.ownTable.countByTeam('large'), records.countRecords())
  records.removeExpired(40 * 30_000)
  t.deepEqual([records.countRecords(), records.ownTable.countByTeam('large')], [0, 0])
})

// Guards against stored responses that exhaust the memory of the process.
test('the size of stored responses is limited; the records stay', t => {
  const records = Records.create(buildProcessRef('h1'))
  const chunks = [new Uint8Array(60_000)]
  for (let index = 0; index < 300; index++) addRecord(records, 't', index, { kind: 'run', response: { status: 200, headers: [], chunks } })
  t.is(records.countRecords(), 300)
  t.true(records.ownTable.responseBytes <= 8 * 1024 * 1024)
  t.true(records.ownTable.responseBytes > 7 * 1024 * 1024 - 60_000)
})
