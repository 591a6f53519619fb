/**
 * Stand-in for the model workers of one group, as PROTOCOL.md describes them: they run passes together,
 * a stream gets one event in each pass, and when a rank crashes all of them stall and then refuse.
 */

import { once } from 'node:events'
import { createServer } from 'node:http'

export const APP_PORT = 8228

/** Time in ms of a pass with five steps, which makes one event of each stream. */
const PASS_MS = 60

const SLOTS = 8
const EVENTS = 28

/** Figures of the sheet, and `form_ms` of the configuration. */
const STALL_MS = 1_500
const FORM_MS = 600

/** Time in ms from a crash until the worker is back. */
const BACK_MS = 2_000

export class Group {
  ranks = []
  #epoch = 1
  #step = 1
  #brokenAtMs
  #faulty = ''
  #options
  #timer
  #timers = new Set()

  /** @param options - `service`, `store`, `record`, and `crashesAfter`, which says after how many events of its answer a request crashes its worker, and `isFaulty`, whether a worker crashes on whatever it begins to run */
  constructor (options) {
    this.#options = options
  }

  async start (prefix, count, zones) {
    for (let rank = 0; rank < count; rank += 1) {
      const started = { rank, id: `i-rank${rank}`, host: `${prefix}.${100 + rank}`, zone: zones[rank % zones.length], bornMs: Date.now(), requests: [], isUp: false, server: undefined, sockets: new Set() }
      this.ranks.push(started)
      await this.#open(started)
    }
    this.#timer = setInterval(() => { this.#pass() }, PASS_MS)
  }

