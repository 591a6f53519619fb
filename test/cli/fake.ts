/** In-memory platform with faults and crashes, and a session that runs commands and records their output. */

import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { AuditLimits } from '../../src/cli/audit.js'
import type { OperationsResult, CommandEnvironment } from '../../src/cli/context.js'
import { runProgram } from '../../src/cli/program.js'
import type { ObjectStore } from '../../src/cli/store.js'
import type { PlatformResult } from '../../src/kernel/events.js'
import { CONFIGURATION } from '../settings/valid-texts.js'

/** `lose`: the call takes effect, its response is lost. `drop`: the call has no effect, its response is lost. `unavailable`: the call fails and has no effect. `die`: the command crashes before the call. `late`: the response is lost, the call takes effect just before the next one. `stale`: a read returns the value before the last write. */
type Fault = 'lose' | 'drop' | 'unavailable' | 'die' | 'late' | 'stale'

interface FaultRule {
  readonly call: string
  readonly fault?: Fault
  readonly before?: () => Promise<void>
  times: number
}

class CrashError extends Error {}

export class FakeStore implements ObjectStore {
  readonly objects = new Map<string, { readonly value: string, readonly revision: number }>()
  readonly calls: string[] = []
  /* Index of the call at which the command crashes. */
  crashesAt: number | undefined
  readonly #previous = new Map<string, { readonly value: string, readonly revision: number }>()
  #rules: FaultRule[] = []
  #revision = 0
  #delayedCall: (() => void) | undefined
  /* Number of event loop turns that the next call waits; interleaves concurrent commands. */
  pickDelayTurns: () => number = () => 0

  /* The rule applies to the next `times` calls that begin with `call`, such as `write config/root`. */
  addRule (call: string, rule: Omit<FaultRule, 'call' | 'times'>, times = 1): void {
    this.#rules.push({ call, ...rule, times })
  }

  async read (key: string): Promise<PlatformResult> {
    return await this.#run(`read ${key}`, () => {
      const object = this.objects.get(key)
      return object === undefined ? { kind: 'missing' } : { kind: 'found', ...object }
    })
  }

  async write (key: string, value: string, revision: number): Promise<PlatformResult> {
    return await this.#run(`write ${key}`, () => {
      if ((this.objects.get(key)?.revision ?? 0) !== revision) return { kind: 'conflict' }
      const present = this.objects.get(key)
      if (present !== undefined) this.#previous.set(key, present)
      this.objects.set(key, { value, revision: ++this.#revision })
      return { kind: 'written', revision: this.#revision }
    })
  }

  async remove (key: string, revision: number): Promise<PlatformResult> {
    return await this.#run(`remove ${key}`, () => {
      if (this.objects.get(key)?.revision !== revision) return { kind: 'conflict' }
      this.objects.delete(key)
      return { kind: 'written', revision: ++this.#revision }
    })
  }

  async #run (call: string, applyCall: () => PlatformResult): Promise<PlatformResult> {
    if (this.calls.push(call) - 1 === this.crashesAt) throw new CrashError('the command crashed')
    const rule = this.#rules.find(({ call: start, times }) => times > 0 && call.startsWith(start))
    if (rule !== undefined) rule.times -= 1
    if (rule?.before !== undefined) await rule.before()
    for (let turns = this.pickDelayTurns(); turns > 0; turns--) await new Promise(resolve => { setImmediate(resolve) })
    switch (rule?.fault) {
      case 'die': throw new CrashError('the command crashed')
      case 'unavailable': return { kind: 'unavailable' }
      case 'drop': return { kind: 'unknown' }
      case 'stale': {
        const previous = this.#previous.get(call.replace('read ', ''))
        return previous === undefined ? { kind: 'missing' } : { kind: 'found', ...previous }
      }
      case 'late':
        this.#delayedCall = () => { applyCall() }
        return { kind: 'unknown' }
      case 'lose':
        applyCall()
        return { kind: 'unknown' }
      default: {
        const delayedCall = this.#delayedCall
        this.#delayedCall = undefined
        delayedCall?.()
        return applyCall()
      }
    }
  }
}

/** Runs commands against the fake platform and records what they print. */
export class Session {
  readonly store = new FakeStore()
  readonly folder = mkdtempSync(join(tmpdir(), 'heatherdoor-'))
  readonly transcript: string[] = []
  operations: (url: string) => OperationsResult = () => ({ kind: 'unreachable', reason: 'connection refused' })
  gateway: (url: string, headers: Readonly<Record<string, string>>) => OperationsResult = () => ({ kind: 'unreachable', reason: 'connection refused' })
  auditLimits: AuditLimits = { pageMaxBytes: 100_000, pagesKept: 4, partVersionsKept: 3 }
  #ids = 0

  static create (): Session {
    const session = new Session()
    session.writeFile('cli.toml', 'operations_urls = ["http://entry-1", "http://entry-2"]\n\n[platform]\nurls = ["http://platform"]\n')
    session.writeFile('a.toml', CONFIGURATION)
    session.writeFile('b.toml', CONFIGURATION.replace('weight = 4', 'weight = 8'))
    return session
  }

  writeFile (name: string, text: string): void {
    writeFileSync(join(this.folder, name), text)
  }

  /* File names are relative to the session's folder; an argument with spaces stands in double quotes. */
  async run (line: string): Promise<number> {
    const args = [...line.matchAll(/"([^"]*)"|\S+/g)].map(match => match[1] ?? match[0])
      .map(arg => /\.(toml|key)$/.test(arg) ? join(this.folder, arg) : arg)
    const printed: string[] = []
    const writeText = (text: string): void => { printed.push(text.replaceAll(`${this.folder}/`, '').trimEnd()) }
    const index = this.transcript.push('') - 1
    const code = await runProgram([...args, '--settings', join(this.folder, 'cli.toml')], this.#buildEnvironment(), { writeOut: writeText, writeError: writeText })
    this.transcript[index] = `$ heatherdoor ${line}\n${printed.join('\n')}\n[${code}]`
    return code
  }

  formatTranscript (): string {
    return this.transcript.join('\n\n')
  }

  #buildEnvironment (): CommandEnvironment {
    return {
      openStore: () => this.store,
      readOperations: async (_settings, url) => this.operations(url),
      readGateway: async (url, headers) => this.gateway(url, headers),
      getTime: () => `2026-03-01T00:00:${String(this.#ids).padStart(2, '0')}.000Z`,
      createRandomHex: length => String(++this.#ids).padStart(length, '0'),
      wait: async () => {},
      reportProgress: () => {},
      auditLimits: this.auditLimits
    }
  }
}
