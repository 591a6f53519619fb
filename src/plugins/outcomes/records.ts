/** The record tables of a process: its own, and those it took over. */

import { RETENTION_WINDOWS, RecordTable, START_LIMIT_WINDOWS } from './table.js'
import type { KeyRecord, RecordState } from './table.js'
import type { RecordLocation } from './execution.js'
import type { ProcessRef, RequestKey, Submit } from '../../protocol/messages.js'

/** Largest count of records of one process. */
export const RECORDS_MAX = 20_000
/** Largest size of all kept answers of one process. */
const ANSWERS_MAX_BYTES = 8 * 1024 * 1024

/** Handed-over tables whose names are remembered after they were dropped. */
const TAKEN_NAMES_MAX = 10_000

interface TakenTable {
  readonly table: RecordTable
  /** Window of the table when it was taken over. */
  readonly fromWindow: number
}

/** All records of one process. */
export class Records {
  readonly ownTable: RecordTable
  readonly #taken: TakenTable[] = []
  readonly #takenNames = new Set<string>()

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
    return [this.ownTable, ...this.#taken.map(taken => taken.table)]
  }

  countRecords (): number {
    return this.listTables().reduce((sum, table) => sum + table.size, 0)
  }

  /**
   * A team may hold as many records as are free, so that a team whose keys are
   * all refused under overload cannot fill the table for the others.
   *
   * @param team - team of a new key
   * @returns whether the key cannot be recorded
   */
  isFull (team: string): boolean {
    const held = this.listTables().reduce((sum, table) => sum + table.countByTeam(team), 0)
    return held >= RECORDS_MAX - this.countRecords()
  }

  addTakenOver (table: RecordTable, nowMs: number): void {
    this.#taken.push({ table, fromWindow: table.getWindow(nowMs) })
    this.#takenNames.add(formatName(table))
    for (const oldest of this.#takenNames) {
      if (this.#takenNames.size <= TAKEN_NAMES_MAX) return
      this.#takenNames.delete(oldest)
    }
  }

  /** @returns whether the home's table was taken over before; taking it again would reopen its keys */
  hasTakenOver (home: Pick<RequestKey, 'home' | 'incarnation'>): boolean {
    return this.#takenNames.has(formatName(home))
  }

  /** Records the state of a key; work without a key has no record. */
  update (place: RecordLocation | undefined, work: Submit, state: RecordState): void {
    if (place === undefined || work.key === undefined) return
    const record: KeyRecord = { window: work.key.window, bodyHash: work.bodyHash, state }
    place.table.update(place.scope, record)
    const bytes = this.listTables().reduce((sum, table) => sum + table.responseBytes, 0)
    if (bytes > ANSWERS_MAX_BYTES) place.table.removeResponses(Math.max(0, place.table.responseBytes - ANSWERS_MAX_BYTES / 8))
  }

  /** Drops expired records, and taken tables that can hold none any more. */
  removeExpired (nowMs: number): void {
    for (const table of this.listTables()) table.removeExpired(nowMs)
    const kept = this.#taken.filter(({ table, fromWindow }) => table.size > 0 || table.getWindow(nowMs) - fromWindow <= RETENTION_WINDOWS + START_LIMIT_WINDOWS)
    this.#taken.splice(0, this.#taken.length, ...kept)
  }
}

function formatName ({ home, incarnation }: Pick<RequestKey, 'home' | 'incarnation'>): string {
  return `${incarnation} ${home}`
}
