/** Starts the programs of the deploy file as processes on loopback addresses, with settings from their templates. */

import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as openRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const PORTS = { front: 8227, ready: 8220, directory: 8224, first: 7340, last: 7355 }
const START_MAX_MS = 20_000

/** Bounds and limits of the small sites. */
const SITE = {
  bounds: { stability_window_ms: 3000, drain_ms: 2000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_extra: 92, cold_overshoot: 1.5, cold_slack: 5, grace_s: 8 },
  limits: { memory_mb: 350, max_fds: 4100 }
}

export class Deployment {
  prefix
  #record
  #folder = mkdtempSync(join(tmpdir(), 'heatherdoor-review-'))
  #roles = parse(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')).roles
  #children = new Set()

  constructor (record, prefix) {
    this.#record = record
    this.prefix = prefix
    process.once('exit', () => { this.stop() })
  }

  /** Picks a network of loopback addresses on which the ports are free. */
  static async create (record) {
    for (let tries = 0; tries < 20; tries += 1) {
      const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
      if ((await Promise.all([1, 2, 3].map(async last => await isFree(`${prefix}.${last}`, PORTS.front)))).every(Boolean)) return new Deployment(record, prefix)
    }
    throw new Error('no free loopback addresses')
  }

  /** Starts a gateway. @param last - last number of its address */
  startGateway (name, last, zone, storeAddress) {
    const ip = `${this.prefix}.${last}`
    return this.#start('gateway', name, {
      ...SITE, node: name, ip, zone, listen: { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}`, directory: `${ip}:${PORTS.directory}` }, internal_port_range: [PORTS.first, PORTS.last], platform: { address: storeAddress }
    }, ip)
  }

  startAgent (name, ip, workerAddress) {
    return this.#start('agent', name, { node: name, ip, internal_port_range: [PORTS.first, PORTS.last], app: workerAddress }, ip)
  }

  /** Starts a process again with the settings that it had. */
  restart (process_) {
    return this.#spawn(process_.role, process_.name, process_.path, process_.ip)
  }

  async waitReady (gateways) {
    const endsAtMs = performance.now() + START_MAX_MS
    for (const { name, ip } of gateways) {
      while (await readStatus(ip, PORTS.ready, '/heatherdoor/readyz') !== 200) {
        if (performance.now() > endsAtMs) throw new Error(`${name} is not ready`)
        await wait(50)
      }
    }
  }

  /** Ends every process that was started. */
  stop () {
    for (const child of this.#children) child.kill('SIGKILL')
    this.#children.clear()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #start (role, name, fields, ip) {
    const path = join(this.#folder, `${name}.toml`)
    writeFileSync(path, fillTemplate(readFileSync(join(ROOT, this.#roles[role].template), 'utf8'), fields))
    return this.#spawn(role, name, path, ip)
  }

  #spawn (role, name, path, ip) {
    const [, ...words] = this.#roles[role].run.split(' ')
    const child = spawn(process.execPath, words, { cwd: ROOT, env: { PATH: process.env.PATH, HEATHERDOOR_BOOT: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#children.add(child)
    const started = { role, name, path, ip, child, lines: [], exit: undefined }
    let rest = ''
    child.stdout.on('data', chunk => {
      const lines = (rest + chunk).split('\n')
      rest = lines.pop()
      started.lines.push(...lines)
    })
    child.stderr.on('data', chunk => { this.#record.write(`${name} to standard error: ${String(chunk).trim()}`) })
    child.once('exit', (code, signal) => {
      this.#children.delete(child)
      started.exit = { code, signal }
      this.#record.write(`${name} ended: ${signal ?? code}`)
    })
    this.#record.write(`${name} started, process ${child.pid}`)
    return started
  }
}

/** @returns events of one kind in the log of a process */
export function listEvents ({ lines }, event) {
  return lines.flatMap(line => {
    try {
      const parsed = JSON.parse(line)
      return parsed.event === event ? [parsed] : []
    } catch {
      return []
    }
  })
}

function fillTemplate (text, fields) {
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, isJson) => {
    const value = path.split('.').reduce((found, key) => found?.[key], fields)
    if (value === undefined) throw new Error(`no value for ${path}`)
    return isJson === undefined ? String(value) : JSON.stringify(value)
  })
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

async function readStatus (host, port, path) {
  return await new Promise(resolve => {
    const request = openRequest({ host, port, path, agent: false, timeout: 1_000 }, response => {
      response.resume()
      resolve(response.statusCode)
    })
    request.on('timeout', () => { request.destroy() })
    request.on('error', () => { resolve(undefined) })
    request.end()
  })
}

export { PORTS }
