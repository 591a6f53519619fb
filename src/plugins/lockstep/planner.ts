/**
 * Plans where the experts of one layer lie, by copies from the map in force.
 * Answers drifting and shifting demand: every pass lasts as long as the most
 * loaded rank of each layer, so few copies from that rank help most.
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
}

/** A change of one layer; loads are in mean loads of a rank. */
export interface LayerPlan {
  readonly map: LayerMap
  readonly copies: number
  readonly skewBefore: number
  readonly skewAfter: number
}

/** Replacement of one slot's expert by another one. */
interface Move {
  readonly rank: number
  /** Expert that leaves; undefined for a free slot. */
  readonly out: number | undefined
  readonly expert: number
}

/** Moves that are tried while none of them alone lowers the largest load: several ranks may be as loaded. */
const LOOKAHEAD = 8

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
  let sinceBest = 0
  let copies = 0
  while (sinceBest < LOOKAHEAD) {
    const move = layer.findMove()
    if (move === undefined) break
    layer.applyMove(move)
    copies += 1
    sinceBest += 1
    const skew = layer.computeSkew()
    if (best.skewAfter - skew < limits.gainMin * (copies - best.copies)) continue
    best = { map: layer.copyMap(), copies, skewBefore, skewAfter: skew }
    sinceBest = 0
  }
  return best
}

/**
 * @param map - experts by rank
 * @param popularity - share of the tokens by expert; the sum is 1
 * @returns largest load over the mean load
 */
export function computeSkew (map: LayerMap, popularity: Float64Array): number {
  return LayerState.create(map, popularity, { slots: 0, spare: 0, gainMin: 0 }).computeSkew()
}

/** One layer while it is planned. */
class LayerState {
  readonly #held: Set<number>[]
  readonly #before: ReadonlySet<number>[]
  readonly #popularity: Float64Array
  readonly #limits: LayerLimits
  readonly #copies: Uint16Array
  readonly #loads: Float64Array
  readonly #fresh: Uint8Array
  readonly #mean: number

  private constructor (map: LayerMap, popularity: Float64Array, limits: LayerLimits) {
    this.#held = map.map(experts => new Set(experts))
    this.#before = map.map(experts => new Set(experts))
    this.#popularity = popularity
    this.#limits = limits
    this.#copies = new Uint16Array(popularity.length)
    this.#loads = new Float64Array(map.length)
    this.#fresh = new Uint8Array(map.length)
    this.#mean = popularity.reduce((sum, share) => sum + share, 0) / map.length
    for (const experts of this.#held) for (const expert of experts) this.#copies[expert]! += 1
    this.#held.forEach((experts, rank) => { for (const expert of experts) this.#loads[rank]! += this.#getShare(expert) })
  }

  static create (map: LayerMap, popularity: Float64Array, limits: LayerLimits): LayerState {
    return new LayerState(map, popularity, limits)
  }

  computeSkew (): number {
    return this.#mean === 0 ? 1 : Math.max(...this.#loads) / this.#mean
  }

  copyMap (): LayerMap {
    return this.#held.map(experts => [...experts])
  }

  /** Finds the move of an expert of the most loaded rank that lowers the overload most. */
  findMove (): Move | undefined {
    const hot = this.#loads.indexOf(Math.max(...this.#loads))
    let best: Move | undefined
    let bestGain = 0
    const rate = (move: Move): void => {
      const gain = this.#computeGain(move)
      if (gain <= bestGain) return
      best = move
      bestGain = gain
    }
    for (const expert of this.#held[hot]!) {
      for (let rank = 0; rank < this.#held.length; rank += 1) {
        if (rank === hot || this.#held[rank]!.has(expert) || this.#loads[rank]! >= this.#loads[hot]!) continue
        for (const out of this.#listRemovable(rank, expert)) rate({ rank, out, expert })
      }
    }
    return best
  }

  applyMove ({ rank, out, expert }: Move): void {
    if (out !== undefined) {
      this.#held[rank]!.delete(out)
      this.#shift(out, rank, -1)
      if (!this.#before[rank]!.has(out)) this.#fresh[rank]! -= 1
    }
    this.#shift(expert, rank, 1)
    this.#held[rank]!.add(expert)
    if (!this.#before[rank]!.has(expert)) this.#fresh[rank]! += 1
  }

  /** Experts that may make room on a rank; a free slot needs none. */
  #listRemovable (rank: number, expert: number): readonly (number | undefined)[] {
    const isFresh = !this.#before[rank]!.has(expert)
    const hasSpare = !isFresh || this.#fresh[rank]! < this.#limits.spare
    if (this.#held[rank]!.size < this.#limits.slots) return hasSpare ? [undefined] : []
    return [...this.#held[rank]!].filter(out => this.#copies[out]! > 1 && (hasSpare || !this.#before[rank]!.has(out)))
  }

  /** Fall of the squared load above the mean, which also counts ranks that tie. */
  #computeGain ({ rank, out, expert }: Move): number {
    const changes = new Map<number, number>()
    const add = (at: number, change: number): void => { changes.set(at, (changes.get(at) ?? 0) + change) }
    const share = this.#getShare(expert)
    const after = this.#popularity[expert]! / (this.#copies[expert]! + 1)
    this.#held.forEach((experts, at) => {
      if (experts.has(expert)) add(at, after - share)
      if (out !== undefined && at !== rank && experts.has(out)) add(at, this.#popularity[out]! / (this.#copies[out]! - 1) - this.#getShare(out))
    })
    add(rank, after - (out === undefined ? 0 : this.#getShare(out)))
    let gain = 0
    for (const [at, change] of changes) gain += this.#rateLoad(this.#loads[at]!) - this.#rateLoad(this.#loads[at]! + change)
    return gain
  }

  #rateLoad (load: number): number {
    return load > this.#mean ? (load - this.#mean) ** 2 : 0
  }

  #shift (expert: number, rank: number, sign: 1 | -1): void {
    const before = this.#getShare(expert)
    this.#copies[expert]! += sign
    const after = this.#copies[expert]! === 0 ? 0 : this.#getShare(expert)
    this.#held.forEach((experts, at) => { if (at !== rank && experts.has(expert)) this.#loads[at]! += after - before })
    this.#loads[rank]! += sign === 1 ? after : -before
  }

  #getShare (expert: number): number {
    return this.#popularity[expert]! / this.#copies[expert]!
  }
}
