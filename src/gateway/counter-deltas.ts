/**
 * Carries the token counters of a rank as increases since an earlier reading. Counters
 * grow for as long as a rank runs, their increases between two readings stay small, and
 * a small number takes a third of the bytes.
 */

/** Snapshots that an agent keeps: gateways may read in turn around a hand-over, and replies get lost. */
const SNAPSHOTS_MAX = 4

/** Counters in a reply. */
export interface EncodedCounters {
  /** Counters, or their increases since `countsSince`. */
  readonly counts: readonly number[]
  /** Identifies this reading at its agent; absent from older versions. */
  readonly countsId?: number
  readonly countsSince?: number
}

/** Readings that an agent has given out. */
export class CounterSnapshots {
  readonly #snapshots = new Map<number, readonly number[]>()
  #nextId: number

  private constructor (firstId: number) {
    this.#nextId = firstId
  }

  /**
   * @param firstId - id of the first reading; random, so that the readings of an agent are not taken for those before its restart
   * @returns an agent's side without readings
   */
  static create (firstId: number): CounterSnapshots {
    return new CounterSnapshots(firstId)
  }

  /**
   * @param counts - counters since the rank started
   * @param since - reading that the gateway has; undefined when it has none
   * @returns increases when that reading is known and no counter has fallen, as after a restart of the rank
   */
  encode (counts: readonly number[], since: number | undefined): EncodedCounters {
    const countsId = this.#nextId++
    this.#snapshots.set(countsId, counts)
    const oldest = this.#snapshots.keys().next().value
    if (this.#snapshots.size > SNAPSHOTS_MAX && oldest !== undefined) this.#snapshots.delete(oldest)
    const base = since === undefined ? undefined : this.#snapshots.get(since)
    if (since === undefined || base?.length !== counts.length) return { counts, countsId }
    const increases = counts.map((count, at) => count - base[at]!)
    return increases.some(increase => increase < 0) ? { counts, countsId } : { counts: increases, countsId, countsSince: since }
  }
}

/** Latest reading of each agent at a gateway. */
export class CounterSums {
  readonly #latest = new Map<string, { readonly id: number, readonly counts: readonly number[] }>()

  private constructor () {}

  /** @returns a gateway's side without readings */
  static create (): CounterSums {
    return new CounterSums()
  }

  /** Forgets an agent that is gone; a reading of a large group takes tens of KB. */
  forget (agent: string): void {
    this.#latest.delete(agent)
  }

  /** @returns id of the latest reading of an agent; undefined when there is none */
  findId (agent: string): number | undefined {
    return this.#latest.get(agent)?.id
  }

  /** @returns counters since the rank started; undefined when the reading that they refer to is not known any more */
  decode (agent: string, { counts, countsId, countsSince }: EncodedCounters): readonly number[] | undefined {
    const latest = this.#latest.get(agent)
    const isKnown = latest?.id === countsSince && latest?.counts.length === counts.length
    const sums = countsSince === undefined ? counts : isKnown ? counts.map((count, at) => latest.counts[at]! + count) : undefined
    if (sums === undefined || countsId === undefined) this.#latest.delete(agent)
    else this.#latest.set(agent, { id: countsId, counts: sums })
    return sums
  }
}
