/** Callers in front of a fleet: they keep address answers and repeat with care. */

import type { AddressResponse, Effect } from '../../src/kernel/effects.js'
import type { RequestReceived } from '../../src/kernel/events.js'
import { Random } from '../../src/kernel/random.js'
import type { Deployment } from './deployments.js'
import { changeDomain } from './deployments.js'
import { Fleet } from './fleet.js'
import type { Work, WorkResult, WorkSystem } from './work.js'

/** Time after which a caller gives up, in ms. */
const PATIENCE_MS = 10_000

/** Pause of a caller before it sends again, in ms. */
const REPEAT_PAUSE_MS = 200

interface Attempt {
  readonly work: Work
  readonly done: (result: WorkResult) => void
  key: string | undefined
  sends: number
  entry: string
}

/** heatherdoor as a system under the drill. */
export class FleetSystem implements WorkSystem {
  readonly name = 'heatherdoor'
  readonly fleet: Fleet
  readonly #deployment: Deployment
  readonly #random: Random
  readonly #attempts = new Map<string, Attempt>()
  readonly #keys = new Map<string, string[]>()
  #configuration
  #answer: AddressResponse | undefined
  #answerUntilMs = 0
  /** Tokens whose home is gone; callers use the other one until the next answer. */
  readonly #lostHomes = new Set<string>()
  #sends = 0

