import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { startHarness } from './harness.js'
import type { Harness } from './harness.js'

const DEADLY_PART = 'dead'
const DOWN_MS = 150

/** Endpoint whose process ends when it runs a request with `DEADLY_PART`, and starts again at the same address. */
class CrashingEndpoint {
  crashes = 0
  port = 0
  #server: Server | undefined
  #isStopped = false

  async start (): Promise<void> {
    const server = createServer((request, response) => {
      if (String(request.headers['heatherdoor-prompt-prefix']).includes(DEADLY_PART)) {
        this.crashes += 1
        this.#close()
        setTimeout(() => { if (!this.#isStopped) this.start().catch((error: unknown) => { console.error(error) }) }, DOWN_MS)
        return
      }
      response.setHeader('Heatherdoor-Request-Id', String(request.headers['heatherdoor-request-id']))
      response.setHeader('Heatherdoor-Response-Signature', 'signed')
      response.end('ran')
    })
    this.#server = server
    server.listen(this.port, '127.0.0.1')
    await once(server, 'listening')
    this.port = (server.address() as AddressInfo).port
  }

  stop (): void {
    this.#isStopped = true
    this.#close()
  }

  #close (): void {
    this.#server?.close()
    this.#server?.closeAllConnections()
  }
}

async function startEndpoints (harness: Harness, count: number): Promise<readonly CrashingEndpoint[]> {
  return await Promise.all(Array.from({ length: count }, async (_value, index) => {
    const endpoint = new CrashingEndpoint()
    await endpoint.start()
    harness.context.endpoints.upsert({ id: `e${index}`, bornMs: 1, service: 's', address: { host: '127.0.0.1', port: endpoint.port }, domain: 'a', state: 'ready', slots: 4, coldRemainingMs: 0 }, 0)
    return endpoint
  }))
}

// Guards against requests that are all different but share a part of their prompt, and crash endpoint after endpoint.
test('requests that share a part of their prompt do not crash endpoint after endpoint', async t => {
  const harness = await startHarness('idempotent', {}, { attemptsMax: 2 })
  const endpoints = await startEndpoints(harness, 3)
  const statuses: Record<string, number[]> = { sound: [], deadly: [] }
  statuses['sound']!.push((await harness.call({ parts: ['5a', 'c0'] })).status)
  for (let index = 1; index <= 8; index += 1) {
    statuses['deadly']!.push((await harness.call({ path: `/a/${index}`, parts: ['5a', DEADLY_PART, `d${index}`] })).status)
    statuses['sound']!.push((await harness.call({ path: `/a/${index}`, parts: ['5a', `c${index}`] })).status)
    await wait(2 * DOWN_MS)
  }
  for (const endpoint of endpoints) endpoint.stop()
  harness.close()
  const crashes = endpoints.reduce((sum, endpoint) => sum + endpoint.crashes, 0)
  t.is(crashes, 1, `${crashes} crashes`)
  t.deepEqual(statuses['sound'], new Array(9).fill(200))
  t.deepEqual(statuses['deadly'], [502, ...new Array<number>(7).fill(503)])
})
