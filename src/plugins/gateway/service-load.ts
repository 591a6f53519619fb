/** Tracks how many requests the endpoints of a service hold, from what their agents say with each permit. */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Time constant in ms of the exponential decay of what agents said. */
const DECAY_MS = 1_000

/** Agents of a failure domain in a row that did not answer, after which others are asked first, and for how long in ms. */
const SILENT_AGENTS_MIN = 2
const SILENT_MS = 1_000

/** Weight of the decayed answers below which nothing is known. */
const WEIGHT_MIN = 0.5

/** Load that agents have reported recently. */
export interface ServiceLoadPort {
  /**
   * Records the answer of an agent.
   *
   * @param service - service of the endpoint
   * @param domain - failure domain of the endpoint
   * @param requests - requests that the endpoint holds
   * @param nowMs - monotonic time in ms
   */
  noteLoad (service: string, domain: string, requests: number, nowMs: number): void
  /** Records that an agent in a failure domain answered, with its load or without. */
  noteAnswered (service: string, domain: string): void
  /** Records that an agent in a failure domain did not answer. */
  noteSilent (service: string, domain: string, nowMs: number): void
  /** @returns failure domains in which the last agents that were asked did not answer */
  listSilentDomains (service: string, nowMs: number): readonly string[]
  /**
   * @param service - name of the service
   * @param domain - failure domain; all when absent
   * @returns mean number of requests that an endpoint holds; undefined when no agent has answered lately
   */
  findMeanLoad (service: string, nowMs: number, domain?: string): number | undefined
}

interface DecayedMean {
  sum: number
  weight: number
  atMs: number
}

interface Silence {
  readonly agents: number
  readonly atMs: number
}

/** Moving averages by service and failure domain. */
export class ServiceLoadPlugin implements Plugin, ServiceLoadPort {
  readonly name = 'service-load'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'serviceLoad'> = { serviceLoad: this }
  readonly #services = new Map<string, Map<string, DecayedMean>>()
  readonly #silences = new Map<string, Map<string, Silence>>()

  private constructor () {}

  /** @returns a plug-in without loads */
  static create (): ServiceLoadPlugin {
    return new ServiceLoadPlugin()
  }

  handle (): void {}

  noteLoad (service: string, domain: string, requests: number, nowMs: number): void {
    const domains = this.#services.get(service) ?? new Map<string, DecayedMean>()
    this.#services.set(service, domains)
    const mean = domains.get(domain) ?? { sum: 0, weight: 0, atMs: nowMs }
    const kept = computeKept(mean, nowMs)
    domains.set(domain, { sum: kept * mean.sum + requests, weight: kept * mean.weight + 1, atMs: nowMs })
  }

  noteAnswered (service: string, domain: string): void {
    this.#silences.get(service)?.delete(domain)
  }

  noteSilent (service: string, domain: string, nowMs: number): void {
    const domains = this.#silences.get(service) ?? new Map<string, Silence>()
    this.#silences.set(service, domains)
    const last = domains.get(domain)
    const isRecent = last !== undefined && nowMs - last.atMs < SILENT_MS
    domains.set(domain, { agents: isRecent ? last.agents + 1 : 1, atMs: nowMs })
  }

  listSilentDomains (service: string, nowMs: number): readonly string[] {
    return [...this.#silences.get(service) ?? []].flatMap(([domain, { agents, atMs }]) => agents >= SILENT_AGENTS_MIN && nowMs - atMs < SILENT_MS ? [domain] : [])
  }

  findMeanLoad (service: string, nowMs: number, domain?: string): number | undefined {
    let sum = 0
    let weight = 0
    for (const [name, mean] of this.#services.get(service) ?? []) {
      if (domain !== undefined && name !== domain) continue
      const kept = computeKept(mean, nowMs)
      sum += kept * mean.sum
      weight += kept * mean.weight
    }
    return weight < WEIGHT_MIN ? undefined : sum / weight
  }
}

function computeKept ({ atMs }: DecayedMean, nowMs: number): number {
  return Math.exp(-(nowMs - atMs) / DECAY_MS)
}

registerPlugin({ name: 'service-load', roles: ['gateway'], create: () => ServiceLoadPlugin.create() })
