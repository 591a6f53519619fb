/** The demo's steps and the report that it prints. */

import { rmSync } from 'node:fs'
import { request } from 'undici'
import { waitUntil } from '../bench/processes/ready.js'
import { writeDemoFiles } from './files.js'
import type { DemoFiles } from './files.js'
import { IP, PORTS } from './ports.js'
import { Processes } from './processes.js'

type Print = (line: string) => void

interface AddressResponse {
  readonly addresses: readonly { readonly url: string, readonly failure_domain: string }[]
  readonly hold_ms: number
  readonly key_tokens: readonly { readonly service: string, readonly token: string, readonly failure_domain: string }[]
}

/**
 * @param print - prints one line of the report
 * @returns whether every step had the expected result
 */
export async function runDemo (print: Print): Promise<boolean> {
  const files = writeDemoFiles()
  const processes = Processes.create(files.folder)
  let succeeded = false
  try {
    startStandins(processes)
    startHeatherdoor(processes, files)
    await runSteps(processes, files, print)
    succeeded = true
  } catch (error) {
    print(`FAILED: ${error instanceof Error ? error.message : String(error)}; logs are in ${files.folder}`)
  }
  print('Stopping everything gracefully.')
  const stopped = await processes.stop()
  const failed = stopped.filter(({ code }) => code !== 0)
  for (const { name, code } of failed) print(`${name} ended with ${code === undefined ? 'SIGKILL' : `exit code ${code}`}`)
  if (succeeded && failed.length === 0) {
    rmSync(files.folder, { recursive: true })
    print(`All ${stopped.length} processes ended with exit code 0.`)
    return true
  }
  return false
}

function startStandins (processes: Processes): void {
  processes.start('platform', 'standins/platform/main.js', ['--port', String(PORTS.platform)])
  processes.start('engine-north', 'standins/engine/main.js', ['--port', String(PORTS.engineNorth), '--warm'])
  processes.start('engine-south', 'standins/engine/main.js', ['--port', String(PORTS.engineSouth), '--warm'])
  processes.start('service-north', 'standins/service/main.js', ['--port', String(PORTS.counterNorth), '--warm'])
  processes.start('service-south', 'standins/service/main.js', ['--port', String(PORTS.counterSouth), '--warm'])
}

function startHeatherdoor (processes: Processes, files: DemoFiles): void {
  files.entries.forEach((path, index) => { processes.start(`entry-${index}`, 'src/bin/entry.js', [path]) })
  files.endpoints.forEach((path, index) => { processes.start(`endpoint-${index}`, 'src/bin/endpoint.js', [path]) })
}

async function runSteps (processes: Processes, files: DemoFiles, print: Print): Promise<void> {
  await waitUntil('the platform answers', async () => (await request(`http://${IP}:${PORTS.platform}/counters`)).statusCode === 200)
  print('1. Started a platform, 2 model engines, 2 counter services, 2 entries and 4 endpoint processes.')
  await runCommand(processes, files, ['apply', files.configuration, '--expect', '0', '--by', 'demo', '--reason', 'first configuration'])
  await waitUntil('both entries are ready', isReady)
  await waitUntil('guidance is served', async () => await streamGuidance(files, `http://${IP}:${PORTS.entryNorthCallers}`) !== '' && await streamGuidance(files, `http://${IP}:${PORTS.entrySouthCallers}`) !== '')
  print('2. Applied the configuration with `heatherdoor apply`; both entries have version 1 in force.')
  const address = await readAddress(files)
  print(`3. Asked for an entry: use ${address.addresses.map(({ url, failure_domain: domain }) => `${url} (${domain})`).join(' or ')} for ${address.hold_ms} ms.`)
  print(`4. Guidance, streamed: ${await streamGuidance(files, address.addresses[0]?.url ?? '')}`)
  print(`5. ${await bookTwice(files, address)}`)
  await takeDomainOutAndIn(processes, files, print)
}

async function isReady (): Promise<boolean> {
  for (const port of [PORTS.entryNorthOperations, PORTS.entrySouthOperations]) {
    const response = await request(`http://${IP}:${port}/readyz`)
    await response.body.dump()
    if (response.statusCode !== 200) return false
  }
  return true
}

