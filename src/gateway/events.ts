/** Splits an event stream into complete events, so that callers never receive a partial one when a stream breaks. */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = Buffer.from('id:')

/** Complete events taken from a stream. */
export interface EventBatch {
  /** Bytes of one or more complete events. */
  readonly bytes: Buffer
  /** Identifier of the last event that has one; undefined when none has. */
  readonly lastId?: string
  readonly count: number
}

/** Buffers bytes until events are complete. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0)

  private constructor () {}

  /** @returns a splitter at the start of a stream */
  static create (): EventSplitter {
    return new EventSplitter()
  }

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - bytes as received
   * @returns the events completed by the chunk; undefined when there are none
   */
  add (chunk: Buffer): EventBatch | undefined {
    const bytes = this.#remainder.length === 0 ? chunk : Buffer.concat([this.#remainder, chunk])
    let end = 0
    let count = 0
    for (let next = findEventEnd(bytes, 0); next !== undefined; next = findEventEnd(bytes, end)) {
      end = next
      count += 1
    }
    this.#remainder = bytes.subarray(end)
    if (end === 0) return undefined
    const whole = bytes.subarray(0, end)
    const lastId = findLastId(whole)
    return { bytes: whole, count, ...(lastId === undefined ? {} : { lastId }) }
  }

  /** @returns bytes after the last complete event */
  getRemainder (): Buffer {
    return this.#remainder
  }
}

/** Finds the end of the blank line that terminates the event; undefined when the event is incomplete. */
function findEventEnd (bytes: Buffer, from: number): number | undefined {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return undefined
}

function findLastId (events: Buffer): string | undefined {
  for (let at = events.lastIndexOf(ID_FIELD); at >= 0; at = at === 0 ? -1 : events.lastIndexOf(ID_FIELD, at - 1)) {
    if (at > 0 && events[at - 1] !== LINE_FEED) continue
    const end = events.indexOf(LINE_FEED, at)
    return events.toString('latin1', at + ID_FIELD.length, end < 0 ? events.length : end).trim()
  }
  return undefined
}
