import { createHash } from 'node:crypto'

interface RingEntry {
  readonly point: string
  readonly id: string
}

/**
 * Consistent hashing of groups onto entries. An entry that joins or leaves moves
 * only the groups next to it on the ring. A lookup is one binary search, because
 * every entry looks up every group at each tick.
 */
export class EntryRing {
  #key = ''
  #ring: readonly RingEntry[] = []
  readonly #points = new Map<string, string>()

  private constructor () {}

  /** @returns a ring without entries */
  static create (): EntryRing {
    return new EntryRing()
  }

  /**
   * @param ids - ids of the entries that may hold the leases of groups
   */
  updateEntries (ids: readonly string[]): void {
    const key = ids.join()
    if (key === this.#key) return
    this.#key = key
    this.#ring = [...new Set(ids)].map(id => ({ id, point: this.#getPoint(id) })).sort((a, b) => a.point < b.point ? -1 : 1)
  }

  /**
   * @param group - name of the group
   * @param id - id of an entry
   * @param count - count of candidates per group
   * @returns whether the entry is one of the group's candidates
   */
  isCandidate (group: string, id: string, count: number): boolean {
    const ring = this.#ring
    const point = this.#getPoint(group)
    let low = 0
    let high = ring.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (ring[middle]!.point < point) low = middle + 1
      else high = middle
    }
    for (let offset = 0; offset < Math.min(count, ring.length); offset += 1) {
      if (ring[(low + offset) % ring.length]!.id === id) return true
    }
    return false
  }

  #getPoint (name: string): string {
    const known = this.#points.get(name)
    if (known !== undefined) return known
    const point = createHash('sha256').update(name).digest('hex')
    this.#points.set(name, point)
    return point
  }
}
