/** A small deployment whose workers crash on one part of a prompt, and a caller whose sound requests share the other parts. */

import { setTimeout as wait } from 'node:timers/promises'
import { send } from './client.js'
import { BOUNDS, Deployment } from './deployment.js'
import { Store } from './store.js'
import { Worker } from './worker.js'

/** Time in ms for which a worker is away after a crash. */
const AWAY_MS = 3_000

/** Requests with a crashing part that may reach workers after the fifth crash, and the number of that crash. */
const REACHING_MAX = 3
const COUNTED_CRASH = 5

const KEY = 'key00000000000000001'
const CONFIG = {
  version: 7,
  routes: [{ name: 'r-1', host: 'h.example', path_prefix: '/text/', route_kind: 'streaming', timeout_ms: 8_000, target_latency_ms: 401, priority: 1, service: 'writer', max_attempts: 2, public: false, sticky: true, resumable: true, target_gap_ms: 120 }],
  services: [{ name: 'writer', health_path: '/healthz' }],
  tenants: [{ name: 'tenant-1', api_keys: [KEY] }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
}

/** Deployment of three gateways and six workers of one service, each of which may crash. */
export class CrashingDeployment {
  #record
  #crashingPart
  #deployment = new Deployment()
  #store
  #gateways = []
  #workers = []
  #pending = []
  #turn = 0
  #isOver = false
  /** Times of the crashes in Unix ms. */
  crashes = []
  /** What the caller sent, and how it was answered. */
  results = []

  /**
   * Starts a deployment.
   *
   * @param crashingPart - id of the part that crashes workers
   * @param record - notes crashes and starts
   */
  static async create (crashingPart, record) {
    const created = new CrashingDeployment()
    created.#crashingPart = crashingPart
    created.#record = record
    const { prefix } = created.#deployment
    created.#store = await Store.create(`${prefix}.200`)
    created.#store.put('config', 'main', CONFIG)
    for (const [index, zone] of ['a', 'b', 'c', 'a', 'b', 'c'].entries()) await created.#startWorker(`${prefix}.${210 + index}`, zone)
    for (const [index, zone] of ['a', 'b', 'c'].entries()) created.#gateways.push(await created.#deployment.startGateway(`front-${zone}-1`, { host: `${prefix}.${1 + index}`, zone, storeAddress: created.#store.address }))
    await created.#deployment.waitUntilReady(created.#gateways)
    await wait(4_000)
    return created
  }

  /** Sends a request whose prompt has some parts and one of its own. */
  ask (kind, parts) {
    const turn = this.#turn += 1
    const own = `${turn.toString(16).padStart(8, '0')}:250`
    const tokens = [...parts, own].reduce((sum, part) => sum + Number(part.split(':')[1]), 0)
    const request = {
      path: `/text/${kind}/${turn}`, method: 'POST', key: KEY, deadlineMs: 8_000, body: `${kind} ${turn}`, headers: { Accept: 'text/event-stream', 'Heatherdoor-Model': 'm', 'Heatherdoor-Token-Usage': `${tokens},30`, 'Heatherdoor-Prompt-Prefix': [...parts, own].join(',') }
    }
    this.#pending.push(send(this.#gateways[turn % this.#gateways.length], request).then(result => { this.results.push({ ...result, kind }) }))
  }

  /** Sends sound requests from now on for a time. */
  async askSound (parts, gapMs, forMs) {
    const endsAtMs = Date.now() + forMs
    while (Date.now() < endsAtMs) {
      this.ask('sound', parts)
      await wait(gapMs)
    }
  }

  /** Sends requests with the crashing part from now on for a time. @returns when the last was sent */
  async askCrashing (parts, gapMs, forMs) {
    const endsAtMs = Date.now() + forMs
    while (Date.now() < endsAtMs) {
      this.ask('crashing', parts)
      await wait(gapMs)
    }
    return Date.now()
  }

  /** Waits for all answers. @returns the runs by id of the request */
  async finish () {
    await Promise.all(this.#pending)
    this.#isOver = true
    const runs = new Map(this.#workers.flatMap(worker => worker.runs).map(run => [run.id, run]))
    this.results.sort((a, b) => a.sentAtMs - b.sentAtMs)
    for (const { id, kind, gateway, sentAtMs, status } of this.results) {
      const run = runs.get(id)
      this.#record.note(`${kind} ${id} sent to ${gateway}: ${status}, ${run === undefined ? 'not begun' : `begun at ${run.worker}`}`, sentAtMs)
    }
    for (const { name, lines } of this.#gateways) for (const line of lines) if (/"part-evidence"|"part-tried"|"endpoint-crashed"/.test(line)) this.#record.note(`${name}: ${line}`, Date.parse(JSON.parse(line).time))
    return runs
  }

  get ends () {
    return this.#deployment.ends
  }

  async close () {
    this.#isOver = true
    await this.#deployment.close()
    for (const worker of this.#workers) worker.close()
    this.#store?.close()
  }

  async #startWorker (host, zone, port) {
    const worker = await Worker.create({
      id: `i-${this.#workers.length}`,
      host,
      port,
      service: 'writer',
      zone,
      slots: 8,
      workMs: 60,
      crashes: headers => String(headers['heatherdoor-prompt-prefix']).includes(`${this.#crashingPart}:`),
      handleCrash: crashed => { this.#handleCrash(crashed) }
    })
    this.#workers.push(worker)
    this.#store.put('servers', worker.id, worker.entry)
    this.#record.note(`${worker.id} has started`)
  }

  /** Starts a crashed worker again after some seconds, at its address and with a new id. */
  #handleCrash ({ id, host, zone, port }) {
    this.crashes.push(Date.now())
    this.#record.note(`${id} crashes`)
    setTimeout(() => {
      if (this.#isOver) return
      this.#store.remove('servers', id)
      this.#startWorker(host, zone, port).catch(error => { this.#record.note(`could not start again: ${error}`) })
    }, AWAY_MS)
  }
}

/**
 * Plays a caller that sends sound requests, and for a while some with the crashing part.
 *
 * @param options - parts that all requests share, the crashing part that follows them, and the times
 * @returns broken instances of BUDGET: requests with the crashing part that reached workers too late, when there are too many
 */
export async function playCrashingPart ({ sharedParts, crashingPart, hasTrouble, record }) {
  const deployment = await CrashingDeployment.create(crashingPart, record)
  try {
    const sound = deployment.askSound(sharedParts, 150, 55_000)
    // Sound requests come first, so that their parts are known to be harmless.
    await wait(2_000)
    if (hasTrouble) await deployment.askCrashing([...sharedParts, `${crashingPart}:800`], 2_000, 48_000)
    await sound
    const runs = await deployment.finish()
    const fifthAtMs = deployment.crashes[COUNTED_CRASH - 1] ?? Infinity
    const statuses = {}
    const reaching = []
    for (const { id, kind, gateway, sentAtMs, status } of deployment.results) {
      statuses[`${kind} ${status}`] = (statuses[`${kind} ${status}`] ?? 0) + 1
      const run = runs.get(id)
      if (kind === 'crashing' && run !== undefined && sentAtMs > fifthAtMs + BOUNDS.stability_window_ms) reaching.push(`${id} reached ${run.worker} by ${gateway}, ${sentAtMs - fifthAtMs} ms after the fifth crash`)
    }
    const told = `${deployment.crashes.length} crashes; ${reaching.length} requests with the crashing part reached workers later than ${BOUNDS.stability_window_ms} ms after the fifth (bound ${REACHING_MAX})`
    return { broken: reaching.length > REACHING_MAX ? reaching : [], notes: [told, `answers: ${JSON.stringify(statuses)}`, `own ends: ${JSON.stringify(deployment.ends)}`] }
  } finally {
    await deployment.close()
  }
}
