/** Stand-ins for requesters of streams, and what became of their requests. */

import { makeId, send } from './client.js'
import { HOST, KEY } from './site.js'

export class StreamCallers {
  #record
  #gateways
  #requests = new Map()
  #pending = new Set()
  #timers = new Set()

  constructor (record, gateways) {
    this.#record = record
    this.#gateways = gateways
  }

  /** Sends a request of a kind to one of the gateways at random each `gapMs`. @param pickParts - picks the shared parts of its prompt */
  start (kind, gapMs, pickParts) {
    this.#timers.add(setInterval(() => { this.#send(kind, pickParts()) }, gapMs))
  }

  /** Sends no further requests, and waits for the answers. */
  async finish () {
    for (const timer of this.#timers) clearInterval(timer)
    await Promise.all(this.#pending)
  }

  /** Notes that a worker has made the first event of the answer to a request. */
  noteBegin (requestId) {
    const request = this.#requests.get(requestId)
    if (request !== undefined) request.hasBegun = true
  }

  findKind (requestId) {
    return this.#requests.get(requestId)?.kind
  }

  /** Counts requests of a kind that were sent in a time, and those of them that began to run. */
  count (kind, fromMs, untilMs) {
    const chosen = [...this.#requests.values()].filter(request => request.kind === kind && request.sentAtMs >= fromMs && request.sentAtMs < untilMs)
    return { sent: chosen.length, begun: chosen.filter(({ hasBegun }) => hasBegun).length, whole: chosen.filter(({ answer }) => answer?.status === 200 && answer.isComplete).length }
  }

  #send (kind, parts) {
    const id = makeId()
    const request = { kind, sentAtMs: this.#record.nowMs, hasBegun: false, answer: undefined }
    this.#requests.set(id, request)
    const gateway = this.#gateways[Math.floor(Math.random() * this.#gateways.length)]
    const headers = { 'Heatherdoor-Model': 'm', 'Heatherdoor-Token-Usage': '714,140', 'Heatherdoor-Prompt-Prefix': [...parts, `${id}:474`].join(',') }
    const done = send({ ip: gateway.ip, id, method: 'POST', path: `/lohu930/${id}`, host: HOST, key: KEY, body: '{}', headers }).then(answer => {
      request.answer = answer
      this.#record.write(`${kind} request ${id} at ${gateway.name}: ${answer.status ?? 'no status'}, ${answer.body.split('\n\n').length - 1} events, ${answer.isComplete ? 'complete' : `broken off (${answer.reason})`}`)
      this.#pending.delete(done)
    })
    this.#pending.add(done)
  }
}

/** Whether LOST is broken: sound requests began less than half as often as before, and there were enough of both. */
export function isLost (before, after) {
  const COUNT_MIN = 20
  return before.sent >= COUNT_MIN && after.sent >= COUNT_MIN && after.begun / after.sent < before.begun / before.sent / 2
}
