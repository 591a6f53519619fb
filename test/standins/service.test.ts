import test from 'ava'
import { request } from 'undici'
import { Service } from '../../standins/service/service.js'

// Guards against uncounted runs, on which every at-most-once check depends.
test('the service counts each run', async t => {
  const service = await Service.start({ serviceMs: 1 })
  t.teardown(async () => { await service.stop() })
  const answers: unknown[] = []
  const send = async (method: 'GET' | 'POST', path: string, body?: string): Promise<void> => {
    const answer = await request(`${service.url}${path}`, { method, headers: { 'idempotency-key': 'k1' }, body: body ?? null })
    const text = await answer.body.text()
    answers.push([path, answer.statusCode, answer.statusCode === 400 ? '' : text])
  }
  await send('POST', '/bookings', '{"board":"oak"}')
  await send('GET', '/bookings/b1')
  await send('POST', '/orders', '{"sku":"w50","units":3}')
  await send('POST', '/orders', '{"units":3}')
  await send('GET', '/stock/w50')
  await send('GET', '/status')
  t.snapshot([answers, service.describeCounters()])
})
