/** Drives one kernel in a test and records its effects. */

import '../../src/plugins/index.js'
import type { Configuration, Profile } from '../../src/kernel/configuration.js'
import type { Effect } from '../../src/kernel/effects.js'
import type { KernelEvent, RequestReceived } from '../../src/kernel/events.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { listPlugins, registerPlugin } from '../../src/kernel/plugin.js'
import type { EndpointState, Message, ProcessRef, Role } from '../../src/protocol/messages.js'

export const DOMAINS = ['a', 'b', 'c']

export function buildProcess (id: string, role: Role, domain = 'a', incarnation = 1): ProcessRef {
  return { id, role, domain, host: `host-${id}`, address: `127.0.0.1:${id}`, incarnation }
}

export const PROFILE: Profile = {
  name: 'plain', priority: 'normal', idempotency: 'safe-methods', deadlineMs: 5_000, queueMax: 10, teamShareMax: 1, attemptsMax: 3, backoffBaseMs: 100
}

/** One plain service and one model, each with one endpoint per domain. */
export function buildConfiguration (version: number, changes: Partial<Configuration> = {}): Configuration {
  const endpoint = (service: string, domain: string) => ({
    id: `${service}-${domain}`, host: `host-${service}-${domain}`, domain, service, peerAddress: `127.0.0.1:${service}-${domain}`, checksFencing: true, warmCap: 8, coldCap: 1
  })
  return {
    version,
    domains: DOMAINS.map(name => ({ name, region: 'r', state: 'in' as const })),
    drainingHosts: [],
    entries: [],
    endpoints: DOMAINS.flatMap(domain => [endpoint('book', domain), endpoint('chat', domain)]),
    services: [{ name: 'book', kind: 'plain', profile: 'plain' }, { name: 'chat', kind: 'model', profile: 'model', model: 'm' }],
    profiles: [PROFILE, { ...PROFILE, name: 'model', idempotency: 'always' }],
    teams: [{ name: 't', weight: 1, services: ['book', 'chat'], keys: [] }],
    groups: [],
    ...changes
  }
}

export function buildState (service: string, changes: Partial<EndpointState> = {}): EndpointState {
  return { service, window: 4, running: 0, queued: 0, cap: 8, warmth: 1, healthy: true, leaving: false, ...changes }
}

export function buildRequest (requestId: string, changes: Partial<RequestReceived> = {}): RequestReceived {
  return {
    kind: 'request-received', requestId, team: 't', service: 'book', method: 'GET', path: '/x', headers: [], body: new Uint8Array(), bodyHash: 'bh', fingerprint: `fp-${requestId}`, ...changes
  }
}

/** Registers a fake tokens plug-in unless the real one is registered. */
export function registerTokens (): void {
  if (listPlugins('entry').some(({ name }) => name === 'tokens')) return
  registerPlugin({
    name: 'tokens',
    roles: ['entry', 'endpoint'],
    create: () => ({
      name: 'tokens',
      subscribesTo: [],
      handle: () => {},
      ports: {
        tokens: {
          formatToken: (service, home) => `hdk1.${service}.${home.id}.${home.incarnation}.${home.window}.mac`,
          parseKey: (service, text) => {
            const [version, named, home, incarnation, window, mac] = text.split('.')
            if (version !== 'hdk1' || named !== service || home === undefined || mac !== 'mac') return undefined
            return { home, incarnation: Number(incarnation), window: Number(window), text }
          }
        }
      }
    })
  })
}

/** One kernel with a simulated clock and its recorded effects. */
export class Session {
  readonly kernel: Kernel
  readonly self: ProcessRef
  nowMs = 0
  /** Effects since the last call of `takeEffects`. */
  #effects: Effect[] = []

  private constructor (self: ProcessRef, service?: string) {
    this.self = self
    this.kernel = Kernel.create({ self, seed: 7, ...(service === undefined ? {} : { service }), settings: { clusterSecret: 's', seeds: [] } })
  }

  static create (self: ProcessRef = buildProcess('e1', 'entry'), service?: string): Session {
    registerTokens()
    return new Session(self, service)
  }

