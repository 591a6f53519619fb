/** Blank line that ends a server-sent event. */
const SEPARATOR = Buffer.from('\n\n')

/** Largest server-sent event in bytes. */
const EVENT_MAX_BYTES = 1024 * 1024

/**
 * Splits a body into server-sent events, so that each chunk sent to the entry is
 * one event and the position in a resumed stream can be counted in events.
 *
 * @param body - body in chunks of any size
 * @returns events including the blank line that ends them; an incomplete event at the end is dropped
 * @throws Error when an event is larger than `EVENT_MAX_BYTES`
 */
export async function * parseServerEvents (body: AsyncIterable<Buffer>): AsyncGenerator<Buffer, void> {
  let remainder: Buffer = Buffer.alloc(0)
  for await (const chunk of body) {
    remainder = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk])
    for (let end = remainder.indexOf(SEPARATOR); end >= 0; end = remainder.indexOf(SEPARATOR)) {
      yield remainder.subarray(0, end + SEPARATOR.length)
      remainder = remainder.subarray(end + SEPARATOR.length)
    }
    if (remainder.length > EVENT_MAX_BYTES) throw new Error(`server-sent event exceeds ${EVENT_MAX_BYTES} bytes`)
  }
}
