import test from 'ava'
import fc from 'fast-check'
import { decodeConfiguration, decodeEndpoint } from '../../platform/decode.js'
import { platformDialect } from '../../platform/dialect.js'
import type { EventId } from '../../src/gateway/event-id.js'
import type { SendableHeaders } from '../../src/gateway/sendable.js'
import { parseAgentSettings, parseGatewaySettings } from '../../platform/settings.js'
import { PROPERTY } from '../gateway/property.js'

const CALLER = [
  'Host', 'Svc.example:8080', 'Heatherdoor-Request-Id', 'r1', 'Authorization', 'Bearer k1', 'Connection', 'keep-alive, X-Private', 'X-Private', '1',
  'Heatherdoor-Tenant', 'forged', 'Heatherdoor-Expect-Instance', 'forged', 'Heatherdoor-Request-Urgency', '0', 'Heatherdoor-Model', 'm',
  'Heatherdoor-Token-Usage', '1460,80', 'Heatherdoor-Deadline-Ms', '8021', 'Last-Event-Id', '12', 'X-Twice', 'a', 'X-Twice', 'b', 'Transfer-Encoding', 'chunked'
]

// Guards against request fields that are read from the wrong header.
test('a request is decoded', t => {
  t.snapshot(platformDialect.parseRequest('/a/b?c=1', CALLER).map(({ headers, ...fields }) => {
    t.is(headers as readonly string[], CALLER)
    return fields
  }).extract())
  t.is(platformDialect.parseRequest('/a', ['Host', 'h']).extract(), 'no id or host')
  t.is(platformDialect.parseRequest('*', CALLER).extract(), 'path')
})

function parseParts (...prefixes: readonly string[]): readonly string[] | undefined {
  return platformDialect.parseRequest('/a', ['Host', 'h', 'Heatherdoor-Request-Id', 'r', ...prefixes.flatMap(prefix => ['Heatherdoor-Prompt-Prefix', prefix])])
    .map(({ sharedParts }) => sharedParts).orDefault(undefined)
}

// Guards against a part that crashes endpoints and is never accused, as its entry is not read.
test('every part of a prompt but the last is read, whatever its form', t => {
  const long = 'ab'.repeat(20)
  t.snapshot({
    'ids of all lengths': parseParts(`a:1,${'b'.repeat(32)}:2,${'c'.repeat(33)}:3,${long}:4,own:5`),
    'the case of digits': parseParts('AB:1,ab:2,own:3'),
    'no hexadecimal id, no tokens, too many tokens': parseParts(`doc-7:1,ab,cd:${'9'.repeat(20)}, ef :1,own:1`),
    'an empty entry': parseParts(',ab:1,,own:1'),
    'the last part only': parseParts('ab:1'),
    'two headers': parseParts('ab:1', 'cd:2,own:3')
  })
})

// Guards against a limit on the number or length of parts, at which the rest is dropped.
test('two different parts are never read as one, however many and long they are', t => {
  const id = fc.string({ unit: fc.constantFrom(...'0123456789abcdef'), minLength: 1, maxLength: 90 })
  fc.assert(fc.property(fc.uniqueArray(id, { minLength: 1, maxLength: 400 }), ids => parseParts([...ids, 'own'].map(part => `${part}:1`).join())?.length === ids.length), PROPERTY)
  const most = Array.from({ length: 4_000 }, (_value, index) => index.toString(16))
  t.deepEqual(parseParts([...most, 'own'].map(part => `${part}:1`).join()), most)
})

// Guards against credentials, forged gateway headers and connection headers that reach an endpoint.
test('an attempt forwards only the caller headers that are meant for endpoints', t => {
  t.snapshot(platformDialect.buildAttempt(CALLER as unknown as SendableHeaders, { endpointId: 'e1', deadlineLeftMs: 7_000, team: 't1', priority: 2, lastEventId: 13 as EventId, bodyBytes: 5 }))
})

// Guards against responses that lose their signature, and against a refusal that counts as a run.
test('responses are decoded and forwarded', t => {
  const limitless = { limit: { kind: 'none' }, isLeaving: false, pause: { kind: 'none' } }
  t.deepEqual(platformDialect.parseAnswer(503, ['Heatherdoor-Not-Executed', '1', 'At-Server', 'e2']).extract(), { status: 503, headers: ['Heatherdoor-Not-Executed', '1', 'At-Server', 'e2'], isProven: false, isUnframed: true, isEncoded: false, notRun: true, claimsNotRun: true, misdirected: false, ...limitless, faultyEndpoint: 'e2' } as unknown)
  t.deepEqual(platformDialect.parseAnswer(421, ['Heatherdoor-Request-Id', 'r1']).extract(), { status: 421, headers: ['Heatherdoor-Request-Id', 'r1'], isProven: false, isUnframed: true, isEncoded: false, notRun: false, claimsNotRun: true, misdirected: true, ...limitless, requestId: 'r1' } as unknown)
  t.deepEqual(platformDialect.parseAnswer(200, ['Heatherdoor-Response-Signature', 's', 'Content-Length', '5', 'Keep-Alive', 'timeout=5', 'X-A', 'b']).map(({ headers }) => [...headers]).extract(), ['Heatherdoor-Response-Signature', 's', 'X-A', 'b'])
  t.deepEqual(platformDialect.buildRefusal('r1', 250), { 'heatherdoor-request-id': 'r1', 'Retry-After': '0.250' })
})

