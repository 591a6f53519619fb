import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { processClock } from '../../src/gateway/context.js'
import { GatewayLink } from '../../src/gateway/link.js'
import { StateExchange } from '../../src/gateway/state-exchange.js'
import type { StateExchangeOptions } from '../../src/gateway/state-exchange.js'
import { PeersPlugin } from '../../src/plugins/gateway/peers.js'
import { findUdpPort } from './ports.js'

const GATEWAYS = 20

// Guards against pings that the decoder of a real link rejects, and against replies to the wrong address.
test('gateways beyond the limit of the full exchange find each other, and a killed one, over sockets', async t => {
  const addresses = []
  for (let at = 0; at < GATEWAYS; at += 1) addresses.push({ host: '127.0.0.1', port: await findUdpPort() })
  const running = new Set(addresses.map((_, at) => `g${at}`))
  const sent = new Map<string, number>()
  const gateways = await Promise.all(addresses.map(async (address, at) => {
    const id = `g${at}`
    const peers = PeersPlugin.create(id)
    const link: GatewayLink = GatewayLink.create(address, {
      handleHeartbeat: heartbeat => { exchange.handleHeartbeat(heartbeat) },
      handleMember: (message, reply) => { exchange.handleMember(message, reply) },
      handleSent: purpose => { sent.set(purpose, (sent.get(purpose) ?? 0) + 1) },
      lendShare: () => false,
      handleEvidence: () => {},
      listEvidence: () => [],
      handleLimits: () => {},
      handleNews: () => {},
      listLimits: () => ({}),
      handleError: reason => { t.fail(reason) }
    })
    const context = {
      boundary: { run: (_: string, run: () => void) => { if (running.has(id)) run() } },
      clock: { ...processClock, schedule: (ms: number, run: () => void) => processClock.schedule(ms, () => { if (running.has(id)) run() }) },
      crashes: { list: () => [], merge: () => {} },
      partCrashes: { list: () => [] },
      liveness: { listUnresponsive: () => [], noteSuspected: () => {} },
      namedLimits: { list: () => ({}) },
      domainTraffic: { noteHost: () => {} },
      metrics: { count: () => {}, observe: () => {} },
      selection: { listInFlight: () => ({ e1: 1 }) },
      peers,
      paces: {},
      getNowMs: () => processClock.getNowMs(),
      pickFloat: () => processClock.pickFloat(),
      log: () => {}
    } as unknown as StateExchangeOptions['context']
    const exchange = StateExchange.create({ context, link, identity: { id, bornMs: 1_000, callerAddress: `127.0.0.1:${at + 1}`, domain: `d${at % 3}` }, address, isReady: () => true, handleJoined: () => {} })
    await link.start()
    return { id, peers, link, exchange }
  }))
  // The last gateway is not listed anywhere, and reads the table of others.
  for (const { link, exchange } of gateways) {
    for (const [at, address] of addresses.slice(0, -1).entries()) link.addTarget(`g${at}`, address)
    exchange.start()
  }
  const timer = setInterval(() => { for (const { id, exchange } of gateways) if (running.has(id)) exchange.runHousekeeping() }, 100)
  await wait(2_500)
  t.true(gateways.every(({ exchange }) => exchange.mode === 'bounded'))
  t.deepEqual(gateways.map(({ peers }) => peers.listReady().length), gateways.map(() => GATEWAYS - 1))
  await wait(3_000)
  t.true(gateways.every(({ peers }) => peers.countInFlight('e1') > 0))
  t.true((sent.get('ping') ?? 0) > 0)
  const stopped = gateways[3]!
  running.delete(stopped.id)
  stopped.link.stop()
  await wait(5_000)
  const others = gateways.filter(gateway => gateway !== stopped)
  t.deepEqual(others.map(({ peers }) => peers.listReady().length), others.map(() => GATEWAYS - 2))
  clearInterval(timer)
  running.clear()
  for (const { link } of others) link.stop()
})
