/** Settings and configuration files of real processes on loopback, for benchmarks and tests. */

import { randomBytes } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { createCredential } from '../../src/edge/security/credentials.js'

const IP = '127.0.0.1'

/** TLS files, relative to the deployment's folder. */
const HOST_FILES = { cert_file: 'host.crt', key_file: 'host.key' }
const MUTUAL_FILES = { ...HOST_FILES, ca_file: 'ca.crt' }

/** Number of ports reserved for each entry or endpoint process. */
const PORTS_PER_PROCESS = 3

/** One endpoint process and its endpoint. */
export interface DeployedEndpoint {
  readonly id: string
  readonly service: string
  readonly domain: string
  /** Port of the endpoint itself. */
  readonly targetPort: number
  readonly warmCap: number
  readonly coldCap: number
}

/** Processes and configuration of a deployment. */
export interface DeploymentOptions {
  /** First port; the platform uses it and the processes use the ports that follow. */
  readonly basePort: number
  readonly domains: readonly string[]
  /** Failure domain of each entry. */
  readonly entries: readonly string[]
  readonly endpoints: readonly DeployedEndpoint[]
  readonly services: readonly Readonly<Record<string, string>>[]
  readonly profiles: readonly Readonly<Record<string, string | number>>[]
  readonly teams: number
  readonly addressHoldMs: number
  /** Ports at which entries reach an endpoint process, by its id, if they differ from its own. */
  readonly peerPorts?: Readonly<Record<string, number>>
  /**
   * Enables TLS on every connection. The caller writes the files `host.crt`,
   * `host.key` and `ca.crt` to the folder, and terminates TLS in front of the
   * platform at this port and in front of the endpoints at their target ports.
   */
  readonly tls?: { readonly platformPort: number }
}

/** Files of a deployment and the ports of its processes. */
export class DeploymentFiles {
  readonly folder = mkdtempSync(join(tmpdir(), 'heatherdoor-bench-'))
  readonly teamKey: string
  readonly operatorCredential: string
  readonly #options: DeploymentOptions