  /** Creates an entry that is configured and connected to the endpoints of one service. */
  static createReady (service: string, configuration = buildConfiguration(1)): Session {
    const session = Session.create()
    session.dispatch({ kind: 'configuration-offered', configuration, source: 'test' })
    for (const domain of DOMAINS) session.connect(service, domain)
    session.advanceTime(100)
    session.takeEffects()
    return session
  }

  /** Formats an idempotency key with a token for the given home. */
  formatKey (home: string, incarnation = 1): string {
    const token = this.kernel.getPort('tokens').formatToken('book', { id: home, incarnation, window: 4, domain: home.slice(-1) })
    return `${token}.mine`
  }

  connect (service: string, domain: string, incarnation = 1): void {
    const peer = buildProcess(`${service}-${domain}`, 'endpoint', domain, incarnation)
    this.dispatch({ kind: 'peer-connected', peer })
    this.receive(peer, { kind: 'heartbeat', incarnation, configVersion: 1, endpoint: buildState(service) })
  }

  disconnect (service: string, domain: string): void {
    this.dispatch({ kind: 'peer-disconnected', peer: buildProcess(`${service}-${domain}`, 'endpoint', domain) })
  }

  dispatch (event: KernelEvent): readonly Effect[] {
    const effects = this.kernel.dispatch(event, this.nowMs)
    this.#effects.push(...effects)
    return effects
  }

  receive (peer: ProcessRef | string, message: Message): readonly Effect[] {
    return this.dispatch({ kind: 'message-received', peer: typeof peer === 'string' ? buildProcess(peer, 'endpoint', peer.slice(-1)) : peer, message })
  }

  /** Advances the clock in ticks of 100 ms; only the given peers send heartbeats. */
  advanceTime (ms: number, alive: readonly string[] = this.kernel.getPort('membership').listPeers().map(view => view.process.id)): void {
    for (let passed = 0; passed < ms; passed += 100) {
      this.nowMs += 100
      for (const id of alive) {
        const view = this.kernel.getPort('membership').findPeer(id)
        if (view !== undefined && this.nowMs % 1_000 === 0) {
          this.receive(view.process, { kind: 'heartbeat', incarnation: view.process.incarnation, configVersion: 1, ...(view.endpoint === undefined ? {} : { endpoint: view.endpoint }) })
        }
      }
      this.dispatch({ kind: 'tick' })
    }
  }

  /** Returns the recorded effects as text and clears them; heartbeats, logs and metrics are omitted. */
  takeEffects (): readonly string[] {
    const effects = this.#effects
    this.#effects = []
    return effects.filter(isNoteworthy).map(formatEffect)
  }

  /** Finds the endpoint and work id of the last submit since the last call of `takeEffects`. */
  findSubmit (): { readonly peer: string, readonly workId: string } {
    for (const effect of [...this.#effects].reverse()) {
      if (effect.kind === 'send' && effect.message.kind === 'submit') return { peer: effect.peer, workId: effect.message.workId }
    }
    throw new Error('no submit message was sent')
  }
}

function isNoteworthy (effect: Effect): boolean {
  if (effect.kind === 'log' || effect.kind === 'count' || effect.kind === 'observe') return false
  return effect.kind !== 'send' || effect.message.kind !== 'heartbeat'
}

function formatEffect (effect: Effect): string {
  if (effect.kind === 'reply-chunk') return `reply-chunk ${effect.requestId} ${Buffer.from(effect.data).toString()}`
  if (effect.kind !== 'send') return Object.values(effect).map(value => typeof value === 'object' ? JSON.stringify(value) : String(value)).join(' ')
  const { message, peer } = effect
  if (message.kind !== 'submit') return `to ${peer}: ${JSON.stringify(message, (name, value: unknown) => name === 'text' && String(value).startsWith('hdk1.') ? '(key)' : value)}`
  const { workId, key, resumeFrom, timeLeftMs } = message
  return `to ${peer}: submit ${workId} left=${timeLeftMs}${key === undefined ? '' : ` key of ${key.home}#${key.incarnation}`}${resumeFrom === undefined ? '' : ` resume=${resumeFrom}`}`
}
