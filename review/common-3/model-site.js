/** A small deployment with model workers: a store, one group with an agent beside each worker, and a gateway in each zone. */

import { setTimeout as wait } from 'node:timers/promises'
import { Deployment, listEvents } from './deployment.js'
import { APP_PORT, Group } from './group.js'
import { CONFIG, RANKS, ZONES } from './site.js'
import { Store } from './store.js'
import { StreamCallers } from './streams.js'

/** Time in ms in which everything has been calm before the first request. */
const SETTLE_MS = 4_000

export class ModelSite {
  #deployment
  #store
  #group

  constructor (record, deployment, store) {
    this.record = record
    this.#deployment = deployment
    this.#store = store
  }

  /** @param options - of the group, with callbacks that get the callers as well */
  static async start (record, { handleArrival, handleCrash, ...options }) {
    const deployment = await Deployment.create(record)
    const store = new Store()
    const site = new ModelSite(record, deployment, store)
    const storeAddress = await store.listen(`${deployment.prefix}.250`)
    store.put('config', 'main', CONFIG)
    site.#group = new Group({
      service: 'elaio',
      store,
      record,
      handleBegin: (_rank, { requestId }) => { site.callers.noteBegin(requestId) },
      handleArrival,
      handleCrash: (rank, requestId) => { handleCrash(rank, site.callers.findKind(requestId)) },
      ...options
    })
    await site.#group.start(deployment.prefix, RANKS, ZONES)
    for (const { rank, host } of site.#group.ranks) deployment.startAgent(`side-${rank}`, host, `${host}:${APP_PORT}`)
    site.gateways = ZONES.map((zone, at) => deployment.startGateway(`front-${zone}-1`, at + 1, zone, storeAddress))
    await deployment.waitReady(site.gateways)
    site.callers = new StreamCallers(record, site.gateways)
    await wait(SETTLE_MS)
    return site
  }

  /** Writes what the gateways logged of parts of prompts, and ends everything. */
  stop () {
    for (const gateway of this.gateways) {
      this.record.write(`${gateway.name}: ${listEvents(gateway, 'request-quarantined').length} requests refused because of a part`)
      for (const { time, crash, how, accused, harmless, cleared, blocked } of listEvents(gateway, 'part-evidence')) {
        if (how === 'seen') this.record.write(`${gateway.name} at ${time}: crash ${crash}, accused ${accused || 'nothing'}, known as harmless ${harmless || 'none'}, cleared ${cleared || 'none'}, blocked ${blocked || 'none'}`)
      }
    }
    this.#group.stop()
    this.#store.stop()
    this.#deployment.stop()
  }
}
