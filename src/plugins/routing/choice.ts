/** Choice among candidates whose loads are known; no state. */

import { hashRendezvous } from '../../kernel/hash.js'
import type { RouteChoice } from '../../kernel/ports.js'
import type { Random } from '../../kernel/random.js'

/** Load of the own failure domain above which work goes to other domains. */
const LOCAL_LOAD_MAX = 0.8

/** Bound on the load of an endpoint chosen by prefix, relative to the mean. */
const AFFINITY_LOAD_FACTOR = 1.25

/** Difference of load below which two endpoints count as equal. */
const LOAD_TOLERANCE = 0.01

/** One endpoint that may be chosen. */
export interface Candidate {
  readonly id: string
  readonly domain: string
  /** Requests per unit of capacity with the next request included. */
  readonly load: number
  /** Load that one request adds. */
  readonly requestLoad: number
}

/** What a choice depends on. */
export interface ChoiceInput {
  readonly candidates: readonly Candidate[]
  readonly domain: string
  readonly fingerprint: string
  readonly prefixHash?: string
  /** Whether repeats of the request must meet at one endpoint. */
  readonly suspect: boolean
}

/**
 * Chooses an endpoint.
 *
 * @param input - candidates and the request's hashes
 * @param random - source of the two picks
 * @returns the choice; undefined without candidates
 */
export function chooseCandidate (input: ChoiceInput, random: Random): RouteChoice | undefined {
  const { candidates, domain, fingerprint } = input
  if (input.suspect) {
    const first = rankByHash(candidates, fingerprint)[0]
    return first === undefined ? undefined : { endpoint: first.id, reason: 'suspect-rendezvous' }
  }
  const local = candidates.filter(candidate => candidate.domain === domain)
  const scope = local.length > 0 && computeMeanLoad(local) <= LOCAL_LOAD_MAX ? local : candidates
  const scopeName = scope === local ? 'local' : 'any-domain'
  if (input.prefixHash !== undefined) {
    const loadMax = AFFINITY_LOAD_FACTOR * computeMeanLoad(scope)
    const match = rankByHash(scope, input.prefixHash).find(({ load, requestLoad }) => load <= Math.ceil(loadMax / requestLoad) * requestLoad)
    if (match !== undefined) return { endpoint: match.id, reason: `prefix ${scopeName}` }
  }
  const picked = pickLessLoadedOfTwo(scope, fingerprint, random)
  if (picked === undefined) return undefined
  return { endpoint: picked.id, reason: `two-choices ${scopeName} load=${picked.load.toFixed(2)}` }
}

/**
 * Picks two candidates at random and takes the less loaded one; equals are
 * decided by rendezvous hashing of the fingerprint.
 *
 * @param candidates - endpoints to pick from
 * @param fingerprint - decides among equals
 * @param random - source of the picks
 * @returns the pick; undefined without candidates
 */
export function pickLessLoadedOfTwo (candidates: readonly Candidate[], fingerprint: string, random: Random): Candidate | undefined {
  if (candidates.length <= 1) return candidates[0]
  const lowest = Math.min(...candidates.map(({ load }) => load))
  const leastLoaded = candidates.filter(({ load }) => load - lowest < LOAD_TOLERANCE)
  if (leastLoaded.length === candidates.length) return rankByHash(candidates, fingerprint)[0]
  const firstIndex = random.pickInt(candidates.length)
  const offset = 1 + random.pickInt(candidates.length - 1)
  const first = candidates[firstIndex]
  const second = candidates[(firstIndex + offset) % candidates.length]
  if (first === undefined || second === undefined) return first ?? second
  if (Math.abs(first.load - second.load) < LOAD_TOLERANCE) return rankByHash([first, second], fingerprint)[0]
  return first.load < second.load ? first : second
}

/** Orders candidates by rendezvous score, highest first. */
function rankByHash (candidates: readonly Candidate[], key: string): readonly Candidate[] {
  return candidates
    .map(candidate => ({ candidate, score: hashRendezvous(key, candidate.id) }))
    .sort((a, b) => b.score - a.score || (a.candidate.id < b.candidate.id ? -1 : 1))
    .map(({ candidate }) => candidate)
}

function computeMeanLoad (candidates: readonly Candidate[]): number {
  return candidates.reduce((sum, { load }) => sum + load, 0) / candidates.length
}
