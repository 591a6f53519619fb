import test from 'ava'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { CallersController, CONFIGURATION_TOKEN, NOTE_LIMIT_TOKEN } from '../../src/edge/entry/callers.js'
import { CallerExchange } from '../../src/edge/entry/exchange.js'
import { CallerBridge } from '../../src/edge/entry/caller-bridge.js'
import { Logger } from '../../src/edge/log/logger.js'
import { HeldBytes } from '../../src/edge/entry/held-bytes.js'
import { EntryServer } from '../../src/edge/entry/server.js'

const BODY_MAX_BYTES = 1024
const REQUESTS = [
  ['GET', '/v1/chat/completions'],
  ['POST', '/services/counter'],
  ['DELETE', '/'],
  ['POST', '/services/counter/bookings', 'x'.repeat(BODY_MAX_BYTES + 1)],
  ['POST', '/services/counter/bookings', 'x'.repeat(BODY_MAX_BYTES + 1), 'hdk1.any']
] as const

// Guards against errors of the web framework without the outcome headers or the JSON error body.
test('errors of the web framework have the standard error format', async t => {
  const server = await EntryServer.create({
    ip: '127.0.0.1',
    port: 0,
    limits: { bodyMaxBytes: BODY_MAX_BYTES, headerMaxBytes: 8192, headersTimeoutMs: 5000, idleTimeoutMs: 5000, connectionsMax: 100, connectionRequestsMax: 16, requestsMax: 100, heldBytesMax: 1_000_000, unreadTimeoutMs: 60_000 },
    connections: { connectionsMax: 100, noteLimit: () => {} },
    held: HeldBytes.create(1_000_000, () => {}),
    logger: Logger.create({ processId: 'entry-0', write: () => {} }),
    controller: CallersController,
    providers: [{ provide: HeldBytes, useValue: HeldBytes.create(1_000_000, () => {}) }, { provide: NOTE_LIMIT_TOKEN, useValue: () => {} }, { provide: CallerBridge, useValue: CallerBridge.create() }, { provide: CONFIGURATION_TOKEN, useValue: { findTeam: () => undefined } }]
  })
  await server.start()
  const url = `http://127.0.0.1:${(server.server.address() as AddressInfo).port}`
  const lines: string[] = []
  for (const [method, path, body, key] of REQUESTS) {
    const httpResponse = await request(`${url}${path}`, { method, body: body ?? null, headers: key === undefined ? {} : { 'idempotency-key': key } })
    const { error } = await httpResponse.body.json() as { readonly error: Readonly<Record<string, string>> }
    t.is(error['request_id'], String(httpResponse.headers['heatherdoor-request-id']))
    lines.push(`${method} ${path}: ${httpResponse.statusCode} ${error['kind']} ${error['outcome']} ${String(httpResponse.headers['heatherdoor-outcome'])} ${String(httpResponse.headers['heatherdoor-send'])}`)
  }
  t.snapshot(lines)
  await server.stop()
})

// Guards against forwarding headers of an endpoint that callers rely on to interpret a response.
test('heatherdoor headers set by an endpoint are not forwarded to the caller', t => {
  const headers: [string, string][] = []
  const response = {
    appendHeader: (...header: [string, string]) => { headers.push(header) },
    setHeader: (...header: [string, string]) => { headers.push(header) },
    getHeader: () => undefined,
    flushHeaders: () => undefined
  }
  CallerExchange.create('id', response as never).writeHead(200, [['x-own', '1'], ['heatherdoor-send', 'not-forwarded'], ['heatherdoor-outcome', 'not-run']])
  t.deepEqual(headers, [['x-own', '1'], ['heatherdoor-request-id', 'id'], ['heatherdoor-outcome', 'run']])
})
