/**
 * Plans where the experts of one layer lie, by copies from the map in force.
 * Answers drifting and shifting demand, and ranks that turn slow: every pass
 * lasts as long as the busiest rank of each layer, so few copies from that rank
 * help most. A slow rank is busy for longer with the same load and gives experts up.
 */

/** Experts by rank in one layer. */
export type LayerMap = readonly (readonly number[])[]

/** Limits of a change. */
export interface LayerLimits {
  /** Most experts that a rank holds. */
  readonly slots: number
  /** Most experts that a rank can copy in one change. */
  readonly spare: number
  /** Fall of the most loaded rank, in mean loads, that a copy must bring. */
  readonly gainMin: number
  /** Time that each rank needs for a piece of work, in times of a sound rank; 1 where left out. */
  readonly paces?: readonly number[]
}

/** A change of one layer; loads are in mean loads of a rank. */
export interface LayerPlan {
  readonly map: LayerMap
  readonly copies: number
  readonly skewBefore: number
  readonly skewAfter: number
}

/** One step towards a better map. */
type Move =
  /** A rank takes an expert, in the slot of another one or in a free slot. */
  | { readonly kind: 'copy', readonly rank: number, readonly evicted: number | undefined, readonly expert: number }
  /** A slow rank gives an expert up that others hold too. */
  | { readonly kind: 'drop', readonly rank: number, readonly evicted: number }

/** Pace from which a rank counts as slow; measured paces vary by some percent. */
export const SLOW_PACE = 1.1

/** Moves that are tried while none of them alone lowers the largest load: several ranks may be as loaded. */
const MOVES_WITHOUT_GAIN_MAX = 8

/**
 * Plans one layer.
 *
 * @param map - experts by rank in force
 * @param popularity - share of the tokens by expert; the sum is 1
 * @param limits - limits of the change
 * @returns the best plan found; no copies when nothing pays
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
 * @returns largest time of a rank over the time of the mean load at a sound rank
 */
export function computeSkew (map: LayerMap, popularity: Float64Array): number {
  return LayerState.create(map, popularity, { slots: 0, spare: 0, gainMin: 0 }).computeSkew()
}

/** One layer while it is planned. */
class LayerState {
  readonly #held: Set<number>[]
  readonly #heldBefore: ReadonlySet<number>[]
  readonly #popularity: Float64Array
  readonly #limits: LayerLimits
  readonly #replicaCounts: Uint16Array
  readonly #loads: Float64Array
  readonly #newCounts: Uint8Array
  readonly #mean: number
  readonly #paces: readonly number[]

  private constructor (map: LayerMap, popularity: Float64Array, limits: LayerLimits) {
    this.#held = map.map(experts => new Set(experts))
    this.#heldBefore = map.map(experts => new Set(experts))
    this.#popularity = popularity
    this.#limits = limits
    this.#replicaCounts = new Uint16Array(popularity.length)
    this.#loads = new Float64Array(map.length)
    this.#newCounts = new Uint8Array(map.length)
    this.#paces = map.map((_, rank) => Math.max(1, limits.paces?.[rank] ?? 1))
    this.#mean = popularity.reduce((sum, share) => sum + share, 0) / map.length
    for (const experts of this.#held) for (const expert of experts) this.#replicaCounts[expert]! += 1
    this.#held.forEach((experts, rank) => { for (const expert of experts) this.#loads[rank]! += this.#getShare(expert) })
  }

  static create (map: LayerMap, popularity: Float64Array, limits: LayerLimits): LayerState {
    return new LayerState(map, popularity, limits)
  }

  computeSkew (): number {
    return this.#mean === 0 ? 1 : Math.max(...this.#loads.map((_, rank) => this.#getRankTime(rank))) / this.#mean
  }

  copyMap (): LayerMap {
    return this.#held.map(experts => [...experts])
  }

  /** Finds the move of an expert of the busiest rank that lowers the overload most. */
  findMove (): Move | undefined {
    const times = this.#held.map((_, rank) => this.#getRankTime(rank))
    const busiest = times.indexOf(Math.max(...times))
    let best: Move | undefined
    let bestGain = 0
    for (const move of this.#listMoves(busiest, times)) {
      const gain = this.#computeGain(move)
      if (gain <= bestGain) continue
      best = move
      bestGain = gain
    }
    return best
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

  #listMoves (busiest: number, times: readonly number[]): readonly Move[] {
    const experts = [...this.#held[busiest]!]
    const isSlow = this.#paces[busiest]! >= SLOW_PACE
    const drops = isSlow ? experts.filter(evicted => this.#replicaCounts[evicted]! > 1).map(evicted => ({ kind: 'drop' as const, rank: busiest, evicted })) : []
    const copies = experts.flatMap(expert => this.#held.flatMap((held, rank) => {
      if (rank === busiest || held.has(expert) || times[rank]! >= times[busiest]!) return []
      return this.#listEvictable(rank, expert).map(evicted => ({ kind: 'copy' as const, rank, evicted, expert }))
    }))
    return [...drops, ...copies]
  }

  /** Experts that may make room on a rank; a free slot needs none. */
  #listEvictable (rank: number, expert: number): readonly (number | undefined)[] {
    const isNew = !this.#heldBefore[rank]!.has(expert)
    const mayCopy = !isNew || this.#newCounts[rank]! < this.#limits.spare
    if (this.#held[rank]!.size < this.#limits.slots) return mayCopy ? [undefined] : []
    return [...this.#held[rank]!].filter(evicted => this.#replicaCounts[evicted]! > 1 && (mayCopy || !this.#heldBefore[rank]!.has(evicted)))
  }

  /** Fall of the squared time above the mean, which also counts ranks that tie. */
  #computeGain (move: Move): number {
    const changes = new Map<number, number>()
    const add = (at: number, change: number): void => { changes.set(at, (changes.get(at) ?? 0) + change) }
    const { rank, evicted } = move
    if (evicted !== undefined) {
      this.#held.forEach((experts, at) => { if (at !== rank && experts.has(evicted)) add(at, this.#popularity[evicted]! / (this.#replicaCounts[evicted]! - 1) - this.#getShare(evicted)) })
      add(rank, -this.#getShare(evicted))
    }
    if (move.kind === 'copy') {
      const after = this.#popularity[move.expert]! / (this.#replicaCounts[move.expert]! + 1)
      this.#held.forEach((experts, at) => { if (experts.has(move.expert)) add(at, after - this.#getShare(move.expert)) })
      add(rank, after)
    }
    let gain = 0
    for (const [at, change] of changes) gain += this.#computeExcess(this.#getRankTime(at)) - this.#computeExcess((this.#loads[at]! + change) * this.#paces[at]!)
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
    this.#replicaCounts[expert]! += sign
    const after = this.#replicaCounts[expert]! === 0 ? 0 : this.#getShare(expert)
    this.#held.forEach((experts, at) => { if (at !== rank && experts.has(expert)) this.#loads[at]! += after - before })
    this.#loads[rank]! += sign === 1 ? after : -before
  }

  #getShare (expert: number): number {
    return this.#popularity[expert]! / this.#replicaCounts[expert]!
  }
}
