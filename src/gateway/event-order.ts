/** Checks that the events of a stream belong to it and come once: their ids increase, over all attempts of the stream. */

import { assertNever } from '../kernel/errors.js'
import { decodeBlock } from './event-block.js'
import type { EventBlock } from './event-block.js'
import type { EventId, ParseEventId } from './event-id.js'

/** What a block of lines in a stream is. */
export type BlockKind =
  | 'event'
  /** It holds no event, so that it is no progress. */
  | 'comment'
  /** It belongs to another answer has come before or is damaged. */
  | 'foreign'

/** What the order of a stream is created with. */
export interface EventOrderOptions {
  /** Whether the stream may be resumed, which needs an id for each event. */
  readonly isResumable: boolean
  readonly parseId: ParseEventId
}

/** Order of the events of one stream. */
export class EventOrder {
  readonly #isResumable: boolean
  readonly #parseId: ParseEventId
  #needsIds: boolean
  #lastId: EventId | undefined

  private constructor ({ isResumable, parseId }: EventOrderOptions) {
    this.#isResumable = isResumable
    this.#parseId = parseId
    this.#needsIds = isResumable
  }

  /**
   * @param options - rules of the stream
   * @returns the order of a stream at its start
   */
  static create (options: EventOrderOptions): EventOrder {
    return new EventOrder(options)
  }

  /** Id of the last event. */
  get lastId (): EventId | undefined {
    return this.#lastId
  }

  /** Goes on with the answer of the next attempt. @param lastId - event after which the stream is resumed */
  resume (lastId: EventId | undefined): void {
    this.#lastId = lastId
  }

  /**
   * Classifies the next block of a stream, and counts it when it is an event.
   *
   * @param bytes - bytes up to and with a blank line
   * @returns what it is
   */
  classify (bytes: Buffer): BlockKind {
    const block = decodeBlock(bytes)
    switch (block.kind) {
      case 'comment':
        return 'comment'
      case 'event':
        return this.#classifyEvent(block)
      default:
        return assertNever(block)
    }
  }

  #classifyEvent ({ id: text, hasData }: Extract<EventBlock, { kind: 'event' }>): BlockKind {
    if (text === undefined) return this.#needsIds ? 'foreign' : 'event'
    const id = this.#parseId(text)
    // Callers drop an event without data, and would not get it when the stream is resumed after it.
    if (this.#isResumable && (id === undefined || !hasData)) return 'foreign'
    if (id !== undefined && this.#lastId !== undefined && id <= this.#lastId) return 'foreign'
    this.#needsIds = true
    this.#lastId = id
    return 'event'
  }
}
