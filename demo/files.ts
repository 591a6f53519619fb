/** Settings and configuration of the demo, written to a temporary folder. */

import { randomBytes } from 'node:crypto'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { createCredential } from '../src/edge/security/credentials.js'
import { IP, PORTS } from './ports.js'

type PortName = keyof typeof PORTS

/** Paths and credentials that the demo uses. */
export interface DemoFiles {
  readonly folder: string
  readonly configuration: string
  readonly cli: string
  readonly entries: readonly string[]
  readonly endpoints: readonly string[]
  /** API key of the team `tavern`. */
  readonly teamKey: string
}

const DOMAINS = ['north', 'south'] as const

/** @returns paths of the files written */
export function writeDemoFiles (): DemoFiles {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdoor-demo-'))
  const write = (name: string, value: Record<string, unknown>): string => {
    const path = join(folder, name)
    writeFileSync(path, stringify(value))
    return path
  }
  const operator = createCredential('hdop', 'demo')
  const team = createCredential('hd', 'tavern')
  writeFileSync(join(folder, 'cluster.secret'), randomBytes(32).toString('hex'))
  writeFileSync(join(folder, 'operator.credential'), operator.text)
  writeFileSync(join(folder, 'operators.keys'), `demo ${operator.stored}\n`)
  return {
    folder,
    teamKey: team.text,
    configuration: write('configuration.toml', buildConfiguration(team.stored)),
    cli: write('cli.toml', {
      platform: { urls: [formatUrl('platform')] },
      operations_urls: [formatUrl('entryNorthOperations'), formatUrl('entrySouthOperations')],
      operator_credential_file: 'operator.credential'
    }),
    entries: DOMAINS.map(domain => write(`entry-${domain}.toml`, buildEntrySettings(domain))),
    endpoints: DOMAINS.flatMap(domain => [
      write(`guidance-${domain}.toml`, buildEndpointSettings(domain, 'guidance')),
      write(`counter-${domain}.toml`, buildEndpointSettings(domain, 'counter'))
    ])
  }
}

function buildConfiguration (storedKey: string): Record<string, unknown> {
  return {
    failure_domains: DOMAINS.map(name => ({ name, region: 'home' })),
    entries: DOMAINS.map(domain => ({
      id: `entry-${domain}`,
      host: `entry-host-${domain}`,
      failure_domain: domain,
      caller_url: formatUrl(buildPortName('entry', domain, 'Callers')),
      peer_address: formatAddress(buildPortName('entry', domain, 'Peers'))
    })),
    endpoints: DOMAINS.flatMap(domain => ['guidance', 'counter'].map(service => ({
      id: `${service}-${domain}`,
      host: `${service}-host-${domain}`,
      failure_domain: domain,
      service,
      peer_address: formatAddress(buildPortName(service, domain, 'Peers')),
      checks_fencing: false,
      warm_cap: 8,
      cold_cap: 2
    }))),
    services: [
      { name: 'guidance', kind: 'model', profile: 'guidance', model: 'oil-guidance' },
      { name: 'counter', kind: 'plain', profile: 'counter' }
    ],
    profiles: [
      { name: 'guidance', priority: 'normal', idempotency: 'always', deadline_ms: 20_000, queue_max: 64, team_share_max: 0.5, attempts_max: 3, backoff_base_ms: 50 },
      { name: 'counter', priority: 'urgent', idempotency: 'safe-methods', deadline_ms: 5_000, queue_max: 64, team_share_max: 0.5, attempts_max: 3, backoff_base_ms: 20 }
    ],
    teams: [{ name: 'tavern', weight: 1, services: ['guidance', 'counter'], keys: [storedKey] }]
  }
}

function buildEntrySettings (domain: string): Record<string, unknown> {
  const callers = buildPortName('entry', domain, 'Callers')
  return {
    process_id: `entry-${domain}`,
    host: `entry-host-${domain}`,
    failure_domain: domain,
    cluster_secret_file: 'cluster.secret',
    address_hold_ms: 2_000,
    leave_deadline_ms: 15_000,
    caller_listener: { ip: IP, port: PORTS[callers], public_url: formatUrl(callers) },
    ...buildCommonSettings(buildPortName('entry', domain, 'Peers'), buildPortName('entry', domain, 'Operations'))
  }
}

function buildEndpointSettings (domain: string, service: string): Record<string, unknown> {
  const url = formatUrl(buildPortName(service === 'guidance' ? 'engine' : service, domain, ''))
  return {
    process_id: `${service}-${domain}`,
    host: `${service}-host-${domain}`,
    failure_domain: domain,
    cluster_secret_file: 'cluster.secret',
    leave_deadline_ms: 15_000,
    service,
    warm_cap: 8,
    cold_cap: 2,
    endpoint: { url, checks_fencing: false },
    ...buildCommonSettings(buildPortName(service, domain, 'Peers'), buildPortName(service, domain, 'Operations'))
  }
}

function buildCommonSettings (peers: PortName, operations: PortName): Record<string, unknown> {
  return {
    peer_listener: { ip: IP, port: PORTS[peers] },
    operations_listener: { ip: IP, port: PORTS[operations], operator_keys_file: 'operators.keys' },
    platform: { urls: [formatUrl('platform')] },
    seeds: DOMAINS.map(name => ({ id: `entry-${name}`, peer_address: formatAddress(buildPortName('entry', name, 'Peers')) }))
  }
}

function buildPortName (prefix: string, domain: string, suffix: string): PortName {
  return `${prefix}${domain === 'north' ? 'North' : 'South'}${suffix}` as PortName
}

function formatUrl (port: PortName): string {
  return `http://${IP}:${PORTS[port]}`
}

function formatAddress (port: PortName): string {
  return `${IP}:${PORTS[port]}`
}
