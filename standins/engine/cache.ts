/** Prefix cache of the engine stand-in and its events. */

import { hashPrompt } from '../shared/text.js'

/** Characters in one block of a prompt. */
const BLOCK_CHARS = 64
/** Events that are kept for readers. */
const EVENTS_KEPT = 4096

/** What the cache is created with. */
export interface CacheOptions {
  /** Blocks that the memory holds. */
  readonly blocksMax: number
  /** Time after which an event can be read, in ms. */
  readonly eventLagMs: number
  /** Every event with a sequence number that this divides is lost; 0 for none. */
  readonly eventGapEvery: number
}

/** One change of the cache; a gap in `sequence` is a lost event. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  /** Hash of the prompt from its start to the end of the block. */
  readonly hash: string
}

/** Least-recently-used blocks of prompts. */
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
   * @param options - memory and faults of the events
   * @returns an empty cache
   */
  static create (options: CacheOptions): PrefixCache {
    return new PrefixCache(options)
  }

  /**
   * Looks a prompt up and stores its blocks.
   *
   * @param prompt - text of the prompt
   * @param nowMs - monotonic time in ms
   * @returns count of blocks that were not stored before
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

  /** Empties the cache without events, as a crash does. */
  removeAll (): void {
    this.#blocks.clear()
    this.#events = []
  }

  /**
   * @param since - sequence number of the latest event that the reader has
   * @param nowMs - monotonic time in ms
   * @returns later events that are old enough to be read
   */
  listEvents (since: number, nowMs: number): readonly CacheEvent[] {
    return this.#events
      .filter(({ atMs, event }) => event.sequence > since && nowMs - atMs >= this.#options.eventLagMs)
      .map(({ event }) => event)
  }

  /** @returns use of the memory and counts of blocks */
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
