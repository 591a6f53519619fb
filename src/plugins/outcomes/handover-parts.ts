/** Conversion between record tables and handover messages. */

import type { KeyRecord, RecordTable } from './table.js'
import type { Handover, RecordEntry } from '../../protocol/messages.js'

/** Bytes of responses, and count of records, at which a part is full and the next one begins. */
const PART_BYTES = 256 * 1024
const PART_RECORDS = 500

/**
 * @param scope - scope of the key
 * @param record - its record
 * @returns the entry of a handover; undefined for work that has not started
 */
export function buildRecordEntry (scope: string, record: KeyRecord): RecordEntry | undefined {
  const { window, bodyHash, state } = record
  switch (state.kind) {
    case 'waiting': return undefined
    case 'closed': return { scope, window, bodyHash, state: 'not-run' }
    case 'run': return { scope, window, bodyHash, state: 'run', ...state.response }
    case 'running':
    case 'unknown': return { scope, window, bodyHash, state: 'unknown' }
  }
}

/**
 * @param entry - entry of a handover
 * @returns the record of the key
 */
export function buildRecord (entry: RecordEntry): KeyRecord {
  const { window, bodyHash, state, status, headers, chunks } = entry
  if (state === 'not-run') return { window, bodyHash, state: { kind: 'closed' } }
  if (state === 'unknown') return { window, bodyHash, state: { kind: 'unknown' } }
  if (status === undefined || headers === undefined || chunks === undefined) return { window, bodyHash, state: { kind: 'run' } }
  return { window, bodyHash, state: { kind: 'run', response: { status, headers, chunks } } }
}

/**
 * Splits records into handover messages of bounded size.
 *
 * @param table - table that the records belong to
 * @param batch - 0 for the whole table, above 0 for later results
 * @param entries - the records
 * @param nowMs - monotonic time in ms
 * @returns at least one message
 */
export function buildHandoverParts (table: RecordTable, batch: number, service: string, entries: readonly RecordEntry[], nowMs: number): readonly Handover[] {
  const recordsByPart: RecordEntry[][] = [[]]
  let responseBytes = 0
  for (const entry of entries) {
    if (responseBytes >= PART_BYTES || recordsByPart.at(-1)!.length >= PART_RECORDS) {
      recordsByPart.push([])
      responseBytes = 0
    }
    recordsByPart.at(-1)!.push(entry)
    responseBytes += entry.chunks?.reduce((sum, chunk) => sum + chunk.byteLength, 0) ?? 0
  }
  const { home, incarnation } = table
  const window = table.getWindow(nowMs)
  return recordsByPart.map((records, part) => ({ kind: 'handover', home, incarnation, service, window, batch, part, parts: recordsByPart.length, records }))
}
