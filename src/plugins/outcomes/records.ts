/** The idempotency records of a process: its own table, and those taken over from leaving homes. */

import { RETENTION_WINDOWS, RecordTable, START_LIMIT_WINDOWS } from './table.js'
import type { KeyRecord, RecordState } from './table.js'
import type { RecordLocation } from './execution.js'
import type { ProcessRef, RequestKey, Submit } from '../../protocol/messages.js'

/** Largest count of records of one process. */
export const RECORDS_MAX = 20_000
/** Largest total size in bytes of the stored responses of one process. */
const STORED_RESPONSES_MAX_BYTES = 8 * 1024 * 1024

/** Largest count of taken-over tables whose ids are kept, also after the tables were dropped. */
const TAKEN_OVER_IDS_MAX = 10_000

interface TakenOverTable {
  readonly table: RecordTable
  /** Window of the table when it was taken over. */
  readonly fromWindow: number
}

/** All records of one process. */
export class Records {
  readonly ownTable: RecordTable
  readonly #takenOver: TakenOverTable[] = []
  readonly #takenOverIds = new Set<string>()

  private constructor (ownTable: RecordTable) {
    this.ownTable = ownTable
  }

  /**
   * @param self - the process
   * @returns its empty records; windows are counted from monotonic time 0
   */
  static create (self: ProcessRef): Records {
    return new Records(RecordTable.create(self.id, self.incarnation, 0, 0))
  }

  /** @returns the table of the key's home; undefined when it is not served here */
  findTable (key: Pick<RequestKey, 'home' | 'incarnation'>): RecordTable | undefined {
    return this.listTables().find(table => table.home === key.home && table.incarnation === key.incarnation)
  }

  listTables (): readonly RecordTable[] {
    return [this.ownTable, ...this.#takenOver.map(taken => taken.table)]
  }

  countRecords (): number {
    return this.listTables().reduce((sum, table) => sum + table.size, 0)
  }

  /**
   * A team may hold at most as many records as are free. Otherwise, a team whose
   * keys are all refused under overload could fill the table for the others.
   *
   * @param team - team of a new key
   * @returns whether the key cannot be recorded
   */
  isFull (team: string): boolean {
    const heldByTeam = this.listTables().reduce((sum, table) => sum + table.countByTeam(team), 0)
    return heldByTeam >= RECORDS_MAX - this.countRecords()
  }

  addTakenOver (table: RecordTable, nowMs: number): void {
    this.#takenOver.push({ table, fromWindow: table.getWindow(nowMs) })
    this.#takenOverIds.add(formatTableId(table))
    for (const oldest of this.#takenOverIds) {
      if (this.#takenOverIds.size <= TAKEN_OVER_IDS_MAX) return
      this.#takenOverIds.delete(oldest)
    }
  }

  /** @returns whether the home's table was taken over before; taking it over again would let its keys run again */
  hasTakenOver (home: Pick<RequestKey, 'home' | 'incarnation'>): boolean {
    return this.#takenOverIds.has(formatTableId(home))
  }

  /** Records the state of a key; work without a key has no record. */
  update (location: RecordLocation | undefined, work: Submit, state: RecordState): void {
    if (location === undefined || work.key === undefined) return
    const record: KeyRecord = { window: work.key.window, bodyHash: work.bodyHash, state }
    location.table.update(location.scope, record)
    const responseBytes = this.listTables().reduce((sum, table) => sum + table.responseBytes, 0)
    // Frees an eighth of the limit in this table.
    if (responseBytes > STORED_RESPONSES_MAX_BYTES) location.table.removeResponses(Math.max(0, location.table.responseBytes - STORED_RESPONSES_MAX_BYTES / 8))
  }

  /** Removes expired records, and taken-over tables that can no longer hold any. */
  removeExpired (nowMs: number): void {
    for (const table of this.listTables()) table.removeExpired(nowMs)
    const kept = this.#takenOver.filter(({ table, fromWindow }) => table.size > 0 || table.getWindow(nowMs) - fromWindow <= RETENTION_WINDOWS + START_LIMIT_WINDOWS)
    this.#takenOver.splice(0, this.#takenOver.length, ...kept)
  }
}

function formatTableId ({ home, incarnation }: Pick<RequestKey, 'home' | 'incarnation'>): string {
  return `${incarnation} ${home}`
}
