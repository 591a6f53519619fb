/** A small deployment: gateways as processes with the command of the deploy file, a store and workers. */

import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'
import { record, writeRecord } from './record.js'
import { Store } from './store.js'
import { Worker } from './worker.js'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

/** Bounds of the site `deex-thess`. */
export const GRACE_MS = 8_000
export const STABILITY_WINDOW_MS = 3_000

/** Longest time that a script may take, with some time to end its processes. */
const SCRIPT_MAX_MS = 110_000

/** Time in ms after which the platform starts a process again that has ended. */
const RESTART_MS = 500

export const HOST = 'desk.example'
export const ZONES = ['kalamaria', 'evosmos']

const command = parse(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')).roles.gateway.run.split(' ')

/**
 * Builds a config with the limits of the site's.
 *
 * @param routes - `path_prefix`, `route_kind`, `service` and `timeout_ms` of each route
 */
export function buildConfig (routes) {
  return {
    version: 7,
    routes: routes.map(route => ({ name: `r-${route.path_prefix.replaceAll('/', '')}`, host: HOST, target_latency_ms: 500, priority: 1, max_attempts: 2, public: false, ...route })),
    services: [...new Set(routes.map(({ service }) => service))].map(name => ({ name, health_path: '/healthz', max_connections: 110, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0 })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  }
}

export class Deployment {
  gateways = []
  workers = []
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #prefix = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
  #children = new Set()
  #isStopped = false
  #nextHost = 1

  static async start ({ config, workers, gateways = 2 }, handleCreated) {
    const deployment = new Deployment()
    handleCreated(deployment)
    deployment.store = await Store.start(deployment.takeHost())
    deployment.store.put('config', 'main', config)
    for (const options of workers) await deployment.addWorker(options)
    const ports = await findPorts(`${deployment.#prefix}.${deployment.#nextHost}`)
    for (let index = 0; index < gateways; index += 1) deployment.#addGateway(index, ports)
    await Promise.all(deployment.gateways.map(gateway => deployment.#waitReady(gateway)))
    record('platform', `${gateways} gateways are ready`)
    return deployment
  }

  /** Takes a loopback address for a machine. */
  takeHost () {
    return `${this.#prefix}.${this.#nextHost++}`
  }

  async addWorker (options) {
    const worker = new Worker({ host: this.takeHost(), slots: 6, zone: ZONES[this.workers.length % ZONES.length], ...options })
    await worker.start()
    this.workers.push(worker)
    this.store.put('servers', worker.id, worker.describe(1))
    return worker
  }

  #addGateway (index, ports) {
    const ip = this.takeHost()
    const name = `front-${ZONES[index % ZONES.length]}-${index + 1}`
    const path = join(this.#folder, `${name}.toml`)
    writeFileSync(path, [
      `host = { name = "${name}", ip = "${ip}", failure_domain = "${ZONES[index % ZONES.length]}" }`,
      `listen = { callers = "${ip}:${ports[0]}", ready = "${ip}:${ports[1]}", directory = "${ip}:${ports[2]}", link_port = ${ports[3]}, rank_port = ${ports[4]}, metrics_port = ${ports[5]} }`,
      `store = { address = "${this.store.address}", notice_ms = ${STABILITY_WINDOW_MS}, apply_ms = 2000 }`,
      'retries = { ratio = 0.2, window_s = 10, extra = 92 }',
      'cold = { overshoot = 1.5, slack = 5 }',
      `stop = { grace_s = ${GRACE_MS / 1_000} }`,
      'directory = { hold_ms = 1000 }'
    ].join('\n'))
    const gateway = { name, host: ip, port: ports[0], readyPort: ports[1], path, exits: [], isStopping: false }
    this.gateways.push(gateway)
    this.#spawn(gateway)
  }

  #spawn (gateway) {
    const child = spawn(command[0], command.slice(1), { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, HEATHERDOOR_BOOT: gateway.path }, stdio: ['ignore', 'ignore', 'pipe'] })
    gateway.child = child
    gateway.startedAtMs = performance.now()
    this.#children.add(child)
    record('platform', `starts ${gateway.name}, process ${child.pid}`)
    let errors = ''
    child.stderr.on('data', bytes => { errors += String(bytes) })
    child.on('exit', (code, signal) => {
      this.#children.delete(child)
      if (this.#isStopped) return
      const error = errors.split('\n').find(line => /Error/.test(line))
      record('platform', `${gateway.name} has ended by ${signal === null ? `itself, exit code ${code}` : signal}${error === undefined ? '' : `: ${error.trim()}`}`)
      gateway.exits.push({ code, signal, isStopping: gateway.isStopping })
      if (!gateway.isStopping) setTimeout(() => { if (!this.#isStopped) this.#spawn(gateway) }, RESTART_MS)
    })
  }

  async #waitReady (gateway) {
    const endsAtMs = performance.now() + 20_000
    while (!await this.isReady(gateway)) {
      if (performance.now() > endsAtMs) throw new Error(`${gateway.name} does not become ready`)
      await wait(50)
    }
  }

  async isReady ({ host, readyPort }) {
    return await new Promise(resolve => {
      const call = request({ host, port: readyPort, path: '/heatherdoor/readyz', agent: false, timeout: 1_000 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      call.on('timeout', () => { call.destroy() })
      call.on('error', () => { resolve(false) })
      call.end()
    })
  }

  /** Sends SIGTERM to a gateway, as for a planned stop. */
  terminate (gateway) {
    gateway.isStopping = true
    record('platform', `SIGTERM to ${gateway.name}`)
    gateway.child.kill('SIGTERM')
  }

  stop () {
    this.#isStopped = true
    for (const child of this.#children) child.kill('SIGKILL')
    for (const worker of this.workers) worker.stop()
    this.store?.stop()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

async function findPorts (host) {
  const servers = []
  for (let count = 0; count < 6; count += 1) {
    const server = createServer()
    await new Promise((resolve, reject) => { server.once('error', reject).listen(0, host, resolve) })
    servers.push(server)
  }
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param url - module of the case; the record is written beside it
 * @param play - plays the case, and returns the verdict as `isBroken` and `text`
 */
export async function runCase (url, play) {
  const path = join(dirname(fileURLToPath(url)), 'record.txt')
  const hasTrouble = process.env.TROUBLE !== '0'
  const deployments = []
  let code = 2
  const finish = () => {
    for (const deployment of deployments) deployment.stop()
    writeRecord(path)
    process.exit(code)
  }
  const timer = setTimeout(() => {
    record('verdict', `not played within ${SCRIPT_MAX_MS} ms`)
    finish()
  }, SCRIPT_MAX_MS)
  process.on('SIGTERM', finish)
  process.on('SIGINT', finish)
  try {
    record('script', hasTrouble ? 'with the disruption' : 'without the disruption')
    const { isBroken, text } = await play({
      hasTrouble,
      start: async options => await Deployment.start(options, deployment => { deployments.push(deployment) })
    })
    code = isBroken ? 1 : 0
    record('verdict', `${isBroken ? 'BROKEN' : 'held'}: ${text}`)
    process.stdout.write(`${isBroken ? 'BROKEN' : 'held'}: ${text}\n`)
  } catch (error) {
    record('verdict', `could not run: ${error.stack}`)
    process.stdout.write(`could not run: ${error.stack}\n`)
  }
  clearTimeout(timer)
  finish()
}
