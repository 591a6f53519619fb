/** Simulated callers of a fleet, which cache address responses and retry failed requests in a way that does not run a write twice. */

import type { AddressResponse, Effect } from '../../src/kernel/effects.js'
import type { RequestReceived } from '../../src/kernel/events.js'
import { Random } from '../../src/kernel/random.js'
import type { Deployment } from './deployments.js'
import { changeDomain } from './deployments.js'
import { Fleet } from './fleet.js'
import type { Work, WorkResult, SystemUnderTest } from './work.js'

/** Time after which a caller gives up on a piece of work, in ms. */
const CALLER_TIMEOUT_MS = 10_000

/** Time that a caller waits before it sends a request again, in ms. */
const RETRY_DELAY_MS = 200

interface PendingWork {
  readonly work: Work
  readonly done: (result: WorkResult) => void
  key: string | undefined
  sends: number
  entry: string
}

/** Callers and a fleet of heatherdoor processes as the system under test of the drill benchmark. */
export class FleetSystem implements SystemUnderTest {
  readonly name = 'heatherdoor'
  readonly fleet: Fleet
  readonly #deployment: Deployment
  readonly #random: Random
  readonly #pendingByRequest = new Map<string, PendingWork>()
  readonly #keysByWork = new Map<string, string[]>()
  #configuration
  #addressResponse: AddressResponse | undefined
  #addressesExpireAtMs = 0
  /** Tokens whose home is lost; callers use the remaining ones until the next address response. */
  readonly #lostHomes = new Set<string>()
  #sendCount = 0

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
   * @param seed - seed of the random number generator
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

  setDomainUp (domain: string, isUp: boolean): void {
    for (const { id } of this.#listEndpoints(domain)) {
      if (isUp) this.fleet.getFakeEndpoint(id).start()
      else this.fleet.getFakeEndpoint(id).stop()
    }
  }

  loseDomain (domain: string): void {
    const ids = this.#listProcesses(domain)
    this.setDomainUp(domain, false)
    for (const id of ids) this.fleet.kill(id)
    this.#addressesExpireAtMs = Math.min(this.#addressesExpireAtMs, this.fleet.clock.nowMs + RETRY_DELAY_MS)
    for (const [requestId, pending] of this.#pendingByRequest) {
      if (!ids.includes(pending.entry)) continue
      this.#pendingByRequest.delete(requestId)
      this.#sendLater(pending)
    }
  }

  restoreDomain (domain: string): void {
    this.setDomainUp(domain, true)
    for (const id of this.#listProcesses(domain)) this.fleet.restart(id)
  }

  countRuns (work: Work): number {
    const keys = this.#keysByWork.get(work.id) ?? []
    return this.#sum(id => keys.reduce((sum, key) => sum + (this.fleet.getFakeEndpoint(id).runsByKey.get(key) ?? 0), 0))
  }

  findLastStart (domain: string): number {
    return Math.max(...this.#listEndpoints(domain).map(({ id }) => this.fleet.getFakeEndpoint(id).lastStartMs))
  }

  countCrashes (): number {
    return this.#sum(id => this.fleet.getFakeEndpoint(id).crashes)
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

  /** Returns the cached address response, or requests a new one. All callers share it and pick addresses at random, which spreads their load as separate responses would. */
  #getAddressResponse (): AddressResponse | undefined {
    if (this.fleet.clock.nowMs < this.#addressesExpireAtMs) return this.#addressResponse
    const entries = this.fleet.listEntries()
    const entry = entries[this.#random.pickInt(entries.length)] ?? ''
    this.fleet.dispatch(entry, { kind: 'address-requested', lookupId: 'ask', services: [this.#deployment.plain] })
    return this.#addressResponse
  }

  #send (pending: PendingWork): void {
    const { work } = pending
    const { nowMs } = this.fleet.clock
    const addressResponse = this.#getAddressResponse()
    const addresses = addressResponse?.addresses ?? []
    const address = addresses[this.#random.pickInt(Math.max(1, addresses.length))]
    const tokens = (addressResponse?.tokens ?? []).filter(({ token }) => !this.#lostHomes.has(token))
    if (work.kind === 'write') pending.key ??= this.#buildKey(work, tokens[this.#random.pickInt(Math.max(1, tokens.length))]?.token)
    if (address === undefined || (work.kind === 'write' && pending.key === undefined)) return this.#sendLater(pending)
    this.#sendCount += 1
    pending.sends += 1
    const requestId = `${work.id}/${this.#sendCount}`
    this.#pendingByRequest.set(requestId, pending)
    if (work.kind !== 'write') this.#addKey(work, requestId)
    const entry = address.url.slice('http://'.length)
    pending.entry = entry
    this.fleet.clock.schedule(0, () => {
      if (this.fleet.listEntries().includes(entry)) this.fleet.request(entry, this.#buildRequest(pending, requestId))
      else if (this.#pendingByRequest.delete(requestId)) this.#sendLater(pending)
    })
    this.fleet.clock.schedule(CALLER_TIMEOUT_MS - (nowMs - work.startMs), () => { this.#finish(requestId, false) })
  }

  #buildKey (work: Work, token: string | undefined): string | undefined {
    if (token === undefined) return undefined
    this.#sendCount += 1
    const key = `${token}.${work.id}-${this.#sendCount}`
    this.#addKey(work, key)
    return key
  }

  #addKey (work: Work, key: string): void {
    this.#keysByWork.set(work.id, [...this.#keysByWork.get(work.id) ?? [], key])
  }

  #buildRequest ({ work, key }: PendingWork, requestId: string): RequestReceived {
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
      case 'reply-address':
        if (effect.response.addresses.length === 0) break
        this.#addressResponse = effect.response
        this.#addressesExpireAtMs = this.fleet.clock.nowMs + effect.response.holdMs
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

  /** Sends the work again, with a new key only if the work of the old key cannot have run. */
  #handleError ({ requestId, error, outcome, forwarded }: Extract<Effect, { kind: 'reply-error' }>): void {
    const pending = this.#pendingByRequest.get(requestId)
    if (pending === undefined) return
    this.#pendingByRequest.delete(requestId)
    if (error === 'home-lost' && pending.key !== undefined) this.#lostHomes.add(pending.key.slice(0, pending.key.lastIndexOf('.')))
    if (outcome === 'not-run' || (pending.sends === 1 && !forwarded)) {
      pending.key = undefined
      pending.sends = 0
    }
    this.#sendLater(pending)
  }

  #sendLater (pending: PendingWork): void {
    if (this.fleet.clock.nowMs - pending.work.startMs > CALLER_TIMEOUT_MS - RETRY_DELAY_MS) {
      pending.done({ work: pending.work, ok: false, endMs: this.fleet.clock.nowMs })
      return
    }
    this.fleet.clock.schedule(RETRY_DELAY_MS, () => { this.#send(pending) })
  }

  #finish (requestId: string, ok: boolean): void {
    const pending = this.#pendingByRequest.get(requestId)
    if (!this.#pendingByRequest.delete(requestId) || pending === undefined) return
    pending.done({ work: pending.work, ok, endMs: this.fleet.clock.nowMs })
  }
}
