import test from 'ava'
import { EventScheduler } from '../../bench/admission-model.js'
import { LateLane } from '../../src/gateway/late-lane.js'
import type { EndpointRecord, EngineSpec } from '../../src/gateway/model.js'
import { RecoveryQueue } from '../../src/gateway/recovery.js'
import type { HeldRequest } from '../../src/gateway/recovery.js'
import { StartGate } from '../../src/gateway/start-gate.js'
import { isLate } from '../../src/gateway/urgency.js'
import { Kernel } from '../../src/kernel/kernel.js'
import '../../src/plugins/gateway/index.js'
import type { GroupState } from '../../src/plugins/gateway/outages.js'

const ENGINE: EngineSpec = {
  slots: 4, stride: 5, stepMs: 6, perRequestMs: 1, readPerS: 60_000, promptTokens: 800, answerTokens: 140, layers: 1, experts: 4, slotsPerRank: 2, spare: 1, expertMb: 1, linkMbps: 100, expertShare: 0.5
}

/** Gateway with one group of four endpoints, in virtual time. */
class SimulatedGateway {
  readonly scheduler = EventScheduler.create()
  readonly lines: string[] = []
  readonly #kernel = Kernel.create({ self: { id: 'g', role: 'gateway', domain: 'a', host: 'g', address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } })
  readonly endpoints = this.#kernel.getPort('endpoints')
  readonly outages = this.#kernel.getPort('outages')
  readonly selection = this.#kernel.getPort('selection')
  readonly recovery: RecoveryQueue
  readonly lane: LateLane
  state: GroupState = { group: 'g0', size: 4, isOpen: false }

