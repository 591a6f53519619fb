import test from 'ava'
import { run } from '../../bench/drill.js'

// Guards against bookings lost or doubled, endpoints overrun and late new work while a failure domain leaves and returns.
test('the drill loses and doubles no booking and overruns no endpoint', t => {
  const { columns, rows } = run({ seed: 1 })
  const findColumn = (name: string): number => columns.indexOf(name)
  const heatherdoorRows = rows.filter(row => row[findColumn('system')] === 'heatherdoor')
  t.is(heatherdoorRows.length, 12)
  for (const row of heatherdoorRows) {
    const label = row.slice(0, 4).join(' ')
    // In a domain that dies without notice a booking may run at that moment; its caller is told "unknown".
    if (row[findColumn('domain')] === 'taken out') t.is(row[findColumn('not done')], 0, label)
    t.is(row[findColumn('doubled')], 0, label)
    t.is(row[findColumn('crashes')], 0, label)
    t.true(Number(row[findColumn('no new work after s')]) <= 5, label)
  }
})
