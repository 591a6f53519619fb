/** Configurations and load of two example deployments for a fleet. */

import type { Configuration, EndpointSpec } from '../../src/kernel/configuration.js'
import type { FakeEndpointOptions } from './endpoint.js'

const ENTRIES = 8
const MODEL_WORKERS = 16
const PLAIN_WORKERS = 3

/** Time from cold to warm in ms. */
const WARM_UP_MS = 15_000

/** Time down after a crash in ms. */
const DOWN_MS = 3_000

/** Configuration, endpoints and load of one deployment. */
export interface Deployment {
  readonly name: string
  readonly configuration: Configuration
  readonly latencyMs: number
  readonly model: string
  readonly plain: string
  /** Requests per second by kind of work. */
  readonly load: { readonly stream: number, readonly write: number, readonly read: number }
  readonly endpointOptions: (id: string) => FakeEndpointOptions
}

/** @returns both deployments */
export function createDeployments (): readonly Deployment[] {
  return [
    createDeployment('thessaloniki', ['kalamaria', 'evosmos', 'pylaia'], 'guidance', 'counter', 0.5),
    createDeployment('banh-xe', ['hcm-a', 'hcm-b', 'hcm-c'], 'maintenance-text', 'order-desk', 1)
  ]
}

function createDeployment (name: string, domains: readonly string[], model: string, plain: string, latencyMs: number): Deployment {
  const assignDomains = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => domains[index % domains.length] ?? '')
  const endpoints = [
    ...assignDomains(MODEL_WORKERS).map((domain, index) => buildEndpoint(model, domain, index, 8, 2)),
    ...assignDomains(PLAIN_WORKERS).map((domain, index) => buildEndpoint(plain, domain, index, 16, 2))
  ]
  const teams = Array.from({ length: 10 }, (_, index) => ({ name: `team-${index}`, weight: index < 3 ? 4 : 1, services: [model, plain], keys: [] }))
  return {
    name,
    latencyMs,
    model,
    plain,
    load: { stream: 80, write: 40, read: 80 },
    endpointOptions: id => id.startsWith(model)
      ? { warmCap: 8, coldCap: 2, warmUpMs: WARM_UP_MS, firstByteMs: 150, chunkMs: 40, chunks: 20, downMs: DOWN_MS }
      : { warmCap: 16, coldCap: 2, warmUpMs: WARM_UP_MS, firstByteMs: 30, chunkMs: 0, chunks: 1, downMs: DOWN_MS },
    configuration: {
      version: 1,
      domains: domains.map(domain => ({ name: domain, region: name, state: 'in' as const })),
      drainingHosts: [],
      entries: assignDomains(ENTRIES).map((domain, index) => ({ id: `entry-${index}`, host: `entry-host-${index}`, domain, callerUrl: `http://entry-${index}`, peerAddress: `entry-${index}:1` })),
      endpoints,
      services: [
        { name: model, kind: 'model', profile: 'text', model },
        { name: plain, kind: 'plain', profile: 'desk' }
      ],
      profiles: [
        { name: 'text', priority: 'normal', idempotency: 'always', deadlineMs: 10_000, queueMax: 64, teamShareMax: 0.5, attemptsMax: 3, backoffBaseMs: 50 },
        { name: 'desk', priority: 'urgent', idempotency: 'safe-methods', deadlineMs: 5_000, queueMax: 64, teamShareMax: 0.5, attemptsMax: 3, backoffBaseMs: 20 }
      ],
      teams,
      groups: []
    }
  }
}

function buildEndpoint (service: string, domain: string, index: number, warmCap: number, coldCap: number): EndpointSpec {
  return { id: `${service}-${index}`, host: `${service}-host-${index}`, domain, service, peerAddress: `${service}-${index}:1`, checksFencing: false, warmCap, coldCap }
}

/**
 * @param configuration - configuration in force
 * @param domain - failure domain to change
 * @param state - its new state
 * @returns the configuration with the new state and the next version
 */
export function changeDomain (configuration: Configuration, domain: string, state: 'in' | 'out'): Configuration {
  return {
    ...configuration,
    version: configuration.version + 1,
    domains: configuration.domains.map(known => known.name === domain ? { ...known, state } : known)
  }
}
