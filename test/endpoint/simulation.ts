/**
 * Simulates two endpoint processes, several entries and a network that reorders,
 * repeats and loses messages. Records every run and response, and the violations
 * found.
 */

import type { Effect } from '../../src/kernel/effects.js'
import type { Message, Submit } from '../../src/protocol/messages.js'
import { TestProcess, TERMS, FakeCluster, buildKey, buildProcessRef, buildSubmit } from './harness.js'

const TICK_MS = 1_900
const SETTLE_DELIVERIES = 12
const PROCESSES = ['h1', 'h2'] as const
type ProcessId = typeof PROCESSES[number]

/**
 * One step of a session. `pick` is an index into the list that the step chooses from,
 * modulo its length. With `moved`, a key of `h1` is sent to its successor if there is one.
 */
export type Step =
  | { readonly kind: 'send', readonly entry: number, readonly key: number, readonly body: number, readonly moved: boolean }
  | { readonly kind: 'resend', readonly entry: number, readonly pick: number, readonly moved: boolean }
  /** Delivers up to `SETTLE_DELIVERIES` messages, in an order given by `pick`. */
  | { readonly kind: 'settle', readonly pick: number }
  | { readonly kind: 'cancel' | 'query' | 'deliver' | 'repeat' | 'lose', readonly pick: number }
  | { readonly kind: 'end', readonly pick: number, readonly result: 'whole' | 'broken' | 'unsent' }
  | { readonly kind: 'wait' | 'pause', readonly ms: number }
  | { readonly kind: 'kill', readonly id: ProcessId }
  | { readonly kind: 'leave' }

interface Envelope { readonly from: string, readonly to: string, readonly incarnation: number, readonly message: Message }
interface Attempt { readonly work: Submit, readonly to: ProcessId, readonly chunks: Map<number, string> }

export class Simulation {
  readonly violations: string[] = []
  /** Counts of runs, of runs of handed-over keys at the successor, and of keys or bodies reported as not run. */
  readonly counts = { runs: 0, movedRuns: 0, notRun: 0 }
  readonly #processes = new Map<ProcessId, TestProcess>(PROCESSES.map(id => [id, new TestProcess(buildProcessRef(id))]))
  readonly #attempts: Attempt[] = []
  readonly #running: { readonly id: ProcessId, readonly process: TestProcess, readonly work: Submit }[] = []
  readonly #runsByKey = new Map<string, string[]>()
  readonly #notRun = new Set<string>()
  readonly #waitingBeforePause = new Set<string>()
  #inTransit: Envelope[] = []
  #successor: ProcessId | undefined

  constructor () {
    // A cap of 1 makes most work wait.
    FakeCluster.create({ peers: PROCESSES.map(id => buildProcessRef(id)), warmCap: 1, coldCap: 1 })
  }

