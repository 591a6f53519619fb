/**
 * Client of the platform's object API: reads, conditional updates, removals,
 * lists and watches. Every call has a timeout; reads, writes and removals return
 * a `PlatformResult`.
 */

import { randomInt } from 'node:crypto'
import type { SecureContextOptions } from 'node:tls'
import type { PlatformResult } from '../../kernel/events.js'
import { Random } from '../../kernel/random.js'
import { PlatformTransport } from './transport.js'
import type { TransportResult, TransportCall } from './transport.js'
import { hostsResponseSchema, listResponseSchema, objectResponseSchema, revisionResponseSchema } from './schema.js'
import type { ListResponse } from './schema.js'
import { Watch } from './watch.js'
import type { WatchOptions } from './watch.js'

/** Maximum size of a value that the platform accepts, in bytes. */
export const VALUE_MAX_BYTES = 1_048_576
/** Reconnects after an outage are spread randomly over this time in ms. */
const RECONNECT_SPREAD_MS = 10_000
/** Maximum number of writes, each with a read-back, in one `writeUntilKnown`. */
const WRITES_MAX = 4

/** What the client is created with. */
export interface PlatformClientOptions {
  /** Base URLs; the next one is tried when one fails. */
  readonly urls: readonly string[]
  /** Timeout of one call in ms. */
  readonly timeoutMs: number
  /** Sent as a bearer credential. */
  readonly credential?: string
  /** Returns the TLS options for a new connection, which may have been renewed. */
  readonly tls?: () => SecureContextOptions
  /** Called with the result and the duration in ms of each read, write and removal. */
  readonly onResult?: (result: PlatformResult['kind'], elapsedMs: number) => void
  /** Reconnects of watches are spread randomly over this time in ms. */
  readonly reconnectSpreadMs?: number
  /** Seed of the jitter. */
  readonly seed?: number
}

/** Result of a list. */
export type PlatformListResult =
  | { readonly kind: 'listed', readonly revision: number, readonly objects: ListResponse['objects'] }
  | { readonly kind: 'unavailable' }

/** Names of hosts as the platform lists them. */
export interface PlatformHosts {
  readonly live: readonly string[]
  readonly leaving: readonly string[]
}

/** What a read-back shows about a write whose response was lost. */
export type WriteCheck =
  /** The write took effect and there was no later write. */
  | { readonly kind: 'applied', readonly revision: number }
  /** The object is unchanged; the write may still take effect later. */
  | { readonly kind: 'pending' }
  /** Another writer wrote; whether this write took effect before that is unknown. */
  | { readonly kind: 'superseded' }
  | { readonly kind: 'unavailable' }

/** Client of the object API. */
export class PlatformClient {
  readonly #transport: PlatformTransport
  readonly #onResult: NonNullable<PlatformClientOptions['onResult']>
  readonly #watchOptions: WatchOptions
  readonly #watches = new Set<Watch>()

