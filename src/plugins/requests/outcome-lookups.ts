/** Lookups by callers of the outcome of an idempotency key. */

import type { Context } from '../../kernel/plugin.js'
import type { KeyState, RequestKey } from '../../protocol/messages.js'
import type { HomeDirectory } from './homes.js'

/** Longest wait in ms for a home's answer. */
export const QUERY_TIMEOUT_MS = 2_000

interface OutcomeLookup {
  readonly id: string
  readonly team: string
  readonly service: string
  readonly key: RequestKey
  readonly untilMs: number
  sent: boolean
}

/** Pending outcome lookups by query id. The ids start with `ask-`; those of queries for requests in flight start with `query-`. */
export class OutcomeLookups {
  readonly #homes: HomeDirectory
  readonly #lookups = new Map<string, OutcomeLookup>()

  private constructor (homes: HomeDirectory) {
    this.#homes = homes
  }

  /**
   * @param homes - finds the process that serves a key
   * @returns a table without lookups
   */
  static create (homes: HomeDirectory): OutcomeLookups {
    return new OutcomeLookups(homes)
  }

  /** Adds a lookup and queries the home of the key. Without an answer of the home within `QUERY_TIMEOUT_MS`, the outcome is `unknown`. */
  add (lookupId: string, team: string, keyText: string, context: Context): void {
    const tokens = context.findPort('tokens')
    for (const { name } of context.getPort('configuration').getCurrent().services) {
      const key = tokens?.parseKey(name, keyText)
      if (key === undefined) continue
      this.#lookups.set(`ask-${lookupId}`, { id: lookupId, team, service: name, key, untilMs: context.nowMs + QUERY_TIMEOUT_MS, sent: false })
      this.#send(`ask-${lookupId}`, context)
      return
    }
    context.emit({ kind: 'reply-outcome', lookupId, state: 'unknown' })
  }

  /** Sends the queries that waited for a connection, and finishes timed-out lookups with `unknown`. */
  update (context: Context): void {
    for (const [queryId, lookup] of this.#lookups) {
      if (lookup.untilMs <= context.nowMs) this.#finish(queryId, 'unknown', context)
      else if (!lookup.sent) this.#send(queryId, context)
    }
  }

  /** Handles a home's answer. */
  handleAnswer (queryId: string, state: KeyState, context: Context): void {
    this.#finish(queryId, state, context)
  }

  /** Queries the homes of all pending lookups again after a connection was lost. */
  noteDisconnected (context: Context): void {
    for (const [queryId, lookup] of this.#lookups) {
      lookup.sent = false
      this.#send(queryId, context)
    }
  }

  #send (queryId: string, context: Context): void {
    const lookup = this.#lookups.get(queryId)
    if (lookup === undefined) return
    const home = this.#homes.findHome(lookup.key, context)
    switch (home.kind) {
      case 'connected':
        lookup.sent = true
        context.emit({ kind: 'send', peer: home.id, message: { kind: 'query', queryId, team: lookup.team, service: lookup.service, key: lookup.key } })
        break
      case 'absent':
        if (context.getPort('configuration').findEndpoint(home.id) === undefined) this.#finish(queryId, 'unknown', context)
        else context.raise({ kind: 'peer-wanted', peer: home.id })
        break
      case 'replaced':
        this.#finish(queryId, 'unknown', context)
        break
    }
  }

  #finish (queryId: string, state: KeyState, context: Context): void {
    const lookup = this.#lookups.get(queryId)
    if (lookup === undefined) return
    this.#lookups.delete(queryId)
    context.emit({ kind: 'reply-outcome', lookupId: lookup.id, state })
  }
}