  private constructor () {
    const routes = this.#kernel.getPort('routes')
    routes.accept({ version: 1, routes: new Map(), services: new Map([['s', { name: 's', coldPerS: 0, engine: ENGINE }]]), limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    for (let index = 0; index < 4; index += 1) {
      const record: EndpointRecord = { id: `e${index}`, bornMs: 1, service: 's', address: { host: `h${index}`, port: 1 }, domain: 'a', state: 'ready', slots: 4, coldRemainingMs: 0 }
      this.endpoints.upsert(record, 0)
    }
    const context = {
      clock: {
        pickFloat: () => 0,
        getNowMs: () => this.scheduler.nowMs,
        getWallMs: () => this.scheduler.nowMs,
        schedule: (delayMs: number, run: () => void) => {
          let isCancelled = false
          this.scheduler.scheduleAt(this.scheduler.nowMs + delayMs, () => { if (!isCancelled) run() })
          return () => { isCancelled = true }
        }
      },
      endpoints: this.endpoints,
      listAvailable: (service: string) => this.endpoints.listUsable(service),
      outages: this.outages,
      peers: this.#kernel.getPort('peers'),
      routes,
      selection: this.selection,
      getNowMs: () => this.scheduler.nowMs,
      pickFloat: () => 0,
      log: (event: string) => { this.lines.push(event) }
    }
    this.recovery = RecoveryQueue.create(context, async () => this.state)
    this.lane = LateLane.create(context)
  }

  static create (): SimulatedGateway {
    return new SimulatedGateway()
  }

  createRequest (changes: Partial<HeldRequest> = {}): HeldRequest {
    return { requestId: 'r', service: 's', priority: 1, receivedAtMs: this.scheduler.nowMs, deadlineAtMs: this.scheduler.nowMs + 8_000, ...changes }
  }

  /** Lets the group be lost by a crash at 0 that a refusal reveals. */
  async loseGroup (): Promise<void> {
    this.recovery.noteCrash(this.endpoints.find('e0')!, 0)
    await this.scheduler.runAsync(1)
    this.recovery.noteRefused(this.endpoints.find('e1')!)
    await this.scheduler.runAsync(10)
  }
}

// Guards against sending requests to every rank of a group that has lost one, each of which refuses them.
test('no request is sent to a group that stands still, and all are sent as soon as it works', async t => {
  const gateway = SimulatedGateway.create()
  await gateway.loseGroup()
  const remainingMs = gateway.recovery.findRemainingMs('s')
  gateway.state = { ...gateway.state, isOpen: true }
  await gateway.scheduler.runAsync(3_000)
  t.true(remainingMs !== undefined && remainingMs > 3_900 && remainingMs <= 4_000, `${remainingMs}`)
  t.is(gateway.recovery.findRemainingMs('s'), undefined)
  t.true(gateway.lines.includes('group-lost') && gateway.lines.includes('group-found'))
})

test('an endpoint that is full does not make its group count as lost', async t => {
  const gateway = SimulatedGateway.create()
  gateway.state = { ...gateway.state, isOpen: true }
  gateway.recovery.noteRefused(gateway.endpoints.find('e1')!)
  await gateway.scheduler.runAsync(10)
  t.is(gateway.recovery.findRemainingMs('s'), undefined)
})

test('an outage of one group leaves the endpoints of another in use', async t => {
  const gateway = SimulatedGateway.create()
  gateway.state = { ...gateway.state, size: 2 }
  await gateway.loseGroup()
  t.is(gateway.recovery.findRemainingMs('s'), undefined)
  t.deepEqual(['e0', 'e1', 'e2'].map(id => gateway.outages.isLost(gateway.endpoints.find(id)!, 10)), [false, true, false])
})

test('an outage that nobody reports any more ends by itself', async t => {
  const gateway = SimulatedGateway.create()
  await gateway.loseGroup()
  t.not(gateway.outages.find(gateway.endpoints.listUsable('s'), 4_900), undefined)
  t.is(gateway.outages.find(gateway.endpoints.listUsable('s'), 5_100), undefined)
})

test('the length of an outage is expected to be that of the last one', async t => {
  const gateway = SimulatedGateway.create()
  const [endpoint] = gateway.endpoints.listUsable('s')
  for (const [crashMs, lengthMs] of [[0, 2_000], [10_000, 3_000]] as const) {
    gateway.outages.noteCrash('s', crashMs)
    gateway.outages.noteState(endpoint!, { group: 'g0', size: 4, isOpen: false }, gateway.endpoints.listUsable('s'), crashMs + 100)
    gateway.outages.noteWorking(endpoint!, crashMs + lengthMs)
  }
  gateway.outages.noteCrash('s', 20_000)
  gateway.outages.noteState(endpoint!, { group: 'g0', size: 4, isOpen: false }, gateway.endpoints.listUsable('s'), 20_100)
  t.is(gateway.outages.find(gateway.endpoints.listUsable('s'), 20_100)?.expectedAtMs, 23_000)
})

// Guards against refusing callers a second time just before their group works, and against holding those who can come back later.
test('during an outage callers that come back are held, others are refused at once', async t => {
  const gateway = SimulatedGateway.create()
  await gateway.loseGroup()
  const enter = (isRequestLate: boolean, mayWait: boolean): string[] => {
    const events: string[] = []
    const gate = StartGate.create({ recovery: gateway.recovery, lateLane: gateway.lane, isAdmittedByAgents: () => false }, gateway.createRequest(), { proceed: () => { events.push(`sent at ${Math.round(gateway.scheduler.nowMs / 100) * 100}`) }, refuse: () => { events.push('refused') } })
    gate.enter(isRequestLate, mayWait)
    return events
  }
  const early = [enter(false, true), enter(true, true)]
  await gateway.scheduler.runAsync(3_500)
  const soon = [enter(false, true), enter(true, true), enter(true, false)]
  gateway.scheduler.scheduleAt(3_900, () => { gateway.state = { ...gateway.state, isOpen: true } })
  await gateway.scheduler.runAsync(5_000)
  t.deepEqual({ early, soon }, { early: [['refused'], ['refused']], soon: [['refused'], ['sent at 3900'], ['refused']] })
})

// Guards against callers that come back all at once and make late what arrives meanwhile.
test('late requests get only the capacity that others leave, those with the most time left first', async t => {
  const gateway = SimulatedGateway.create()
  for (const endpoint of gateway.endpoints.listUsable('s')) for (let count = 0; count < 5; count += 1) gateway.selection.noteStart(endpoint)
  const sent: string[] = []
  const passes = [2_000, 6_000, 4_000].map(leftMs => gateway.lane.enter(gateway.createRequest({ deadlineAtMs: leftMs }), {
    proceed: () => { sent.push(`${leftMs}`) },
    refuse: () => { sent.push(`${leftMs} refused`) }
  }))
  await gateway.scheduler.runAsync(100)
  const first = [...sent]
  passes[0]!.leave()
  await gateway.scheduler.runAsync(200)
  t.deepEqual({ first, second: sent }, { first: ['2000'], second: ['2000', '6000'] })
  await gateway.scheduler.runAsync(2_000)
  t.deepEqual(sent, ['2000', '6000', '4000 refused'])
})

test('late requests that cannot have their turn in time are refused at once', async t => {
  const gateway = SimulatedGateway.create()
  gateway.lane.noteAnswered('s', 1_000)
  for (const endpoint of gateway.endpoints.listUsable('s')) for (let count = 0; count < 5; count += 1) gateway.selection.noteStart(endpoint)
  const sent: string[] = []
  for (const leftMs of [8_000, 7_000, 6_000, 5_000]) gateway.lane.enter(gateway.createRequest({ deadlineAtMs: leftMs }), { proceed: () => { sent.push(`${leftMs}`) }, refuse: () => { sent.push(`${leftMs} refused`) } })
  t.deepEqual(sent, ['8000', '5000 refused'])
})

test('a request is late when its caller has less time left than a first attempt has', t => {
  const route = { timeoutMs: 8_000, latencyTargetMs: 400 }
  const base = { deadlineMs: 7_500, waitedMs: 10, isResumed: false }
  t.deepEqual([base, { ...base, deadlineMs: undefined }, { ...base, deadlineMs: 5_900 }, { ...base, waitedMs: 500 }, { ...base, isResumed: true }].map(times => isLate(route, times)), [false, false, true, true, true])
})

// Guards against late requests that find no endpoint and keep their place for good, until no other late request may start.
test('a late request that ends while it starts gives up its place', async t => {
  const gateway = SimulatedGateway.create()
  for (const endpoint of gateway.endpoints.listUsable('s')) for (let count = 0; count < 5; count += 1) gateway.selection.noteStart(endpoint)
  let sent = 0
  for (let count = 0; count < 3; count += 1) {
    const gate: StartGate = StartGate.create({ recovery: gateway.recovery, lateLane: gateway.lane, isAdmittedByAgents: () => false }, gateway.createRequest(), {
      proceed: () => {
        sent += 1
        gate.leave()
      },
      refuse: () => {}
    })
    gate.enter(true, true)
  }
  t.is(sent, 3)
})
