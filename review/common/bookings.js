/** Bookings on kept connections, which are running at sound workers when something else happens. */

import { setTimeout as wait } from 'node:timers/promises'
import { Client } from './client.js'
import { HOST, STABILITY_WINDOW_MS } from './deployment.js'
import { WORK_HEADER } from './worker.js'

const BOOKINGS = 8
const BOOKING_MS = 1_500
const DEADLINE_MS = 4_000

/** LOST allows for three requests whose connection is closed without an answer. */
const LOST_MAX = 3

export const BOOKING_ROUTE = { path_prefix: '/bookings/', route_kind: 'unsafe', service: 'desk', timeout_ms: DEADLINE_MS }
export const BOOKING_WORKERS = [{ id: 'desk-1', service: 'desk' }, { id: 'desk-2', service: 'desk' }]

export async function book (client, id, workMs) {
  return await client.send({ id, host: HOST, path: '/bookings/new', body: `booking ${id}`, deadlineMs: DEADLINE_MS, headers: { [WORK_HEADER]: workMs } })
}

/**
 * Sends one booking on each of several connections to a gateway, waits until the gateway is
 * in touch, sends another one on each, and calls `disturb` while these run.
 *
 * @returns whether LOST was broken, and what happened
 */
export async function playBookings ({ deployment, gateway, disturb }) {
  const clients = await Promise.all(Array.from({ length: BOOKINGS }, (_, index) => new Client(`client-${index + 1}`, gateway).connect()))
  await Promise.all(clients.map((client, index) => book(client, `first-${index + 1}`, 20)))
  await wait(STABILITY_WINDOW_MS + 500)
  const answers = clients.map((client, index) => book(client, `second-${index + 1}`, BOOKING_MS))
  await wait(BOOKING_MS / 3)
  await disturb()
  const results = await Promise.all(answers)
  const begun = new Set(deployment.workers.flatMap(worker => worker.runs.map(run => run.requestId)))
  const lost = results.filter(({ id, status }) => status === 0 && begun.has(id))
  return { isBroken: lost.length > LOST_MAX, text: `${lost.length} of ${BOOKINGS} bookings were passed on to sound workers and their connections closed without an answer` }
}
