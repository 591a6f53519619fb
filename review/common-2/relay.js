/** Relay for TCP connections, which can cut a path: what is under way and what comes gets no answer, as behind a partition. */

import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** One path to an address. */
export class Relay {
  #target
  #isCut = false
  #pairs = new Set()
  #server = createServer({ allowHalfOpen: true }, socket => { this.#accept(socket) })

  static async create (host, target) {
    const relay = new Relay()
    relay.#target = target
    relay.#server.listen(0, host)
    await once(relay.#server, 'listening')
    relay.address = `${host}:${relay.#server.address().port}`
    return relay
  }

  /** Cuts the path: connections stay open and silent for good, new ones hang. */
  cut () {
    this.#isCut = true
    for (const { near, far } of this.#pairs) {
      near.unpipe()
      far.unpipe()
      near.pause()
      far.destroy()
    }
  }

  /** Connections that are opened from now on work; earlier ones stay silent. */
  heal () {
    this.#isCut = false
  }

  close () {
    this.#server.close()
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far.destroy()
    }
  }

  #accept (near) {
    near.on('error', () => {})
    if (this.#isCut) {
      const pair = { near, far: { destroy () {}, unpipe () {} } }
      this.#pairs.add(pair)
      near.on('close', () => { this.#pairs.delete(pair) })
      near.pause()
      return
    }
    const far = connect(this.#target)
    const pair = { near, far }
    this.#pairs.add(pair)
    far.on('error', () => { near.destroy() })
    far.on('close', () => { if (!this.#isCut) near.destroy() })
    near.on('close', () => {
      this.#pairs.delete(pair)
      far.destroy()
    })
    near.pipe(far)
    far.pipe(near)
  }
}
