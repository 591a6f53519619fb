/** Blank line that ends a server-sent event. */
const SEPARATOR = Buffer.from('\n\n')

/** Largest server-sent event in bytes. */
const EVENT_MAX_BYTES = 1024 * 1024

/**
 * Splits a body into server-sent events, so that each chunk that travels is one
 * event and a resumed stream can be counted in events.
 *
 * @param body - body in pieces of any size
 * @returns events with their closing blank line; a rest without one is left out
 * @throws Error when an event exceeds the limit
 */
export async function * parseServerEvents (body: AsyncIterable<Buffer>): AsyncGenerator<Buffer, void> {
  let rest: Buffer = Buffer.alloc(0)
  for await (const piece of body) {
    rest = rest.length === 0 ? piece : Buffer.concat([rest, piece])
    for (let end = rest.indexOf(SEPARATOR); end >= 0; end = rest.indexOf(SEPARATOR)) {
      yield rest.subarray(0, end + SEPARATOR.length)
      rest = rest.subarray(end + SEPARATOR.length)
    }
    if (rest.length > EVENT_MAX_BYTES) throw new Error(`server-sent event exceeds ${EVENT_MAX_BYTES} bytes`)
  }
}
