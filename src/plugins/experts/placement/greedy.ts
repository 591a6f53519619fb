import { countReplicas } from './bound.js'
import type { GroupShape, LayerPlacement } from './shape.js'

/**
 * Packs one layer from scratch: experts get replicas by popularity, and each replica,
 * heaviest first, goes to the least loaded rank. Ignores the placement in force.
 *
 * @param shape - sizes of the group
 * @param popularity - share of the tokens by expert
 * @returns experts by rank
 */
export function buildGreedyLayer (shape: GroupShape, popularity: Float64Array): LayerPlacement {
  const counts = countReplicas(shape, popularity)
  const replicas = counts
    .flatMap((count, expert) => Array.from({ length: count }, () => ({ expert, load: popularity[expert]! / count })))
    .sort((a, b) => b.load - a.load || a.expert - b.expert)
  const ranks: number[][] = shape.hosts.map(() => [])
  const loads = new Float64Array(ranks.length)
  for (const { expert, load } of replicas) {
    const rank = pickLeastLoadedRank(shape, ranks, loads, expert)
    if (rank === undefined) continue
    ranks[rank]!.push(expert)
    loads[rank]! += load
  }
  return ranks
}

/** Picks the least loaded rank with a free slot and without the expert, preferably on a host without it; undefined if there is none. */
function pickLeastLoadedRank (shape: GroupShape, ranks: readonly (readonly number[])[], loads: Float64Array, expert: number): number | undefined {
  const hosts = new Set(shape.hosts.filter((_, rank) => ranks[rank]!.includes(expert)))
  let best: number | undefined
  let spread: number | undefined
  ranks.forEach((experts, rank) => {
    if (experts.length >= shape.slots || experts.includes(expert)) return
    if (best === undefined || loads[rank]! < loads[best]!) best = rank
    if (!hosts.has(shape.hosts[rank]!) && (spread === undefined || loads[rank]! < loads[spread]!)) spread = rank
  })
  return spread ?? best
}
