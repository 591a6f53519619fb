/** Distributes the configuration: versions only increase, and processes pull missing parts from their peers. */

import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { Message } from '../../protocol/messages.js'
import { ConfigurationStore } from './store.js'
import type { AcceptResult } from './store.js'

/** Time in ms after which an unanswered pull may be repeated. */
const PULL_TIMEOUT_MS = 2_000

class ConfigurationPlugin implements Plugin {
  readonly name = 'configuration'
  readonly subscribesTo = ['configuration-offered', 'configuration-read', 'message-received', 'peer-disconnected'] as const
  readonly #store = ConfigurationStore.create()
  readonly ports = { configuration: this.#store.port }
  #pendingPull: { readonly peer: string, readonly version: number, readonly sentAtMs: number } | undefined

  /** Whether the next pull asks for all parts in full instead of deltas, because received parts were rejected. */
  #pullAllParts = false

  private constructor () {}

  static create (): ConfigurationPlugin {
    return new ConfigurationPlugin()
  }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'configuration-offered':
        this.#handleResult(this.#store.acceptAssembled(event.configuration, context.nowMs), event.source, context)
        break
      case 'configuration-read':
        this.#handleResult(this.#store.acceptTexts(event, context.nowMs), event.source, context)
        break
      case 'message-received':
        this.#handleMessage(event.peer.id, event.message, context)
        break
      case 'peer-disconnected':
        if (this.#pendingPull?.peer === event.peer.id) this.#pendingPull = undefined
        break
      default:
    }
  }

  #handleMessage (peer: string, message: Message, context: Context): void {
    const version = findVersion(message)
    if (version !== undefined && version > this.#store.getVersion()) this.#pullFrom(peer, version, context)
    if (message.kind === 'config-pull' && message.have < this.#store.getVersion()) {
      const texts = this.#store.findTexts(message.hashes)
      if (texts !== undefined) context.emit({ kind: 'send', peer, message: { kind: 'config-parts', version: this.#store.getVersion(), ...texts } })
    }
    if (message.kind === 'config-parts') {
      if (this.#pendingPull?.peer === peer) this.#pendingPull = undefined
      const result = this.#store.acceptTexts(message, context.nowMs)
      this.#pullAllParts = result.kind === 'rejected'
      this.#handleResult(result, peer, context)
    }
  }

  #pullFrom (peer: string, version: number, context: Context): void {
    const pending = this.#pendingPull
    const isPending = pending !== undefined && context.nowMs - pending.sentAtMs < PULL_TIMEOUT_MS
    if (isPending && pending.version >= version) return
    this.#pendingPull = { peer, version, sentAtMs: context.nowMs }
    const message: Message = { kind: 'config-pull', have: this.#store.getVersion(), hashes: this.#pullAllParts ? [] : this.#store.listShortHashes() }
    context.emit({ kind: 'send', peer, message })
  }

  #handleResult (result: AcceptResult, source: string, context: Context): void {
    switch (result.kind) {
      case 'accepted':
        context.emit({ kind: 'log', event: 'configuration-accepted', fields: { version: result.version, source } })
        context.raise({ kind: 'configuration-changed', version: result.version })
        break
      case 'ignored':
        if (result.version < this.#store.getVersion()) {
          context.emit({ kind: 'log', event: 'configuration-ignored', fields: { version: result.version, inForce: this.#store.getVersion(), source } })
        }
        break
      case 'rejected':
        context.emit({ kind: 'log', event: 'configuration-rejected', fields: { reason: result.reason, source } })
        break
    }
  }
}

/** Finds the configuration version of the sender in a message. */
function findVersion (message: Message): number | undefined {
  switch (message.kind) {
    case 'hello':
    case 'heartbeat':
    case 'submit':
    case 'refused':
      return message.configVersion
    case 'config-offer':
      return message.version
    default:
      return undefined
  }
}

registerPlugin({ name: 'configuration', roles: ['entry', 'endpoint'], create: () => ConfigurationPlugin.create() })
