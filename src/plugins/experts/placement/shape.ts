/** Sizes of a group that a placement has to respect. */
export interface GroupShape {
  readonly layers: number
  readonly experts: number
  /** Expert replicas that one rank holds per layer. */
  readonly slots: number
  /** Host of each rank. */
  readonly hosts: readonly string[]
}

/** Experts by rank and layer. */
export type Placement = readonly (readonly (readonly number[])[])[]

/** Experts by rank in one layer. */
export type LayerPlacement = readonly (readonly number[])[]

/**
 * @param placement - experts by rank and layer
 * @param layer - index of the layer
 * @returns experts by rank in that layer
 */
export function getLayer (placement: Placement, layer: number): LayerPlacement {
  return placement.map(rank => rank[layer] ?? [])
}

/**
 * @param layers - experts by layer and rank
 * @param ranks - count of ranks
 * @returns experts by rank and layer
 */
export function assembleLayers (layers: readonly LayerPlacement[], ranks: number): Placement {
  return Array.from({ length: ranks }, (_, rank) => layers.map(layer => layer[rank] ?? []))
}

/**
 * Counts the weights that ranks have to load to change from one placement to another.
 *
 * @param from - experts by rank in force
 * @param to - experts by rank wanted
 * @returns count of replicas in `to` that their rank does not hold in `from`
 */
export function countLoadedWeights (from: Placement, to: Placement): number {
  let moves = 0
  to.forEach((rank, index) => rank.forEach((experts, layer) => {
    const held = new Set(from[index]?.[layer])
    for (const expert of experts) if (!held.has(expert)) moves += 1
  }))
  return moves
}
