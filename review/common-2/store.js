/**
 * Stand-in for the platform's metadata store: objects by kind and name, one revision counter, a
 * history of changes and watches. It answers every call at once unless a case sets it otherwise.
 */

import { once } from 'node:events'
import { createServer } from 'node:http'

/** Most items of a page, and the characters after which it ends. */
const PAGE_ITEMS = 500
const PAGE_CHARS = 1_000_000

/** Characters after which the answer to a watch ends in a store that splits it as it does the pages of a list. */
const WATCH_CHARS = 1_000_000

/** Time in ms for which the history of changes is kept, as the settings say. */
const HISTORY_MS = 20_000

const WAIT_MAX_MS = 30_000

/** The platform's store. */
export class Store {
  #objects = new Map()
  #history = []
  #revision = 100
  #forgottenRevision = 100
  #waiting = new Set()
  #server = createServer((request, response) => { this.#receive(request, response) })
  /** Calls by kind of call, for the record. */
  calls = []
  /** Whether the answer to a watch ends after about 1 MB; the next watch continues there. */
  splitsWatches = false
  #watchers = []

  static async create (host) {
    const store = new Store()
    store.#server.keepAliveTimeout = 60_000
    store.#server.listen(0, host)
    await once(store.#server, 'listening')
    store.host = host
    store.port = store.#server.address().port
    return store
  }

  get address () {
    return `${this.host}:${this.port}`
  }

  /** Writes an object as the operator, a worker or the system; the return is the acknowledgement. */
  put (kind, name, spec) {
    const key = `${kind}/${name}`
    const known = this.#objects.get(key)
    this.#revision += 1
    const object = { metadata: { name, revision: this.#revision, created: known?.metadata.created ?? this.#revision, finalizers: [], deleting: false }, spec, status: null }
    this.#objects.set(key, object)
    this.#note(kind, object, false)
    return { revision: this.#revision, atMs: Date.now() }
  }

  remove (kind, name) {
    const key = `${kind}/${name}`
    const known = this.#objects.get(key)
    if (known === undefined) return undefined
    this.#objects.delete(key)
    this.#revision += 1
    this.#note(kind, { ...known, metadata: { ...known.metadata, revision: this.#revision } }, true)
    return { revision: this.#revision, atMs: Date.now() }
  }

  /** Cuts off the watches of a kind that wait now. @returns how many */
  cutWatches (kind) {
    const cut = [...this.#waiting].filter(waiter => waiter.kind === kind)
    for (const waiter of cut) {
      this.#waiting.delete(waiter)
      clearTimeout(waiter.timer)
      waiter.response.destroy()
    }
    return cut.length
  }

  /** Calls `handle` whenever a watch of a kind begins to wait. */
  onWatch (handle) {
    this.#watchers.push(handle)
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #note (kind, object, deleted) {
    const nowMs = Date.now()
    this.#history.push({ kind, object, deleted, revision: this.#revision, atMs: nowMs })
    while (this.#history.length > 0 && nowMs - this.#history[0].atMs > HISTORY_MS) this.#forgottenRevision = this.#history.shift().revision
    for (const waiter of [...this.#waiting]) if (waiter.kind === kind) this.#finishWatch(waiter)
  }

  #receive (request, response) {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const [kind, name] = url.pathname.split('/').slice(3).map(decodeURIComponent)
      const text = Buffer.concat(chunks).toString('utf8')
      this.#answer({ method: request.method, kind, name, query: url.searchParams, body: text === '' ? {} : JSON.parse(text), response })
    })
  }

  #send (response, status, content) {
    const bytes = Buffer.from(JSON.stringify(content))
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': String(bytes.length), 'Store-Era': '1' })
    response.end(bytes)
    return bytes.length
  }

  #answer ({ method, kind, name, query, body, response }) {
    const found = this.#objects.get(`${kind}/${name}`)
    if (method === 'POST') {
      if (this.#objects.has(`${kind}/${body.metadata.name}`)) this.#send(response, 409, this.#objects.get(`${kind}/${body.metadata.name}`))
      else {
        this.put(kind, body.metadata.name, body.spec)
        this.#send(response, 201, this.#objects.get(`${kind}/${body.metadata.name}`))
      }
    } else if (method === 'PUT') {
      if (found === undefined) this.#send(response, 404, {})
      else {
        if (JSON.stringify(found.spec) !== JSON.stringify(body.spec)) this.put(kind, name, body.spec)
        this.#send(response, 200, this.#objects.get(`${kind}/${name}`))
      }
    } else if (method === 'DELETE') {
      this.remove(kind, name)
      this.#send(response, found === undefined ? 404 : 200, found ?? {})
    } else if (name !== undefined) {
      this.#send(response, found === undefined ? 404 : 200, found ?? {})
    } else if (query.has('watch')) {
      this.#watch(kind, Number(query.get('watch')), Math.min(WAIT_MAX_MS, Number(query.get('wait_ms'))), response)
    } else {
      this.#list(kind, query.get('after') ?? '', response)
    }
  }

  #list (kind, after, response) {
    const all = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object).filter(({ metadata }) => metadata.name > after)
    all.sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
    const items = []
    let chars = 0
    for (const object of all) {
      if (items.length === PAGE_ITEMS || (items.length > 0 && chars > PAGE_CHARS)) break
      items.push(object)
      chars += JSON.stringify(object).length
    }
    this.calls.push({ atMs: Date.now(), call: 'list', kind, revision: this.#revision })
    this.#send(response, 200, { items, has_more: items.length < all.length, current_rev: this.#revision })
  }

  #watch (kind, revision, waitMs, response) {
    const nowMs = Date.now()
    while (this.#history.length > 0 && nowMs - this.#history[0].atMs > HISTORY_MS) this.#forgottenRevision = this.#history.shift().revision
    if (revision < this.#forgottenRevision || revision > this.#revision) {
      this.calls.push({ atMs: nowMs, call: 'watch', kind, revision, status: 410 })
      this.#send(response, 410, {})
      return
    }
    const waiter = { kind, revision, response, timer: undefined }
    if (this.#listEvents(waiter).length > 0) {
      this.#finishWatch(waiter)
      return
    }
    this.#waiting.add(waiter)
    waiter.timer = setTimeout(() => { this.#finishWatch(waiter) }, waitMs)
    response.on('close', () => {
      this.#waiting.delete(waiter)
      clearTimeout(waiter.timer)
    })
    for (const handle of this.#watchers) handle(kind)
  }

  #listEvents ({ kind, revision }) {
    return this.#history.filter(change => change.kind === kind && change.revision > revision)
  }

  #finishWatch (waiter) {
    this.#waiting.delete(waiter)
    clearTimeout(waiter.timer)
    const all = this.#listEvents(waiter)
    const events = this.splitsWatches ? takeChars(all, WATCH_CHARS) : all
    const revision = events.length < all.length ? events.at(-1).revision : this.#revision
    const bytes = this.#send(waiter.response, 200, { events: events.map(({ object, deleted }) => ({ object, deleted })), current_rev: revision })
    if (events.length > 0) this.calls.push({ atMs: Date.now(), call: 'watch', kind: waiter.kind, revision: waiter.revision, status: 200, events: events.length, bytes })
  }
}

/** @returns the first changes, up to the one with which they have `max` characters */
function takeChars (changes, max) {
  let chars = 0
  const end = changes.findIndex(({ object }) => {
    chars += JSON.stringify(object).length
    return chars >= max
  })
  return end === -1 ? changes : changes.slice(0, end + 1)
}
