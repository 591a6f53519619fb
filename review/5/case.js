import { setTimeout as wait } from 'node:timers/promises'
import { BOOKING_ROUTE, BOOKING_WORKERS, book, playBookings } from '../common/bookings.js'
import { Client } from '../common/client.js'
import { buildConfig, runCase } from '../common/deployment.js'
import { record } from '../common/record.js'

/** Time in which ordinary bookings go on at both gateways, and the pause between them. */
const GO_ON_MS = 8_000
const PAUSE_MS = 200

const config = buildConfig([BOOKING_ROUTE])

/** Sends a booking on a connection of its own; a gateway that is not there refuses the connection. */
async function tryBooking (gateway, id) {
  try {
    const client = await new Client(gateway.name, gateway).connect()
    await book(client, id, 20)
    client.close()
  } catch (error) {
    record(gateway.name, `no connection for ${id}: ${error.code}`)
  }
}

await runCase(import.meta.url, async ({ hasTrouble, start }) => {
  const deployment = await start({ config, workers: BOOKING_WORKERS })
  const [gateway] = deployment.gateways
  const { isBroken, text } = await playBookings({
    deployment,
    gateway,
    async disturb () {
      if (hasTrouble) {
        record('platform', 'another writer writes an entry of kind servers whose address cannot be read')
        deployment.store.put('servers', 'i-unreadable', { ...deployment.workers[0].describe(1), address: '10.128.0.9:80800' })
      }
      await wait(300)
      await Promise.all(['late-1', 'late-2', 'late-3', 'late-4'].map(id => tryBooking(gateway, id)))
    }
  })
  const endsAtMs = performance.now() + GO_ON_MS
  for (let number = 1; performance.now() < endsAtMs; number += 1) {
    await Promise.all(deployment.gateways.map(each => tryBooking(each, `${each.name}-${number}`)))
    await wait(PAUSE_MS)
  }
  return { isBroken, text: `${text}; ${deployment.gateways.map(({ name, exits }) => `${name} ended by itself ${exits.length} times`).join(', ')}` }
})
