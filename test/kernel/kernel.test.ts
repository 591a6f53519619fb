import test from 'ava'
import { ERROR_RESPONSES } from '../../src/kernel/errors.js'
import { Kernel } from '../../src/kernel/kernel.js'
import { listPlugins, registerPlugin } from '../../src/kernel/plugin.js'
import { Random } from '../../src/kernel/random.js'
import type { ProcessRef } from '../../src/protocol/messages.js'

const self: ProcessRef = { id: 'e1', role: 'entry', domain: 'a', host: 'h1', address: '127.0.0.1:1', incarnation: 1 }

// Guards against a changed answer going unnoticed: callers depend on this table.
test('error kinds and their answers', t => {
  t.snapshot(ERROR_RESPONSES)
})

// Guards against raised events overtaking events that were queued before them.
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

// Guards against a change of generator that would silently alter every golden session.
test('random numbers are fixed by the seed', t => {
  const random = Random.create(42)
  t.snapshot([random.pickInt(1000), random.pickInt(1000), random.pickHex(8), random.pickFloat()])
})
