/** Responds to lookups of callers for entry addresses and for tokens to build idempotency keys from. */

import type { AddressResponse } from '../../kernel/effects.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'

/** Largest count of addresses in one response; bounds its size in large fleets. */
const ADDRESSES_MAX = 8

/** Default time in ms for which callers may cache a response. */
const DEFAULT_HOLD_MS = 30_000

class AddressesPlugin implements Plugin {
  readonly name = 'addresses'
  readonly subscribesTo = ['address-requested'] as const
  readonly #holdMs: number

  private constructor (options: PluginOptions) {
    this.#holdMs = options.settings.addressHoldMs ?? DEFAULT_HOLD_MS
  }

  static create (options: PluginOptions): AddressesPlugin {
    return new AddressesPlugin(options)
  }

  handle (event: KernelEvent, context: Context): void {
    if (event.kind !== 'address-requested') return
    const answer: AddressResponse = {
      addresses: chooseAddresses(context),
      holdMs: this.#holdMs,
      tokens: event.services.flatMap(service => formatTokens(service, context))
    }
    context.emit({ kind: 'reply-address', lookupId: event.lookupId, response: answer })
  }
}

/**
 * Chooses live entries in random order, alternating between failure domains, so
 * that callers spread over the entries and the second address remains reachable
 * when the domain of the first one is lost.
 */
function chooseAddresses (context: Context): AddressResponse['addresses'] {
  const configuration = context.getPort('configuration')
  const specs = new Map(configuration.getCurrent().entries.map(spec => [spec.id, spec]))
  const byDomain = new Map<string, { url: string, domain: string }[]>()
  for (const entry of context.getPort('membership').listEntries()) {
    const spec = specs.get(entry.id)
    if (spec === undefined || !configuration.isInService(spec)) continue
    const list = byDomain.get(spec.domain) ?? []
    list.splice(context.random.pickInt(list.length + 1), 0, { url: spec.callerUrl, domain: spec.domain })
    byDomain.set(spec.domain, list)
  }
  const domains = [...byDomain.values()]
  const first = domains.length === 0 ? 0 : context.random.pickInt(domains.length)
  const chosen: { url: string, domain: string }[] = []
  while (chosen.length < ADDRESSES_MAX && domains.some(list => list.length > 0)) {
    for (let offset = 0; offset < domains.length; offset += 1) {
      const next = domains[(first + offset) % domains.length]?.shift()
      if (next !== undefined && chosen.length < ADDRESSES_MAX) chosen.push(next)
    }
  }
  return chosen
}

function formatTokens (service: string, context: Context): AddressResponse['tokens'] {
  return context.getPort('routing').chooseHomes(service, context).map(home => ({
    service,
    token: context.getPort('tokens').formatToken(service, home),
    domain: home.domain
  }))
}

registerPlugin({ name: 'addresses', roles: ['entry'], create: options => AddressesPlugin.create(options) })
