/** Questions of callers about the outcome of a key. */

import type { Context } from '../../kernel/plugin.js'
import type { KeyState, RequestKey } from '../../protocol/messages.js'
import type { HomeDirectory } from './homes.js'

/** Longest wait in ms for a home's answer. */
export const QUERY_TIMEOUT_MS = 2_000

interface Ask {
  readonly askId: string
  readonly team: string
  readonly service: string
  readonly key: RequestKey
  readonly untilMs: number
  sent: boolean
}

/** Open questions by query id. */
export class OutcomeLookups {
  readonly #homes: HomeDirectory
  readonly #asks = new Map<string, Ask>()

  private constructor (homes: HomeDirectory) {
    this.#homes = homes
  }

  /**
   * @param homes - finds the process that serves a key
   * @returns a table without questions
   */
  static create (homes: HomeDirectory): OutcomeLookups {
    return new OutcomeLookups(homes)
  }

  /** Takes a question; it is answered within `QUERY_WAIT_MS`. */
  add (askId: string, team: string, keyText: string, context: Context): void {
    const tokens = context.findPort('tokens')
    for (const { name } of context.port('configuration').getCurrent().services) {
      const key = tokens?.parseKey(name, keyText)
      if (key === undefined) continue
      this.#asks.set(`ask-${askId}`, { askId, team, service: name, key, untilMs: context.nowMs + QUERY_TIMEOUT_MS, sent: false })
      this.#send(`ask-${askId}`, context)
      return
    }
    context.emit({ kind: 'outcome-told', askId, state: 'unknown' })
  }

  /** Sends questions that waited for a connection, and answers those that waited too long. */
  update (context: Context): void {
    for (const [queryId, ask] of this.#asks) {
      if (ask.untilMs <= context.nowMs) this.#finish(queryId, 'unknown', context)
      else if (!ask.sent) this.#send(queryId, context)
    }
  }

  /** Handles a home's answer. */
  handleAnswer (queryId: string, state: KeyState, context: Context): void {
    this.#finish(queryId, state, context)
  }

  /** Asks again over the next connection. */
  noteDisconnected (context: Context): void {
    for (const [queryId, ask] of this.#asks) {
      ask.sent = false
      this.#send(queryId, context)
    }
  }

  #send (queryId: string, context: Context): void {
    const ask = this.#asks.get(queryId)
    if (ask === undefined) return
    const home = this.#homes.findHome(ask.key, context)
    switch (home.kind) {
      case 'connected':
        ask.sent = true
        context.emit({ kind: 'send', peer: home.id, message: { kind: 'query', queryId, team: ask.team, service: ask.service, key: ask.key } })
        break
      case 'absent':
        if (context.port('configuration').findEndpoint(home.id) === undefined) this.#finish(queryId, 'unknown', context)
        else context.raise({ kind: 'peer-wanted', peer: home.id })
        break
      case 'replaced':
        this.#finish(queryId, 'unknown', context)
        break
    }
  }

  #finish (queryId: string, state: KeyState, context: Context): void {
    const ask = this.#asks.get(queryId)
    if (ask === undefined) return
    this.#asks.delete(queryId)
    context.emit({ kind: 'outcome-told', askId: ask.askId, state })
  }
}
