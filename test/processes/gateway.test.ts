import test from 'ava'
import type { ExecutionContext } from 'ava'
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request as openRequest } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { PlatformStore } from './platform-store.js'

const PROGRAM = fileURLToPath(new URL('../../platform/gateway.js', import.meta.url))

/** Ports below the ephemeral range, the same for all gateways: each has its own loopback address. */
const PORTS = { callers: 7101, ready: 7102, directory: 7103, link: 7104, rank: 7105, metrics: 7106 }

/** Grace period of a planned stop in s, and the same in ms as the limit for the stop. */
const GRACE_S = 4
const GRACE_MS = GRACE_S * 1_000

/** Time in ms within which a killed gateway must leave the directory; it is detected after 1.5 s without heartbeats. */
const DIRECTORY_DROP_TIMEOUT_MS = 3_000

const CONFIGURATION = {
  version: 3,
  routes: [{ name: 'r', host: 'h', path_prefix: '/a/', route_kind: 'safe', timeout_ms: 3_000, target_latency_ms: 100, priority: 1, service: 's', max_attempts: 2 }],
  services: [{ name: 's' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 5_000 }
}

interface Answer {
  readonly status: number
  readonly body: string
}

interface Gateway {
  readonly name: string
  readonly ip: string
  readonly child: ChildProcess
  readonly lines: string[]
}

async function call (ip: string, port: number, path: string, headers: Record<string, string> = {}): Promise<Answer> {
  return await new Promise((resolve, reject) => {
    const request = openRequest({ host: ip, port, path, headers, agent: false, timeout: 5_000 }, response => {
      let body = ''
      response.on('data', chunk => { body += String(chunk) })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, body }) })
      response.on('error', reject)
    })
    request.on('error', reject)
    request.end()
  })
}

/** Polls a condition until it holds; fails the test after `limitMs`. */
async function waitFor (t: ExecutionContext, what: string, limitMs: number, check: () => Promise<boolean>): Promise<void> {
  const endsAtMs = performance.now() + limitMs
  for (;;) {
    if (await check().catch(() => false)) return
    if (performance.now() > endsAtMs) {
      t.fail(`${what}: condition not met within ${limitMs} ms`)
      return
    }
    await wait(30)
  }
}

