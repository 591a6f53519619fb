/** Prefix cache of the engine stand-in and the events that report its changes. */

import { hashPrompt } from '../shared/text.js'

/** Size of one block of a prompt in characters. */
const BLOCK_CHARS = 64
/** Number of events kept for readers. */
const EVENTS_KEPT = 4096

/** Options of the prefix cache. */
export interface CacheOptions {
  /** Capacity in blocks. */
  readonly blocksMax: number
  /** Delay before an event can be read, in ms. */
  readonly eventLagMs: number
  /** Drops each event whose sequence number is a multiple of this; 0 drops none. */
  readonly eventGapEvery: number
}

/** One change of the cache; a gap in `sequence` is a lost event. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  /** Hash of the prompt from its start to the end of the block. */
  readonly hash: string
}

/** LRU cache of prompt blocks, each identified by the hash of its prefix. */
export class PrefixCache {
  readonly #options: CacheOptions
  /** Hashes of stored blocks, least recently used first. */
  readonly #blocks = new Set<string>()
  #events: { readonly atMs: number, readonly event: CacheEvent }[] = []
  #sequence = 0
  #hits = 0
  #misses = 0

  private constructor (options: CacheOptions) {
    this.#options = options
  }

  /**
   * @param options - capacity, and delay and loss of events
   * @returns an empty cache
   */
  static create (options: CacheOptions): PrefixCache {
    return new PrefixCache(options)
  }

  /**
   * Looks up the blocks of a prompt and stores the missing ones.
   *
   * @param prompt - text of the prompt
   * @param nowMs - monotonic time in ms
   * @returns number of blocks that were missing
   */
  addPrompt (prompt: string, nowMs: number): number {
    let missing = 0
    for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
      const hash = hashPrompt(prompt.slice(0, end))
      if (this.#blocks.delete(hash)) {
        this.#hits += 1
      } else {
        this.#misses += 1
        missing += 1
        this.#appendEvent('stored', hash, nowMs)
      }
      this.#blocks.add(hash)
    }
    for (const hash of this.#blocks) {
      if (this.#blocks.size <= this.#options.blocksMax) break
      this.#blocks.delete(hash)
      this.#appendEvent('evicted', hash, nowMs)
    }
    return missing
  }

  /** Empties the cache without recording evictions, as a crash does. */
  removeAll (): void {
    this.#blocks.clear()
    this.#events = []
  }

  /**
   * @param since - sequence number of the latest event that the reader has
   * @param nowMs - monotonic time in ms
   * @returns later events whose delay has passed
   */
  listEvents (since: number, nowMs: number): readonly CacheEvent[] {
    return this.#events
      .filter(({ atMs, event }) => event.sequence > since && nowMs - atMs >= this.#options.eventLagMs)
      .map(({ event }) => event)
  }

  /** @returns occupancy and capacity in blocks, and counts of hits and misses */
  describe (): { readonly blocks: number, readonly blocks_max: number, readonly hits: number, readonly misses: number } {
    return { blocks: this.#blocks.size, blocks_max: this.#options.blocksMax, hits: this.#hits, misses: this.#misses }
  }

  #appendEvent (kind: CacheEvent['kind'], hash: string, nowMs: number): void {
    this.#sequence += 1
    const { eventGapEvery } = this.#options
    if (eventGapEvery > 0 && this.#sequence % eventGapEvery === 0) return
    this.#events.push({ atMs: nowMs, event: { sequence: this.#sequence, kind, hash } })
    if (this.#events.length > EVENTS_KEPT) this.#events.shift()
  }
}
