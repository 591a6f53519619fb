/** Chooses an endpoint among candidates with known loads; stateless. */

import { hashRendezvous } from '../../kernel/hash.js'
import type { RouteChoice } from '../../kernel/ports.js'
import type { Random } from '../../kernel/random.js'

/** Mean load of the local failure domain above which requests may go to other domains. */
const LOCAL_LOAD_MAX = 0.8

/** Largest load of an endpoint chosen by prefix hash, as a multiple of the mean load. */
const AFFINITY_LOAD_FACTOR = 1.25

/** Load difference below which two endpoints are considered equally loaded. */
const LOAD_TOLERANCE = 0.01

/** An endpoint that may be chosen. */
export interface Candidate {
  readonly id: string
  readonly domain: string
  /** Requests per unit of capacity, including the next request; 1 is full. */
  readonly load: number
  /** Load that one request adds to this endpoint. */
  readonly requestLoad: number
}

/** Input of a routing choice. */
export interface ChoiceInput {
  readonly candidates: readonly Candidate[]
  readonly domain: string
  readonly fingerprint: string
  readonly prefixHash?: string
  /** Whether the request is suspected of crashing endpoints; all requests with its fingerprint then go to the same endpoint. */
  readonly suspect: boolean
}

/**
 * Chooses an endpoint by prefix affinity with bounded load, otherwise by power
 * of two choices. Stays in the local failure domain while its load permits.
 *
 * @param input - candidates and hashes of the request
 * @param random - random source for the two picks
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
 * Picks two candidates at random and returns the less loaded one (power of two
 * choices). Ties are broken by rendezvous hashing of the fingerprint.
 *
 * @param candidates - endpoints to pick from
 * @param fingerprint - breaks ties
 * @param random - random source for the picks
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
