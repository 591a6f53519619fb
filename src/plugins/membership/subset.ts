import type { EndpointSpec } from '../../kernel/document.js'
import { hashRendezvous } from '../../kernel/hash.js'

/** Largest count of endpoints of one service that an entry connects to. */
export const SUBSET_MAX = 32

/** Smallest count, so that power-of-two choices and two domains remain possible. */
const SUBSET_MIN = 4

/** Connections of an entry to endpoint processes over all services; bounds the bytes of heartbeats. */
const CONNECTIONS_MAX = 256

/**
 * Chooses the endpoints of one service that an entry connects to: the larger
 * half from its own failure domain, the rest from other domains, so that the
 * loss of one domain leaves candidates.
 *
 * @param entry - id and failure domain of the entry
 * @param endpoints - all endpoints of the service
 * @param serviceCount - count of services over which connections are shared out
 * @returns the chosen endpoints, at most `SUBSET_MAX`
 */
export function chooseSubset (
  entry: { readonly id: string, readonly domain: string },
  endpoints: readonly EndpointSpec[],
  serviceCount: number
): readonly EndpointSpec[] {
  const size = Math.max(SUBSET_MIN, Math.min(SUBSET_MAX, Math.floor(CONNECTIONS_MAX / Math.max(1, serviceCount))))
  if (endpoints.length <= size) return endpoints
  const ranked = endpoints
    .map(endpoint => ({ endpoint, score: hashRendezvous(entry.id, endpoint.id) }))
    .sort((a, b) => b.score - a.score || (a.endpoint.id < b.endpoint.id ? -1 : 1))
    .map(({ endpoint }) => endpoint)
  const local = ranked.filter(endpoint => endpoint.domain === entry.domain)
  const remote = ranked.filter(endpoint => endpoint.domain !== entry.domain)
  const localCount = Math.min(local.length, Math.max(Math.ceil(size / 2), size - remote.length))
  return [...local.slice(0, localCount), ...remote.slice(0, size - localCount)]
}
