/** In-memory stand-in for the platform's metadata store, limited to the calls that gateways make. */

import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

interface Entry {
  readonly kind: string
  readonly name: string
  readonly spec: unknown
  readonly revision: number
  readonly isDeleted: boolean
}

/** Copy of the store, from which it may come back. */
export interface StoreCopy {
  readonly entries: ReadonlyMap<string, Entry>
  readonly revision: number
}

/** Metadata store with its own HTTP server. */
export class PlatformStore {
  readonly #entries = new Map<string, Entry>()
  readonly #server = createServer((request, response) => {
    let body = ''
    request.on('data', chunk => { body += String(chunk) })
    request.on('end', () => {
      this.calls += 1
      if (this.#isRefusing) {
        response.statusCode = 503
        response.setHeader('Store-Era', String(this.#era))
        response.end()
        return
      }
      this.#answer(request.method ?? '', new URL(request.url ?? '', 'http://store'), body).then(({ status, content }) => {
        response.statusCode = status
        response.setHeader('Store-Era', String(this.#era))
        response.end(JSON.stringify(content))
      }, () => { response.destroy() })
    })
  })

  /** Calls received, refused ones included. */
  calls = 0
  /** Longest waits in ms that watches asked for. */
  readonly waitsMs: number[] = []
  #revision = 1
  #era = 1
  #isRefusing = false

  private constructor () {}

  static async create (): Promise<PlatformStore> {
    const store = new PlatformStore()
    store.#server.listen(0, '127.0.0.1')
    await once(store.#server, 'listening')
    return store
  }

  get address (): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  put (kind: string, name: string, spec: unknown): void {
    this.#revision += 1
    this.#entries.set(`${kind}/${name}`, { kind, name, spec, revision: this.#revision, isDeleted: false })
  }

  remove (kind: string, name: string): void {
    this.#revision += 1
    this.#entries.set(`${kind}/${name}`, { kind, name, spec: {}, revision: this.#revision, isDeleted: true })
  }

  listNames (kind: string): readonly string[] {
    return this.#list(kind).filter(({ isDeleted }) => !isDeleted).map(({ name }) => name)
  }

  copy (): StoreCopy {
    return { entries: new Map(this.#entries), revision: this.#revision }
  }

  /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
  restore ({ entries, revision }: StoreCopy): void {
    this.#entries.clear()
    for (const [key, entry] of entries) this.#entries.set(key, entry)
    this.#revision = revision
    this.#era += 1
  }

  /** Turns all calls away with 503. */
  refuse (isRefusing: boolean): void {
    this.#isRefusing = isRefusing
  }

  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #list (kind: string): readonly Entry[] {
    return [...this.#entries.values()].filter(entry => entry.kind === kind)
  }

  async #answer (method: string, url: URL, body: string): Promise<{ readonly status: number, readonly content: unknown }> {
    const [kind = '', name] = url.pathname.split('/').slice(3)
    switch (method) {
      case 'POST': {
        const { metadata, spec } = JSON.parse(body) as { metadata: { name: string }, spec: unknown }
        if (this.listNames(kind).includes(metadata.name)) return { status: 409, content: {} }
        this.put(kind, metadata.name, spec)
        return { status: 201, content: {} }
      }
      case 'PUT':
        this.put(kind, name ?? '', (JSON.parse(body) as { spec: unknown }).spec)
        return { status: 200, content: {} }
      case 'DELETE':
        this.remove(kind, name ?? '')
        return { status: 200, content: {} }
      default:
        if (Number(url.searchParams.get('watch') ?? 0) > this.#revision) return { status: 410, content: {} }
        return { status: 200, content: url.searchParams.has('watch') ? await this.#watch(kind, url.searchParams) : this.#describeList(kind) }
    }
  }

  #describeList (kind: string): unknown {
    return { items: this.#list(kind).filter(({ isDeleted }) => !isDeleted).map(describeEntry), has_more: false, current_rev: this.#revision }
  }

  async #watch (kind: string, query: URLSearchParams): Promise<unknown> {
    const from = Number(query.get('watch'))
    this.waitsMs.push(Number(query.get('wait_ms')))
    const endsAtMs = performance.now() + Number(query.get('wait_ms'))
    for (;;) {
      const changed = this.#list(kind).filter(({ revision }) => revision > from)
      if (changed.length > 0 || performance.now() >= endsAtMs) {
        return { events: changed.map(entry => ({ object: describeEntry(entry), deleted: entry.isDeleted })), current_rev: this.#revision }
      }
      await new Promise(resolve => { setTimeout(resolve, 10) })
    }
  }
}

function describeEntry ({ name, spec, revision }: Entry): unknown {
  return { metadata: { name, revision, created: 1, finalizers: [], deleting: false }, spec, status: null }
}