  apply (step: Step): void {
    switch (step.kind) {
      case 'send': return this.#sendNew(step)
      case 'resend': return this.#handlePick(this.#attempts, step.pick, ({ work }) => { this.#sendSubmit(work, step) })
      case 'cancel': return this.#handlePick(this.#attempts, step.pick, attempt => { this.#addMessage('e', attempt.to, { kind: 'cancel', workId: attempt.work.workId }) })
      case 'query': return this.#handlePick(this.#attempts, step.pick, ({ work, to }) => {
        this.#addMessage('e', to, { kind: 'query', queryId: work.key!.text, team: work.team, service: work.service, key: work.key! })
      })
      case 'settle': {
        for (let count = 0; count < SETTLE_DELIVERIES; count++) this.apply({ kind: 'deliver', pick: step.pick })
        return
      }
      case 'deliver': return this.#handlePick(this.#inTransit, step.pick, envelope => {
        this.#inTransit = this.#inTransit.filter(other => other !== envelope)
        this.#dispatch(envelope)
      })
      case 'repeat': return this.#handlePick(this.#inTransit, step.pick, envelope => { this.#dispatch(envelope) })
      case 'lose': return this.#handlePick(this.#inTransit, step.pick, envelope => { this.#inTransit = this.#inTransit.filter(other => other !== envelope) })
      case 'end': return this.#handlePick(this.#running, step.pick, run => { this.#endRun(run, step.result) })
      case 'wait': return this.#wait(step.ms)
      case 'pause': return this.#pauseProcesses(step.ms)
      case 'kill': return this.#restartProcess(step.id)
      case 'leave': return this.#applyEffects('h1', this.#processes.get('h1')!.dispatch({ kind: 'leave-requested', deadlineMs: 600_000 }))
    }
  }

  /** Delivers the remaining messages and compares the reported outcomes with the runs. */
  check (): void {
    while (this.#inTransit.length > 0) this.apply({ kind: 'deliver', pick: 0 })
    this.counts.notRun = this.#notRun.size
    for (const [key, bodies] of this.#runsByKey) {
      if (bodies.length > 1) this.violations.push(`${key} ran ${bodies.length} times`)
      for (const body of bodies) if (this.#notRun.has(`${key} ${body}`) || this.#notRun.has(key)) this.violations.push(`${key} ${body} was reported as not run but ran`)
    }
  }

  #sendNew (step: Extract<Step, { kind: 'send' }>): void {
    // Keys of both processes and of the second incarnation of the first.
    const [home, incarnation] = step.key % 4 === 3 ? ['h2', 1] as const : ['h1', step.key % 4 === 2 ? 2 : 1] as const
    this.#sendSubmit(buildSubmit('', { key: buildKey(`k${step.key}`, 0, home, incarnation), bodyHash: `b${step.body}`, terms: TERMS, timeLeftMs: 60_000 }), step)
  }

  #sendSubmit (template: Submit, { entry, moved }: { readonly entry: number, readonly moved: boolean }): void {
    const home = template.key!.home as ProcessId
    const to = moved && home === 'h1' ? this.#successor ?? home : home
    const work = { ...template, workId: `w${this.#attempts.length}` }
    this.#attempts.push({ work, to, chunks: new Map() })
    this.#addMessage(`e${entry}`, to, work)
  }

  #handlePick<T> (list: readonly T[], pick: number, act: (item: T) => void): void {
    const item = list[pick % list.length]
    if (item !== undefined) act(item)
  }

  #addMessage (from: string, to: string, message: Message): void {
    this.#inTransit.push({ from, to, incarnation: this.#processes.get(to as ProcessId)?.self.incarnation ?? 0, message })
  }

  #dispatch ({ from, to, incarnation, message }: Envelope): void {
    const process = this.#processes.get(to as ProcessId)
    if (process === undefined) return this.#checkReply(message)
    // A connection ends with its process, so nothing reaches a later incarnation.
    if (process.self.incarnation === incarnation) this.#applyEffects(to as ProcessId, process.handle(message, from))
  }

  #applyEffects (id: ProcessId, effects: readonly Effect[]): void {
    const process = this.#processes.get(id)!
    for (const effect of effects) {
      if (effect.kind === 'send') this.#addMessage(id, effect.peer, effect.message)
      if (effect.kind === 'run') this.#noteRun(id, process, effect.work)
    }
    if (id === 'h1') this.#successor = process.kernel.getPort('outcomes').getMovedTo() as ProcessId | undefined ?? this.#successor
  }

  #noteRun (id: ProcessId, process: TestProcess, work: Submit): void {
    this.counts.runs += 1
    if (work.key!.home !== id) this.counts.movedRuns += 1
    this.#running.push({ id, process, work })
    const bodies = this.#runsByKey.get(work.key!.text)
    if (bodies === undefined) this.#runsByKey.set(work.key!.text, [work.bodyHash])
    else bodies.push(work.bodyHash)
    if (this.#waitingBeforePause.has(work.workId)) this.violations.push(`${work.workId} waited before a pause and ran after it`)
  }

  #endRun (run: { readonly id: ProcessId, readonly process: TestProcess, readonly work: Submit }, result: 'whole' | 'broken' | 'unsent'): void {
    const { id, process, work } = run
    this.#running.splice(this.#running.indexOf(run), 1)
    if (process !== this.#processes.get(id)) return
    if (result === 'unsent') this.#runsByKey.get(work.key!.text)!.splice(this.#runsByKey.get(work.key!.text)!.indexOf(work.bodyHash), 1)
    if (result !== 'whole') return this.#applyEffects(id, process.dispatch({ kind: 'endpoint-failed', workId: work.workId, sent: result !== 'unsent' }))
    this.#applyEffects(id, process.dispatch({ kind: 'endpoint-head', workId: work.workId, status: 200, headers: [] }))
    for (const text of [work.key!.text, work.bodyHash]) this.#applyEffects(id, process.dispatch({ kind: 'endpoint-chunk', workId: work.workId, data: Buffer.from(text) }))
    this.#applyEffects(id, process.dispatch({ kind: 'endpoint-ended', workId: work.workId }))
  }

  #wait (ms: number): void {
    for (let left = ms; left > 0; left -= TICK_MS) {
      for (const [id, process] of this.#processes) {
        process.nowMs += Math.min(left, TICK_MS)
        // Entries send heartbeats, so that no attempt is dropped as silent.
        for (const entry of ['e0', 'e1', 'e2']) process.handle({ kind: 'heartbeat', incarnation: 1, configVersion: 1 }, entry)
        this.#applyEffects(id, process.dispatch({ kind: 'tick' }))
      }
    }
  }

  #pauseProcesses (ms: number): void {
    const running = new Set(this.#running.map(run => run.work.workId))
    for (const { work } of this.#attempts) if (!running.has(work.workId) && this.#isDelivered(work.workId)) this.#waitingBeforePause.add(work.workId)
    for (const process of this.#processes.values()) process.nowMs += ms
  }

  /** Whether the attempt was delivered; while in transit, it does not wait at the process. */
  #isDelivered (workId: string): boolean {
    return !this.#inTransit.some(({ message }) => message.kind === 'submit' && message.workId === workId)
  }

  #restartProcess (id: ProcessId): void {
    const { self, nowMs } = this.#processes.get(id)!
    const process = new TestProcess(buildProcessRef(id, 'endpoint', 'a', self.incarnation + 1))
    process.nowMs = nowMs
    this.#processes.set(id, process)
  }

  #checkReply (message: Message): void {
    if (message.kind === 'query-answer') return this.#noteOutcome(message.queryId, message.queryId, message.state)
    if (!('workId' in message)) return
    const attempt = this.#attempts.find(({ work }) => work.workId === message.workId)!
    const { work, chunks } = attempt
    if (message.kind === 'chunk') chunks.set(message.index, Buffer.from(message.data).toString())
    if (message.kind === 'refused' || message.kind === 'cancelled') this.#noteOutcome(work.key!.text, `${work.key!.text} ${work.bodyHash}`, message.outcome)
    const [key, body] = [chunks.get(0) ?? work.key!.text, chunks.get(1) ?? work.bodyHash]
    if (key !== work.key!.text || body !== work.bodyHash || chunks.size > 2) this.violations.push(`${work.workId} got the response of ${key} ${body}`)
    if (message.kind === 'end' && message.chunks !== 2) this.violations.push(`${work.workId} ended with ${message.chunks} chunks`)
  }

  #noteOutcome (key: string, subject: string, outcome: string): void {
    if (outcome === 'not-run') this.#notRun.add(subject)
    if (outcome === 'run' && (this.#runsByKey.get(key) ?? []).length === 0) this.violations.push(`${key} was reported as run but did not run`)
  }
}
