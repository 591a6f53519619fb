import { setTimeout as wait } from 'node:timers/promises'
import { Client } from '../common/client.js'
import { HOST, STABILITY_WINDOW_MS, buildConfig, runCase } from '../common/deployment.js'
import { record } from '../common/record.js'

const REQUESTS = 12

/** What the faulty worker sends instead of a response: no id, no proof, and a body that no worker made. */
const FOREIGN_BODY = 'service is starting\n'

const config = buildConfig([
  { path_prefix: '/status/', route_kind: 'safe', service: 'status', timeout_ms: 4_000 },
  { path_prefix: '/bookings/', route_kind: 'unsafe', service: 'status', timeout_ms: 4_000 }
])

await runCase(import.meta.url, async ({ hasTrouble, start }) => {
  const answerBadly = (request, response) => {
    record('status-1', `answers ${request.headers['heatherdoor-request-id']} with bytes that are not a response of a worker`)
    response.socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${FOREIGN_BODY.length}\r\n\r\n${FOREIGN_BODY}`)
  }
  const deployment = await start({ config, workers: [{ id: 'status-1', service: 'status', ...(hasTrouble ? { answer: answerBadly } : {}) }, { id: 'status-2', service: 'status' }] })
  await wait(STABILITY_WINDOW_MS + 500)

  const results = await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => {
    const client = await new Client(`client-${index + 1}`, deployment.gateways[index % deployment.gateways.length]).connect()
    const request = index < REQUESTS / 2 ? { method: 'GET', path: '/status/7' } : { method: 'POST', path: '/bookings/new', body: `booking ${index + 1}` }
    return await client.send({ id: `request-${index + 1}`, host: HOST, deadlineMs: 3_000, ...request })
  }))
  const foreign = results.filter(({ status, headers }) => status >= 200 && status < 300 && headers['heatherdoor-response-signature'] === undefined)
  for (const { id, body } of foreign) record('verdict', `${id} got a success without a proof: ${JSON.stringify(body.toString('utf8'))}`)
  return { isBroken: foreign.length > 0, text: `${foreign.length} of ${REQUESTS} clients got a success without a worker's proof, with a body that no worker made` }
})
