import type { Configuration, ConfigurationRoot } from '../../src/kernel/configuration.js'
import type { KernelEvent } from '../../src/kernel/events.js'
import { hashPart } from '../../src/kernel/hash.js'

/** Splits a configuration into the root and parts that the command line writes to the platform. */
export function buildConfigurationRead (configuration: Configuration, source = 'platform'): Extract<KernelEvent, { kind: 'configuration-read' }> {
  const { entries, endpoints, groups, domains, services, profiles, teams } = configuration
  const contents = {
    topology: { entries, endpoints, groups, domains: domains.map(({ name, region }) => ({ name, region })) },
    services: { services, profiles },
    'teams-00': teams
  }
  const parts = Object.entries(contents).map(([name, content]) => [name, JSON.stringify(content)] as const)
  const root: ConfigurationRoot = {
    version: configuration.version,
    parts: Object.fromEntries(parts.map(([name, json]) => [name, hashPart(json)])),
    domainStates: Object.fromEntries(domains.map(({ name, state }) => [name, state])),
    drainingHosts: configuration.drainingHosts,
    changedBy: 'test',
    changedAt: '2026-01-01T00:00:00Z',
    reason: 'test'
  }
  return { kind: 'configuration-read', root: JSON.stringify(root), parts: parts.map(([, json]) => [hashPart(json), json]), source }
}
