/** One execution of work at this home, and the attempts that wait for its response. */

import { STORED_RESPONSE_MAX_BYTES } from './table.js'
import type { StoredResponse, RecordTable } from './table.js'
import type { HeaderList, Submit } from '../../protocol/messages.js'

/** An attempt that receives the response of an execution. */
export interface AttachedAttempt {
  readonly peer: string
  readonly workId: string
  /** Attached after the first chunks were dropped; gets the outcome but not the response. */
  readonly joinedLate: boolean
}

/** Table and scope in which a key is recorded. */
export interface RecordLocation {
  readonly table: RecordTable
  readonly scope: string
}

/** Work that waits or runs. */
export class Execution {
  readonly work: Submit
  readonly location: RecordLocation | undefined
  readonly attempts = new Map<string, AttachedAttempt>()
  state: 'waiting' | 'running' | 'aborted' = 'waiting'
  #head: { readonly status: number, readonly headers: HeaderList } | undefined
  #chunks: Uint8Array[] = []
  #bytes = 0
  #chunkCount: number

  private constructor (work: Submit, location: RecordLocation | undefined) {
    this.work = work
    this.location = location
    this.#chunkCount = work.resumeFrom ?? 0
  }

  /**
   * @param work - first attempt; its work id is the execution id
   * @param location - record of the key; undefined for work without a key
   * @returns an execution that has not started
   */
  static create (work: Submit, location: RecordLocation | undefined): Execution {
    return new Execution(work, location)
  }

  /** Count of chunks so far, including those before a resume. */
  get chunkCount (): number { return this.#chunkCount }

  /** Status and headers, once known. */
  get head (): { readonly status: number, readonly headers: HeaderList } | undefined { return this.#head }

  noteHead (status: number, headers: HeaderList): void {
    this.#head = { status, headers }
  }

  /**
   * Counts a chunk, and stores it while the response is within the size limit.
   *
   * @param data - the chunk
   * @returns its index
   */
  noteChunk (data: Uint8Array): number {
    this.#bytes += data.byteLength
    if (!this.isResponseStored()) this.#chunks = []
    else this.#chunks.push(data)
    return this.#chunkCount++
  }

  /** @returns whether all chunks so far are stored; never for work without a key or for a resume */
  isResponseStored (): boolean {
    return this.location !== undefined && this.work.resumeFrom === undefined && this.#bytes <= STORED_RESPONSE_MAX_BYTES
  }

  /** @returns the stored chunks, from the first */
  listStoredChunks (): readonly Uint8Array[] {
    return this.#chunks
  }

  /** @returns the response; undefined when it is not stored */
  findResponse (): StoredResponse | undefined {
    if (this.#head === undefined || !this.isResponseStored()) return undefined
    return { ...this.#head, chunks: this.#chunks }
  }
}
