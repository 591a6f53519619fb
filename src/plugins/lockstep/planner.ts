/**
 * Plans the placement of the experts of one layer as a few copies relative to the
 * map in force. Adapts to demand that drifts or shifts and to ranks that become
 * slow: every step takes as long as the busiest rank of each layer, so copying
 * experts of that rank to other ranks helps most. A slow rank needs more time for
 * the same load, so the plan moves experts away from it.
 */

/** Experts by rank in one layer. */
export type LayerMap = readonly (readonly number[])[]

/** Limits of a change of one layer. */
export interface LayerLimits {
  /** Most experts that a rank holds. */
  readonly slots: number
  /** Most experts that a rank can copy in one change. */
  readonly spare: number
  /** Least reduction of the skew that each copy must bring. */
  readonly gainMin: number
  /** Time that each rank needs for a given amount of work, relative to a healthy rank; 1 where omitted. */
  readonly paces?: readonly number[]
}

/** Planned change of one layer; a skew is the time of the busiest rank over the time of the mean load at a healthy rank. */
export interface LayerPlan {
  readonly map: LayerMap
  readonly copies: number
  readonly skewBefore: number
  readonly skewAfter: number
}

/** Change of one rank's experts. */
type Move =
  /** Copies an expert to a rank, in place of an evicted expert or into a free slot. */
  | { readonly kind: 'copy', readonly rank: number, readonly evicted: number | undefined, readonly expert: number }
  /** Removes an expert that other ranks also hold from a slow rank. */
  | { readonly kind: 'drop', readonly rank: number, readonly evicted: number }

/** Best move found so far, and by how much it reduces the excess time. */
interface BestMove {
  move: Move | undefined
  gain: number
}

/** Least pace of a slow rank; the measured paces of healthy ranks vary by a few percent. */
export const SLOW_PACE = 1.1

/** Moves tried in a row without a gain: when several ranks are equally loaded, no single move lowers the largest load. */
const MOVES_WITHOUT_GAIN_MAX = 8

/**
 * Plans one layer.
 *
 * @param map - experts by rank in force
 * @param popularity - share of the tokens by expert; the sum is 1
 * @param limits - limits of the change
 * @returns the best plan found; the unchanged map when no move brings enough
 */
export function planLayer (map: LayerMap, popularity: Float64Array, limits: LayerLimits): LayerPlan {
  const layer = LayerState.create(map, popularity, limits)
  const skewBefore = layer.computeSkew()
  let best: LayerPlan = { map, copies: 0, skewBefore, skewAfter: skewBefore }
  let movesSinceBest = 0
  let copies = 0
  while (movesSinceBest < MOVES_WITHOUT_GAIN_MAX) {
    const move = layer.findMove()
    if (move === undefined) break
    layer.applyMove(move)
    if (move.kind === 'copy') copies += 1
    movesSinceBest += 1
    const skew = layer.computeSkew()
    const gain = best.skewAfter - skew
    if (gain <= 0 || gain < limits.gainMin * (copies - best.copies)) continue
    best = { map: layer.copyMap(), copies, skewBefore, skewAfter: skew }
    movesSinceBest = 0
  }
  return best
}

/**
 * @param map - experts by rank
 * @param popularity - share of the tokens by expert; the sum is 1
 * @returns largest time of a rank over the time of the mean load at a healthy rank
 */
export function computeSkew (map: LayerMap, popularity: Float64Array): number {
  return LayerState.create(map, popularity, { slots: 0, spare: 0, gainMin: 0 }).computeSkew()
}

/** Working state of one layer during planning. */
class LayerState {
  readonly #held: Set<number>[]
  /** Ranks by expert. */
  readonly #holders: Set<number>[]
  readonly #heldBefore: ReadonlySet<number>[]
  readonly #popularity: Float64Array
  readonly #limits: LayerLimits
  readonly #loads: Float64Array
  readonly #newCounts: Uint8Array
  readonly #mean: number
  readonly #paces: readonly number[]

  private constructor (map: LayerMap, popularity: Float64Array, limits: LayerLimits) {
    this.#held = map.map(experts => new Set(experts))
    this.#heldBefore = map.map(experts => new Set(experts))
    this.#popularity = popularity
    this.#limits = limits
    this.#loads = new Float64Array(map.length)
    this.#newCounts = new Uint8Array(map.length)
    this.#paces = map.map((_, rank) => Math.max(1, limits.paces?.[rank] ?? 1))
    this.#mean = popularity.reduce((sum, share) => sum + share, 0) / map.length
    this.#holders = Array.from(popularity, () => new Set())
    this.#held.forEach((experts, rank) => { for (const expert of experts) this.#holders[expert]!.add(rank) })
    this.#held.forEach((experts, rank) => { for (const expert of experts) this.#loads[rank]! += this.#getShare(expert) })
  }

  static create (map: LayerMap, popularity: Float64Array, limits: LayerLimits): LayerState {
    return new LayerState(map, popularity, limits)
  }

  computeSkew (): number {
    return this.#mean === 0 ? 1 : computeMax(this.#loads.map((_, rank) => this.#getRankTime(rank))) / this.#mean
  }

  copyMap (): LayerMap {
    return this.#held.map(experts => [...experts])
  }

