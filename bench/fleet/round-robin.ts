import { VirtualClock } from './clock.js'
import type { Deployment } from './deployments.js'
import { FakeEndpoint } from './endpoint.js'
import type { Work, WorkResult, SystemUnderTest } from './work.js'

interface QueuedWork {
  readonly work: Work
  readonly done: (result: WorkResult) => void
}

interface Target {
  readonly id: string
  readonly domain: string
  readonly service: string
  readonly cap: number
  readonly fake: FakeEndpoint
  running: number
}

/**
 * Baseline of the drill benchmark: one load balancer that knows the in-flight count
 * of every endpoint without delay, sends to the next endpoint below its warm cap and
 * queues the rest in FIFO order. It has no slow start and does not retry.
 */
export class RoundRobinSystem implements SystemUnderTest {
  readonly name = 'round robin'
  readonly clock = VirtualClock.create()
  readonly #deployment: Deployment
  readonly #targets: readonly Target[]
  readonly #queues = new Map<string, QueuedWork[]>()
  readonly #domainsOut = new Set<string>()
  #nextIndex = 0

  private constructor (deployment: Deployment) {
    this.#deployment = deployment
    this.#targets = deployment.configuration.endpoints.map(({ id, domain, service, warmCap }) => ({
      id, domain, service, cap: warmCap, running: 0, fake: FakeEndpoint.create(this.clock, deployment.endpointOptions(id), true)
    }))
  }

  /**
   * @param deployment - deployment whose endpoints are used
   * @returns the system at 0 ms
   */
  static create (deployment: Deployment): RoundRobinSystem {
    return new RoundRobinSystem(deployment)
  }

  submit (work: Work, done: (result: WorkResult) => void): void {
    const service = work.kind === 'stream' ? this.#deployment.model : this.#deployment.plain
    const queue = this.#queues.get(service) ?? []
    this.#queues.set(service, queue)
    queue.push({ work, done })
    this.#startQueued(service)
  }

  changeDomain (domain: string, state: 'in' | 'out'): void {
    if (state === 'out') this.#domainsOut.add(domain)
    else this.#domainsOut.delete(domain)
  }

  setDomainUp (domain: string, isUp: boolean): void {
    for (const { fake } of this.#targets.filter(target => target.domain === domain)) {
      if (isUp) fake.start()
      else fake.stop()
    }
  }

  loseDomain (domain: string): void {
    this.setDomainUp(domain, false)
  }

  restoreDomain (domain: string): void {
    this.setDomainUp(domain, true)
  }

  countRuns (work: Work): number {
    return this.#targets.reduce((sum, { fake }) => sum + (fake.runsByKey.get(work.id) ?? 0), 0)
  }

  findLastStart (domain: string): number {
    return Math.max(...this.#targets.filter(target => target.domain === domain).map(({ fake }) => fake.lastStartMs))
  }

  countCrashes (): number {
    return this.#targets.reduce((sum, { fake }) => sum + fake.crashes, 0)
  }

  #startQueued (service: string): void {
    const queue = this.#queues.get(service) ?? []
    for (let target = this.#pickTarget(service); target !== undefined && queue.length > 0; target = this.#pickTarget(service)) {
      const next = queue.shift()
      if (next !== undefined) this.#run(target, next)
    }
  }

  #pickTarget (service: string): Target | undefined {
    for (let tries = 0; tries < this.#targets.length; tries += 1) {
      this.#nextIndex = (this.#nextIndex + 1) % this.#targets.length
      const target = this.#targets[this.#nextIndex]
      if (target !== undefined && target.service === service && target.fake.isUp && !this.#domainsOut.has(target.domain) && target.running < target.cap) return target
    }
    return undefined
  }

  #run (target: Target, { work, done }: QueuedWork): void {
    target.running += 1
    const finish = (ok: boolean): void => {
      target.running -= 1
      done({ work, ok, endMs: this.clock.nowMs })
      this.clock.schedule(0, () => { this.#startQueued(target.service) })
    }
    target.fake.run(work.id, work.id, {
      handleHead: () => undefined,
      handleChunk: () => undefined,
      handleEnd: () => { finish(true) },
      handleFailure: () => { finish(false) }
    })
  }
}
