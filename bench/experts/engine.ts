import type { EndpointOrder } from '../../src/kernel/effects.js'

/** Plain data, so that the exhaustive walk can copy and hash it. */
export interface EngineState {
  readonly startId: number
  /** Next step to execute. */
  readonly step: number
  readonly loaded: readonly number[]
  /** Version used from a step on, in the order of the orders. */
  readonly uses: readonly (readonly [version: number, step: number])[]
  readonly hold?: number
  readonly fence: number
}

export const INITIAL_ENGINE: EngineState = { startId: 1, step: 0, loaded: [], uses: [], fence: 0 }

/** Carries out an order as an engine does; an engine that has not loaded a map refuses to use it. */
export function applyOrder (engine: EngineState, order: EndpointOrder, fence: number, checksFencing: boolean): [EngineState, boolean] {
  if (checksFencing && fence < engine.fence) return [engine, false]
  const next = { ...engine, fence: Math.max(fence, engine.fence) }
  switch (order.kind) {
    case 'load-map':
      return [{ ...next, loaded: [...new Set([...next.loaded, order.version])].sort() }, true]
    case 'hold-at-step':
      return order.step < next.step ? [next, false] : [{ ...next, hold: order.step }, true]
    case 'use-map':
      if (!next.loaded.includes(order.version)) return [next, false]
      return [{ ...next, uses: [...next.uses.filter(([version]) => version !== order.version), [order.version, order.step]] }, true]
    case 'release-hold': {
      const { hold: _hold, ...rest } = next
      return [rest, true]
    }
  }
}

/** The version that the engine would execute its next step with; undefined while it may not. */
export function findUsedVersion (engine: EngineState): number | undefined {
  if (engine.hold !== undefined && engine.step >= engine.hold) return undefined
  let used: readonly [number, number] | undefined
  for (const use of engine.uses) if (use[1] <= engine.step && (used === undefined || use[0] > used[0])) used = use
  return used?.[0]
}

/** A restarted engine has lost everything but joins at its group's step. */
export function buildRestartedEngine (engine: EngineState): EngineState {
  return { ...INITIAL_ENGINE, startId: engine.startId + 1, step: engine.step }
}