  private constructor (options: PlatformClientOptions) {
    this.#transport = PlatformTransport.create(options)
    this.#onResult = options.onResult ?? (() => {})
    this.#watchOptions = {
      transport: this.#transport,
      random: Random.create(options.seed ?? randomInt(2 ** 31)),
      spreadMs: options.reconnectSpreadMs ?? RECONNECT_SPREAD_MS
    }
  }

  /**
   * @param options - URLs, timeout and credential
   * @returns a client that connects on the first call
   */
  static create (options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(options)
  }

  /**
   * @param key - object key
   * @returns `found`, `missing` or `unavailable`
   */
  async read (key: string): Promise<PlatformResult> {
    return await this.#send({ method: 'GET', path: formatObjectPath(key) }, parseRead)
  }

  /**
   * Writes an object if it has the expected revision.
   *
   * @param key - object key
   * @param value - new value, at most `VALUE_MAX_BYTES` bytes
   * @param revision - expected revision; 0 creates the object
   * @returns `written`, `conflict`, `unavailable` when the write did not take
   * effect, or `unknown` when the response was lost and the caller must read back
   * @throws RangeError when the value is too large
   */
  async write (key: string, value: string, revision: number): Promise<PlatformResult> {
    const bytes = Buffer.byteLength(value)
    if (bytes > VALUE_MAX_BYTES) throw new RangeError(`value of ${key} has ${bytes} bytes, more than ${VALUE_MAX_BYTES}`)
    return await this.#send({ method: 'PUT', path: formatObjectPath(key), revision, body: JSON.stringify({ value }) }, parseWrite)
  }

  /**
   * Removes an object if it has the expected revision.
   *
   * @param key - object key
   * @param revision - expected revision
   * @returns the same results as `write`
   */
  async remove (key: string, revision: number): Promise<PlatformResult> {
    return await this.#send({ method: 'DELETE', path: formatObjectPath(key), revision }, parseWrite)
  }

  /**
   * @param prefix - start of the keys
   * @returns all objects under the prefix at one revision
   */
  async list (prefix: string): Promise<PlatformListResult> {
    const callResult = await this.#transport.send({ method: 'GET', path: `/v1/objects?prefix=${encodeURIComponent(prefix)}` })
    if (callResult.kind !== 'answered' || callResult.status !== 200) return { kind: 'unavailable' }
    const list = listResponseSchema.safeParse(callResult.body)
    return list.success ? { kind: 'listed', ...list.data } : { kind: 'unavailable' }
  }

  /**
   * Reads the platform's list of hosts, which lags behind by seconds.
   *
   * @returns names of live and of leaving hosts; undefined when it cannot be read
   */
  async listHosts (): Promise<PlatformHosts | undefined> {
    const callResult = await this.#transport.send({ method: 'GET', path: '/v1/hosts' })
    if (callResult.kind !== 'answered' || callResult.status !== 200) return undefined
    const parsed = hostsResponseSchema.safeParse(callResult.body)
    if (!parsed.success) return undefined
    const { hosts } = parsed.data
    return {
      live: hosts.filter(({ state }) => state === 'live').map(({ name }) => name),
      leaving: hosts.filter(({ state }) => state === 'leaving').map(({ name }) => name)
    }
  }

  /**
   * Reads back after a `write` with the result `unknown`.
   *
   * @param key - object key
   * @param value - value that was written
   * @param revision - revision that the write expected
   * @returns what is known of the write
   */
  async checkWrite (key: string, value: string, revision: number): Promise<WriteCheck> {
    const result = await this.read(key)
    switch (result.kind) {
      case 'found':
        if (result.revision === revision) return { kind: 'pending' }
        // A smaller revision comes from a stale read, which shows nothing about the write.
        if (result.revision < revision) return { kind: 'unavailable' }
        return result.value === value ? { kind: 'applied', revision: result.revision } : { kind: 'superseded' }
      case 'missing': return { kind: revision === 0 ? 'pending' : 'superseded' }
      default: return { kind: 'unavailable' }
    }
  }

  /**
   * Writes, then reads back and repeats the same conditional write while its
   * result is unknown. Repeating is safe, since at most one of the writes that
   * expect the same revision takes effect.
   *
   * @param key - object key
   * @param value - new value; must differ from what other writers write
   * @param revision - expected revision; 0 creates the object
   * @returns `unknown` only when the platform stopped responding, or when another
   * writer wrote after a write of this client whose response was lost
   */
  async writeUntilKnown (key: string, value: string, revision: number): Promise<PlatformResult> {
    let isUnknown = false
    for (let attempt = 0; attempt < WRITES_MAX; attempt += 1) {
      const result = await this.write(key, value, revision)
      if (result.kind === 'written') return result
      if (result.kind !== 'unknown' && !isUnknown) return result
      isUnknown = true
      const check = await this.checkWrite(key, value, revision)
      if (check.kind === 'applied') return { kind: 'written', revision: check.revision }
      if (check.kind === 'superseded') return { kind: 'unknown' }
    }
    return { kind: 'unknown' }
  }

  /**
   * Watches all objects under a prefix: reports the existing ones first, then changes.
   * A change may be skipped when a later one of the same key follows.
   *
   * @param prefix - start of the keys
   * @param onChange - called with key, value (undefined when removed) and revision;
   * the revisions of a key only increase
   * @param onState - called with `lost` after two consecutive failed calls and with
   * `found` when the platform responds again
   * @returns a function that stops the watch
   */
  watch (
    prefix: string,
    onChange: (key: string, value: string | undefined, revision: number) => void,
    onState: (state: 'lost' | 'found') => void = () => {}
  ): () => void {
    const watch = Watch.start(prefix, onChange, onState, this.#watchOptions)
    this.#watches.add(watch)
    return () => {
      watch.stop()
      this.#watches.delete(watch)
    }
  }

  /** Stops all watches and closes the connections. */
  async close (): Promise<void> {
    for (const watch of this.#watches) watch.stop()
    this.#watches.clear()
    await this.#transport.close()
  }

  async #send (call: TransportCall, parseResult: (callResult: TransportResult) => PlatformResult): Promise<PlatformResult> {
    const startMs = performance.now()
    const result = parseResult(await this.#transport.send(call))
    this.#onResult(result.kind, performance.now() - startMs)
    return result
  }
}

function formatObjectPath (key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`
}

function parseRead (callResult: TransportResult): PlatformResult {
  if (callResult.kind !== 'answered') return { kind: 'unavailable' }
  if (callResult.status === 404) return { kind: 'missing' }
  const object = objectResponseSchema.safeParse(callResult.body)
  if (callResult.status !== 200 || !object.success) return { kind: 'unavailable' }
  return { kind: 'found', value: object.data.value, revision: object.data.revision }
}

function parseWrite (callResult: TransportResult): PlatformResult {
  switch (callResult.kind) {
    case 'unsent': return { kind: 'unavailable' }
    case 'lost': return { kind: 'unknown' }
    case 'answered': {
      if (callResult.status === 409) return { kind: 'conflict' }
      // A proxy in front of the platform may send a server error although the write took effect.
      if (callResult.status >= 500) return { kind: 'unknown' }
      const written = revisionResponseSchema.safeParse(callResult.body)
      if (callResult.status !== 200) return { kind: 'unavailable' }
      return written.success ? { kind: 'written', revision: written.data.revision } : { kind: 'unknown' }
    }
  }
}
