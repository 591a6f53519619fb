import type { EndpointSpec } from '../../kernel/configuration.js'
import { hashRendezvous } from '../../kernel/hash.js'

/** Largest count of endpoints per service that an entry connects to. */
export const SUBSET_MAX = 32

/** Smallest count per service, so that power of two choices and a second failure domain remain possible. */
const SUBSET_MIN = 4

/** Target count of connections of an entry to endpoint processes of all services; limits heartbeat traffic. */
const CONNECTIONS_MAX = 256

/**
 * Chooses the endpoints of one service that an entry connects to. At least half
 * are from the entry's failure domain if it has enough, the rest from other
 * domains, so that candidates remain when a domain is lost.
 *
 * @param entry - id and failure domain of the entry
 * @param endpoints - all endpoints of the service
 * @param serviceCount - count of services that share the connections
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
