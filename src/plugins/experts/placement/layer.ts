import type { GroupShape, LayerPlacement } from './shape.js'

/** Placement of one layer with the load of each rank; moves change it. */
export class Layer {
  readonly #popularity: Float64Array
  readonly #slots: number[][]
  readonly #holders: Set<number>[]
  readonly #loads: Float64Array
  /** Index of each rank's host. */
  readonly #hosts: readonly number[]
  readonly #hostCount: number
  /** Count of replicas by expert and host, and count of hosts with a replica by expert. */
  readonly #replicasByHost: Uint16Array
  readonly #hostsByExpert: Uint16Array

  private constructor (shape: GroupShape, popularity: Float64Array, slots: number[][]) {
    this.#popularity = popularity
    this.#slots = slots
    this.#holders = Array.from({ length: shape.experts }, () => new Set<number>())
    this.#loads = new Float64Array(slots.length)
    const names = [...new Set(shape.hosts)]
    this.#hosts = shape.hosts.map(host => names.indexOf(host))
    this.#hostCount = names.length
    this.#replicasByHost = new Uint16Array(shape.experts * names.length)
    this.#hostsByExpert = new Uint16Array(shape.experts)
    slots.forEach((experts, rank) => { for (const expert of experts) this.#addHolder(expert, rank) })
    slots.forEach((experts, rank) => { for (const expert of experts) this.#loads[rank]! += this.getShare(expert) })
  }

  /**
   * @param shape - sizes of the group
   * @param popularity - share of the tokens by expert; the sum is 1
   * @param placement - experts by rank
   * @returns the layer with its loads
   */
  static create (shape: GroupShape, popularity: Float64Array, placement: LayerPlacement): Layer {
    return new Layer(shape, popularity, placement.map(experts => [...experts]))
  }

  /** @returns experts by rank */
  getPlacement (): LayerPlacement {
    return this.#slots
  }

  /** @returns share of the tokens by rank */
  getLoads (): Float64Array {
    return this.#loads
  }

  /**
   * @param expert - index of the expert
   * @returns share of the tokens that each of its replicas gets
   */
  getShare (expert: number): number {
    return this.#popularity[expert]! / this.#holders[expert]!.size
  }

  /**
   * @param expert - index of the expert
   * @returns ranks that hold a replica
   */
  getHolders (expert: number): ReadonlySet<number> {
    return this.#holders[expert]!
  }

  /**
   * @param rank - index of the rank
   * @returns experts in its slots
   */
  getSlots (rank: number): readonly number[] {
    return this.#slots[rank]!
  }

  /**
   * @param rank - index of the rank
   * @param expert - index of the expert
   * @returns whether the rank's host holds the expert while another host does not
   */
  shouldUseOtherHost (rank: number, expert: number): boolean {
    return this.#hostsByExpert[expert]! < this.#hostCount && this.#replicasByHost[expert * this.#hostCount + this.#hosts[rank]!]! > 0
  }

  /** @returns the largest load over the mean load */
  computeSkew (): number {
    return this.computeLargestLoad() * this.#loads.length
  }

  /** @returns the largest load */
  computeLargestLoad (): number {
    let largest = 0
    for (const load of this.#loads) if (load > largest) largest = load
    return largest
  }

  /**
   * Replaces the expert in a slot; the old expert keeps a replica on another rank.
   *
   * @param rank - index of the rank
   * @param slot - index of the slot
   * @param expert - expert to put there; not held by the rank
   */
  replaceExpert (rank: number, slot: number, expert: number): void {
    const old = this.#slots[rank]![slot]!
    this.#updateShares(old, -1, rank)
    this.#slots[rank]![slot] = expert
    this.#updateShares(expert, 1, rank)
  }

  /**
   * Exchanges the experts of two slots.
   *
   * @param rankA - index of one rank
   * @param slotA - its slot
   * @param rankB - index of the other rank
   * @param slotB - its slot
   */
  swapExperts (rankA: number, slotA: number, rankB: number, slotB: number): void {
    const a = this.#slots[rankA]![slotA]!
    const b = this.#slots[rankB]![slotB]!
    this.#slots[rankA]![slotA] = b
    this.#slots[rankB]![slotB] = a
    const change = this.getShare(b) - this.getShare(a)
    this.#loads[rankA]! += change
    this.#loads[rankB]! -= change
    this.#removeHolder(a, rankA)
    this.#addHolder(a, rankB)
    this.#removeHolder(b, rankB)
    this.#addHolder(b, rankA)
  }

  #addHolder (expert: number, rank: number): void {
    this.#holders[expert]!.add(rank)
    const at = expert * this.#hostCount + this.#hosts[rank]!
    if (this.#replicasByHost[at] === 0) this.#hostsByExpert[expert]! += 1
    this.#replicasByHost[at]! += 1
  }

  #removeHolder (expert: number, rank: number): void {
    this.#holders[expert]!.delete(rank)
    const at = expert * this.#hostCount + this.#hosts[rank]!
    this.#replicasByHost[at]! -= 1
    if (this.#replicasByHost[at] === 0) this.#hostsByExpert[expert]! -= 1
  }

  #updateShares (expert: number, change: 1 | -1, rank: number): void {
    const holders = this.#holders[expert]!
    const before = holders.size === 0 ? 0 : this.getShare(expert)
    if (change === -1) {
      this.#removeHolder(expert, rank)
      this.#loads[rank]! -= before
    }
    const after = this.#popularity[expert]! / (holders.size + (change === 1 ? 1 : 0))
    for (const holder of holders) this.#loads[holder]! += after - before
    if (change === 1) {
      this.#addHolder(expert, rank)
      this.#loads[rank]! += after
    }
  }
}
