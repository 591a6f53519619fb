import test from 'ava'
import { Agent } from 'undici'
import { Service } from '../../standins/service/service.js'
import { sendCall, waitFor } from './tools.js'
import type { CallResult } from './tools.js'

const BOOKING = { board: 'oak' }

// Guards against uncounted runs: every at-most-once check relies on these counters.
test.serial('each run is counted, also when its answer is lost', async t => {
  const service = await Service.start({ serviceMs: 1, checksFencing: true })
  t.teardown(async () => { await service.stop() })
  const session: [string, ...CallResult][] = []
  const run = async (method: 'GET' | 'POST' | 'PUT', path: string, body?: unknown, fence = '5'): Promise<void> => {
    const [status, value] = await sendCall(service.url, method, path, body, { headers: { 'idempotency-key': 'k1', 'heatherdoor-fence': fence } })
    session.push([`${method} ${path}`, status, status === 400 ? '' : value])
  }
  await run('POST', '/bookings', BOOKING)
  await run('GET', '/bookings/b1')
  await run('GET', '/bookings/b2')
  await run('POST', '/orders', { sku: 'w50', units: 3 })
  await run('POST', '/orders', { units: 3 })
  await run('GET', '/stock/w50')
  await run('GET', '/status')
  await run('PUT', '/status')
  await run('POST', '/bookings', BOOKING, '4')
  service.applyFaults({ lose_answers: 1 })
  await run('POST', '/bookings', BOOKING, '6')
  service.applyFaults({ service_ms: 2000 })
  await run('POST', '/bookings', BOOKING, '6')
  t.snapshot([session, service.describeCounters()])
})

// Guards against an overload during a cold start that does not crash the service, and faults without effect.
test.serial('cold start, crash and silence', async t => {
  const service = await Service.start({ serviceMs: 20, coldCap: 2, warmMs: 60_000, downMs: 30 })
  t.teardown(async () => { await service.stop() })
  const dispatcher = new Agent({ connections: 1 })
  const statuses = async (...boards: readonly string[]): Promise<unknown[]> =>
    (await Promise.all(boards.map(async board => await sendCall(service.url, 'POST', '/bookings', { board })))).map(([status]) => status)
  const load = async (): Promise<unknown> => ({ ...(await sendCall(service.url, 'GET', '/v1/load'))[1] as object, warmth: '' })
  const session: unknown[] = [await load(), await statuses('a', 'b', 'c')]
  service.applyFaults({ cold: true, healthy: false })
  session.push(await statuses('a', 'b'), await statuses('a', 'b', 'c'))
  await waitFor(async () => (await sendCall(service.url, 'GET', '/v1/load'))[0] === 200)
  session.push(await load(), await sendCall(service.url, 'GET', '/status', undefined, { agent: dispatcher }))
  service.applyFaults({ silence: true })
  session.push(await sendCall(service.url, 'GET', '/status', undefined, { agent: dispatcher }), (await sendCall(service.url, 'GET', '/status'))[0])
  session.push(await sendCall(service.url, 'POST', '/bookings', { board: '__crash__' }), await sendCall(service.url, 'GET', '/status'))
  await waitFor(async () => (await sendCall(service.url, 'GET', '/v1/load'))[0] === 200)
  await sendCall(service.url, 'POST', '/faults', { crash: true, down_ms: 5 })
  await waitFor(() => service.describeCounters().crashes === 3)
  await waitFor(async () => (await sendCall(service.url, 'GET', '/v1/load'))[0] === 200)
  session.push(await load())
  t.snapshot(session)
})
