/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and name, pages,
 * watches that return every change since a revision, a bounded history, and 410 when it is gone.
 */

import { once } from 'node:events'
import { createServer } from 'node:http'

const PATH = '/heatherdoor/objects/'
const PAGE_OBJECTS = 500
const PAGE_BYTES = 1024 * 1024

/** Time in ms that an answer takes. */
const ANSWER_MS = 4

export class Store {
  #objects = new Map()
  #history = []
  #revision = 1
  #discarded = 0
  #historyMs
  #servers = []
  #waiting = new Set()

  /** @param historyS - time in s for which changes are kept */
  constructor (historyS = 20) {
    this.#historyMs = historyS * 1000
  }

  /** Opens a listener; each gateway may have one of its own. */
  async listen (host) {
    const server = createServer((request, response) => { this.#receive(request, response) })
    server.keepAliveTimeout = 60_000
    server.listen(0, host)
    await once(server, 'listening')
    this.#servers.push(server)
    return `${host}:${server.address().port}`
  }

  stop () {
    for (const server of this.#servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  put (kind, name, spec) {
    const created = this.#objects.get(`${kind}/${name}`)?.metadata.created ?? Date.now()
    const object = { metadata: { name, revision: ++this.#revision, created, finalizers: [], deleting: false }, spec, status: null }
    this.#objects.set(`${kind}/${name}`, object)
    this.#note(kind, object, false)
    return object
  }

  remove (kind, name) {
    const object = this.#objects.get(`${kind}/${name}`)
    if (object === undefined) return undefined
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#note(kind, { ...object, metadata: { ...object.metadata, revision: this.#revision } }, true)
    return object
  }

  #note (kind, object, deleted) {
    this.#history.push({ kind, object, deleted, revision: this.#revision, atMs: performance.now() })
    for (const check of [...this.#waiting]) check()
  }

  #prune () {
    const oldestMs = performance.now() - this.#historyMs
    while (this.#history.length > 0 && this.#history[0].atMs < oldestMs) this.#discarded = this.#history.shift().revision
  }

  #receive (request, response) {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('error', () => {})
    request.on('end', () => {
      setTimeout(() => {
        const url = new URL(request.url, 'http://store')
        if (!url.pathname.startsWith(PATH)) answer(response, 404, {})
        else this.#answer(request.method, url, Buffer.concat(chunks), response)
      }, ANSWER_MS)
    })
  }

  #answer (method, url, body, response) {
    const [kind, name] = url.pathname.slice(PATH.length).split('/').map(decodeURIComponent)
    if (method === 'GET' && name === undefined && url.searchParams.has('watch')) {
      this.#watch(kind, url.searchParams, response)
      return
    }
    const known = this.#objects.get(`${kind}/${name}`)
    switch (method) {
      case 'GET':
        if (name === undefined) answer(response, 200, this.#list(kind, url.searchParams.get('after') ?? ''))
        else answer(response, known === undefined ? 404 : 200, known ?? {})
        break
      case 'POST': {
        const { metadata, spec } = JSON.parse(String(body))
        const taken = this.#objects.get(`${kind}/${metadata.name}`)
        if (taken !== undefined) answer(response, 409, taken)
        else answer(response, 200, this.put(kind, metadata.name, spec))
        break
      }
      case 'PUT': {
        const { spec } = JSON.parse(String(body))
        if (known === undefined) answer(response, 404, {})
        else if (JSON.stringify(known.spec) === JSON.stringify(spec)) answer(response, 200, known)
        else answer(response, 200, this.put(kind, name, spec))
        break
      }
      case 'DELETE':
        answer(response, this.remove(kind, name) === undefined ? 404 : 200, {})
        break
      default:
        answer(response, 400, {})
    }
  }

  #list (kind, after) {
    const all = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
      .filter(({ metadata }) => metadata.name > after).sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1))
    const items = []
    let bytes = 0
    for (const object of all) {
      const size = JSON.stringify(object).length
      if (items.length > 0 && (items.length === PAGE_OBJECTS || bytes + size > PAGE_BYTES)) break
      items.push(object)
      bytes += size
    }
    return { items, has_more: items.length < all.length, current_rev: this.#revision }
  }

  #watch (kind, query, response) {
    const from = Number(query.get('watch'))
    const isClosed = () => response.destroyed || response.writableEnded
    const check = () => {
      if (isClosed()) {
        finish()
        return
      }
      this.#prune()
      if (from < this.#discarded || from > this.#revision) {
        finish()
        answer(response, 410, {})
        return
      }
      const events = this.#history.filter(event => event.kind === kind && event.revision > from).map(({ object, deleted }) => ({ object, deleted }))
      if (events.length === 0) return
      finish()
      answer(response, 200, { events, current_rev: this.#revision })
    }
    const finish = () => {
      clearTimeout(timer)
      this.#waiting.delete(check)
    }
    const timer = setTimeout(() => {
      this.#waiting.delete(check)
      if (!isClosed()) answer(response, 200, { events: [], current_rev: this.#revision })
    }, Math.min(30_000, Number(query.get('wait_ms') ?? 0)))
    this.#waiting.add(check)
    check()
  }
}

function answer (response, status, body) {
  if (response.destroyed) return
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length, 'Store-Era': '1' })
  response.end(bytes)
}
