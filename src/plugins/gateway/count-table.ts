/** Compact tables of requests in flight by endpoint, as gateways exchange them with pings. */

import { hashName } from '../../kernel/hash.js'

/** Size in bytes of an entry: hash of the name and count. */
const ENTRY_BYTES = 5
const COUNT_OFFSET = 4
const COUNT_MAX = 255

/** Most entries in a table, so that a ping stays small. */
export const COUNT_ENTRIES_MAX = 20

/**
 * @param inFlight - requests in flight by endpoint
 * @returns a table of the endpoints with the most requests
 */
export function encodeCounts (inFlight: Readonly<Record<string, number>>): Uint8Array {
  const listed = Object.entries(inFlight).filter(([, count]) => count > 0).sort(([, a], [, b]) => b - a).slice(0, COUNT_ENTRIES_MAX)
  const table = Buffer.alloc(listed.length * ENTRY_BYTES)
  for (const [at, [endpoint, count]] of listed.entries()) {
    table.writeUInt32BE(hashName(endpoint), at * ENTRY_BYTES)
    table.writeUInt8(Math.min(COUNT_MAX, count), at * ENTRY_BYTES + COUNT_OFFSET)
  }
  return table
}

/** Whether a value is a table that `encodeCounts` could have built. */
export function isCountsTable (value: unknown): value is Uint8Array {
  return value instanceof Uint8Array && value.length % ENTRY_BYTES === 0 && value.length <= COUNT_ENTRIES_MAX * ENTRY_BYTES
}

/** @returns hashes of endpoints with their counts */
export function decodeCounts (table: Uint8Array): readonly (readonly [hash: number, count: number])[] {
  const view = new DataView(table.buffer, table.byteOffset, table.byteLength)
  return Array.from({ length: table.length / ENTRY_BYTES }, (_, at) => [view.getUint32(at * ENTRY_BYTES), view.getUint8(at * ENTRY_BYTES + COUNT_OFFSET)] as const)
}
