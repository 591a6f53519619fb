/** Stand-ins for requesters of streams, and what became of their requests. */

import { setTimeout as wait } from 'node:timers/promises'
import { makeId, send } from './client.js'
import { HOST, KEY } from './site.js'

/** Time budget of a request in ms. */
const DEADLINE_MS = 8_000

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
    this.#timers.add(setInterval(() => { this.#startRequest(kind, pickParts()) }, gapMs))
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

  #startRequest (kind, parts) {
    const done = this.#send(kind, parts, DEADLINE_MS).then(async ({ answer, leftMs }) => {
      const waitMs = 1000 * Number(answer.headers['retry-after'] ?? NaN)
      // Requesters come back once after a promise, if the wait is at most a third of the time they have left.
      if (answer.status === 503 && waitMs <= leftMs / 3) {
        await wait(waitMs)
        await this.#send(`${kind} again`, parts, leftMs - waitMs)
      }
      this.#pending.delete(done)
    })
    this.#pending.add(done)
  }

  async #send (kind, parts, deadlineMs) {
    const id = makeId()
    const request = { kind, sentAtMs: this.#record.nowMs, hasBegun: false, answer: undefined }
    this.#requests.set(id, request)
    const gateway = this.#gateways[Math.floor(Math.random() * this.#gateways.length)]
    const headers = { 'Heatherdoor-Model': 'm', 'Heatherdoor-Token-Usage': '714,140', 'Heatherdoor-Prompt-Prefix': [...parts, `${id}:474`].join(',') }
    const answer = await send({ ip: gateway.ip, id, method: 'POST', path: `/lohu930/${id}`, host: HOST, key: KEY, body: '{}', deadlineMs: Math.round(deadlineMs), headers })
    request.answer = answer
    this.#record.write(`${kind} request ${id} at ${gateway.name}: ${answer.status ?? 'no status'}, ${answer.body.split('\n\n').length - 1} events, ${answer.isComplete ? 'complete' : `broken off (${answer.reason})`}`)
    return { answer, leftMs: deadlineMs - answer.elapsedMs }
  }
}

/** Whether LOST is broken: sound requests began less than half as often as before, and there were enough of both. */
export function isLost (before, after) {
  const COUNT_MIN = 20
  return before.sent >= COUNT_MIN && after.sent >= COUNT_MIN && after.begun / after.sent < before.begun / before.sent / 2
}
