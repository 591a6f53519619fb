/** The event stream that a caller receives: one answer, whose events may come from several attempts. */

import type { ServerResponse } from 'node:http'
import type { EventId, ParseEventId } from './event-id.js'
import { EventOrder } from './event-order.js'
import { EventSplitter } from './events.js'
import type { EventBatch } from './events.js'
import type { MemoryBudget } from './memory.js'
import type { AnswerHead } from './model.js'

/** Longest time in ms for which a stream that is broken off waits until its events are sent; a caller that reads nothing has left. */
const FLUSH_MAX_MS = 2_000

/** What a stream is created with. */
export interface StreamAnswerOptions {
  readonly response: ServerResponse
  /** Whether the stream can be resumed, which needs an id for each event. */
  readonly isResumable: boolean
  /** Event after which the caller resumes the stream; undefined at its start. */
  readonly lastEventId: EventId | undefined
  readonly parseEventId: ParseEventId
  readonly memory: MemoryBudget
}

/** A stream that is sent to a caller. */
export class StreamAnswer {
  readonly #options: StreamAnswerOptions
  readonly #order: EventOrder
  #lastEventId: EventId | undefined
  #events = 0
  #hasBegun = false
  #isDropped = false

  private constructor (options: StreamAnswerOptions) {
    this.#options = options
    this.#lastEventId = options.lastEventId
    this.#order = EventOrder.create({ isResumable: options.isResumable, parseId: options.parseEventId })
  }

  /**
   * @param options - response and rules of the stream
   * @returns a stream of which nothing has been sent
   */
  static create (options: StreamAnswerOptions): StreamAnswer {
    return new StreamAnswer(options)
  }

  /** Whether the head has been sent, after which no other answer is possible. */
  get hasBegun (): boolean {
    return this.#hasBegun
  }

  /** Whether the stream was given up because its caller reads too slowly for the memory of the gateway. */
  get isDropped (): boolean {
    return this.#isDropped
  }

  /** Number of events sent. */
  get events (): number {
    return this.#events
  }

  /** Event after which the stream would be resumed. */
  get lastEventId (): EventId | undefined {
    return this.#lastEventId
  }

  /** @returns a splitter for the answer of the next attempt */
  createSplitter (): EventSplitter {
    this.#order.resume(this.#lastEventId)
    return EventSplitter.create(this.#order)
  }

  /** Sends the head of the first attempt unless it was sent. */
  begin ({ status, headers }: Pick<AnswerHead, 'status' | 'headers'>): void {
    if (this.#hasBegun) return
    this.#hasBegun = true
    const { response, memory } = this.#options
    response.once('close', () => { memory.releaseAnswer(response) })
    response.writeHead(status, [...headers])
  }

  /** Sends events. @returns false when the caller reads more slowly than they arrive */
  write ({ bytes, count, lastId }: EventBatch): boolean {
    this.#lastEventId = lastId ?? this.#lastEventId
    this.#events += count
    const { response, memory } = this.#options
    if (response.write(bytes)) return true
    memory.noteReading(response, response.writableLength, () => {
      this.#isDropped = true
      response.destroy()
    })
    return false
  }

  /** Records that the caller has received the events so far. */
  noteDrained (): void {
    const { response, memory } = this.#options
    memory.releaseAnswer(response)
  }

  end (): void {
    this.#options.response.end()
  }

  /** Closes the connection after the events so far; the missing last chunk shows the caller that the answer is incomplete. */
  breakOff (): void {
    const { response } = this.#options
    const timer = setTimeout(() => { response.destroy() }, FLUSH_MAX_MS)
    response.once('close', () => { clearTimeout(timer) })
    if (response.socket === null) response.destroy()
    else response.socket.destroySoon()
  }
}
