/** Divides limits that all gateways share into whole numbers, so that their sum never exceeds the limit. */

import { hashRendezvous } from '../../kernel/hash.js'

/**
 * Deals the shares of a limit to gateways. A further gateway never raises the count of
 * another, so the sum is not exceeded while only some know of it, provided that it uses
 * no shares until all do.
 *
 * @param key - name of the limit; spreads the shares of different limits over different gateways
 * @param gateways - names of all gateways
 * @param shares - limit, a whole number
 * @returns number of shares by gateway, which add up to `shares`; gateways without any are absent
 */
export function dealShares (key: string, gateways: readonly string[], shares: number): ReadonlyMap<string, number> {
  const ranked = gateways.map(gateway => ({ gateway, score: hashRendezvous(key, gateway) }))
    .sort((a, b) => b.score - a.score || (a.gateway < b.gateway ? -1 : 1))
  const each = Math.floor(shares / gateways.length)
  const dealt = ranked.map(({ gateway }, rank): readonly [string, number] => [gateway, each + (rank < shares % gateways.length ? 1 : 0)])
  return new Map(dealt.filter(([, count]) => count > 0))
}