  private constructor (deployment: Deployment, seed: number) {
    this.#deployment = deployment
    this.#configuration = deployment.configuration
    this.#random = Random.create(seed)
    this.fleet = Fleet.create({
      seed,
      configuration: deployment.configuration,
      latencyMs: deployment.latencyMs,
      endpoints: deployment.endpointOptions,
      handleReply: (_entry, effect) => { this.#handleReply(effect) }
    })
  }

  /**
   * @param deployment - processes and endpoints
   * @param seed - seed of random numbers
   * @returns the system at 0 ms
   */
  static create (deployment: Deployment, seed: number): FleetSystem {
    return new FleetSystem(deployment, seed)
  }

  submit (work: Work, done: (result: WorkResult) => void): void {
    this.#send({ work, done, key: undefined, sends: 0, entry: '' })
  }

  changeDomain (domain: string, state: 'in' | 'out'): void {
    this.#configuration = changeDomain(this.#configuration, domain, state)
    this.fleet.applyConfiguration(this.#configuration, [this.fleet.listEntries()[0] ?? ''])
  }

  setDomainUp (domain: string, up: boolean): void {
    for (const { id } of this.#listEndpoints(domain)) {
      if (up) this.fleet.getFake(id).start()
      else this.fleet.getFake(id).stop()
    }
  }

  loseDomain (domain: string): void {
    const ids = this.#listProcesses(domain)
    this.setDomainUp(domain, false)
    for (const id of ids) this.fleet.kill(id)
    this.#answerUntilMs = Math.min(this.#answerUntilMs, this.fleet.clock.nowMs + REPEAT_PAUSE_MS)
    for (const [requestId, attempt] of this.#attempts) {
      if (!ids.includes(attempt.entry)) continue
      this.#attempts.delete(requestId)
      this.#sendLater(attempt)
    }
  }

  restoreDomain (domain: string): void {
    this.setDomainUp(domain, true)
    for (const id of this.#listProcesses(domain)) this.fleet.restart(id)
  }

  countRuns (work: Work): number {
    const names = this.#keys.get(work.id) ?? []
    return this.#sum(id => names.reduce((sum, key) => sum + (this.fleet.getFake(id).runsByKey.get(key) ?? 0), 0))
  }

  findLastStart (domain: string): number {
    return Math.max(...this.#listEndpoints(domain).map(({ id }) => this.fleet.getFake(id).lastStartMs))
  }

  countCrashes (): number {
    return this.#sum(id => this.fleet.getFake(id).crashes)
  }

  #sum (count: (id: string) => number): number {
    return this.#configuration.endpoints.reduce((sum, { id }) => sum + count(id), 0)
  }

  #listProcesses (domain: string): readonly string[] {
    return [...this.#configuration.entries, ...this.#configuration.endpoints].filter(process => process.domain === domain).map(({ id }) => id)
  }

  #listEndpoints (domain: string): readonly { readonly id: string }[] {
    return this.#configuration.endpoints.filter(endpoint => endpoint.domain === domain)
  }

  /** Callers share one answer and pick an address at random, as many callers would. */
  #getAnswer (): AddressResponse | undefined {
    if (this.fleet.clock.nowMs < this.#answerUntilMs) return this.#answer
    const entries = this.fleet.listEntries()
    const entry = entries[this.#random.pickInt(entries.length)] ?? ''
    this.fleet.dispatch(entry, { kind: 'address-asked', lookupId: 'ask', services: [this.#deployment.plain] })
    return this.#answer
  }

  #send (attempt: Attempt): void {
    const { work } = attempt
    const { nowMs } = this.fleet.clock
    const answer = this.#getAnswer()
    const addresses = answer?.addresses ?? []
    const address = addresses[this.#random.pickInt(Math.max(1, addresses.length))]
    const tokens = (answer?.tokens ?? []).filter(({ token }) => !this.#lostHomes.has(token))
    if (work.kind === 'write') attempt.key ??= this.#buildKey(work, tokens[this.#random.pickInt(Math.max(1, tokens.length))]?.token)
    if (address === undefined || (work.kind === 'write' && attempt.key === undefined)) return this.#sendLater(attempt)
    this.#sends += 1
    attempt.sends += 1
    const requestId = `${work.id}/${this.#sends}`
    this.#attempts.set(requestId, attempt)
    if (work.kind !== 'write') this.#noteKey(work, requestId)
    const entry = address.url.slice('http://'.length)
    attempt.entry = entry
    this.fleet.clock.schedule(0, () => {
      if (this.fleet.listEntries().includes(entry)) this.fleet.request(entry, this.#buildRequest(attempt, requestId))
      else if (this.#attempts.delete(requestId)) this.#sendLater(attempt)
    })
    this.fleet.clock.schedule(PATIENCE_MS - (nowMs - work.startMs), () => { this.#finish(requestId, false) })
  }

  #buildKey (work: Work, token: string | undefined): string | undefined {
    if (token === undefined) return undefined
    this.#sends += 1
    const key = `${token}.${work.id}-${this.#sends}`
    this.#noteKey(work, key)
    return key
  }

  #noteKey (work: Work, key: string): void {
    this.#keys.set(work.id, [...this.#keys.get(work.id) ?? [], key])
  }

  #buildRequest ({ work, key }: Attempt, requestId: string): RequestReceived {
    const service = work.kind === 'stream' ? this.#deployment.model : this.#deployment.plain
    return {
      kind: 'request-received',
      requestId,
      team: work.team,
      service,
      method: work.kind === 'read' ? 'GET' : 'POST',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      bodyHash: work.id,
      fingerprint: work.id,
      ...(key === undefined ? {} : { keyText: key })
    }
  }

  #handleReply (effect: Effect): void {
    switch (effect.kind) {
      case 'address-told':
        if (effect.response.addresses.length === 0) break
        this.#answer = effect.response
        this.#answerUntilMs = this.fleet.clock.nowMs + effect.response.holdMs
        this.#lostHomes.clear()
        break
      case 'reply-end':
        this.#finish(effect.requestId, true)
        break
      case 'reply-error':
        this.#handleError(effect)
        break
      default:
    }
  }

  /** A caller takes a new key only when the old one cannot have run. */
  #handleError ({ requestId, error, outcome, forwarded }: Extract<Effect, { kind: 'reply-error' }>): void {
    const attempt = this.#attempts.get(requestId)
    if (attempt === undefined) return
    this.#attempts.delete(requestId)
    if (error === 'home-lost' && attempt.key !== undefined) this.#lostHomes.add(attempt.key.slice(0, attempt.key.lastIndexOf('.')))
    if (outcome === 'not-run' || (attempt.sends === 1 && !forwarded)) {
      attempt.key = undefined
      attempt.sends = 0
    }
    this.#sendLater(attempt)
  }

  #sendLater (attempt: Attempt): void {
    if (this.fleet.clock.nowMs - attempt.work.startMs > PATIENCE_MS - REPEAT_PAUSE_MS) {
      attempt.done({ work: attempt.work, ok: false, endMs: this.fleet.clock.nowMs })
      return
    }
    this.fleet.clock.schedule(REPEAT_PAUSE_MS, () => { this.#send(attempt) })
  }

  #finish (requestId: string, ok: boolean): void {
    const attempt = this.#attempts.get(requestId)
    if (!this.#attempts.delete(requestId) || attempt === undefined) return
    attempt.done({ work: attempt.work, ok, endMs: this.fleet.clock.nowMs })
  }
}
