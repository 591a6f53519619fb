/** Bookings that leave one idempotency record each at one home. */

import { request } from 'undici'
import type { Stage } from './stage.js'

const IN_FLIGHT = 32

/**
 * @param stage - deployment
 * @param count - bookings to make
 * @param name - start of the caller's part of each key
 * @returns bookings that were answered with success
 */
export async function runBookings (stage: Stage, count: number, name: string): Promise<number> {
  const url = `http://127.0.0.1:${stage.files.findEntryPorts(0).callers}`
  const authorization = `Bearer ${stage.files.teamKey}`
  const answer = await request(`${url}/v1/address?service=counter`, { headers: { authorization } })
  const { key_tokens: tokens } = await answer.body.json() as { readonly key_tokens: readonly { readonly token: string }[] }
  // The home with the smaller name each time, so that all records are at one home.
  const token = tokens.map(known => known.token).sort((a, b) => getHome(a) < getHome(b) ? -1 : 1)[0] ?? ''
  let next = 0
  let done = 0
  await Promise.all(Array.from({ length: IN_FLIGHT }, async () => {
    while (next < count) {
      next += 1
      const key = `${token}.${name}-${next}`
      const booked = await request(`${url}/services/counter/bookings`, { method: 'POST', headers: { authorization, 'idempotency-key': key }, body: JSON.stringify({ board: 'b', slot: '1' }) })
      await booked.body.dump()
      if (booked.statusCode < 300) done += 1
    }
  }))
  return done
}

function getHome (token: string): string {
  return token.split('.')[2] ?? ''
}
