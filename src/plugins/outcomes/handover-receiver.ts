/** Receives the record tables that leaving homes hand over to this process. */

import { buildRecord } from './handover-parts.js'
import type { Records } from './records.js'
import { RecordTable } from './table.js'
import type { Context } from '../../kernel/plugin.js'
import type { Handover, RecordEntry } from '../../protocol/messages.js'

/** Largest count of incomplete tables; further ones are refused. */
const PENDING_TABLES_MAX = 16

/** Assembles handed-over tables from their parts. */
export class HandoverReceiver {
  readonly #records: Records
  readonly #pending = new Map<string, Map<number, Handover>>()

  private constructor (records: Records) {
    this.#records = records
  }

  static create (records: Records): HandoverReceiver {
    return new HandoverReceiver(records)
  }

  /**
   * Handles one part. A table is served once all parts of batch 0 have arrived.
   * A repeated table is ignored, because its keys may have run here since.
   *
   * @param peer - the sender: the home of the table, or a process that took the table over from it
   * @param message - the part
   * @param isLeaving - whether this process is leaving too
   * @param context - ports and effects
   */
  handlePart (peer: string, message: Handover, isLeaving: boolean, context: Context): void {
    const table = this.#records.findTable(message)
    if (message.batch > 0) return this.#handleResults(peer, message, table, context)
    if (table !== undefined) return sendAck(peer, message, table !== this.#records.ownTable, context)
    if (isLeaving || this.#records.hasTakenOver(message)) return sendAck(peer, message, false, context)
    const id = `${message.home} ${message.incarnation}`
    const parts = this.#pending.get(id) ?? new Map<number, Handover>()
    if (parts.size === 0 && this.#pending.size >= PENDING_TABLES_MAX) return sendAck(peer, message, false, context)
    this.#pending.set(id, parts)
    parts.set(message.part, message)
    if (parts.size < message.parts) return
    this.#pending.delete(id)
    this.#addTable(message, [...parts.values()].flatMap(part => part.records), context)
    sendAck(peer, message, true, context)
  }

  #addTable (message: Handover, entries: readonly RecordEntry[], context: Context): void {
    // Windows continue from that of the leaving home, so no key that was too old to start there can start here.
    const table = RecordTable.create(message.home, message.incarnation, context.nowMs, message.window)
    for (const entry of entries) table.update(entry.scope, buildRecord(entry))
    this.#records.addTakenOver(table, context.nowMs)
    context.emit({ kind: 'count', metric: 'handovers', label: 'received' })
    context.emit({ kind: 'log', event: 'handover-received', fields: { home: message.home, records: table.size } })
  }

  /** Handles results of work that was still running at the leaving home when it sent the table. */
  #handleResults (peer: string, message: Handover, table: RecordTable | undefined, context: Context): void {
    for (const entry of table === undefined ? [] : message.records) {
      if (table!.find(entry.scope)?.state.kind === 'unknown') table!.update(entry.scope, buildRecord(entry))
    }
    sendAck(peer, message, table !== undefined, context)
  }
}

function sendAck (peer: string, message: Handover, accepted: boolean, context: Context): void {
  const { home, incarnation, batch } = message
  context.emit({ kind: 'send', peer, message: { kind: 'handover-ack', home, incarnation, batch, accepted } })
}
