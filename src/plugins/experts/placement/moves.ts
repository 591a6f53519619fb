import type { Layer } from './layer.js'

/** Change of a layer; `weights` is the count of expert weights that it loads. */
export type Move =
  | { readonly kind: 'replace', readonly rank: number, readonly slot: number, readonly expert: number, readonly weights: 1 }
  | { readonly kind: 'swap', readonly rank: number, readonly slot: number, readonly otherRank: number, readonly otherSlot: number, readonly weights: 2 }

/** A move and the reduction of the layer's excess load that it brings per weight loaded. */
export interface RatedMove {
  readonly move: Move
  readonly gain: number
}

/**
 * Finds the move that relieves the busiest rank most per weight loaded.
 *
 * @param layer - the layer
 * @param target - load above which a rank has excess load
 * @returns the best move; undefined when none reduces the excess load
 */
export function findBestMove (layer: Layer, target: number): RatedMove | undefined {
  const loads = layer.getLoads()
  let busiest = 0
  for (let rank = 1; rank < loads.length; rank += 1) if (loads[rank]! > loads[busiest]!) busiest = rank
  let best: RatedMove | undefined
  const note = (move: Move, fall: number): void => {
    const gain = fall / move.weights
    if (gain > 0 && (best === undefined || gain > best.gain)) best = { move, gain }
  }
  for (let rank = 0; rank < loads.length; rank += 1) {
    // A rank within 0.1 % of the largest load cannot relieve the busiest one.
    if (loads[rank]! >= loads[busiest]! * 0.999) continue
    rateSwaps(layer, target, busiest, rank, note)
    rateReplicas(layer, target, busiest, rank, note)
  }
  rateDrops(layer, target, busiest, note)
  return best
}

/**
 * @param layer - layer to change
 * @param move - the move
 */
export function applyMove (layer: Layer, move: Move): void {
  if (move.kind === 'replace') layer.replaceExpert(move.rank, move.slot, move.expert)
  else layer.swapExperts(move.rank, move.slot, move.otherRank, move.otherSlot)
}

type NoteMove = (move: Move, fall: number) => void

/** Rates exchanges of an expert of the busiest rank with one of another rank. */
function rateSwaps (layer: Layer, target: number, busiest: number, rank: number, note: NoteMove): void {
  const loads = layer.getLoads()
  const before = computeExcess(loads[busiest]!, target) + computeExcess(loads[rank]!, target)
  layer.getSlots(busiest).forEach((a, slot) => {
    if (layer.getHolders(a).has(rank) || layer.shouldUseOtherHost(rank, a)) return
    layer.getSlots(rank).forEach((b, otherSlot) => {
      const change = layer.getShare(a) - layer.getShare(b)
      if (change <= 0 || layer.getHolders(b).has(busiest) || layer.shouldUseOtherHost(busiest, b)) return
      const after = computeExcess(loads[busiest]! - change, target) + computeExcess(loads[rank]! + change, target)
      note({ kind: 'swap', rank: busiest, slot, otherRank: rank, otherSlot, weights: 2 }, before - after)
    })
  })
}

/** Rates one more replica of each of the busiest rank's experts, in a slot of an expert that has several. */
function rateReplicas (layer: Layer, target: number, busiest: number, rank: number, note: NoteMove): void {
  for (const expert of layer.getSlots(busiest)) {
    if (layer.getHolders(expert).has(rank) || layer.shouldUseOtherHost(rank, expert)) continue
    layer.getSlots(rank).forEach((old, slot) => {
      if (layer.getHolders(old).size < 2) return
      note({ kind: 'replace', rank, slot, expert, weights: 1 }, rateReplacement(layer, target, rank, old, expert))
    })
  }
}

/** Rates replacing experts of the busiest rank that have several replicas by lighter ones. */
function rateDrops (layer: Layer, target: number, busiest: number, note: NoteMove): void {
  const loads = layer.getLoads()
  const candidates = new Set<number>()
  loads.forEach((load, rank) => { if (load > 0) for (const expert of layer.getSlots(rank)) candidates.add(expert) })
  layer.getSlots(busiest).forEach((old, slot) => {
    if (layer.getHolders(old).size < 2) return
    for (const expert of candidates) {
      if (layer.getHolders(expert).has(busiest) || layer.getShare(expert) > layer.getShare(old) || layer.shouldUseOtherHost(busiest, expert)) continue
      note({ kind: 'replace', rank: busiest, slot, expert, weights: 1 }, rateReplacement(layer, target, busiest, old, expert))
    }
  })
}

/** Computes by how much the excess load falls when a slot of the rank changes from one expert to another. */
function rateReplacement (layer: Layer, target: number, rank: number, old: number, expert: number): number {
  const loads = layer.getLoads()
  const oldHolders = layer.getHolders(old)
  const newHolders = layer.getHolders(expert)
  const oldShare = layer.getShare(old)
  const newShare = layer.getShare(expert)
  const rise = oldShare * oldHolders.size / (oldHolders.size - 1) - oldShare
  const share = newShare * newHolders.size / (newHolders.size + 1)
  const fall = newShare - share
  let change = computeExcess(loads[rank]!, target) - computeExcess(loads[rank]! - oldShare + share, target)
  for (const holder of oldHolders) {
    if (holder === rank) continue
    const after = loads[holder]! + rise - (newHolders.has(holder) ? fall : 0)
    change += computeExcess(loads[holder]!, target) - computeExcess(after, target)
  }
  for (const holder of newHolders) {
    if (oldHolders.has(holder)) continue
    change += computeExcess(loads[holder]!, target) - computeExcess(loads[holder]! - fall, target)
  }
  return change
}

/**
 * Computes the squared load above the target. Unlike the largest load alone, its sum
 * falls with each rank that is relieved, so equally busy ranks do not stop a search.
 */
function computeExcess (load: number, target: number): number {
  return load > target ? (load - target) ** 2 : 0
}
