import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import type { MapService } from '../../src/gateway/maps.js'
import type { EngineSpec } from '../../src/gateway/model.js'
import { computeSkew, planLayer } from '../../src/plugins/lockstep/planner.js'
import type { GroupMap } from '../../src/plugins/lockstep/rank.js'
import { FakeAgents, LEADER_DELAY_MS, startService } from './map-agents.js'

const RANKS = 32
const ENGINE: EngineSpec = {
  slots: 4, stride: 5, stepMs: 6, perRequestMs: 1, readPerS: 60_000, promptTokens: 800, answerTokens: 140, layers: 4, experts: 128, slotsPerRank: 5, spare: 2, expertMb: 1, linkMbps: 1_000, expertShare: 0.85
}
const STEP_MS = 50

/** Time in ms between two shifts. */
const SHIFT_MS = 3_000

/** A skew within this factor of what a planner without a limit of copies reaches is back. */
const BACK_FACTOR = 1.1

/** Longest mean time in ms from a shift until the skew is back. */
const BACK_MEAN_MAX_MS = 1_200

/** Moments of a change at which its leader is lost. */
const MOMENTS = ['prepared', 'held', 'armed'] as const

interface Trial {
  readonly agents: FakeAgents
  readonly lines: readonly string[]
  readonly service: MapService
  stop (): void
}

async function startTrial (lostOneIn: number): Promise<Trial> {
  const agents = FakeAgents.create({ ranks: RANKS, engine: ENGINE, lostOneIn })
  const { harness, service } = await startService(agents)
  const steps = setInterval(() => { agents.group.beginStep() }, STEP_MS)
  return { agents, service, lines: harness.lines, stop () { clearInterval(steps); harness.close() } }
}

function computeMeanSkew (agents: FakeAgents, map: GroupMap): number {
  return map.reduce((sum, layer, index) => sum + computeSkew(layer, agents.getShares(index)), 0) / map.length
}

/** Computes the skew that a planner reaches for the present demand without a limit of copies. */
function computeReachable (agents: FakeAgents, map: GroupMap): number {
  const planned = map.map((layer, index) => planLayer(layer, agents.getShares(index), { slots: ENGINE.slotsPerRank, spare: ENGINE.slotsPerRank, gainMin: 0 }).map)
  return computeMeanSkew(agents, planned)
}

/** Updates a service for a time, and notes when the skew was back and how much of the demand was served with it. */
async function runUntil ({ agents, service }: Trial, endMs: number, reachable: number): Promise<{ readonly backMs: number | undefined, readonly excess: number }> {
  const startedAtMs = performance.now()
  let backMs: number | undefined
  let sum = 0
  let count = 0
  const sampler = setInterval(() => {
    const skew = computeMeanSkew(agents, agents.getMap())
    sum += skew / reachable - 1
    count += 1
    if (skew <= BACK_FACTOR * reachable) backMs ??= performance.now() - startedAtMs
  }, 20)
  while (performance.now() < endMs) await wait(await service.update())
  clearInterval(sampler)
  return { backMs, excess: sum / count }
}

// Guards against maps that follow a shift of demand only after several changes and the pauses between them.
test.serial('the skew is back soon after a shift of demand', async t => {
  const trial = await startTrial(500)
  await trial.service.update()
  await wait(LEADER_DELAY_MS)
  await runUntil(trial, performance.now() + SHIFT_MS, 1)
  const rows: { readonly backMs: number, readonly excess: number, readonly before: number, readonly reachable: number }[] = []
  for (let shift = 0; shift < 5; shift += 1) {
    trial.agents.shifts += 1
    const map = trial.agents.getMap()
    const reachable = computeReachable(trial.agents, map)
    const before = computeMeanSkew(trial.agents, map)
    const { backMs, excess } = await runUntil(trial, performance.now() + SHIFT_MS, reachable)
    rows.push({ backMs: backMs ?? SHIFT_MS, excess, before, reachable })
  }
  trial.stop()
  for (const { backMs, excess, before, reachable } of rows) t.log(`skew ${before.toFixed(2)}, reachable ${reachable.toFixed(2)}: back after ${backMs.toFixed(0)} ms, mean excess ${excess.toFixed(2)}`)
  const meanMs = rows.reduce((sum, { backMs }) => sum + backMs, 0) / rows.length
  t.log(`mean ${meanMs.toFixed(0)} ms, ${trial.lines.filter(line => line.includes('"committed"')).length} changes`)
  t.deepEqual(trial.agents.group.mixedSteps, [])
  t.true(meanMs < BACK_MEAN_MAX_MS, `${meanMs} ms`)
})

function hasReached ({ map, prepared, armed, held }: FakeAgents['group']['ranks'][number], moment: typeof MOMENTS[number]): boolean {
  switch (moment) {
    case 'prepared': return prepared !== undefined && prepared !== map
    case 'held': return held !== undefined
    case 'armed': return armed !== undefined
  }
}

// Guards against a change that is left half done, with a step held, when its leader and an agent are gone.
test.serial('a change that its leader leaves, with an agent that gives no answers, is ended by the next leader', async t => {
  const { agents, service, stop } = await startTrial(500)
  t.teardown(stop)
  await service.update()
  await wait(LEADER_DELAY_MS)
  let leader = MapLeader.create(service)
  t.teardown(async () => { await leader.stop() })
  for (const moment of MOMENTS) {
    agents.shifts += 1
    t.true(await waitFor(() => agents.group.ranks.some(rank => hasReached(rank, moment))), moment)
    // Its orders are lost from now on, as when it is killed or cut off.
    agents.isCut = true
    await leader.stop()
    agents.isCut = false
    agents.silent.add('h3')
    const next = await startService(agents)
    t.teardown(() => { next.harness.close() })
    await next.service.update()
    await wait(LEADER_DELAY_MS)
    leader = MapLeader.create(next.service)
    await wait(300)
    agents.silent.delete('h3')
    agents.shifts += 1
    t.true(await waitFor(() => next.harness.lines.some(line => line.includes('"committed"'))), `${moment}: a change of the next leader`)
    const { step } = agents.group
    t.true(await waitFor(() => agents.group.step >= step + 4), `${moment}: steps`)
    t.deepEqual(agents.group.mixedSteps, [])
  }
})

/** Waits until a condition holds. @returns whether it does */
async function waitFor (isMet: () => boolean): Promise<boolean> {
  for (let turn = 0; turn < 2_000 && !isMet(); turn += 1) await wait(3)
  return isMet()
}

/** Updates a service until it is stopped. */
class MapLeader {
  readonly #ended: Promise<void>
  #isRunning = true

  private constructor (service: MapService) {
    this.#ended = this.#run(service)
  }

  static create (service: MapService): MapLeader {
    return new MapLeader(service)
  }

  async stop (): Promise<void> {
    this.#isRunning = false
    await this.#ended
  }

  async #run (service: MapService): Promise<void> {
    while (this.#isRunning) await wait(await service.update())
  }
}
