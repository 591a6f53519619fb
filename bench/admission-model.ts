/** The admission plug-in in simulated time without the rest of the kernel, and the FIFO queue that it is compared with. */

import type { EndpointSpec } from '../src/kernel/configuration.js'
import { EMPTY_CONFIGURATION } from '../src/kernel/configuration.js'
import type { Effect } from '../src/kernel/effects.js'
import type { KernelEvent } from '../src/kernel/events.js'
import type { Context } from '../src/kernel/plugin.js'
import type { Ports } from '../src/kernel/ports.js'
import { Random } from '../src/kernel/random.js'
import { AdmissionPlugin } from '../src/plugins/admission/plugin.js'
import type { PriorityClass, ProcessRef, Submit } from '../src/protocol/messages.js'

/** Callbacks for the decisions of a policy on offered work. */
export interface DecisionHandlers {
  readonly start: (work: Submit) => void
  readonly refuse: (workId: string) => void
}

/** Admission policy in front of one endpoint. */
export interface AdmissionPolicy {
  readonly name: string
  dispatch (event: KernelEvent, nowMs: number): void
}

/** Limits of one endpoint and its queue. */
export interface AdmissionLimits {
  readonly warmCap: number
  readonly coldCap: number
  readonly queueMax: number
  readonly teamShareMax: number
}

const SELF: ProcessRef = { id: 'h', role: 'endpoint', domain: 'a', host: 'h', address: '', incarnation: 1 }

/**
 * @param limits - limits of the endpoint
 * @param decisions - called for each start and refusal
 * @returns heatherdoor's admission plug-in
 */
export function createAdmission (limits: AdmissionLimits, decisions: DecisionHandlers): AdmissionPolicy {
  const admission = AdmissionPlugin.create()
  const spec: EndpointSpec = { ...SELF, service: 's', peerAddress: '', checksFencing: false, warmCap: limits.warmCap, coldCap: limits.coldCap }
  const profile = { name: 'p', priority: 'normal' as const, idempotency: 'always' as const, deadlineMs: 0, attemptsMax: 1, backoffBaseMs: 1, ...limits }
  const ports: Partial<Ports> = {
    quarantine: { isQuarantined: () => false, isSuspect: () => false, isSuspectInFlight: () => false },
    configuration: {
      getCurrent: () => EMPTY_CONFIGURATION,
      getInForceSinceMs: () => 0,
      findService: () => undefined,
      findServiceByModel: () => undefined,
      findProfile: () => profile,
      findTeam: () => undefined,
      findEndpoint: () => spec,
      listEndpoints: () => [spec],
      isInService: () => true,
      listPartHashes: () => []
    }
  }
  const context = {
    random: Random.create(1),
    self: SELF,
    emit: (effect: Effect) => { if (effect.kind === 'run') decisions.start(effect.work) },
    raise: (event: KernelEvent) => { if (event.kind === 'work-refused') decisions.refuse(event.workId) },
    getPort: <N extends keyof Ports>(name: N): Ports[N] => ports[name] as Ports[N],
    findPort: <N extends keyof Ports>(name: N): Ports[N] | undefined => ports[name]
  } satisfies Omit<Context, 'nowMs'>
  return { name: 'admission', dispatch: (event, nowMs) => { admission.handle(event, { ...context, nowMs }) } }
}

/**
 * @param limits - of which the warm cap and the maximum queue length are used
 * @param decisions - called for each start and refusal
 * @returns a bounded first-in-first-out queue with the warm cap
 */
export function createFifoQueue (limits: AdmissionLimits, decisions: DecisionHandlers): AdmissionPolicy {
  const waiting: Submit[] = []
  let running = 0
  return {
    name: 'plain queue',
    dispatch: event => {
      if (event.kind === 'work-offered' && waiting.length >= limits.queueMax) decisions.refuse(event.work.workId)
      else if (event.kind === 'work-offered') waiting.push(event.work)
      if (event.kind === 'endpoint-ended') running -= 1
      while (running < limits.warmCap && waiting.length > 0) {
        running += 1
        decisions.start(waiting.shift()!)
      }
    }
  }
}

/**
 * @param workId - id of the work
 * @param team - team name
 * @param priority - priority class; also the name of the profile
 * @param timeLeftMs - time until the deadline in ms, from when the work is offered
 * @param queueMax - maximum length of the profile's queue
 * @returns work that can be offered to a policy
 */
export function buildWork (workId: string, team: string, priority: PriorityClass, timeLeftMs: number, queueMax: number): Submit {
  return {
    kind: 'submit',
    workId,
    requestId: workId,
    team,
    teamWeight: 1,
    service: 's',
    terms: { profile: priority, priority, idempotent: true, queueMax },
    bodyHash: '',
    fingerprint: workId,
    method: 'POST',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    timeLeftMs,
    configVersion: 1
  }
}

/** Turns of the microtask queue after which the promises of the models have settled. */
const SETTLE_TURNS = 3

/** Runs actions in the order of their simulated times; actions of the same time run in the order in which they were added. */
export class EventScheduler {
  #actions: { readonly atMs: number, readonly order: number, readonly act: () => void }[] = []
  #order = 0
  nowMs = 0

  private constructor () {}

  /** @returns a scheduler at 0 ms */
  static create (): EventScheduler {
    return new EventScheduler()
  }

  scheduleAt (atMs: number, act: () => void): void {
    const action = { atMs, order: this.#order++, act }
    let low = 0
    let high = this.#actions.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#actions[middle]!.atMs > atMs) low = middle + 1
      else high = middle
    }
    this.#actions.splice(low, 0, action)
  }

  /** Runs every action due by a time in ms, including those that other actions add. */
  run (untilMs: number): void {
    for (let next = this.#actions.at(-1); next !== undefined && next.atMs <= untilMs; next = this.#actions.at(-1)) {
      this.#actions.pop()
      this.nowMs = next.atMs
      next.act()
    }
  }

  /** Like `run`, and lets promises settle after each action. */
  async runAsync (untilMs: number): Promise<void> {
    for (let next = this.#actions.at(-1); next !== undefined && next.atMs <= untilMs; next = this.#actions.at(-1)) {
      this.run(next.atMs)
      for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await Promise.resolve()
    }
  }
}
