/** Splits an event stream into complete events, so that callers never receive a partial one when a stream breaks. */

import { assertNever } from '../kernel/errors.js'
import { BlankLineScanner } from './blank-lines.js'
import { ByteCollector } from './byte-collector.js'
import type { EventId } from './event-id.js'
import type { EventOrder } from './event-order.js'

/** Largest event in bytes. */
const EVENT_BYTES_MAX = 1024 * 1024

/** Complete events taken from a stream. */
export interface EventBatch {
  /** Bytes of one or more complete events. */
  readonly bytes: Buffer
  /** Number of events; blocks of comments are none. */
  readonly count: number
  /** Id of the last event that has one; undefined when none has. */
  readonly lastId?: EventId
}

/** Buffers bytes until events are complete, and a doubtful event until the next one confirms it. */
export class EventSplitter {
  readonly #order: EventOrder
  readonly #blankLines = BlankLineScanner.create()
  /** Parts of an incomplete event, joined only when it ends: an event may arrive in very many. */
  #partial = ByteCollector.create()
  /** Doubtful event and the comments after it. */
  #doubtful = ByteCollector.create()
  #isForeign = false

  private constructor (order: EventOrder) {
    this.#order = order
  }

  /**
   * @param order - order of the events of the stream, which goes on from earlier attempts
   * @returns a splitter at the start of an answer
   */
  static create (order: EventOrder): EventSplitter {
    return new EventSplitter(order)
  }

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - bytes as received
   * @returns the events that can be passed on, up to the first block that is foreign; undefined when there are none
   */
  add (chunk: Buffer): EventBatch | undefined {
    const previousBytes = this.#partial.bytes
    this.#partial.add(chunk)
    const ends = this.#blankLines.scan(chunk).map(end => previousBytes + end)
    if (ends.length === 0) return undefined
    const bytes = this.#partial.join()
    this.#partial = ByteCollector.create()
    const batches: EventBatch[] = []
    let start = 0
    for (const end of ends) {
      const batch = this.#addBlock(bytes.subarray(start, end))
      if (this.#isForeign) break
      start = end
      if (batch !== undefined) batches.push(batch)
    }
    if (start < bytes.length) this.#partial.add(bytes.subarray(start))
    return joinBatches(batches)
  }

  /**
   * Ends the stream.
   *
   * @returns the doubtful event, which is the last one; undefined when there is none
   */
  finish (): EventBatch | undefined {
    if (this.#doubtful.bytes === 0) return undefined
    this.#order.confirm()
    return this.#takeDoubtful(Buffer.alloc(0), 0)
  }

  /** Whether a block that does not belong to the stream follows what was passed on. */
  get isForeign (): boolean {
    return this.#isForeign
  }

  /** Whether an event is incomplete. */
  get isPartial (): boolean {
    return this.#partial.bytes > 0
  }

  /** Whether bytes have not been passed on. */
  get isHolding (): boolean {
    return this.isPartial || this.#doubtful.bytes > 0
  }

  /** Cost of the bytes that have not been passed on. */
  get heldCost (): number {
    return this.#partial.cost + this.#doubtful.cost
  }

  /** Whether these are more than any event has. */
  get isTooLarge (): boolean {
    return this.heldCost > EVENT_BYTES_MAX
  }

  /** @returns bytes after the last complete event */
  getRemainder (): Buffer {
    return this.#partial.join()
  }

  #addBlock (block: Buffer): EventBatch | undefined {
    const kind = this.#order.classify(block)
    switch (kind) {
      case 'event':
        return this.#takeDoubtful(block, 1)
      case 'comment':
        if (this.#doubtful.bytes === 0) return { bytes: block, count: 0 }
        this.#doubtful.add(block)
        return undefined
      case 'doubtful':
        this.#doubtful.add(block)
        return undefined
      case 'foreign':
        this.#isForeign = true
        return undefined
      default:
        return assertNever(kind)
    }
  }

  /** Takes the doubtful event, if there is one, together with the block that follows it. */
  #takeDoubtful (block: Buffer, count: number): EventBatch {
    const { lastId } = this.#order
    const id = lastId === undefined ? {} : { lastId }
    if (this.#doubtful.bytes === 0) return { bytes: block, count, ...id }
    const bytes = Buffer.concat([this.#doubtful.join(), block])
    this.#doubtful = ByteCollector.create()
    return { bytes, count: count + 1, ...id }
  }
}

function joinBatches (batches: readonly EventBatch[]): EventBatch | undefined {
  if (batches.length <= 1) return batches[0]
  const lastId = batches.findLast(batch => batch.lastId !== undefined)?.lastId
  return { bytes: Buffer.concat(batches.map(({ bytes }) => bytes)), count: batches.reduce((sum, { count }) => sum + count, 0), ...(lastId === undefined ? {} : { lastId }) }
}
