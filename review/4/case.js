import { setTimeout as wait } from 'node:timers/promises'
import { BOOKING_ROUTE, BOOKING_WORKERS, playBookings } from '../common/bookings.js'
import { Client } from '../common/client.js'
import { HOST, buildConfig, runCase } from '../common/deployment.js'
import { record } from '../common/record.js'

const EVENTS = 6

/** Time from the spoilt event to the end of the connection. */
const BREAK_AFTER_MS = 100

const config = buildConfig([BOOKING_ROUTE, { path_prefix: '/text/', route_kind: 'streaming', resumable: true, target_gap_ms: 120, service: 'text', timeout_ms: 8_000 }])

function beginStream (worker, request, response) {
  const requestId = request.headers['heatherdoor-request-id']
  response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Heatherdoor-Request-Id': requestId, 'Heatherdoor-Response-Signature': `${worker}.${requestId}` })
  return requestId
}

/** Sends a whole stream, from the event after `Last-Event-Id`. */
function stream (worker, request, response) {
  const requestId = beginStream(worker, request, response)
  const from = Number(request.headers['last-event-id'] ?? 0)
  record(worker, `streams ${requestId} from event ${from + 1}`)
  for (let id = from + 1; id <= EVENTS; id += 1) response.write(`id: ${id}\ndata: piece ${id}\n\n`)
  response.end()
}

/** Sends an event with one wrong bit in its id, and breaks off. */
function streamBadly (worker, request, response) {
  const requestId = beginStream(worker, request, response)
  record(worker, `sends one event of ${requestId}, with a wrong bit in its id, and breaks off`)
  response.write('id: \x11\ndata: piece 1\n\n')
  setTimeout(() => { response.socket?.destroy() }, BREAK_AFTER_MS)
}

await runCase(import.meta.url, async ({ hasTrouble, start }) => {
  let hasSpoilt = !hasTrouble
  const answer = worker => (request, response) => {
    if (hasSpoilt) {
      stream(worker, request, response)
    } else {
      hasSpoilt = true
      streamBadly(worker, request, response)
    }
  }
  const deployment = await start({ config, workers: [...BOOKING_WORKERS, ...['text-1', 'text-2'].map(id => ({ id, service: 'text', answer: answer(id) }))] })
  const [gateway] = deployment.gateways
  const { isBroken, text } = await playBookings({
    deployment,
    gateway,
    async disturb () {
      const reader = await new Client('reader', gateway).connect()
      await reader.send({ id: 'text-request', host: HOST, path: '/text/new', body: 'prompt', deadlineMs: 8_000, headers: { 'Heatherdoor-Model': 'm', 'Heatherdoor-Token-Usage': '1460,80', 'Heatherdoor-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250' } })
    }
  })
  await wait(500)
  return { isBroken, text: `${text}; ${gateway.name} ended by itself ${gateway.exits.length} times` }
})
