/** Stand-in for a plain worker that follows the platform's pages: it runs a request for a while, proves its answer and names the request. */

import { once } from 'node:events'
import { createServer } from 'node:http'

/** Events of a stream, and the time in ms between them. */
const STREAM_EVENTS = 6
const STREAM_INTERVAL_MS = 40

/** A worker. */
export class Worker {
  /** Requests that it ran, and when they arrived. */
  runs = []
  #server
  #sockets = new Set()

  /** Starts a worker; `crashes` tells whether a request ends it as it begins to write the answer. */
  static async create ({ id, host, service, zone, port = 0, workMs = 20, slots = 6, born = Date.now(), crashes = () => false, handleCrash = () => {} }) {
    const worker = new Worker()
    Object.assign(worker, { id, host, service, zone, workMs, slots, born, crashes, handleCrash, state: 'ready', sequence: 0 })
    worker.#server = createServer((request, response) => { worker.#receive(request, response) })
    worker.#server.listen(port, host)
    worker.#server.on('connection', socket => {
      worker.#sockets.add(socket)
      socket.on('close', () => { worker.#sockets.delete(socket) })
    })
    await once(worker.#server, 'listening')
    worker.port = worker.#server.address().port
    return worker
  }

  /** What the worker writes of itself into the store. */
  get entry () {
    const { service, host, port, zone, slots, state, born } = this
    return { service, address: `${host}:${port}`, zone, version: 'v1', slots, state, cold_remaining_ms: 0, sequence: this.sequence, born }
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #receive (request, response) {
    if (request.url.startsWith('/heatherdoor/') || request.url === '/healthz') {
      request.resume()
      response.writeHead(request.url === '/healthz' ? 200 : 404, { 'Heatherdoor-Instance-Id': this.id, 'Content-Length': '0' })
      response.end()
      return
    }
    const { headers } = request
    const id = headers['heatherdoor-request-id']
    const expected = headers['heatherdoor-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Heatherdoor-Instance-Id': this.id, 'Content-Length': '0' })
      response.end()
      return
    }
    const run = { id, worker: this.id, path: request.url, method: request.method, tenant: headers['heatherdoor-tenant'], arrivedAtMs: Date.now() }
    this.runs.push(run)
    request.resume()
    request.on('end', () => {
      setTimeout(() => {
        if (this.crashes(headers)) this.#crash()
        else if (headers.accept === 'text/event-stream') this.#stream(id, response)
        else this.#answer(id, response)
      }, this.workMs)
    })
  }

  /** Ends as a process that crashes: its connections are reset, and its address refuses new ones. */
  #crash () {
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.handleCrash(this)
  }

  #stream (id, response) {
    response.writeHead(200, { 'Heatherdoor-Request-Id': id, 'Heatherdoor-Response-Signature': `${this.id}.${id}`, 'Content-Type': 'text/event-stream' })
    let event = 0
    const timer = setInterval(() => {
      event += 1
      response.write(`id: ${event}\ndata: piece ${event} of ${id}\n\n`)
      if (event < STREAM_EVENTS && !response.destroyed) return
      clearInterval(timer)
      response.end()
    }, STREAM_INTERVAL_MS)
  }

  #answer (id, response) {
    const body = `ran ${id} at ${this.id}`
    response.writeHead(200, { 'Heatherdoor-Request-Id': id, 'Heatherdoor-Response-Signature': `${this.id}.${id}`, 'Content-Type': 'text/plain', 'Content-Length': String(body.length) })
    response.end(body)
  }
}
