import type { EndpointOrder } from '../../src/kernel/effects.js'

/** State of a simulated engine; plain data, so that the exhaustive walk can copy and hash it. */
export interface EngineState {
  readonly startId: number
  /** Next step to execute. */
  readonly step: number
  readonly loaded: readonly number[]
  /** Map versions and the first step of each, in the order in which the engine accepted them. */
  readonly uses: readonly (readonly [version: number, step: number])[]
  readonly hold?: number
  readonly fence: number
}

export const INITIAL_ENGINE: EngineState = { startId: 1, step: 0, loaded: [], uses: [], fence: 0 }

/** Applies an order as an engine does and returns whether it was accepted; an engine that has not loaded a map refuses to use it. */
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

/** Finds the map version with which the engine would execute its next step; undefined while it is held or has no map. */
export function findUsedVersion (engine: EngineState): number | undefined {
  if (engine.hold !== undefined && engine.step >= engine.hold) return undefined
  let used: readonly [number, number] | undefined
  for (const use of engine.uses) if (use[1] <= engine.step && (used === undefined || use[0] > used[0])) used = use
  return used?.[0]
}

/** Builds the state of an engine after a restart: everything is lost, but it continues at its group's step. */
export function buildRestartedEngine (engine: EngineState): EngineState {
  return { ...INITIAL_ENGINE, startId: engine.startId + 1, step: engine.step }
}
