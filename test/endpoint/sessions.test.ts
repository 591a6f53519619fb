/** Golden sessions of an endpoint process, one per hard case. */

import test from 'ava'
import { Process, World, buildKey, buildSubmit } from './harness.js'

const key = buildKey('k')

test.beforeEach(() => { World.create() })

// Guards against a second run, or a second answer, for a repeat of a key.
test('repeat while running, after the finish, and with another body', t => {
  const home = new Process()
  home.receive(buildSubmit('w1', { key }))
  home.receive(buildSubmit('w2', { key }), 'e2')
  home.finish('w1')
  home.receive(buildSubmit('w3', { key }))
  home.receive(buildSubmit('w4', { key, bodyHash: 'other' }))
  t.snapshot(home.lines)
})
