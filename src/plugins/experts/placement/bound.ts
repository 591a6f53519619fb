import type { GroupShape } from './shape.js'

/**
 * Chooses the count of replicas per expert that minimizes the largest load of one
 * replica: each further replica goes to the expert whose replicas carry most.
 *
 * @param shape - sizes of the group
 * @param popularity - share of the tokens by expert
 * @returns count of replicas by expert; the sum is the count of slots
 */
export function countReplicas (shape: GroupShape, popularity: Float64Array): number[] {
  const ranks = shape.hosts.length
  const counts = Array.from({ length: shape.experts }, () => 1)
  for (let free = ranks * shape.slots - shape.experts; free > 0; free -= 1) {
    let hottest = -1
    let largest = -1
    for (let expert = 0; expert < shape.experts; expert += 1) {
      const share = popularity[expert]! / counts[expert]!
      if (counts[expert]! < ranks && share > largest) [hottest, largest] = [expert, share]
    }
    if (hottest < 0) break
    counts[hottest]! += 1
  }
  return counts
}

/**
 * Computes a lower bound of the skew of any placement in the given slots: the mean
 * load, or the load of the largest replica at the best count of replicas if larger.
 *
 * @param shape - sizes of the group
 * @param popularity - share of the tokens by expert; the sum is 1
 * @returns lower bound of the largest load over the mean load
 */
export function computeSkewBound (shape: GroupShape, popularity: Float64Array): number {
  const counts = countReplicas(shape, popularity)
  let largest = 0
  counts.forEach((count, expert) => { largest = Math.max(largest, popularity[expert]! / count) })
  return Math.max(1, largest * shape.hosts.length)
}
