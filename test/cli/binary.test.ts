import test from 'ava'
import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Platform } from '../../standins/platform/platform.js'
import { CONFIGURATION } from '../settings/valid-texts.js'

const BINARY = 'dist/src/bin/heatherdoor.js'
const COMMANDS = ['check', 'team-key', 'operator-key', 'apply', 'domain', 'drain', 'status', 'show', 'profiles', 'audit', 'explain']

interface CommandOutput {
  readonly code: number
  readonly out: string
  readonly error: string
}

async function runBinary (...args: readonly string[]): Promise<CommandOutput> {
  return await new Promise(resolve => {
    execFile(process.execPath, [BINARY, ...args], (failure, out, error) => {
      resolve({ code: typeof failure?.code === 'number' ? failure.code : 0, out, error })
    })
  })
}

// Guards against commands without help and unintended changes of help texts.
test('help of every command', async t => {
  t.snapshot((await runBinary('--help')).out, 'heatherdoor')
  for (const command of COMMANDS) {
    const output = await runBinary(command, '--help')
    t.is(output.code, 0)
    t.snapshot(output.out, command)
  }
})

// Guards against faults that the in-memory platform does not show: the real client with lost responses, lost writes, stale reads, an outage and a slow platform.
test('commands against the platform stand-in', async t => {
  const platform = await Platform.start()
  const folder = mkdtempSync(join(tmpdir(), 'heatherdoor-'))
  t.teardown(async () => {
    await platform.stop()
    rmSync(folder, { recursive: true })
  })
  const settings = join(folder, 'cli.toml')
  const file = join(folder, 'configuration.toml')
  writeFileSync(settings, `[platform]\nurls = ["${platform.url}"]\ntimeout_ms = 5000\n`)
  const run = async (...args: readonly string[]): Promise<CommandOutput> => await runBinary(...args, '--settings', settings)
  const apply = async (weight: number, expect: number): Promise<CommandOutput> => {
    writeFileSync(file, CONFIGURATION.replace('weight = 4', `weight = ${weight}`))
    return await run('apply', file, '--expect', String(expect), '--by', 'eleni', '--reason', 'test')
  }
  t.is((await apply(4, 0)).code, 0)
  platform.applyFaults({ lose_answers: 2 })
  t.is((await apply(5, 1)).code, 0)
  platform.applyFaults({ lose_writes: 2 })
  t.is((await apply(6, 2)).code, 0)
  platform.applyFaults({ stale_reads: 1 })
  const stale = await apply(7, 2)
  t.is(stale.code, 3, stale.error)
  platform.applyFaults({ stale_reads: 0, outage: 'status' })
  t.is((await apply(8, 3)).code, 4)
  platform.applyFaults({ outage: 'none' })
  const audit = JSON.parse((await run('audit', '--json')).out) as { readonly entries: readonly { readonly version: number }[] }
  t.deepEqual(audit.entries.map(({ version }) => version), [1, 2, 3])
  platform.applyFaults({ slow_ms: 1300 })
  const slow = await run('show')
  t.is(slow.code, 0, slow.error)
  t.regex(slow.error, /^2 s: reading the root\n$/)
})
