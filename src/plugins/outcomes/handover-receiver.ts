/** Tables that leaving homes hand over to this process. */

import { buildRecord } from './handover-parts.js'
import type { Records } from './records.js'
import { RecordTable } from './table.js'
import type { Context } from '../../kernel/plugin.js'
import type { Handover, RecordEntry } from '../../protocol/messages.js'

/** Tables of which not every part has arrived; more are refused. */
const PENDING_TABLES_MAX = 16

/** Collects the parts of handed-over tables. */
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
   * Takes one part. A table is served once every part of batch 0 is here;
   * a repeated table changes nothing, since keys may have run here since.
   *
   * @param peer - the leaving process or the one that sends for it
   * @param message - the part
   * @param isLeaving - whether this process leaves too
   * @param context - ways out
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
    // Counting goes on from the leaver's window, so no key that it called too old can start here.
    const table = RecordTable.create(message.home, message.incarnation, context.nowMs, message.window)
    for (const entry of entries) table.update(entry.scope, buildRecord(entry))
    this.#records.addTakenOver(table, context.nowMs)
    context.emit({ kind: 'count', metric: 'handovers', label: 'received' })
    context.emit({ kind: 'log', event: 'handover-received', fields: { home: message.home, records: table.size } })
  }

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