  private constructor (options: DeploymentOptions) {
    this.#options = options
    const operator = createCredential('hdop', 'bench')
    const team = createCredential('hd', 'team-0')
    this.teamKey = team.text
    this.operatorCredential = operator.text
    writeFileSync(join(this.folder, 'cluster.secret'), randomBytes(32).toString('hex'))
    writeFileSync(join(this.folder, 'operator.credential'), operator.text)
    writeFileSync(join(this.folder, 'operators.keys'), `bench ${operator.stored}\n`)
    this.#writeFile('configuration.toml', this.#buildConfiguration(team.stored))
    this.#writeFile('cli.toml', {
      platform: this.#buildPlatform(),
      operations_urls: options.entries.map((_, index) => `${this.#scheme}://${IP}:${this.findEntryPorts(index).operations}`),
      operator_credential_file: 'operator.credential',
      ...(options.tls === undefined ? {} : { tls: { ca_file: 'ca.crt' } })
    })
    options.entries.forEach((domain, index) => { this.#writeFile(`entry-${index}.toml`, this.#buildEntry(domain, index)) })
    options.endpoints.forEach((endpoint, index) => { this.#writeFile(`${endpoint.id}.toml`, this.#buildEndpoint(endpoint, index)) })
  }

  /**
   * @param options - processes and configuration
   * @returns files in a new temporary folder
   */
  static create (options: DeploymentOptions): DeploymentFiles {
    return new DeploymentFiles(options)
  }

  get platformPort (): number { return this.#options.basePort }
  get platformUrl (): string { return `http://${IP}:${this.platformPort}` }

  get #scheme (): string { return this.#options.tls === undefined ? 'http' : 'https' }

  /** @returns URL of an entry's listener for callers */
  findEntryUrl (index: number): string {
    return `${this.#scheme}://${IP}:${this.findEntryPorts(index).callers}`
  }

  /** @returns absolute path of a file of the deployment */
  getPath (name: string): string {
    return join(this.folder, name)
  }

  /** @returns ports of an entry */
  findEntryPorts (index: number): { readonly callers: number, readonly peers: number, readonly operations: number } {
    const first = this.#options.basePort + 1 + index * PORTS_PER_PROCESS
    return { callers: first, peers: first + 1, operations: first + 2 }
  }

  /** @returns ports of an endpoint process */
  findEndpointPorts (index: number): { readonly peers: number, readonly operations: number } {
    const first = this.#options.basePort + 1 + (this.#options.entries.length + index) * PORTS_PER_PROCESS
    return { peers: first, operations: first + 1 }
  }

  /** Removes the files. */
  remove (): void {
    rmSync(this.folder, { recursive: true })
  }

  #writeFile (name: string, value: Record<string, unknown>): void {
    writeFileSync(this.getPath(name), stringify(value))
  }

  #buildConfiguration (storedKey: string): Record<string, unknown> {
    const { domains, entries, endpoints, services, profiles, teams } = this.#options
    return {
      failure_domains: domains.map(name => ({ name, region: 'region' })),
      entries: entries.map((domain, index) => ({
        id: `entry-${index}`,
        host: `entry-host-${index}`,
        failure_domain: domain,
        caller_url: this.findEntryUrl(index),
        peer_address: `${IP}:${this.findEntryPorts(index).peers}`
      })),
      endpoints: endpoints.map((endpoint, index) => ({
        id: endpoint.id,
        host: `${endpoint.id}-host`,
        failure_domain: endpoint.domain,
        service: endpoint.service,
        peer_address: `${IP}:${this.#options.peerPorts?.[endpoint.id] ?? this.findEndpointPorts(index).peers}`,
        checks_fencing: false,
        warm_cap: endpoint.warmCap,
        cold_cap: endpoint.coldCap
      })),
      services,
      profiles,
      teams: Array.from({ length: teams }, (_, index) => ({
        name: `team-${index}`,
        weight: 1,
        services: services.map(service => service['name']),
        keys: [index === 0 ? storedKey : createCredential('hd', `team-${index}`).stored]
      }))
    }
  }

  #buildEntry (domain: string, index: number): Record<string, unknown> {
    const ports = this.findEntryPorts(index)
    return {
      process_id: `entry-${index}`,
      host: `entry-host-${index}`,
      address_hold_ms: this.#options.addressHoldMs,
      caller_listener: { ip: IP, port: ports.callers, public_url: this.findEntryUrl(index), ...this.#buildTls(HOST_FILES) },
      ...this.#buildCommon(domain, ports)
    }
  }

  #buildEndpoint (endpoint: DeployedEndpoint, index: number): Record<string, unknown> {
    return {
      process_id: endpoint.id,
      host: `${endpoint.id}-host`,
      service: endpoint.service,
      warm_cap: endpoint.warmCap,
      cold_cap: endpoint.coldCap,
      endpoint: { url: `${this.#scheme}://${IP}:${endpoint.targetPort}`, checks_fencing: false, ...this.#buildTls(MUTUAL_FILES) },
      ...this.#buildCommon(endpoint.domain, this.findEndpointPorts(index))
    }
  }

  #buildCommon (domain: string, ports: { readonly peers: number, readonly operations: number }): Record<string, unknown> {
    return {
      failure_domain: domain,
      cluster_secret_file: 'cluster.secret',
      leave_deadline_ms: 15_000,
      peer_listener: { ip: IP, port: ports.peers, ...this.#buildTls(MUTUAL_FILES) },
      peer_dialler: this.#buildTls(MUTUAL_FILES),
      operations_listener: { ip: IP, port: ports.operations, operator_keys_file: 'operators.keys', ...this.#buildTls(HOST_FILES) },
      platform: this.#buildPlatform(),
      seeds: this.#options.entries.slice(0, 8).map((_, index) => ({ id: `entry-${index}`, peer_address: `${IP}:${this.findEntryPorts(index).peers}` }))
    }
  }

  #buildPlatform (): Record<string, unknown> {
    const { tls } = this.#options
    return { urls: [tls === undefined ? this.platformUrl : `https://${IP}:${tls.platformPort}`], ...this.#buildTls(MUTUAL_FILES) }
  }

  #buildTls (files: Readonly<Record<string, string>>): { readonly tls?: Readonly<Record<string, string>> } {
    return this.#options.tls === undefined ? {} : { tls: files }
  }
}
