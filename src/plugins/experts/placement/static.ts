import { assembleLayers } from './shape.js'
import type { GroupShape, LayerPlacement, Placement } from './shape.js'

/**
 * Places experts without regard to their popularity: each expert gets the same
 * count of replicas, give or take one, and replicas of one expert lie on
 * different ranks and, where possible, different hosts.
 *
 * @param shape - sizes of the group
 * @returns experts by rank and layer
 * @throws RangeError when the slots do not hold every expert once
 */
export function buildStaticPlacement (shape: GroupShape): Placement {
  const ranks = shape.hosts.length
  if (ranks * shape.slots < shape.experts) {
    throw new RangeError(`${ranks} ranks of ${shape.slots} slots cannot hold ${shape.experts} experts`)
  }
  const layer = buildStaticLayer(shape)
  return assembleLayers(Array.from({ length: shape.layers }, () => layer), ranks)
}

function buildStaticLayer (shape: GroupShape): LayerPlacement {
  const ranks: number[][] = shape.hosts.map(() => [])
  const copies = Math.floor(shape.hosts.length * shape.slots / shape.experts)
  for (let copy = 0; copy < copies; copy += 1) {
    for (let expert = 0; expert < shape.experts; expert += 1) {
      const rank = pickEmptiestRank(shape, ranks, expert)
      if (rank !== undefined) ranks[rank]!.push(expert)
    }
  }
  for (let expert = 0; expert < shape.experts; expert += 1) {
    const rank = pickEmptiestRank(shape, ranks, expert)
    if (rank !== undefined) ranks[rank]!.push(expert)
  }
  return ranks
}

function pickEmptiestRank (shape: GroupShape, ranks: readonly (readonly number[])[], expert: number): number | undefined {
  const hosts = new Set(shape.hosts.filter((_, rank) => ranks[rank]!.includes(expert)))
  let best: number | undefined
  let bestCost = Infinity
  ranks.forEach((experts, rank) => {
    if (experts.length >= shape.slots || experts.includes(expert)) return
    const cost = experts.length * 2 + (hosts.has(shape.hosts[rank]!) ? 1 : 0)
    if (cost < bestCost) [best, bestCost] = [rank, cost]
  })
  return best
}
