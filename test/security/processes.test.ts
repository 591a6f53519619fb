import test from 'ava'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { setTimeout as waitMs } from 'node:timers/promises'
import { stringify } from 'smol-toml'
import { Agent, request } from 'undici'
import { buildEnvironment } from '../../src/cli/environment.js'
import { Progress } from '../../src/cli/progress.js'
import { runProgram } from '../../src/cli/program.js'
import { EndpointProcess } from '../../src/edge/endpoint/process.js'
import { EntryProcess } from '../../src/edge/entry/process.js'
import { OPERATOR_PREFIX, TEAM_PREFIX, createCredential } from '../../src/edge/security/credentials.js'
import { loadEndpointSettings, loadEntrySettings } from '../../src/settings/index.js'
import { Platform } from '../../standins/platform/platform.js'
import { Service } from '../../standins/service/service.js'

const IP = '127.0.0.1'
const [callers = 0, entryPeers = 0, entryOperations = 0, endpointPeers = 0, endpointOperations = 0] = await listFreePorts(5)
const PORTS = { callers, entryPeers, entryOperations, endpointPeers, endpointOperations }
const CERT = resolve('test/security/fixtures/first.crt')
const LISTENER_TLS = { cert_file: CERT, key_file: resolve('test/security/fixtures/first.key') }
const MUTUAL_TLS = { ...LISTENER_TLS, ca_file: CERT }

async function listFreePorts (count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, IP))
  await Promise.all(servers.map(async server => await once(server, 'listening')))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async server => await once(server.close(), 'close')))
  return ports
}

function writeFiles (folder: string, platformUrl: string, serviceUrl: string, teamKeyHash: string, operator: { readonly text: string, readonly stored: string }): void {
  const write = (name: string, value: Record<string, unknown>): void => { writeFileSync(join(folder, name), stringify(value)) }
  const buildCommon = (id: string, peers: number, operations: number): Record<string, unknown> => ({
    process_id: id,
    host: `${id}-host`,
    failure_domain: 'a',
    cluster_secret_file: 'cluster.secret',
    peer_listener: { ip: IP, port: peers, tls: MUTUAL_TLS },
    peer_dialler: { tls: MUTUAL_TLS },
    operations_listener: { ip: IP, port: operations, operator_keys_file: 'operators.keys', tls: LISTENER_TLS },
    platform: { urls: [platformUrl] }
  })
  writeFileSync(join(folder, 'cluster.secret'), 'c'.repeat(32))
  writeFileSync(join(folder, 'operators.keys'), `eleni ${operator.stored}\n`)
  writeFileSync(join(folder, 'operator.credential'), operator.text)
  write('entry.toml', { ...buildCommon('entry-1', PORTS.entryPeers, PORTS.entryOperations), caller_listener: { ip: IP, port: PORTS.callers, public_url: `https://${IP}:${PORTS.callers}`, tls: LISTENER_TLS } })
  write('endpoint.toml', { ...buildCommon('counter-1', PORTS.endpointPeers, PORTS.endpointOperations), service: 'counter', warm_cap: 8, cold_cap: 2, endpoint: { url: serviceUrl, checks_fencing: false } })
  write('cli.toml', { platform: { urls: [platformUrl] }, operations_urls: [`https://${IP}:${PORTS.entryOperations}`], operator_credential_file: 'operator.credential', tls: { ca_file: CERT } })
  write('configuration.toml', {
    failure_domains: [{ name: 'a', region: 'north' }],
    entries: [{ id: 'entry-1', host: 'entry-1-host', failure_domain: 'a', caller_url: `https://${IP}:${PORTS.callers}`, peer_address: `${IP}:${PORTS.entryPeers}` }],
    endpoints: [{ id: 'counter-1', host: 'counter-1-host', failure_domain: 'a', service: 'counter', peer_address: `${IP}:${PORTS.endpointPeers}`, checks_fencing: false, warm_cap: 8, cold_cap: 2 }],
    services: [{ name: 'counter', kind: 'plain', profile: 'counter' }],
    profiles: [{ name: 'counter', priority: 'urgent', idempotency: 'safe-methods', deadline_ms: 5000, queue_max: 8, team_share_max: 1, attempts_max: 2, backoff_base_ms: 20 }],
    teams: [{ name: 'alpha', weight: 1, services: ['counter'], keys: [teamKeyHash] }]
  })
}

// Guards against a listener or an outbound connection that ignores its TLS settings.
test.serial('entry, endpoint process and command line use TLS on their connections', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdoor-'))
  const platform = await Platform.start()
  const service = await Service.start({ warm: true })
  const team = createCredential(TEAM_PREFIX, 'alpha')
  writeFiles(folder, platform.url, service.url, team.stored, createCredential(OPERATOR_PREFIX, 'eleni'))
  const progress = Progress.create(() => {})
  const run = async (...args: readonly string[]): Promise<string> => {
    const lines: string[] = []
    const print = (text: string): void => { lines.push(text) }
    const code = await runProgram([...args, '--settings', join(folder, 'cli.toml')], buildEnvironment(progress), { writeOut: print, writeError: print })
    return `[${code}] ${lines.join('')}`
  }
  const entry = await EntryProcess.create(loadEntrySettings(join(folder, 'entry.toml')).unsafeCoerce())
  const endpoint = EndpointProcess.create(loadEndpointSettings(join(folder, 'endpoint.toml')).unsafeCoerce())
  await entry.start()
  await endpoint.start()
  const agent = new Agent({ connect: { ca: readFileSync(CERT) } })
  t.teardown(async () => {
    await agent.destroy()
    await endpoint.stop()
    await entry.stop()
    await service.stop()
    await platform.stop()
    progress.stop()
    rmSync(folder, { recursive: true })
  })
  t.regex(await run('apply', join(folder, 'configuration.toml'), '--expect', '0', '--by', 'eleni', '--reason', 'test'), /^\[0\]/)
  const url = `https://${IP}:${PORTS.callers}/services/counter/bookings`
  let status = 0
  for (let attempt = 0; attempt < 100 && status !== 200 && status !== 201; attempt++) {
    const response = await request(url, { dispatcher: agent, method: 'POST', headers: { authorization: `Bearer ${team.text}`, 'content-type': 'application/json' }, body: '{"board":"b","slot":"09:00"}' })
    status = response.statusCode
    await response.body.dump()
    if (status >= 300) await waitMs(100)
  }
  t.true(status === 200 || status === 201, `a booking answers ${status}`)
  t.regex(await run('status'), /^\[0\][^]*entry-1 +a +1 /)
  await t.throwsAsync(request(`http://${IP}:${PORTS.callers}/v1/address`), undefined, 'plain HTTP is not served')
  await t.throwsAsync(request(`https://${IP}:${PORTS.entryPeers}/`, { dispatcher: agent }), undefined, 'peers without a certificate are refused')
})