async function readAddress (files: DemoFiles): Promise<AddressResponse> {
  let address: AddressResponse | undefined
  await waitUntil('two entries and two homes of the counter are offered', async () => {
    const response = await request(`http://${IP}:${PORTS.entryNorthCallers}/v1/address?service=counter`, { headers: buildHeaders(files) })
    address = await response.body.json() as AddressResponse
    return response.statusCode === 200 && address.addresses.length === 2 && address.key_tokens.length === 2
  })
  if (address === undefined) throw new Error('no response with addresses')
  return address
}

async function streamGuidance (files: DemoFiles, url: string): Promise<string> {
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { ...buildHeaders(files), 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'oil-guidance', stream: true, max_tokens: 12, messages: [{ role: 'user', content: 'Which oil blend for beech boards?' }] })
  })
  const text = await response.body.text()
  const events = text.split('\n\n').filter(event => event.startsWith('data: '))
  if (response.statusCode !== 200 || events.at(-1) !== 'data: [DONE]') throw new Error(`the stream is incomplete: ${response.statusCode} ${text.slice(0, 200)}`)
  return `${events.length - 1} events and one end mark.`
}

async function bookTwice (files: DemoFiles, address: AddressResponse): Promise<string> {
  const key = `${address.key_tokens[0]?.token ?? ''}.booking-1`
  const first = await book(files, PORTS.entryNorthCallers, key)
  const second = await book(files, PORTS.entrySouthCallers, key)
  const runs = await countRuns(key)
  if (first !== second || runs !== 1) throw new Error(`booking ran ${runs} times; answers ${first} and ${second}`)
  return `Booked through one entry and sent the booking again through the other: run ${runs} time, same answer ${first}`
}

async function book (files: DemoFiles, port: number, key: string): Promise<string> {
  const response = await request(`http://${IP}:${port}/services/counter/bookings`, {
    method: 'POST',
    headers: { ...buildHeaders(files), 'content-type': 'application/json', 'idempotency-key': key },
    body: JSON.stringify({ board: 'beech-14', slot: '09:00' })
  })
  const text = await response.body.text()
  if (response.statusCode >= 300) throw new Error(`booking answered ${response.statusCode} ${text}`)
  return text
}

async function countRuns (key: string): Promise<number> {
  let runs = 0
  for (const port of [PORTS.counterNorth, PORTS.counterSouth]) {
    const response = await request(`http://${IP}:${port}/counters`)
    const counters = await response.body.json() as { readonly by_key: Readonly<Record<string, number>> }
    runs += counters.by_key[key] ?? 0
  }
  return runs
}

async function takeDomainOutAndIn (processes: Processes, files: DemoFiles, print: Print): Promise<void> {
  const startMs = performance.now()
  await runCommand(processes, files, ['domain', 'out', 'north', '--by', 'demo', '--reason', 'drill'])
  await waitUntil('no address in the domain that is out is offered', async () => (await listOfferedDomains(files)).every(domain => domain === 'south'))
  print(`6. Took failure domain north out; after ${Math.round(performance.now() - startMs)} ms no entry or home there is offered.`)
  print(`   Guidance meanwhile: ${await streamGuidance(files, (await readAnyAddress(files)).addresses[0]?.url ?? '')}`)
  await runCommand(processes, files, ['domain', 'in', 'north', '--by', 'demo', '--reason', 'drill over'])
  await waitUntil('north is offered again', async () => (await listOfferedDomains(files)).includes('north'))
  print('7. Brought failure domain north back in; its entry and homes are offered again.')
  const audit = await runCommand(processes, files, ['audit', '--last', '2'])
  print(`8. The last two changes in the audit trail:\n${audit.trimEnd().split('\n').map(line => `   ${line}`).join('\n')}`)
}

async function readAnyAddress (files: DemoFiles): Promise<AddressResponse> {
  const response = await request(`http://${IP}:${PORTS.entrySouthCallers}/v1/address?service=counter`, { headers: buildHeaders(files) })
  return await response.body.json() as AddressResponse
}

async function listOfferedDomains (files: DemoFiles): Promise<readonly string[]> {
  const address = await readAnyAddress(files)
  return [...address.addresses, ...address.key_tokens].map(({ failure_domain: domain }) => domain)
}

function buildHeaders (files: DemoFiles): Readonly<Record<string, string>> {
  return { authorization: `Bearer ${files.teamKey}` }
}

async function runCommand (processes: Processes, files: DemoFiles, args: readonly string[]): Promise<string> {
  const { code, output } = await processes.run('src/bin/heatherdoor.js', [...args, '--settings', files.cli])
  if (code !== 0) throw new Error(`heatherdoor ${args.join(' ')} ended with ${code}: ${output}`)
  return output
}
