/** Builds endpoints and selections for tests of decisions. */

import { SelectionPlugin } from '../../src/plugins/gateway/selection.js'
import type { EngineSpec } from '../../src/gateway/model.js'
import type { PluginOptions } from '../../src/kernel/plugin.js'
import type { EndpointView } from '../../src/plugins/gateway/endpoints.js'

/** Engine of a service whose endpoints have agents. */
export const ENGINE: EngineSpec = {
  slots: 8, stride: 6, stepMs: 6, perRequestMs: 0.4, readPerS: 61_200, promptTokens: 800, answerTokens: 140, layers: 0, experts: 0, slotsPerRank: 0, spare: 0, expertMb: 0, linkMbps: 0, expertShare: 0
}

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

/**
 * @param id - name of a gateway in failure domain `a`
 * @returns options of its plug-ins
 */
export function buildSelf (id: string): PluginOptions {
  return { self: { id, role: 'gateway', domain: 'a', host: id, address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } } as unknown as PluginOptions
}

/** @returns a selection of a gateway in failure domain `a` */
export function createSelection (): SelectionPlugin {
  return SelectionPlugin.create(buildSelf('g'))
}
