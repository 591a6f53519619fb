/** Checks that the events of a stream belong to it and come once: their ids increase, over all attempts of the stream. */

import { assertNever } from '../kernel/errors.js'
import { decodeBlock } from './event-block.js'
import type { EventBlock } from './event-block.js'
import type { EventId, ParseEventId } from './event-id.js'

/** What a block of lines in a stream is. */
export type BlockKind =
  | 'event'
  /** Event that leaves out ids, which is one of the stream if the next event follows it. */
  | 'doubtful'
  /** It holds no event, so that it is no progress. */
  | 'comment'
  /** It belongs to another answer, has come before or is damaged. */
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
  /** Id of the doubtful event that the next event confirms. */
  #doubtfulId: EventId | undefined
  /** Whether each id follows the one before it, as far as is known. */
  #isCounting = true

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

  /** Id of the last event that is not doubtful. */
  get lastId (): EventId | undefined {
    return this.#lastId
  }

  /** Goes on with the answer of the next attempt. @param lastId - event after which the stream is resumed */
  resume (lastId: EventId | undefined): void {
    this.#lastId = lastId
    this.#doubtfulId = undefined
  }

  /**
   * Classifies the next block of a stream, and counts it when it is an event.
   *
   * @param bytes - bytes up to and with a blank line
   * @returns what it is; an event confirms the doubtful one before it
   */
  classify (bytes: Buffer): BlockKind {
    const block = decodeBlock(bytes)
    switch (block.kind) {
      case 'comment':
        return 'comment'
      case 'malformed':
        return 'foreign'
      case 'event':
        return this.#classifyEvent(block)
      default:
        return assertNever(block)
    }
  }

  /** Counts the doubtful event, after which the stream has ended. */
  confirm (): void {
    this.#lastId = this.#doubtfulId ?? this.#lastId
    this.#doubtfulId = undefined
  }

  #classifyEvent ({ id: text, hasData }: Extract<EventBlock, { kind: 'event' }>): BlockKind {
    if (text === undefined) return this.#needsIds ? 'foreign' : 'event'
    const id = this.#parseId(text)
    // Callers drop an event without data, and would not get it when the stream is resumed after it.
    if (this.#isResumable && (id === undefined || !hasData)) return 'foreign'
    const previous = this.#doubtfulId ?? this.#lastId
    if (id !== undefined && previous !== undefined && id <= previous) return 'foreign'
    if (this.#isAhead(id)) {
      this.#doubtfulId = id
      return 'doubtful'
    }
    if (this.#doubtfulId !== undefined) this.#isCounting = false
    this.#doubtfulId = undefined
    this.#needsIds = true
    this.#lastId = id
    return 'event'
  }

  /** Whether events seem to be missing before an id. If the id is damaged, a stream resumed after it would lack them. */
  #isAhead (id: EventId | undefined): boolean {
    return this.#isResumable && this.#isCounting && this.#doubtfulId === undefined && id !== (this.#lastId ?? 0) + 1
  }
}
