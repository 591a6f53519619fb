/**
 * The operators add a route to a service of its own. Another writer leaves entries in the store whose
 * service no configuration names, at the addresses of that service's workers. Are requests on the added
 * route still served?
 */

import { setTimeout as wait } from 'node:timers/promises'
import { send } from '../common-3/client.js'
import { Deployment, listEvents } from '../common-3/deployment.js'
import { runCase } from '../common-3/record.js'
import { Store } from '../common-3/store.js'
import { PlainWorker } from '../common-3/worker.js'

const HOST = 'ficu95.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const ZONES = ['kalamaria', 'evosmos', 'pylaia']

/** Bounds of the sheet and of the rule. */
const CONFIG_APPLY_MS = 2_000
const STABILITY_WINDOW_MS = 3_000
const REQUESTS_MIN = 20

const WATCHED_MS = 30_000
const GAP_MS = 250

function buildRoute (name, prefix, service) {
  return { name, host: HOST, path_prefix: prefix, route_kind: 'safe', timeout_ms: 600, target_latency_ms: 122, priority: 0, service, max_attempts: 2, public: false, sticky: false }
}

function buildConfig (version, routes) {
  return {
    version,
    routes,
    services: ['counter', 'desk'].map(name => ({ name, health_path: '/healthz', max_connections: 110, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0 })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }]
  }
}

await runCase(import.meta.url, async (record, hasTrouble) => {
  const deployment = await Deployment.create(record)
  const store = new Store()
  const storeAddress = await store.listen(`${deployment.prefix}.250`)
  const workers = []
  for (const [at, zone] of ZONES.entries()) {
    for (const [service, base] of [['counter', 100], ['desk', 120]]) {
      const worker = new PlainWorker({ id: `i-${service}${at}`, handleRun: ({ worker, requestId }) => { record.write(`${worker} runs ${requestId}`) } })
      await worker.listen(`${deployment.prefix}.${base + at}`)
      workers.push({ worker, service, zone })
      store.put('servers', worker.id, worker.describe(service, zone))
    }
  }
  const first = buildRoute('r-status', '/cufi504/', 'counter')
  store.put('config', 'main', buildConfig(7, [first]))
  const gateways = ZONES.map((zone, at) => deployment.startGateway(`front-${zone}-1`, at + 1, zone, storeAddress))
  await deployment.waitReady(gateways)
  store.put('config', 'main', buildConfig(9, [first, buildRoute('r-desk', '/puxa403/', 'desk')]))
  await wait(CONFIG_APPLY_MS + STABILITY_WINDOW_MS)

  const ask = async gateway => {
    const answers = {}
    for (const path of ['/cufi504/2f', '/puxa403/2f']) {
      answers[path] = await send({ ip: gateway.ip, path, host: HOST, key: KEY, deadlineMs: 600 })
      record.write(`${gateway.name}: ${answers[path].id} ${path}: ${answers[path].status ?? answers[path].reason}`)
    }
    return answers
  }
  for (const gateway of gateways) {
    for (const { status } of Object.values(await ask(gateway))) if (status !== 200) throw new Error('the deployment does not serve')
  }
  record.say('both routes are served')
  if (hasTrouble) {
    for (const { worker, service, zone } of workers) if (service === 'desk') store.put('servers', `stray-${worker.id}`, worker.describe('desk-trial', zone))
    record.say('another writer has left entries of a service that is not named, at the addresses of the workers of the added route')
  }
  await wait(CONFIG_APPLY_MS + STABILITY_WINDOW_MS)

  const counts = { '/cufi504/2f': { sent: 0, served: 0 }, '/puxa403/2f': { sent: 0, served: 0 } }
  const untilMs = record.nowMs + WATCHED_MS
  while (record.nowMs < untilMs) {
    for (const gateway of gateways) {
      for (const [path, { status, isComplete }] of Object.entries(await ask(gateway))) {
        counts[path].sent += 1
        if (status === 200 && isComplete) counts[path].served += 1
      }
    }
    await wait(GAP_MS)
  }
  const [old, added] = Object.values(counts)
  record.say(`first route: ${old.served} of ${old.sent} served; added route: ${added.served} of ${added.sent} served`)
  for (const gateway of gateways) record.write(`${gateway.name}: ${listEvents(gateway, 'endpoint-changed').map(({ endpoint, change }) => `${endpoint} ${change}`).join(', ')}`)
  for (const { worker } of workers) worker.stop()
  store.stop()
  deployment.stop()
  return added.sent >= REQUESTS_MIN && added.served / added.sent < old.served / old.sent / 4
})
