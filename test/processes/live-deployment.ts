/** Small deployment of real processes for tests that kill, suspend and stop them. */

import type { ChildProcess } from 'node:child_process'
import { copyFileSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { Server } from 'node:net'
import { Agent, request, setGlobalDispatcher } from 'undici'
import { DeploymentFiles } from '../../bench/processes/deployment.js'
import type { DeployedEndpoint } from '../../bench/processes/deployment.js'
import { waitUntil, waitUntilReady } from '../../bench/processes/ready.js'
import { Processes } from '../../demo/processes.js'
import type { ProcessLimits } from '../../demo/processes.js'
import { Relay } from './relay.js'

/** Offsets of the ports of services and engines, and of relays, from the base port. */
const TARGET_PORT_OFFSET = 60
const RELAY_PORT_OFFSET = 90

/** Offsets of the TLS-terminating ports: for endpoints from their own port, for the platform from the base port. */
const TLS_PORT_OFFSET = 10
const TLS_PLATFORM_PORT_OFFSET = 80

/** Port blocks of all deployments, below the ephemeral range of the operating system. */
const FIRST_PORT = 20_000
const PORT_BLOCKS = 70
const PORTS_PER_BLOCK = 100

const IP = '127.0.0.1'

export interface KeyToken {
  readonly token: string
  readonly home: string
}

export interface Answer {
  readonly status: number
  readonly outcome: string
  readonly send: string
  readonly kind: string
  readonly body: string
}

export interface LiveDeploymentOptions {
  /** Duration of one booking in ms. */
  readonly serviceMs?: number
  readonly warmCap?: number
  /** Whether entries reach `counter-0` through a relay. */
  readonly usesRelay?: boolean
  /** Whether every connection uses TLS, initially with the certificate `first`. */
  readonly tls?: boolean
  /** Limits of the entries and endpoint processes; none when absent. */
  readonly limits?: ProcessLimits
}

export class LiveDeployment {
  readonly files: DeploymentFiles
  readonly #processes: Processes
  readonly #children = new Map<string, ChildProcess>()
  readonly #options: LiveDeploymentOptions
  readonly #basePort: number
  #relay: Relay | undefined
  readonly #tlsRelays: Relay[] = []

  private constructor (options: LiveDeploymentOptions, basePort: number) {
    this.#options = options
    this.#basePort = basePort
    const cap = options.warmCap ?? 8
    const endpoint = (service: string, index: number): DeployedEndpoint => ({
      id: `${service}-${index}`,
      service,
      domain: index === 0 ? 'north' : 'south',
      targetPort: this.findTargetPort(service, index) + (options.tls === true ? TLS_PORT_OFFSET : 0),
      warmCap: cap,
      coldCap: Math.min(cap, 2)
    })
    this.files = DeploymentFiles.create({
      basePort,
      domains: ['north', 'south'],
      entries: ['north', 'south'],
      endpoints: [endpoint('counter', 0), endpoint('counter', 1), endpoint('guidance', 0), endpoint('guidance', 1)],
      services: [
        { name: 'counter', kind: 'plain', profile: 'desk' },
        { name: 'guidance', kind: 'model', profile: 'text', model: 'oil' }
      ],
      profiles: [
        { name: 'desk', priority: 'urgent', idempotency: 'safe-methods', deadline_ms: 10_000, queue_max: 64, team_share_max: 1, attempts_max: 3, backoff_base_ms: 20 },
        { name: 'text', priority: 'normal', idempotency: 'always', deadline_ms: 20_000, queue_max: 64, team_share_max: 1, attempts_max: 3, backoff_base_ms: 50 }
      ],
      teams: 1,
      addressHoldMs: 1_000,
      ...(options.tls === true ? { tls: { platformPort: basePort + TLS_PLATFORM_PORT_OFFSET } } : {}),
      ...(options.usesRelay === true ? { peerPorts: { 'counter-0': basePort + RELAY_PORT_OFFSET } } : {})
    })
    this.#processes = Processes.create(this.files.folder)
  }

  static async start (options: LiveDeploymentOptions = {}): Promise<LiveDeployment> {
    const live = new LiveDeployment(options, await findBasePort())
    if (options.usesRelay === true) live.#relay = await Relay.start(live.#basePort + RELAY_PORT_OFFSET, live.files.findEndpointPorts(0).peers)
    if (options.tls === true) await live.#startTls()
    try {
      await live.#startProcesses()
    } catch (error) {
      await live.kill()
      throw error
    }
    return live
  }

  async #startProcesses (): Promise<void> {
    this.startProcess('platform')
    for (const index of [0, 1]) {
      for (const name of [`service-${index}`, `engine-${index}`, `entry-${index}`, `counter-${index}`, `guidance-${index}`]) this.startProcess(name)
    }
    await waitUntilReady(this.#processes, this.files)
    await waitUntil('both homes are offered by both entries', async () => (await this.listTokens(0)).length === 2 && (await this.listTokens(1)).length === 2)
    await waitUntil('both engines are offered', async () => (await this.sendCompletion(0, 'ready')).status === 200)
  }

  /** Installs a certificate from the fixtures for all processes. */
  renewCertificate (name: 'first' | 'second'): void {
    for (const kind of ['crt', 'key']) copyFileSync(`test/security/fixtures/${name}.${kind}`, this.files.getPath(`host.${kind}`))
  }

  /** Breaks the connections to the platform and to endpoints, and lists the subjects of the client certificates seen so far. */
  collectClientSubjects (): readonly string[] {
    for (const relay of this.#tlsRelays) relay.destroyConnections()
    return this.#tlsRelays.map(relay => [...relay.subjects].join(' '))
  }

  async #startTls (): Promise<void> {
    this.renewCertificate('first')
    const ca = readFileSync('test/security/fixtures/first.crt', 'utf8') + readFileSync('test/security/fixtures/second.crt', 'utf8')
    writeFileSync(this.files.getPath('ca.crt'), ca)
    setGlobalDispatcher(new Agent({ connect: { ca } }))
    const tls = { cert: readFileSync(this.files.getPath('host.crt')), key: readFileSync(this.files.getPath('host.key')), ca, requestCert: true }
    const targets = ['counter', 'guidance'].flatMap(service => [0, 1].map(index => this.findTargetPort(service, index)))
    this.#tlsRelays.push(await Relay.start(this.#basePort + TLS_PLATFORM_PORT_OFFSET, this.files.platformPort, tls))
    for (const port of targets) this.#tlsRelays.push(await Relay.start(port + TLS_PORT_OFFSET, port, tls))
  }

  findTargetPort (service: string, index: number): number {
    return this.#basePort + TARGET_PORT_OFFSET + index + (service === 'counter' ? 0 : 2)
  }

  startProcess (name: string): void {
    const [kind = '', index = '0'] = name.split('-')
    const target = (service: string): string[] => ['--port', String(this.findTargetPort(service, Number(index))), '--warm']
    const { serviceMs = 50, limits } = this.#options
    const start = (script: string, args: readonly string[], processLimits?: ProcessLimits): void => { this.#children.set(name, this.#processes.start(name, script, args, processLimits)) }
    switch (kind) {
      case 'platform': return start('standins/platform/main.js', ['--port', String(this.files.platformPort)])
      case 'service': return start('standins/service/main.js', [...target('counter'), '--service-ms', String(serviceMs)])
      case 'engine': return start('standins/engine/main.js', [...target('guidance'), '--step-ms', '40'])
      case 'entry': return start('src/bin/entry.js', [this.files.getPath(`${name}.toml`)], limits)
      default: return start('src/bin/endpoint.js', [this.files.getPath(`${name}.toml`)], limits)
    }
  }

  findChild (name: string): ChildProcess {
    const child = this.#children.get(name)
    if (child === undefined) throw new Error(`${name} was not started`)
    return child
  }

  signal (name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.kill(signal)
  }

  async waitForExit (name: string): Promise<number | null> {
    const child = this.#children.get(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return child?.exitCode ?? null
    return await new Promise(resolve => { child.once('exit', code => { resolve(code) }) })
  }

  async listTokens (entry: number): Promise<readonly KeyToken[]> {
    const answer = await this.#request(entry, 'GET', '/v1/address?service=counter')
    const { key_tokens: tokens = [] } = JSON.parse(answer.body) as { readonly key_tokens?: readonly { readonly token: string }[] }
    return tokens.map(({ token }) => ({ token, home: token.split('.')[2] ?? '' }))
  }

  /** Creates an idempotency key whose home is the given endpoint process. */
  async createKey (home: string, name: string): Promise<string> {
    const token = (await this.listTokens(1)).find(known => known.home === home)
    if (token === undefined) throw new Error(`${home} is not offered`)
    return `${token.token}.${name}`
  }

  async sendBooking (entry: number, key?: string): Promise<Answer> {
    return await this.#request(entry, 'POST', '/services/counter/bookings', JSON.stringify({ board: 'b', slot: '1' }), key)
  }

  /** Runs a command of the operator command line. */
  async runCommand (...args: readonly string[]): Promise<{ readonly code: number, readonly output: string }> {
    return await this.#processes.run('src/bin/heatherdoor.js', [...args, '--settings', this.files.getPath('cli.toml')])
  }

  /** Runs a process with the given settings file until it exits. */
  async runUntilExit (script: string, settings: string): Promise<{ readonly code: number, readonly output: string }> {
    return await this.#processes.run(script, [settings])
  }

  /** Writes a modified copy of a process's settings file. */
  writeSettings (from: string, to: string, replace: (text: string) => string): string {
    const path = this.files.getPath(to)
    writeFileSync(path, replace(readFileSync(this.files.getPath(from), 'utf8')))
    return path
  }

  /** Starts an entry with the given settings file. */
  startEntry (name: string, settings: string): void {
    this.#children.set(name, this.#processes.start(name, 'src/bin/entry.js', [settings]))
  }

  /** Lists the log lines of the given events that a process has written so far. */
  listLogLines (name: string, events: readonly string[]): readonly string[] {
    return readFileSync(this.files.getPath(`${name}.log`), 'utf8').split('\n').filter(line => events.some(event => line.includes(`"event":"${event}"`)))
  }

  async sendCompletion (entry: number, content: string): Promise<Answer> {
    return await this.#request(entry, 'POST', '/v1/chat/completions', JSON.stringify({ model: 'oil', sendCompletion: true, max_tokens: 40, messages: [{ role: 'user', content }] }))
  }

  async lookUpOutcome (entry: number, key: string): Promise<string> {
    const answer = await this.#request(entry, 'GET', `/v1/outcome?key=${encodeURIComponent(key)}`)
    return (JSON.parse(answer.body) as { readonly state: string }).state
  }

  async countRuns (key: string): Promise<number> {
    let runs = 0
    for (const index of [0, 1]) runs += (await this.readCounters('counter', index)).by_key[key] ?? 0
    return runs
  }

  async readCounters (service: string, index: number): Promise<{ readonly by_key: Readonly<Record<string, number>>, readonly running: number }> {
    const answer = await request(`http://${IP}:${this.findTargetPort(service, index)}/counters`)
    return await answer.body.json() as { readonly by_key: Readonly<Record<string, number>>, readonly running: number }
  }

  async applyFault (service: string, index: number, fault: Readonly<Record<string, unknown>>): Promise<void> {
    await sendFault(`http://${IP}:${this.findTargetPort(service, index)}`, fault)
  }

  async applyPlatformFault (fault: Readonly<Record<string, unknown>>): Promise<void> {
    await sendFault(this.files.platformUrl, fault)
  }

  /** Sets the platform's list of hosts: the fixed live hosts (all but that of `counter-0`) and the given ones. */
  async updateHosts (leaving: readonly { readonly name: string, readonly state: string }[]): Promise<void> {
    const live = ['entry-host-0', 'entry-host-1', 'counter-1-host', 'guidance-0-host', 'guidance-1-host'].map(name => ({ name, state: 'live' }))
    const hosts = [...live, ...leaving].map(host => ({ ...host, domain: 'any' }))
    const answer = await request(`${this.files.platformUrl}/hosts`, { method: 'PUT', body: JSON.stringify(hosts) })
    await answer.body.dump()
  }

  /** Stops passing data on open connections between entries and `counter-0`; new connections work. */
  silenceRelay (): void {
    this.#relay?.silenceConnections()
  }

  /** Kills every process, for tests that do not check planned stops. */
  async kill (): Promise<void> {
    for (const child of this.#children.values()) child.kill('SIGKILL')
    await this.stop()
  }

  /** Stops every process, after resuming suspended ones. */
  async stop (): Promise<readonly { readonly name: string, readonly code: number | undefined }[]> {
    for (const child of this.#children.values()) child.kill('SIGCONT')
    const ended = await this.#processes.stop()
    this.#relay?.stop()
    for (const relay of this.#tlsRelays) relay.stop()
    this.files.remove()
    return ended
  }

  async #request (entry: number, method: 'GET' | 'POST', path: string, body?: string, key?: string): Promise<Answer> {
    const answer = await request(`${this.files.findEntryUrl(entry)}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.files.teamKey}`, ...(key === undefined ? {} : { 'idempotency-key': key }) },
      body: body ?? null
    })
    const text = await answer.body.text()
    const header = (name: string): string => String(answer.headers[name] ?? '')
    return { status: answer.statusCode, outcome: header('heatherdoor-outcome'), send: header('heatherdoor-send'), kind: findKind(text), body: text }
  }
}

/**
 * Finds a free block of ports. Its last port stays bound until this process
 * exits, so that test files running at the same time do not share a block.
 */
export async function findBasePort (): Promise<number> {
  const start = Math.floor(Math.random() * PORT_BLOCKS)
  for (let tries = 0; tries < PORT_BLOCKS; tries += 1) {
    const port = FIRST_PORT + (start + tries) % PORT_BLOCKS * PORTS_PER_BLOCK
    const reservation = await openPort(port + PORTS_PER_BLOCK - 1)
    if (reservation === undefined) continue
    const first = await openPort(port)
    if (first !== undefined) {
      await new Promise(resolve => { first.close(resolve) })
      return port
    }
    reservation.close()
  }
  throw new Error('no free block of ports')
}

async function openPort (port: number): Promise<Server | undefined> {
  return await new Promise(resolve => {
    const server = createServer()
    server.unref()
    server.once('error', () => { resolve(undefined) })
    server.listen(port, IP, () => { resolve(server) })
  })
}

function findKind (text: string): string {
  return /"kind":"([a-z-]+)"/.exec(text)?.[1] ?? ''
}

async function sendFault (url: string, fault: Readonly<Record<string, unknown>>): Promise<void> {
  const answer = await request(`${url}/faults`, { method: 'POST', body: JSON.stringify(fault) })
  await answer.body.dump()
}
