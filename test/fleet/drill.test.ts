import test from 'ava'
import { run } from '../../bench/drill.js'

// Guards against lost or duplicated bookings, overloaded endpoints, and new work that
// starts in a failure domain more than 5 s after it was taken out, while the domain leaves and returns.
test('the failure domain drill loses no booking, runs none twice and overloads no endpoint', t => {
  const { columns, rows } = run({ seed: 1 })
  const findColumn = (name: string): number => columns.indexOf(name)
  const heatherdoorRows = rows.filter(row => row[findColumn('system')] === 'heatherdoor')
  t.is(heatherdoorRows.length, 12)
  for (const row of heatherdoorRows) {
    const label = row.slice(0, 4).join(' ')
    // If a domain fails without notice, a booking may be running; its caller is told "unknown".
    if (row[findColumn('domain')] === 'taken out') t.is(row[findColumn('not done')], 0, label)
    t.is(row[findColumn('doubled')], 0, label)
    t.is(row[findColumn('crashes')], 0, label)
    t.true(Number(row[findColumn('no new work after s')]) <= 5, label)
  }
})
