import { setTimeout as wait } from 'node:timers/promises'
import { BOOKING_ROUTE, BOOKING_WORKERS, playBookings } from '../common/bookings.js'
import { Client } from '../common/client.js'
import { HOST, buildConfig, runCase } from '../common/deployment.js'
import { record } from '../common/record.js'

const config = buildConfig([BOOKING_ROUTE, { path_prefix: '/status/', route_kind: 'safe', service: 'status', timeout_ms: 4_000 }])

/** Answers with a line that is no header, so that the bytes are no response. */
function answerBadly (request, response) {
  const requestId = request.headers['heatherdoor-request-id']
  record('status-1', `answers ${requestId} with bytes that are not a response`)
  response.socket.end(`HTTP/1.1 200 OK\r\nHeatherdoor-Request-Id: ${requestId}\r\nwarning queue nearly full: 17 of 20\r\nContent-Length: 5\r\n\r\nready`)
}

await runCase(import.meta.url, async ({ hasTrouble, start }) => {
  const deployment = await start({ config, workers: [...BOOKING_WORKERS, { id: 'status-1', service: 'status', ...(hasTrouble ? { answer: answerBadly } : {}) }] })
  const [gateway] = deployment.gateways
  const { isBroken, text } = await playBookings({
    deployment,
    gateway,
    async disturb () {
      const reader = await new Client('reader', gateway).connect()
      await reader.send({ id: 'status-request', method: 'GET', host: HOST, path: '/status/7', deadlineMs: 2_000 })
    }
  })
  await wait(500)
  return { isBroken, text: `${text}; ${gateway.name} ended by itself ${gateway.exits.length} times` }
})
