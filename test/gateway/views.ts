/** Builds endpoints and selections for tests of decisions. */

import { SelectionPlugin } from '../../src/plugins/gateway/selection.js'
import type { EndpointView } from '../../src/plugins/gateway/endpoints.js'

/** Fields of a view that a test sets. */
export interface ViewChanges {
  readonly domain?: string
  readonly coldUntilMs?: number
}

/**
 * @param id - name of the endpoint, also its host
 * @param changes - fields to override
 */
export function buildView (id: string, changes: ViewChanges = {}): EndpointView {
  return {
    record: { id, bornMs: 1, service: 's', address: { host: id, port: 1 }, domain: changes.domain ?? 'a', state: 'ready', slots: 8, coldRemainingMs: 0 }, coldUntilMs: changes.coldUntilMs ?? 0, updatedAtMs: 0
  }
}

/** @returns a selection of a gateway in failure domain `a` */
export function createSelection (): SelectionPlugin {
  return SelectionPlugin.create({ self: { id: 'g', role: 'gateway', domain: 'a', host: 'g', address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } } as unknown as Parameters<typeof SelectionPlugin.create>[0])
}
