import { setTimeout as wait } from 'node:timers/promises'
import { Client } from '../common/client.js'
import { HOST, STABILITY_WINDOW_MS, buildConfig, runCase } from '../common/deployment.js'
import { record } from '../common/record.js'
import { WORK_HEADER } from '../common/worker.js'

/** An order that takes long, and the time that its client and the route give it. */
const ORDER_MS = 8_500
const DEADLINE_MS = 12_000

/** Time from the sending of the orders to the SIGTERM. */
const TERM_AFTER_MS = 500

const ORDERS = 4

/** Statuses that promise that the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])

const config = buildConfig([{ path_prefix: '/orders/', route_kind: 'unsafe', service: 'desk', timeout_ms: DEADLINE_MS }])

await runCase(import.meta.url, async ({ hasTrouble, start }) => {
  const deployment = await start({ config, workers: [{ id: 'desk-1', service: 'desk' }, { id: 'desk-2', service: 'desk' }] })
  const [gateway, other] = deployment.gateways
  await wait(STABILITY_WINDOW_MS + 500)

  const order = async (index, target, attempt, deadlineMs) => {
    const client = await new Client(`client-${index}`, target).connect()
    return await client.send({ id: `order-${index}-attempt-${attempt}`, host: HOST, path: '/orders/new', body: `order ${index}`, deadlineMs, headers: { [WORK_HEADER]: ORDER_MS } })
  }
  const sentAtMs = performance.now()
  const answers = Array.from({ length: ORDERS }, (_, index) => order(index + 1, gateway, 1, DEADLINE_MS))
  await wait(TERM_AFTER_MS)
  if (hasTrouble) deployment.terminate(gateway)

  // A client whose order has not run, as the status promises, sends it again with a new id.
  const results = await Promise.all(answers.map(async (answer, index) => {
    const first = await answer
    if (!PROMISES.has(first.status)) return first
    const leftMs = DEADLINE_MS - (performance.now() - sentAtMs)
    const pauseMs = Math.min(1_000 * Number(first.headers['retry-after'] ?? 0), leftMs / 3)
    await wait(pauseMs)
    await order(index + 1, other, 2, Math.floor(leftMs - pauseMs))
    return first
  }))
  await wait(500)

  const runs = deployment.workers.flatMap(worker => worker.runs)
  const denied = results.filter(({ id, status }) => PROMISES.has(status) && runs.some(run => run.requestId === id))
  const doubled = Array.from({ length: ORDERS }, (_, index) => `order ${index + 1}`).filter(text => runs.filter(run => run.text === text).length > 1)
  for (const text of doubled) record('verdict', `${text} was begun twice`)
  return { isBroken: denied.length > 0, text: `${denied.length} of ${ORDERS} orders were answered ${[...new Set(denied.map(({ status }) => status))].join(', ') || 'with no promise'} and had run; ${doubled.length} were begun twice, as their clients sent them again` }
})