/** Gateways as processes, a metadata store and one endpoint that responds after `x-delay` ms. */
class TestCluster {
  readonly store: PlatformStore
  readonly #folder = mkdtempSync(join(tmpdir(), 'gateway-'))
  readonly #gateways: Gateway[] = []
  readonly #prefix = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`
  readonly #endpoint = createServer((request, response) => {
    response.setHeader('Heatherdoor-Request-Id', String(request.headers['heatherdoor-request-id']))
    response.setHeader('Heatherdoor-Response-Signature', 'signed')
    setTimeout(() => { response.end('ran') }, Number(request.headers['x-delay'] ?? 0))
  })

  private constructor (store: PlatformStore) {
    this.store = store
  }

  static async create (): Promise<TestCluster> {
    const cluster = new TestCluster(await PlatformStore.create())
    cluster.#endpoint.listen(0, '127.0.0.1')
    await once(cluster.#endpoint, 'listening')
    cluster.store.put('config', 'main', CONFIGURATION)
    cluster.store.put('servers', 'e1', { service: 's', address: `127.0.0.1:${(cluster.#endpoint.address() as AddressInfo).port}`, zone: 'a', slots: 8, state: 'ready', cold_remaining_ms: 0, born: 1 })
    return cluster
  }

  startGateway (name: string): Gateway {
    const ip = `${this.#prefix}.${this.#gateways.length + 1}`
    const path = join(this.#folder, `${name}.toml`)
    writeFileSync(path, [
      `host = { name = "${name}", ip = "${ip}", failure_domain = "a" }`,
      `listen = { callers = "${ip}:${PORTS.callers}", ready = "${ip}:${PORTS.ready}", directory = "${ip}:${PORTS.directory}", link_port = ${PORTS.link}, rank_port = ${PORTS.rank}, metrics_port = ${PORTS.metrics} }`,
      `store = { address = "${this.store.address}" }`,
      'retries = { ratio = 0.2, window_s = 10, extra = 20 }',
      'cold = { overshoot = 1.5, slack = 5 }',
      `stop = { grace_s = ${GRACE_S} }`,
      'directory = { hold_ms = 1000 }'
    ].join('\n'))
    const child = spawn(process.execPath, [PROGRAM], { env: { ...process.env, HEATHERDOOR_BOOT: path }, stdio: ['ignore', 'pipe', 'inherit'] })
    const lines: string[] = []
    child.stdout?.on('data', chunk => { lines.push(...String(chunk).split('\n').filter(Boolean)) })
    const gateway = { name, ip, child, lines }
    this.#gateways.push(gateway)
    return gateway
  }

  async isReady ({ ip }: Gateway): Promise<boolean> {
    return (await call(ip, PORTS.ready, '/heatherdoor/readyz')).status === 200
  }

  /** Lists the names of the gateways in a directory response. */
  async listAddresses ({ ip }: Gateway): Promise<readonly string[]> {
    const { status, body } = await call(ip, PORTS.directory, '/heatherdoor/resolve?name=h')
    if (status !== 200) return []
    const { addresses } = JSON.parse(body) as { readonly addresses: readonly string[] }
    return addresses.map(address => this.#gateways.find(gateway => address === `${gateway.ip}:${PORTS.callers}`)?.name ?? address).sort()
  }

  async request ({ ip }: Gateway, delayMs: number): Promise<Answer> {
    return await call(ip, PORTS.callers, '/a/b', { host: 'h', 'heatherdoor-request-id': `r${Math.random()}`, 'heatherdoor-deadline-ms': '3000', 'x-delay': String(delayMs) })
  }

  stop (): void {
    for (const { child } of this.#gateways) child.kill('SIGKILL')
    this.#endpoint.close()
    this.#endpoint.closeAllConnections()
    this.store.stop()
    rmSync(this.#folder, { recursive: true })
  }
}

// Guards against callers that are directed to a leaving or dead gateway, and against responses cut off by a planned stop.
test('gateways discover each other, serve the directory, and stop without cutting off a response', async t => {
  const cluster = await TestCluster.create()
  t.teardown(() => { cluster.stop() })
  const [g1, g2, g3] = ['g1', 'g2', 'g3'].map(name => cluster.startGateway(name)) as [Gateway, Gateway, Gateway]
  for (const gateway of [g1, g2, g3]) {
    await waitFor(t, `${gateway.name} is ready and knows all`, 20_000, async () => await cluster.isReady(gateway) && (await cluster.listAddresses(gateway)).join() === 'g1,g2,g3')
  }
  t.deepEqual([...cluster.store.listNames('gateways')].sort(), ['g1', 'g2', 'g3'])
  t.deepEqual(await cluster.request(g1, 0), { status: 200, body: 'ran' })

  const slow = cluster.request(g1, 1_000)
  await wait(200)
  const leftAtMs = performance.now()
  const exited = once(g1.child, 'exit')
  g1.child.kill('SIGTERM')
  await waitFor(t, 'the leaving gateway is not ready', 500, async () => !await cluster.isReady(g1))
  await waitFor(t, 'others drop the leaving gateway', 1_000, async () => (await cluster.listAddresses(g2)).join() === 'g2,g3')
  t.deepEqual(await slow, { status: 200, body: 'ran' })
  t.deepEqual(await exited, [0, null])
  t.true(performance.now() - leftAtMs < GRACE_MS)
  t.deepEqual([...cluster.store.listNames('gateways')].sort(), ['g2', 'g3'])

  g3.child.kill('SIGKILL')
  await waitFor(t, 'others drop the dead gateway', DIRECTORY_DROP_TIMEOUT_MS, async () => (await cluster.listAddresses(g2)).join() === 'g2')
  t.deepEqual(await cluster.request(g2, 0), { status: 200, body: 'ran' })
})

// Guards against a gateway that ignores changes by operators or endpoints, and against a reload of settings that ends the process.
test('a gateway applies changes in the store and keeps running after a reload of its settings', async t => {
  const cluster = await TestCluster.create()
  t.teardown(() => { cluster.stop() })
  const g1 = cluster.startGateway('g1')
  await waitFor(t, 'ready', 20_000, async () => await cluster.isReady(g1))
  g1.child.kill('SIGHUP')
  cluster.store.put('config', 'main', { ...CONFIGURATION, version: 7, routes: [{ ...CONFIGURATION.routes[0], path_prefix: '/c/' }] })
  await waitFor(t, 'the dropped route is unknown', 2_000, async () => (await cluster.request(g1, 0)).status === 404)
  cluster.store.put('config', 'main', { ...CONFIGURATION, version: 9 })
  await waitFor(t, 'the route is back', 2_000, async () => (await cluster.request(g1, 0)).status === 200)
  cluster.store.put('evacuations', 'a', {})
  await waitFor(t, 'nothing is sent to a domain out of service', 5_000, async () => (await cluster.request(g1, 0)).status === 503)
  cluster.store.remove('evacuations', 'a')
  await waitFor(t, 'the domain is back', 5_000, async () => (await cluster.request(g1, 0)).status === 200)
  cluster.store.remove('servers', 'e1')
  await waitFor(t, 'an endpoint that is gone gets nothing', 2_000, async () => (await cluster.request(g1, 0)).status === 503)
  t.true(g1.lines.some(line => line.includes('"settings-reloaded"')))
})
