/** A request that crashes every endpoint that runs it, among harmless requests. */

import test from 'ava'
import type { Effect } from '../../src/kernel/effects.js'
import { TestProcess, TERMS, FakeCluster, buildProcessRef, buildSubmit } from './harness.js'

const IDS = ['e1', 'e2', 'e3', 'h1', 'h2', 'h3']

// Guards against a third crash, against refusing harmless requests along with the crashing one, and against a suspect that blocks the queue.
test('crashing request through several entries: refused after two crashes; harmless requests complete', t => {
  const refs = IDS.map(id => buildProcessRef(id, id.startsWith('h') ? 'endpoint' : 'entry'))
  FakeCluster.create({ peers: refs, ids: IDS, warmCap: 4, coldCap: 4 })
  const processes = new Map(refs.map(ref => [ref.id, new TestProcess(ref)]))
  const lines: string[] = []
  const applyEffects = (from: string, effects: readonly Effect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'run') lines.push(`${from} runs ${effect.work.workId}`)
      if (effect.kind === 'log') lines.push(`${from} ${effect.event} ${Object.values(effect.fields).join(' ')}`)
      if (effect.kind !== 'send') continue
      if (effect.message.kind === 'refused') lines.push(`${from} refuses ${effect.message.workId}: ${effect.message.error} ${effect.message.outcome}`)
      if (effect.message.kind === 'strikes' && effect.peer !== from) applyEffects(effect.peer, processes.get(effect.peer)!.handle(effect.message, from))
    }
  }
  const submit = (to: string, attempt: number, ...fingerprints: readonly string[]): void => {
    for (const fingerprint of fingerprints) {
      applyEffects(to, processes.get(to)!.handle(buildSubmit(`${fingerprint}${attempt}`, { fingerprint, terms: { ...TERMS, idempotent: true } }), `e${attempt}`))
    }
  }
  const crash = (id: string, ...workIds: readonly string[]): void => {
    for (const workId of workIds) applyEffects(id, processes.get(id)!.dispatch({ kind: 'endpoint-failed', workId, sent: true }))
    applyEffects(id, processes.get(id)!.dispatch({ kind: 'endpoint-crashed', crashId: `crash-${id}` }))
  }
  submit('h1', 1, 'poison', 'a', 'b')
  crash('h1', 'poison1', 'a1', 'b1')
  submit('h2', 2, 'poison', 'a', 'b', 'c')
  crash('h2', 'poison2', 'c2')
  submit('h3', 3, 'poison', 'a', 'b', 'c', 'd')
  for (const id of ['a3', 'b3', 'c3', 'd3']) applyEffects('h3', processes.get('h3')!.completeWork(id))
  submit('h3', 4, 'poison', 'a', 'b', 'c')
  t.snapshot(lines.filter(line => !/^(e2|e3|h1|h2) (request|suspect)/.test(line)))
  for (const process of processes.values()) {
    const quarantine = process.kernel.getPort('quarantine')
    t.deepEqual(['poison', 'a', 'b', 'c'].map(id => [quarantine.isQuarantined(id), quarantine.isSuspect(id)]), [[true, true], [false, false], [false, false], [false, false]])
  }
})
