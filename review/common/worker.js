/** Stand-in for a sound worker: runs each request for the time that it names, and records it. */

import { createServer } from 'node:http'
import { record } from './record.js'

/** Header of the test's requests: for how long they run, in ms. */
export const WORK_HEADER = 'x-work-ms'

export class Worker {
  /** Requests that began to run, with `atS` and, once they have ended well, `endedS`. */
  runs = []
  #server

  constructor ({ id, host, service, zone, slots, answer }) {
    Object.assign(this, { id, host, service, zone, slots, born: Date.now() })
    const run = answer ?? ((request, response, body) => { this.run(request, response, body) })
    this.#server = createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('error', () => {})
      request.on('end', () => { this.#receive(request, response, Buffer.concat(chunks), run) })
    })
  }

  async start (port = 0) {
    await new Promise((resolve, reject) => { this.#server.once('error', reject).listen(port, this.host, resolve) })
    this.address = `${this.host}:${this.#server.address().port}`
  }

  /** The entry with which the worker registers itself in the store. */
  describe (sequence) {
    return { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', cold_remaining_ms: 0, sequence, born: this.born }
  }

  /** Runs a request and answers it with a proof and a body of its own. */
  run (request, response, body) {
    const requestId = request.headers['heatherdoor-request-id']
    const run = { requestId, text: body.toString('utf8'), atS: performance.now() / 1_000 }
    this.runs.push(run)
    record(this.id, `runs ${requestId} (${run.text || request.url})`)
    const timer = setTimeout(() => {
      run.hasEnded = true
      record(this.id, `has finished ${requestId}, answers 200`)
      this.answer(response, requestId, 200, `done ${requestId}\n`)
    }, Number(request.headers[WORK_HEADER] ?? 0))
    response.on('close', () => {
      if (run.hasEnded) return
      record(this.id, `connection of ${requestId} closed while it runs`)
      clearTimeout(timer)
    })
  }

  answer (response, requestId, status, body) {
    response.writeHead(status, { 'Heatherdoor-Request-Id': requestId, 'Heatherdoor-Response-Signature': `${this.id}.${requestId}.${Buffer.byteLength(body)}`, 'Content-Length': Buffer.byteLength(body) })
    response.end(body)
  }

  /** Refuses a request that has not run. */
  refuse (response, requestId, status) {
    response.writeHead(status, { 'Heatherdoor-Request-Id': requestId, 'Heatherdoor-Not-Executed': '1', 'Content-Length': 0 })
    response.end()
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #receive (request, response, body, run) {
    const requestId = request.headers['heatherdoor-request-id']
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Heatherdoor-Instance-Id': this.id, 'Content-Length': 0 })
      response.end()
    } else if (requestId === undefined) {
      response.writeHead(404, { 'Content-Length': 0 })
      response.end()
    } else if (request.headers['heatherdoor-expect-instance'] !== this.id) {
      record(this.id, `refuses ${requestId}: it was meant for another worker`)
      this.refuse(response, requestId, 421)
    } else {
      run(request, response, body)
    }
  }
}