// Guards against entries by other writers that are taken for endpoints.
test('entries that do not describe an endpoint are skipped', t => {
  const entry = { service: 's', address: '10.0.0.1:80', zone: 'a', state: 'ready', slots: 8, cold_remaining_ms: 0, born: 5 }
  t.snapshot(decodeEndpoint('e1', entry))
  for (const wrong of [null, [], 'text', { ...entry, service: 1 }, { ...entry, state: 'other' }, { ...entry, address: 'x' }, { ...entry, slots: '8' }, { ...entry, slots: 0 }, { ...entry, born: 1.5 }, { ...entry, zone: undefined }, { ...entry, address: '10.0.0.1:65536' }, { ...entry, address: '10.0.0.256:80' }, { ...entry, address: '10.0.0.1:0' }, { ...entry, slots: 1e300 }, { ...entry, born: 2 ** 53 }, { ...entry, cold_remaining_ms: 2 ** 31 }]) {
    t.is(decodeEndpoint('e1', wrong), undefined, JSON.stringify(wrong))
  }
})

// Guards against routes, teams and limits that are decoded from the wrong fields.
test('a configuration is decoded', t => {
  const configuration = decodeConfiguration({
    version: 7,
    routes: [
      { name: 'r1', host: 'Svc.example', path_prefix: '/a/', route_kind: 'streaming', timeout_ms: 8_000, target_latency_ms: 400, priority: 1, split: [{ service: 's', weight: 90 }, { service: 'u', weight: 10 }], max_attempts: 2, resumable: true },
      { name: 'r2', host: 'svc.example', path_prefix: '/a/b/', route_kind: 'unsafe', timeout_ms: 600, target_latency_ms: 100, priority: 2, service: 'u', max_attempts: 1, public: true }
    ],
    services: [{ name: 's', cold_start_s: 3, cold_per_s: 36, engine: { slots: 8, sets: 4, experts: 64, placements: 5, spare: 2, usual: { prompt: 800, answer: 140 } } }, { name: 'u', cold_start_s: 0, cold_per_s: 9 }],
    limits: { max_header_bytes: 1, max_body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4 },
    tenants: [{ name: 't1', api_keys: ['k1', 'k2'], priority: 1 }]
  })
  t.snapshot(configuration)
  t.is(decodeConfiguration({ version: 'x', limits: {} }), undefined)
})

// Guards against a process that starts with missing or invalid settings.
test('all faults in settings are reported', t => {
  t.snapshot(parseGatewaySettings('[host]\nname = "h"\nip = "10.0.0.1"\n[listen]\ncallers = "nowhere"\n').swap().extract())
  t.snapshot(parseAgentSettings('[host]\nname = "h"\nip = "10.0.0.1"\n[listen]\nlink_port = 7340\n[worker]\naddress = "10.0.0.1:80"\n').extract())
})

// Guards against times beyond what timers take, which then end at once.
test('numbers beyond any sense are limited in a configuration and refused in settings', t => {
  const configuration = decodeConfiguration({ version: 1, limits: { idle_timeout_ms: 1e300 }, routes: [{ name: 'r', host: 'h', timeout_ms: 1e300, service: 's' }] })
  t.true(configuration!.routes.get('h')![0]!.timeoutMs < 2 ** 31)
  t.true(configuration!.limits.idleTimeoutMs < 2 ** 31)
  const faults = parseAgentSettings('[host]\nname = "h"\nip = "10.0.0.1"\n[listen]\nlink_port = 70000\n[worker]\naddress = "10.0.0.1:80800"\n').swap().extract()
  t.deepEqual(faults, ['listen.link_port: expected a port, found 70000', 'worker.address: expected IP:PORT, found "10.0.0.1:80800"'])
  t.true(String(parseGatewaySettings('[stop]\ngrace_s = 1e300\n').swap().extract()).includes('stop.grace_s: expected a number up to 1000000, found 1e+300'))
  t.true(String(parseGatewaySettings('[domains]\nwait_ms_per_mb = -1\n').swap().extract()).includes('domains.wait_ms_per_mb: expected a number of 0 or more, found -1'))
})

// Guards against a limit that keeps every request away from an endpoint, or ends the process, because it makes no sense.
test('only a positive decimal number is a limit', t => {
  const parse = (text: string): unknown => platformDialect.parseAnswer(200, ['Server-Limit', text]).map(({ limit }) => limit).extract()
  t.deepEqual(['1.5', '0.25', ' 12 ', '999999999'].map(parse), [1.5, 0.25, 12, 999_999_999].map(perS => ({ kind: 'rate', perS })))
  for (const text of ['', '0', '0.0', '-1', '+1', 'NaN', 'Infinity', '1e9', '0x10', '1,5', '1.5.2', '9'.repeat(400), 'x'.repeat(60_000)]) {
    t.deepEqual(parse(text), { kind: 'unreadable', text: text.slice(0, 40) }, text.slice(0, 40))
  }
})