  /** Finds the move of one of the busiest rank's experts that reduces the excess time most. */
  findMove (): Move | undefined {
    const times = this.#loads.map((_, rank) => this.#getRankTime(rank))
    const busiest = times.indexOf(computeMax(times))
    const best: BestMove = { move: undefined, gain: 0 }
    if (this.#paces[busiest]! >= SLOW_PACE) this.#compareDrops(busiest, best)
    // The least loaded ranks first: among equal gains theirs leave most room for later copies.
    const targets = [...times.keys()].filter(rank => times[rank]! < times[busiest]!).sort((a, b) => times[a]! - times[b]!)
    for (const expert of this.#held[busiest]!) this.#compareCopies(expert, targets, best)
    return best.move
  }

  applyMove (move: Move): void {
    const { rank, evicted } = move
    if (evicted !== undefined) {
      this.#held[rank]!.delete(evicted)
      this.#updateShares(evicted, rank, -1)
      if (!this.#heldBefore[rank]!.has(evicted)) this.#newCounts[rank]! -= 1
    }
    if (move.kind === 'drop') return
    this.#updateShares(move.expert, rank, 1)
    this.#held[rank]!.add(move.expert)
    if (!this.#heldBefore[rank]!.has(move.expert)) this.#newCounts[rank]! += 1
  }

  #compareDrops (rank: number, best: BestMove): void {
    for (const evicted of this.#held[rank]!) {
      if (this.#countReplicas(evicted) > 1) this.#compareMove({ kind: 'drop', rank, evicted }, best)
    }
  }

  #compareCopies (expert: number, targets: readonly number[], best: BestMove): void {
    const after = this.#popularity[expert]! / (this.#countReplicas(expert) + 1)
    const relief = this.#sumGains(this.#holders[expert]!, after - this.#getShare(expert))
    for (const rank of targets) {
      if (this.#held[rank]!.has(expert)) continue
      for (const evicted of this.#listEvictable(rank, expert)) {
        // An evicted expert burdens its other holders, so the move gains at most this.
        const gainMax = relief + this.#computeRankGain(rank, after - (evicted === undefined ? 0 : this.#getShare(evicted)))
        if (gainMax > best.gain) this.#compareMove({ kind: 'copy', rank, evicted, expert }, best)
      }
    }
  }

  #compareMove (move: Move, best: BestMove): void {
    const gain = this.#computeGain(move)
    if (gain <= best.gain) return
    best.move = move
    best.gain = gain
  }

  #sumGains (ranks: Iterable<number>, change: number): number {
    let gain = 0
    for (const rank of ranks) gain += this.#computeRankGain(rank, change)
    return gain
  }

  /** Computes by how much the squared excess of a rank falls when its load changes. */
  #computeRankGain (rank: number, change: number): number {
    return this.#computeExcess(this.#getRankTime(rank)) - this.#computeExcess((this.#loads[rank]! + change) * this.#paces[rank]!)
  }

  /** Lists the experts that a copy may evict from a rank; undefined stands for a free slot. */
  #listEvictable (rank: number, expert: number): readonly (number | undefined)[] {
    const isNew = !this.#heldBefore[rank]!.has(expert)
    const mayCopy = !isNew || this.#newCounts[rank]! < this.#limits.spare
    if (this.#held[rank]!.size < this.#limits.slots) return mayCopy ? [undefined] : []
    return [...this.#held[rank]!].filter(evicted => this.#countReplicas(evicted) > 1 && (mayCopy || !this.#heldBefore[rank]!.has(evicted)))
  }

  /** Computes the reduction of the summed squares of times above the mean, which also fall while another rank is equally busy. */
  #computeGain (move: Move): number {
    const changes = new Map<number, number>()
    const add = (at: number, change: number): void => { changes.set(at, (changes.get(at) ?? 0) + change) }
    const { rank, evicted } = move
    if (evicted !== undefined) {
      const change = this.#popularity[evicted]! / (this.#countReplicas(evicted) - 1) - this.#getShare(evicted)
      for (const at of this.#holders[evicted]!) if (at !== rank) add(at, change)
      add(rank, -this.#getShare(evicted))
    }
    if (move.kind === 'copy') {
      const after = this.#popularity[move.expert]! / (this.#countReplicas(move.expert) + 1)
      for (const at of this.#holders[move.expert]!) add(at, after - this.#getShare(move.expert))
      add(rank, after)
    }
    let gain = 0
    for (const [at, change] of changes) gain += this.#computeRankGain(at, change)
    return gain
  }

  #getRankTime (rank: number): number {
    return this.#loads[rank]! * this.#paces[rank]!
  }

  #computeExcess (time: number): number {
    return time > this.#mean ? (time - this.#mean) ** 2 : 0
  }

  #updateShares (expert: number, rank: number, sign: 1 | -1): void {
    const before = this.#getShare(expert)
    if (sign === 1) this.#holders[expert]!.add(rank)
    else this.#holders[expert]!.delete(rank)
    const after = this.#countReplicas(expert) === 0 ? 0 : this.#getShare(expert)
    for (const at of this.#holders[expert]!) if (at !== rank) this.#loads[at]! += after - before
    this.#loads[rank]! += sign === 1 ? after : -before
  }

  #getShare (expert: number): number {
    return this.#popularity[expert]! / this.#countReplicas(expert)
  }

  #countReplicas (expert: number): number {
    return this.#holders[expert]!.size
  }
}

function computeMax (values: Float64Array): number {
  let max = -Infinity
  for (const value of values) if (value > max) max = value
  return max
}
