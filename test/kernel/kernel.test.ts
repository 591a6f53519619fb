import test from 'ava'
import { ERROR_RESPONSES } from '../../src/kernel/errors.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { listPlugins, registerPlugin } from '../../src/kernel/plugin.js'
import { Random } from '../../src/kernel/random.js'
import type { ProcessRef } from '../../src/protocol/messages.js'

const self: ProcessRef = { id: 'e1', role: 'entry', domain: 'a', host: 'h1', address: '127.0.0.1:1', incarnation: 1 }

// Guards against unnoticed changes of the error responses, on which callers depend.
test('error kinds and their responses', t => {
  t.snapshot(ERROR_RESPONSES)
})

// Guards against raised events that are handled before events that were queued earlier.
test('raised events are handled in order within the same dispatch', t => {
  registerPlugin({
    name: 'first',
    roles: ['entry'],
    create: () => ({
      name: 'first',
      subscribesTo: ['tick'],
      handle: (_event, context) => {
        context.raise({ kind: 'configuration-changed', version: 7 })
        context.emit({ kind: 'log', event: 'process-started', fields: { order: 1 } })
      }
    })
  })
  registerPlugin({
    name: 'second',
    roles: ['entry'],
    create: () => ({
      name: 'second',
      subscribesTo: ['tick', 'configuration-changed'],
      handle: (event, context) => {
        context.emit({ kind: 'log', event: 'process-started', fields: { order: event.kind === 'tick' ? 2 : 3 } })
      }
    })
  })
  t.throws(() => { registerPlugin(listPlugins('entry')[0]!) }, { message: 'plug-in first is registered twice' })
  const kernel = Kernel.create({ self, seed: 1, settings: { clusterSecret: 's', seeds: [] } })
  t.snapshot(kernel.dispatch({ kind: 'tick' }, 10))
})

// Guards against a change of the generator, which would alter the snapshots of all simulated sessions.
test('the same seed gives the same random numbers', t => {
  const random = Random.create(42)
  t.snapshot([random.pickInt(1000), random.pickInt(1000), random.pickHex(8), random.pickFloat()])
})
