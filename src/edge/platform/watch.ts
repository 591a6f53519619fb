/** One watch: a list, then long polls from its revision. */

import type { Random } from '../../kernel/random.js'
import { listResponseSchema, watchResponseSchema } from './schema.js'
import type { PlatformTransport, TransportResult } from './transport.js'

/**
 * Time of one long poll in ms. A silent connection is noticed within this time
 * and the time limit of a call, which leaves most of the 15 s in which an
 * accepted configuration takes effect.
 */
const LONG_POLL_MS = 5000

/**
 * Longest wait after a single failure in ms. One broken connection is replaced
 * soon; the spread over `spreadMs` begins with the second failure in a row.
 */
const FIRST_RETRY_DELAY_MAX_MS = 500

/** What all watches of a client share. */
export interface WatchOptions {
  readonly transport: PlatformTransport
  readonly random: Random
  /** Time over which reconnects are spread, in ms. */
  readonly spreadMs: number
}

type OnChange = (key: string, value: string | undefined, revision: number) => void
type OnState = (state: 'lost' | 'found') => void

/** Follows the objects under one prefix until it is stopped. */
export class Watch {
  readonly #prefix: string
  readonly #onChange: OnChange
  readonly #onState: OnState
  readonly #options: WatchOptions
  readonly #stop = new AbortController()
  /** Revision by key of present objects. */
  readonly #revisionByKey = new Map<string, number>()
  /** Global revision up to which changes were told; undefined before the first list. */
  #revision: number | undefined
  #needsList = true
  #failures = 0

  private constructor (prefix: string, onChange: OnChange, onState: OnState, options: WatchOptions) {
    this.#prefix = prefix
    this.#onChange = onChange
    this.#onState = onState
    this.#options = options
  }

  /**
   * @param prefix - start of the keys
   * @param onChange - receives changes
   * @param onState - receives losses of the platform
   * @param options - shared parts
   * @returns a running watch
   */
  static start (prefix: string, onChange: OnChange, onState: OnState, options: WatchOptions): Watch {
    const watch = new Watch(prefix, onChange, onState, options)
    // Only a callback that throws gets here. The process must not go on without
    // its watch, so the error is thrown where nobody catches it.
    watch.#run().catch((error: unknown) => { setImmediate(() => { throw error }) })
    return watch
  }

  /** Stops; no callback is called afterwards. */
  stop (): void {
    this.#stop.abort()
  }

  async #run (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const isOk = this.#needsList ? await this.#loadList() : await this.#poll()
      if (this.#stop.signal.aborted) return
      this.#handleResult(isOk)
      if (!isOk) await this.#waitBeforeRetry()
    }
  }

  async #loadList (): Promise<boolean> {
    const result = await this.#send(`/v1/objects?prefix=${encodeURIComponent(this.#prefix)}`, 0)
    const list = result.kind === 'answered' && result.status === 200 ? listResponseSchema.safeParse(result.body) : undefined
    if (this.#stop.signal.aborted || list?.success !== true) return false
    const { revision, objects } = list.data
    // A list older than what was told before is stale; a later one is awaited.
    if (this.#revision !== undefined && revision < this.#revision) return false
    for (const object of objects) this.#reportChange(object.key, object.value, object.revision)
    const present = new Set(objects.map(object => object.key))
    for (const key of [...this.#revisionByKey.keys()]) {
      if (!present.has(key)) this.#reportChange(key, null, revision)
    }
    this.#revision = revision
    this.#needsList = false
    return true
  }

  async #poll (): Promise<boolean> {
    // After a failure a poll that is answered at once shows whether the platform is back.
    const pollMs = this.#failures > 0 ? 0 : LONG_POLL_MS
    const query = `prefix=${encodeURIComponent(this.#prefix)}&since=${this.#revision ?? 0}&timeout_ms=${pollMs}`
    const result = await this.#send(`/v1/watch?${query}`, pollMs)
    if (this.#stop.signal.aborted || result.kind !== 'answered') return false
    if (result.status === 410) {
      this.#needsList = true
      return true
    }
    const changes = result.status === 200 ? watchResponseSchema.safeParse(result.body) : undefined
    if (changes?.success !== true) return false
    const events = changes.data.events.filter(event => event.revision > (this.#revision ?? 0))
    for (const event of events) this.#reportChange(event.key, event.value, event.revision)
    this.#revision = Math.max(this.#revision ?? 0, changes.data.revision)
    return true
  }

  #reportChange (key: string, value: string | null, revision: number): void {
    if (revision <= (this.#revisionByKey.get(key) ?? 0) || this.#stop.signal.aborted) return
    if (value === null) this.#revisionByKey.delete(key)
    else this.#revisionByKey.set(key, revision)
    this.#onChange(key, value ?? undefined, revision)
  }

  #handleResult (isOk: boolean): void {
    const wasLost = this.#failures > 1
    this.#failures = isOk ? 0 : this.#failures + 1
    const isLost = this.#failures > 1
    if (isLost !== wasLost) this.#onState(isLost ? 'lost' : 'found')
  }

  async #send (path: string, holdMs: number): Promise<TransportResult> {
    return await this.#options.transport.send({ method: 'GET', path, longPollMs: holdMs, signal: this.#stop.signal })
  }

  async #waitBeforeRetry (): Promise<void> {
    const { random, spreadMs } = this.#options
    const delayMaxMs = this.#failures > 1 ? spreadMs : Math.min(FIRST_RETRY_DELAY_MAX_MS, spreadMs)
    const delayMs = random.pickInt(Math.max(1, delayMaxMs))
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#stop.signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, delayMs)
      this.#stop.signal.addEventListener('abort', finish)
    })
  }
}
