/** Makes bookings, each of which leaves one idempotency record at the same home. */

import { request } from 'undici'
import type { LocalCluster } from './local-cluster.js'

const CONCURRENCY = 32

/**
 * @param cluster - running cluster
 * @param count - number of bookings to make
 * @param keyPrefix - prefix of the caller's part of each key
 * @returns number of bookings that succeeded
 */
export async function runBookings (cluster: LocalCluster, count: number, keyPrefix: string): Promise<number> {
  const url = `http://127.0.0.1:${cluster.files.findEntryPorts(0).callers}`
  const authorization = `Bearer ${cluster.files.teamKey}`
  const response = await request(`${url}/v1/address?service=counter`, { headers: { authorization } })
  const { key_tokens: tokens } = await response.body.json() as { readonly key_tokens: readonly { readonly token: string }[] }
  // Always uses the home whose name sorts first, so that all records are at one home.
  const token = tokens.map(known => known.token).sort((a, b) => getHome(a) < getHome(b) ? -1 : 1)[0] ?? ''
  let next = 0
  let bookedCount = 0
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (next < count) {
      next += 1
      const key = `${token}.${keyPrefix}-${next}`
      const booking = await request(`${url}/services/counter/bookings`, { method: 'POST', headers: { authorization, 'idempotency-key': key }, body: JSON.stringify({ board: 'b', slot: '1' }) })
      await booking.body.dump()
      if (booking.statusCode < 300) bookedCount += 1
    }
  }))
  return bookedCount
}

function getHome (token: string): string {
  return token.split('.')[2] ?? ''
}
