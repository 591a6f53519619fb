/** Stand-in for a worker of a plain service, as PROTOCOL.md describes it. */

import { once } from 'node:events'
import { createServer } from 'node:http'

export class PlainWorker {
  #server
  address = ''
  /** Arrivals: id, path, tenant and time. */
  runs = []

  /**
   * @param options - id, workMs, and `handleRun`, called for each request that begins to run, and `buildBody`, which builds the body of the answer to a path
   */
  constructor ({ id, workMs = 20, handleRun = () => {}, buildBody = () => undefined }) {
    this.id = id
    this.#server = createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('error', () => {})
      request.on('end', () => {
        const expected = request.headers['heatherdoor-expect-instance']
        if (request.url === '/healthz') {
          response.writeHead(200, { 'Heatherdoor-Instance-Id': this.id, 'Content-Length': 0 })
          response.end()
          return
        }
        if (expected !== undefined && expected !== this.id) {
          response.writeHead(421, { 'Heatherdoor-Instance-Id': this.id, 'Content-Length': 0 })
          response.end()
          return
        }
        const requestId = request.headers['heatherdoor-request-id']
        const run = { worker: this.id, requestId, path: request.url, tenant: request.headers['heatherdoor-tenant'], body: String(Buffer.concat(chunks)) }
        this.runs.push(run)
        handleRun(run)
        setTimeout(() => {
          if (response.destroyed) return
          const body = buildBody(request.url) ?? `run of ${requestId}`
          response.writeHead(200, { 'Heatherdoor-Request-Id': requestId, 'Heatherdoor-Response-Signature': `${this.id}.${requestId}`, 'Content-Length': Buffer.byteLength(body) })
          response.end(body)
        }, workMs)
      })
    })
  }

  async listen (host) {
    this.#server.listen(0, host)
    await once(this.#server, 'listening')
    this.address = `${host}:${this.#server.address().port}`
  }

  /** Entry of the worker in the store. */
  describe (service, zone, fields = {}) {
    return { service, address: this.address, zone, version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 0, born: Date.now(), ...fields }
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
