/** Limits the memory of what a gateway keeps for others: bodies of requests, answers and parts of events. */

/** Memory of a gateway in MB when its settings do not name it. */
const MEMORY_DEFAULT_MB = 250

/** Shares of the memory that bodies of requests and answers may take; a gateway needs up to 130 MB for itself. */
const BODIES_SHARE = 0.25
const ANSWERS_SHARE = 0.125

/** Bytes that a request in flight and an answer that is being sent take besides their bodies: objects, sockets and heads. */
const REQUEST_BYTES = 16 * 1024
const ANSWER_BYTES = 4 * 1024

/** Largest body in bytes that may use the part of the limit that is kept free for small ones, and that part. */
const SMALL_BODY_BYTES_MAX = 64 * 1024
const SMALL_BODIES_SHARE = 0.25

/** Share of the limit of answers that slow callers may hold before new requests are refused. */
const SENDING_SHARE_MAX = 0.9

/** Largest answer in bytes that is read even when there is no room: giving it up would save little. */
const SMALL_ANSWER_BYTES_MAX = 64 * 1024

/** Largest answer in bytes. */
export const ANSWER_BYTES_MAX = 8 * 1024 * 1024

interface Buffered {
  readonly bytes: number
  /** Gives up what is buffered; undefined for an answer that is being sent. */
  readonly drop: (() => void) | undefined
}

/** Bytes that a gateway keeps, by owner. */
export class MemoryBudget {
  #memoryBytes = 0
  #bodiesMax = 0
  #answersMax = 0
  #bodiesBytes = 0
  #answersBytes = 0
  #sendingBytes = 0
  /** Number of answers that are being sent. */
  #sending = 0
  readonly #bodies = new Map<object, number>()
  readonly #answers = new Map<object, Buffered>()

  private constructor (memoryMb: number) {
    this.updateMemory(memoryMb)
  }

  /**
   * @param memoryMb - memory of the process in MB
   * @returns a budget of which nothing is used
   */
  static create (memoryMb = MEMORY_DEFAULT_MB): MemoryBudget {
    return new MemoryBudget(memoryMb)
  }

  /** Sets the memory of the process in MB. */
  updateMemory (memoryMb: number): void {
    this.#memoryBytes = memoryMb * 1024 * 1024
    this.#bodiesMax = this.#memoryBytes * BODIES_SHARE
    this.#answersMax = Math.max(ANSWER_BYTES_MAX, this.#memoryBytes * ANSWERS_SHARE)
  }

  /** Memory of the process in bytes. */
  get memoryBytes (): number {
    return this.#memoryBytes
  }

  /** Bytes of answers that are read or sent, at most. */
  get answersMax (): number {
    return this.#answersMax
  }

  /**
   * Reserves memory for a request and its body.
   *
   * @param owner - the request
   * @param bytes - size of the body, as far as it is known
   * @returns whether there is room; nothing changes when there is none
   */
  reserveBody (owner: object, bytes: number): boolean {
    const reserved = this.#bodies.get(owner)
    const previous = reserved ?? 0
    const max = bytes > SMALL_BODY_BYTES_MAX ? (1 - SMALL_BODIES_SHARE) * this.#bodiesMax : this.#bodiesMax
    const total = this.#bodiesBytes - previous + bytes + this.#bodies.size * REQUEST_BYTES
    if ((reserved === undefined || bytes > previous) && total > max) return false
    this.#bodies.set(owner, bytes)
    this.#bodiesBytes += bytes - previous
    return true
  }

  releaseBody (owner: object): void {
    this.#bodiesBytes -= this.#bodies.get(owner) ?? 0
    this.#bodies.delete(owner)
  }

  /**
   * Records how much of an answer is buffered. Drops it when it is too large, and the largest
   * answer that is being read, unless that is small, when all together are.
   *
   * @param owner - the attempt
   * @param bytes - all its bytes that are buffered
   * @param drop - called when the answer must be given up; its owner then calls `releaseAnswer`
   */
  noteReading (owner: object, bytes: number, drop: () => void): void {
    this.#replaceAnswer(owner, { bytes, drop })
    if (bytes > ANSWER_BYTES_MAX) {
      drop()
      return
    }
    while (this.#answersBytes > this.#answersMax) {
      const largest = [...this.#answers].reduce<[object, Buffered] | undefined>((a, b) => b[1].drop === undefined || (a !== undefined && a[1].bytes >= b[1].bytes) ? a : b, undefined)
      if (largest?.[1].drop === undefined || largest[1].bytes <= SMALL_ANSWER_BYTES_MAX) return
      largest[1].drop()
      this.releaseAnswer(largest[0])
    }
  }

  /** Records an answer that is kept until its caller has received it. */
  noteSending (owner: object, bytes: number): void {
    this.#replaceAnswer(owner, { bytes, drop: undefined })
  }

  /** Releases the bytes of an answer that was sent or given up. */
  releaseAnswer (owner: object): void {
    this.#replaceAnswer(owner, undefined)
  }

  /** Whether callers read so slowly that there is little room for the answers of further requests. */
  get isCongested (): boolean {
    return this.#sendingBytes + this.#sending * ANSWER_BYTES > SENDING_SHARE_MAX * this.#answersMax
  }

  /** @returns bytes of all answers that are read or sent */
  countAnswerBytes (): number {
    return this.#answersBytes
  }

  /** @returns bytes of the bodies of requests */
  countBodyBytes (): number {
    return this.#bodiesBytes
  }

  #replaceAnswer (owner: object, buffered: Buffered | undefined): void {
    const previous = this.#answers.get(owner)
    this.#answersBytes += (buffered?.bytes ?? 0) - (previous?.bytes ?? 0)
    this.#sendingBytes += countSending(buffered) - countSending(previous)
    this.#sending += Number(isSending(buffered)) - Number(isSending(previous))
    if (buffered === undefined) this.#answers.delete(owner)
    else this.#answers.set(owner, buffered)
  }
}

function countSending (buffered: Buffered | undefined): number {
  return buffered !== undefined && isSending(buffered) ? buffered.bytes : 0
}

function isSending (buffered: Buffered | undefined): boolean {
  return buffered !== undefined && buffered.drop === undefined
}
