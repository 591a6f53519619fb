import test from 'ava'
import { RoomAdmission } from '../../src/gateway/room-admission.js'
import type { RoomResult } from '../../src/gateway/room-admission.js'
import type { RoomWait } from '../../src/gateway/room-order.js'
import { RoomQueue } from '../../src/gateway/room-queue.js'
import type { RoomContext, RoomTicket } from '../../src/gateway/room-queue.js'
import type { Selection } from '../../src/plugins/gateway/selection.js'
import { buildView } from './views.js'

/** A queue in virtual time, and what its requests were told. */
class Room {
  readonly queue: RoomQueue
  readonly context: RoomContext
  /** Requests that asked and those that were refused, as `request reserved` and `request refused`. */
  readonly told: string[] = []
  readonly tickets = new Map<string, RoomTicket>()
  nowMs = 0
  #timers: { readonly atMs: number, readonly run: () => void }[] = []

  private constructor () {
    const schedule = (delayMs: number, run: () => void): (() => void) => {
      const timer = { atMs: this.nowMs + delayMs, run }
      this.#timers.push(timer)
      return () => { this.#timers = this.#timers.filter(other => other !== timer) }
    }
    this.context = {
      boundary: { run: (_place: string, work: () => void) => { work() } },
      clock: { schedule },
      getNowMs: () => this.nowMs,
      log () {},
      metrics: { count () {}, observe () {} },
      pickFloat: () => 0
    } as unknown as RoomContext
    this.queue = RoomQueue.create(this.context)
  }

  static create (): Room {
    return new Room()
  }

  /** Lets time pass. */
  advance (elapsedMs: number): void {
    const untilMs = this.nowMs + elapsedMs
    for (;;) {
      const [next] = this.#timers.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)
      if (next === undefined) break
      this.#timers = this.#timers.filter(timer => timer !== next)
      this.nowMs = next.atMs
      next.run()
    }
    this.nowMs = untilMs
  }

  enter (requestId: string, changes: Partial<RoomWait> = {}): void {
    this.tickets.set(requestId, this.queue.enter(this.buildWait(requestId, changes), {
      ask: reserved => { this.told.push(`${requestId} ${reserved}`) },
      refuse: () => { this.told.push(`${requestId} refused`) }
    }))
  }

  /** Starts each request that asks. @returns requests in the order of their starts */
  startAll (): readonly string[] {
    const started: string[] = []
    for (;;) {
      this.told.length = 0
      this.advance(1)
      const [asking] = this.told
      if (asking === undefined) return started
      const [requestId] = asking.split(' ') as [string]
      started.push(requestId)
      this.tickets.get(requestId)!.noteStarted()
    }
  }

  buildWait (requestId: string, changes: Partial<RoomWait> = {}): RoomWait {
    return { requestId, service: 's', team: 'a', priority: 1, tokens: 100, isReturned: false, onTimeUntilMs: this.nowMs + 50_000, untilMs: this.nowMs + 90_000, ...changes }
  }
}

test('a returned caller starts after those of its priority that can be on time, and before less urgent and late ones', t => {
  const room = Room.create()
  room.enter('late', { priority: 0, onTimeUntilMs: 0 })
  room.enter('less-urgent', { priority: 2 })
  room.enter('returned', { isReturned: true, onTimeUntilMs: 0 })
  room.enter('on-time')
  room.enter('more-urgent', { priority: 0 })
  t.deepEqual(room.startAll(), ['more-urgent', 'on-time', 'returned', 'less-urgent', 'late'])
})

test('a slot is kept for the most urgent priority until none of it has come for some time', t => {
  const room = Room.create()
  const reserve = (priority: number): number => room.queue.countReserved(room.buildWait('r', { priority }))
  t.deepEqual([reserve(0), reserve(1)], [0, 1])
  room.advance(4_900)
  t.is(reserve(1), 1)
  room.advance(200)
  t.deepEqual([reserve(1), reserve(2)], [0, 1])
  t.deepEqual([reserve(0), reserve(1)], [0, 1])
})

test('a request with a huge claim of tokens keeps its team waiting no longer than the bound', t => {
  const room = Room.create()
  room.enter('a1', { team: 'a', tokens: 1_000_000_000 })
  room.enter('a2', { team: 'a' })
  for (const name of ['b1', 'b2', 'b3', 'b4']) room.enter(name, { team: 'b', tokens: 4_000 })
  t.deepEqual(room.startAll(), ['a1', 'b1', 'b2', 'b3', 'a2', 'b4'])
})

// Guards against a team that is put back for requests that never started.
test('a team pays nothing for a request whose time ended in the queue', t => {
  const room = Room.create()
  room.enter('b0', { team: 'b', tokens: 1 })
  room.enter('a1', { team: 'a', tokens: 9_000, untilMs: 20 })
  room.advance(30)
  room.tickets.get('b0')!.noteFull()
  room.advance(15)
  t.deepEqual(room.told, ['b0 0', 'a1 refused', 'b0 0'])
  room.enter('b1', { team: 'b', tokens: 1 })
  room.enter('a2', { team: 'a' })
  room.tickets.get('b0')!.noteStarted()
  t.deepEqual(room.startAll(), ['a2', 'b1'])
})

/** Runs a request behind another one; `free` says whether its endpoint can be asked when it looks for one. */
function runBehind (room: Room, free: () => boolean): { readonly results: RoomResult['kind'][], readonly searches: number[] } {
  const results: RoomResult['kind'][] = []
  const searches: number[] = []
  const selection: Selection = { endpoint: buildView('e1'), inFlight: 0, access: { kind: 'unlimited' }, isSampled: true }
  const context = {
    ...room.context,
    roomQueue: room.queue,
    choose: () => {
      searches.push(room.nowMs)
      return free() ? selection : undefined
    },
    chooseLender: () => undefined,
    chooseSoonest: () => undefined,
    listAvailable: () => [selection.endpoint],
    selection: { noteStart () {}, noteEnd () {} }
  } as unknown as Parameters<typeof RoomAdmission.create>[1]
  room.enter('first')
  RoomAdmission.create({ wait: room.buildWait('second', { untilMs: room.nowMs + 100 }), mustStart: false, tried: new Set(), waitMaxMs: 20 }, context, ({ kind }) => { results.push(kind) }).start()
  room.tickets.get('first')!.noteStarted()
  return { results, searches }
}

test('a request in the queue that finds no endpoint to ask goes on waiting, until its time ends', t => {
  const served = Room.create()
  const patient = runBehind(served, () => served.nowMs >= 40)
  served.advance(500)
  t.deepEqual(patient, { results: ['admitted'], searches: [0, 15, 30, 45] })
  const full = Room.create()
  const refused = runBehind(full, () => false)
  full.advance(500)
  t.deepEqual(refused, { results: ['limited'], searches: [0, 15, 30, 45, 60, 75, 90] })
})

test('a request is never asked within a call of another one', t => {
  const room = Room.create()
  room.enter('a')
  room.enter('b')
  t.deepEqual(room.told, [])
  room.advance(0)
  room.tickets.get('a')!.leave()
  t.deepEqual(room.told, ['a 0'])
  room.advance(0)
  t.deepEqual(room.told, ['a 0', 'b 0'])
})
