/** A watch: it lists the objects, then long-polls for changes from the revision of the list. It lists again when the platform no longer has the events. */

import type { Random } from '../../kernel/random.js'
import { listResponseSchema, watchResponseSchema } from './schema.js'
import type { PlatformTransport, TransportResult } from './transport.js'

/**
 * Duration of one long poll in ms. A dead connection is detected within this time
 * plus the timeout of a call, which leaves most of the 15 s within which an
 * accepted configuration must take effect.
 */
const LONG_POLL_MS = 5000

/**
 * Maximum delay before the retry after a single failure, in ms. A single broken
 * connection is replaced soon; retries are spread over `spreadMs` from the second
 * consecutive failure on.
 */
const FIRST_RETRY_DELAY_MAX_MS = 500

/** What all watches of a client share. */
export interface WatchOptions {
  readonly transport: PlatformTransport
  readonly random: Random
  /** Reconnects are spread randomly over this time in ms. */
  readonly spreadMs: number
}

type OnChange = (key: string, value: string | undefined, revision: number) => void
type OnState = (state: 'lost' | 'found') => void

/** Watches the objects under one prefix until it is stopped. */
export class Watch {
  readonly #prefix: string
  readonly #onChange: OnChange
  readonly #onState: OnState
  readonly #options: WatchOptions
  readonly #stop = new AbortController()
  /** Last reported revision of each existing object by key. */
  readonly #revisionByKey = new Map<string, number>()
  /** Global revision up to which changes were reported; undefined before the first list. */
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
   * @param onChange - called with each change
   * @param onState - called when the platform stops responding and when it responds again
   * @param options - transport, random numbers and spread
   * @returns a running watch
   */
  static start (prefix: string, onChange: OnChange, onState: OnState, options: WatchOptions): Watch {
    const watch = new Watch(prefix, onChange, onState, options)
    // Only a callback that throws leads here. The process must not continue without
    // its watch, so the error is thrown as an uncaught exception.
    watch.#run().catch((error: unknown) => { setImmediate(() => { throw error }) })
    return watch
  }

  /** Stops the watch; no callback is called afterwards. */
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
    // A list older than the changes already reported is stale, so it counts as failed and is repeated.
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
    // After a failure a poll without hold time shows at once whether the platform is available again.
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
