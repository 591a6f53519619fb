/** Stand-in for the platform's store: objects by kind, with revisions and watches. */

import { createServer } from 'node:http'

const LONGEST_WATCH_MS = 30_000

export class Store {
  #objects = new Map()
  #revision = 1
  #changes = []
  #server = createServer((request, response) => { this.#handle(request, response) })
  #watchers = new Set()

  static async start (host) {
    const store = new Store()
    await new Promise((resolve, reject) => { store.#server.once('error', reject).listen(0, host, resolve) })
    store.address = `${host}:${store.#server.address().port}`
    return store
  }

  /** Creates an object or replaces its spec, as the operator and the workers do. */
  put (kind, name, spec) {
    const key = `${kind}/${name}`
    const created = this.#objects.get(key)?.metadata.created ?? Date.now()
    this.#revision += 1
    const object = { metadata: { name, revision: this.#revision, created, finalizers: [], deleting: false }, spec, status: null }
    this.#objects.set(key, object)
    this.#notify({ kind, object, deleted: false })
    return object
  }

  remove (kind, name) {
    const object = this.#objects.get(`${kind}/${name}`)
    if (object === undefined) return undefined
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#notify({ kind, object: { ...object, metadata: { ...object.metadata, revision: this.#revision } }, deleted: true })
    return object
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #notify (change) {
    this.#changes.push({ revision: this.#revision, ...change })
    for (const watcher of [...this.#watchers]) watcher()
  }

  #handle (request, response) {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('error', () => {})
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8')
      const send = (status, body) => {
        const bytes = Buffer.from(JSON.stringify(body))
        response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
        response.end(bytes)
      }
      this.#answer(request.method, new URL(request.url, 'http://store'), text === '' ? undefined : JSON.parse(text), send)
    })
  }

  #answer (method, url, body, send) {
    const [kind, name] = url.pathname.split('/').slice(3).map(decodeURIComponent)
    const known = name === undefined ? undefined : this.#objects.get(`${kind}/${name}`)
    if (method === 'GET' && name === undefined && url.searchParams.has('watch')) {
      this.#watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms') ?? 0), send)
    } else if (method === 'GET' && name === undefined) {
      const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
      send(200, { items, has_more: false, current_rev: this.#revision })
    } else if (method === 'POST') {
      const existing = this.#objects.get(`${kind}/${body.metadata.name}`)
      if (existing === undefined) send(201, this.put(kind, body.metadata.name, body.spec))
      else send(409, existing)
    } else if (known === undefined) {
      send(404, {})
    } else if (method === 'GET') {
      send(200, known)
    } else if (body?.metadata?.revision !== undefined && body.metadata.revision !== known.metadata.revision) {
      send(409, known)
    } else {
      send(200, method === 'DELETE' ? this.remove(kind, name) : this.put(kind, name, body.spec))
    }
  }

  #watch (kind, revision, waitMs, send) {
    const collect = () => this.#changes.filter(change => change.kind === kind && change.revision > revision)
    const finish = () => {
      clearTimeout(timer)
      this.#watchers.delete(check)
      send(200, { events: collect().map(({ object, deleted }) => ({ object, deleted })), current_rev: this.#revision })
    }
    const check = () => { if (collect().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(waitMs, LONGEST_WATCH_MS))
    this.#watchers.add(check)
    check()
  }
}
