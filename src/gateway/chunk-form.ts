/** Recognizes a body that is still in chunks because the head that should say so is damaged. */

const CHUNK_SIZE = /^([\da-f]{1,8})(;[^\r\n]*)?\r\n/i

/** Longest line with the size of a chunk that is looked for, in bytes. */
const SIZE_LINE_BYTES_MAX = 256

const LINE_END = '\r\n'

/**
 * @param body - body of an answer that ended with its connection
 * @returns whether it consists of chunks; the last one may be incomplete
 */
export function hasChunkForm (body: Buffer): boolean {
  let at = 0
  while (at < body.length) {
    const line = CHUNK_SIZE.exec(body.toString('latin1', at, at + SIZE_LINE_BYTES_MAX))
    if (line === null) return false
    const size = parseInt(line[1]!, 16)
    if (size === 0) return true
    const end = at + line[0].length + size
    if (end >= body.length) return true
    if (body.toString('latin1', end, end + LINE_END.length) !== LINE_END) return false
    at = end + LINE_END.length
  }
  return body.length > 0
}
