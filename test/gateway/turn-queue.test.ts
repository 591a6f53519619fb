import test from 'ava'
import { TurnQueue } from '../../src/gateway/turn-queue.js'

test('calls are made in order, a bounded number in a turn, and later ones wait for theirs', t => {
  const turns: (() => void)[] = []
  const called: string[] = []
  const queue = TurnQueue.create(run => { turns.push(run) }, 2)
  for (const name of ['a', 'b', 'c']) queue.add(() => { called.push(name) })
  t.is(turns.length, 1)
  turns.shift()!()
  t.deepEqual(called, ['a', 'b'])
  queue.add(() => {
    called.push('d')
    queue.add(() => { called.push('e') })
  })
  t.is(turns.length, 1)
  turns.shift()!()
  t.deepEqual(called, ['a', 'b', 'c', 'd'])
  turns.shift()!()
  t.deepEqual(called, ['a', 'b', 'c', 'd', 'e'])
  t.is(turns.length, 0)
})
