/** A machine that has just got its path to the store back keeps a worker for two more seconds after it has seen that the worker is gone. */

import { dirname } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { send } from '../common-2/client.js'
import { BOUNDS, Deployment } from '../common-2/deployment.js'
import { hasTrouble, runCase } from '../common-2/record.js'
import { Relay } from '../common-2/relay.js'
import { Store } from '../common-2/store.js'
import { Worker } from '../common-2/worker.js'

/** Length of a cut in ms, as on the sites. */
const CUT_MS = 4_000

/** Rounds of a cut and a replaced worker, and the time in ms from one to the next. */
const ROUNDS = 6
const ROUND_MS = 13_000

/** Times in ms after the first call that the store gets from the machine at which the new worker registers itself, and at which the old one leaves. */
const REGISTERED_MS = 700
const LEAVING_MS = 750

/** Time in ms for which a worker goes on serving after its entry was removed. */
const LINGER_MS = BOUNDS.drain_ms + 1_500

/** Requests a second. */
const PER_S = 60

const CONFIG = {
  version: 7,
  routes: [{ name: 'r-1', host: 'h.example', path_prefix: '/book/', route_kind: 'unsafe', timeout_ms: 1_500, target_latency_ms: 100, priority: 1, service: 'counter', max_attempts: 2, public: false, sticky: false }],
  services: [{ name: 'counter', health_path: '/healthz' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async record => {
  const deployment = new Deployment()
  const { prefix } = deployment
  const store = await Store.create(`${prefix}.200`)
  const relay = await Relay.create(`${prefix}.201`, { host: store.host, port: store.port })
  const workers = []
  const addWorker = async zone => {
    const worker = await Worker.create({ id: `i-${workers.length}`, host: `${prefix}.${210 + workers.length}`, service: 'counter', zone })
    workers.push(worker)
    store.put('servers', worker.id, worker.entry)
    return worker
  }
  try {
    store.put('config', 'main', CONFIG)
    for (const zone of ['a', 'b', 'c']) await addWorker(zone)
    const gateway = await deployment.startGateway('front-a-1', { host: `${prefix}.1`, zone: 'a', storeAddress: relay.address })
    await deployment.waitUntilReady([gateway])
    await wait(4_000)

    const results = []
    const pending = []
    const state = { isOver: false, noteCall: () => {} }
    store.onWatch(kind => { if (kind === 'servers') state.noteCall(Date.now()) })
    const callers = (async () => {
      for (let turn = 0; !state.isOver; turn += 1) {
        pending.push(send(gateway, { path: `/book/${turn}`, method: 'POST', body: 'slot' }).then(result => { results.push(result) }))
        await wait(1_000 / PER_S)
      }
    })()
    const leaving = []
    const cuts = []
    for (let round = 0; round < ROUNDS; round += 1) {
      const startMs = Date.now()
      if (hasTrouble) {
        relay.cut()
        record.note('front-a-1 is cut off from the store')
      }
      await wait(CUT_MS)
      relay.heal()
      const healedAtMs = Date.now()
      const firstCall = new Promise(resolve => { state.noteCall = resolve })
      if (hasTrouble) {
        cuts.push({ startMs, healedAtMs })
        record.note('the cut has healed', healedAtMs)
      }
      const calledAtMs = hasTrouble ? await firstCall : healedAtMs
      await wait(calledAtMs + REGISTERED_MS - Date.now())
      const old = workers[round]
      await addWorker(old.zone)
      await wait(calledAtMs + LEAVING_MS - Date.now())
      const { atMs } = store.remove('servers', old.id)
      leaving.push({ worker: old, atMs })
      record.note(`${old.id} leaves without having reported it: the store has acknowledged the removal of its entry`, atMs)
      setTimeout(() => {
        old.close()
        record.note(`${old.id} has ended`)
      }, LINGER_MS)
      await wait(startMs + ROUND_MS - Date.now())
    }
    state.isOver = true
    await callers
    await Promise.all(pending)

    // In touch: a path to the platform for the whole stability window before.
    const isInTouch = atMs => cuts.every(({ startMs, healedAtMs }) => atMs < startMs || atMs > healedAtMs + BOUNDS.stability_window_ms)
    const sent = new Map(results.map(result => [result.id, result]))
    const statuses = {}
    for (const { status } of results) statuses[status] = (statuses[status] ?? 0) + 1
    const broken = []
    for (const { worker, atMs } of leaving) {
      for (const { id, arrivedAtMs } of worker.runs) {
        if (arrivedAtMs <= atMs) continue
        const { sentAtMs, status } = sent.get(id)
        record.note(`${id} reaches ${worker.id} ${arrivedAtMs - atMs} ms after the ack of its leaving; answered ${status}`, arrivedAtMs)
        if (arrivedAtMs - atMs <= BOUNDS.drain_ms || !isInTouch(sentAtMs) || !isInTouch(arrivedAtMs)) continue
        broken.push(`${id} reached ${worker.id} ${arrivedAtMs - atMs} ms after the store had acknowledged that it is gone (bound ${BOUNDS.drain_ms} ms), sent by a machine in touch`)
      }
    }
    for (const line of gateway.lines) if (/"change":"(lapsed|gone)"|"store-(lost|found)"/.test(line)) record.note(`front-a-1: ${line}`, Date.parse(JSON.parse(line).time))
    return { broken, notes: [`answers: ${JSON.stringify(statuses)}`, `own ends: ${JSON.stringify(deployment.ends)}`] }
  } finally {
    await deployment.close()
    for (const worker of workers) worker.close()
    relay.close()
    store.close()
  }
})
