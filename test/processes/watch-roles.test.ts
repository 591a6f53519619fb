import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { CONFIGURATION, TestCluster, waitFor } from './gateway-cluster.js'
import { Relay } from './relay.js'

const GATEWAYS = 6
const WATCHERS = 2
const COUNT_MS = 12_000

/** Calls a second of a gateway that follows the store for itself: waits of 2, 2 and 4 s, and the list of gateways each 10 s. */
const CALLS_ALONE_PER_S = 1 / 2 + 1 / 2 + 1 / 4 + 1 / 10

/** Time in ms after which a silent connection must have been noticed, and within which a change must be in force. */
const NOTICE_MS = 3_000
const APPLY_MS = 2_000

async function findTcpPort (): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

const findVersion = (line: string): number => (JSON.parse(line) as { readonly version: number }).version

// Guards against calls that grow with the number of gateways, and against a change that none sees because all connections are silent.
test('two of six gateways watch for the others, and all have a change in force when all connections go silent', async t => {
  const cluster = await TestCluster.create()
  t.teardown(() => { cluster.stop() })
  const port = await findTcpPort()
  const relay = await Relay.start(port, Number(cluster.store.address.split(':')[1]))
  t.teardown(() => { relay.stop() })
  cluster.storeAddress = `127.0.0.1:${port}`
  const gateways = Array.from({ length: GATEWAYS }, (_value, at) => cluster.startGateway(`g${at}`))
  for (const gateway of gateways) await waitFor(t, `${gateway.name} is ready`, 30_000, async () => await cluster.isReady(gateway))
  const countRole = (role: string): number => gateways.filter(({ lines }) => lines.findLast(line => line.includes('"watch-role"'))?.includes(`"${role}"`) === true).length
  await waitFor(t, 'all have their roles', 20_000, async () => countRole('listener') === GATEWAYS - WATCHERS && countRole('watcher') === WATCHERS)

  const [callsBefore, watchesBefore] = [cluster.store.calls, cluster.store.waitsMs.length]
  await wait(COUNT_MS)
  const callsPerS = (cluster.store.calls - callsBefore) / COUNT_MS * 1_000
  const roles = gateways.map(({ name, lines }) => `${name} ${lines.flatMap(line => line.includes('"watch-role"') ? [(JSON.parse(line) as { readonly role: string }).role] : []).join(' ')}`)
  t.log(roles.join(', '))
  const waitsMs = cluster.store.waitsMs.slice(watchesBefore)
  t.log(`watches by wait in ms: ${[...new Set(waitsMs)].sort((a, b) => a - b).map(waitMs => `${waitMs}: ${waitsMs.filter(other => other === waitMs).length}`).join(', ')}`)
  t.log(`${callsPerS.toFixed(2)} calls a second of ${GATEWAYS} gateways; ${(GATEWAYS * CALLS_ALONE_PER_S).toFixed(2)} without roles`)
  t.true(callsPerS < GATEWAYS * CALLS_ALONE_PER_S * 0.6)
  t.is(countRole('listener'), GATEWAYS - WATCHERS)

  const hasVersion = (version: number): boolean => gateways.every(({ lines }) => lines.some(line => line.includes('"configuration-accepted"') && findVersion(line) === version))
  for (const [version, isSilent] of [[5, true], [6, false]] as const) {
    if (isSilent) relay.silenceConnections()
    const ackedAtMs = performance.now()
    cluster.store.put('config', 'main', { ...CONFIGURATION, version })
    await waitFor(t, `version ${version} is in force`, isSilent ? NOTICE_MS : APPLY_MS, async () => hasVersion(version))
    t.log(`version ${version}: in force everywhere after ${Math.round(performance.now() - ackedAtMs)} ms${isSilent ? ', all connections silent' : ''}`)
  }
})