  stop () {
    clearInterval(this.#timer)
    for (const timer of this.#timers) clearTimeout(timer)
    for (const rank of this.ranks) this.#close(rank)
  }

  async #open (rank) {
    rank.server = createServer((request, response) => { this.#receive(rank, request, response) })
    rank.server.on('connection', socket => {
      rank.sockets.add(socket)
      socket.once('close', () => { rank.sockets.delete(socket) })
    })
    rank.server.listen(APP_PORT, rank.host)
    await once(rank.server, 'listening')
    rank.isUp = true
    rank.bornMs = Date.now()
    const { service, store } = this.#options
    store.put('servers', rank.id, { service, address: `${rank.host}:${APP_PORT}`, zone: rank.zone, version: 'v1', slots: SLOTS, state: 'ready', cold_remaining_ms: 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], sequence: 0, born: rank.bornMs })
  }

  #close (rank) {
    rank.isUp = false
    rank.requests = []
    rank.server.close()
    for (const socket of rank.sockets) socket.resetAndDestroy()
  }

  #later (delayMs, run) {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      run()
    }, delayMs)
    this.#timers.add(timer)
  }

  #crash (rank, requestId) {
    const { record, handleCrash } = this.#options
    record.write(`${rank.id} crashes on ${requestId}`)
    handleCrash?.(rank, requestId)
    this.#close(rank)
    this.#brokenAtMs ??= performance.now()
    this.#faulty = rank.id
    this.#later(STALL_MS, () => {
      for (const other of this.ranks) for (const run of [...other.requests]) this.#cut(other, run)
    })
    this.#later(BACK_MS, () => {
      this.#open(rank).then(() => {
        record.write(`${rank.id} is back`)
        if (this.ranks.every(({ isUp }) => isUp)) this.#later(FORM_MS, () => { this.#reform() })
      })
    })
  }

  #reform () {
    if (!this.ranks.every(({ isUp }) => isUp)) return
    this.#brokenAtMs = undefined
    this.#epoch += 1
    this.#step = 1
    this.#options.record.write(`the group is open, epoch ${this.#epoch}`)
  }

  /** Ends a request that depends on a worker that is gone. */
  #cut (rank, run) {
    rank.requests.splice(rank.requests.indexOf(run), 1)
    if (run.response.destroyed) return
    if (run.events > 0) run.response.destroy()
    else this.#refuse(run.response)
  }

  #refuse (response) {
    response.writeHead(503, { 'Heatherdoor-Not-Executed': '1', 'At-Server': this.#faulty, 'Content-Length': 0 })
    response.end()
  }

  #receive (rank, request, response) {
    const path = request.url.split('?')[0]
    const answer = (status, body) => {
      const text = JSON.stringify(body)
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }
    request.resume()
    request.on('error', () => {})
    switch (path) {
      case '/heatherdoor/report':
        answer(200, {
          stage: 'both',
          models: [{ name: 'm', version: 1, adapters: [] }],
          busy: false,
          sequence: 0,
          waiting: Math.max(0, rank.requests.length - SLOTS),
          running: Math.min(SLOTS, rank.requests.length),
          kv_used: 1000 * rank.requests.length,
          kv_total: 248_000,
          handles: 0,
          pace: 1,
          born: rank.bornMs,
          group: { name: 'g', epoch: this.#epoch, rank: rank.rank, state: this.#brokenAtMs === undefined ? 'open' : 'broken' },
          size: this.ranks.length,
          step: this.#step,
          map: 0,
          prepared: null,
          armed: null,
          held: null
        })
        return
      case '/heatherdoor/picked':
        answer(200, { step: this.#step, epoch: this.#epoch, counts: Array.from({ length: 256 }, () => 0), map: { version: 0, experts: [] } })
        return
      case '/heatherdoor/order':
        answer(409, {})
        return
      case '/healthz':
        response.writeHead(200, { 'Heatherdoor-Instance-Id': rank.id, 'Content-Length': 0 })
        response.end()
        return
    }
    request.on('end', () => { this.#take(rank, request, response) })
  }

  #take (rank, { headers, url }, response) {
    if (headers['heatherdoor-expect-instance'] !== undefined && headers['heatherdoor-expect-instance'] !== rank.id) {
      response.writeHead(421, { 'Heatherdoor-Instance-Id': rank.id, 'Content-Length': 0 })
      response.end()
      return
    }
    const { handleArrival, crashesAfter } = this.#options
    const parts = String(headers['heatherdoor-prompt-prefix'] ?? '').split(',').map(entry => entry.split(':')[0])
    const run = { requestId: headers['heatherdoor-request-id'], path: url, parts, response, events: 0, lastId: Number(headers['last-event-id'] ?? 0), crashAfter: crashesAfter({ parts }) }
    handleArrival?.(rank, run)
    if (this.#brokenAtMs !== undefined && performance.now() - this.#brokenAtMs >= STALL_MS) {
      this.#refuse(response)
      return
    }
    rank.requests.push(run)
    response.once('close', () => {
      const at = rank.requests.indexOf(run)
      if (at >= 0) rank.requests.splice(at, 1)
    })
  }

  #pass () {
    if (this.#brokenAtMs !== undefined) return
    this.#step += 1
    for (const rank of this.ranks) {
      for (const run of rank.requests.slice(0, SLOTS)) {
        if ((run.crashAfter !== undefined && run.events >= run.crashAfter) || (run.events === 0 && this.#options.isFaulty?.(rank) === true)) {
          this.#crash(rank, run.requestId)
          return
        }
        this.#write(rank, run)
      }
    }
  }

  #write (rank, run) {
    if (run.events === 0) {
      this.#options.handleBegin?.(rank, run)
      run.response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Heatherdoor-Request-Id': run.requestId, 'Heatherdoor-Response-Signature': `${rank.id}.${run.requestId}`, 'Heatherdoor-Weight-Versions': '1' })
    }
    run.events += 1
    run.lastId += 1
    run.response.write(`id: ${run.lastId}\ndata: token ${run.lastId} of ${run.path}\n\n`)
    if (run.lastId < EVENTS) return
    rank.requests.splice(rank.requests.indexOf(run), 1)
    run.response.end()
  }
}
