import test from 'ava'
import { waitUntil } from '../../bench/processes/ready.js'
import { LiveDeployment } from './live-deployment.js'

const wait = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

// Guards against a second run of a booking after its home was killed and replaced by an empty process.
test.serial('a booking whose home is killed gets outcome unknown and is not run again', async t => {
  const live = await LiveDeployment.start({ serviceMs: 1_500 })
  try {
    const key = await live.createKey('counter-0', 'k')
    const first = live.sendBooking(0, key)
    await waitUntil('the booking runs', async () => await live.countRuns(key) === 1)
    live.signal('counter-0', 'SIGKILL')
    t.is((await first).outcome, 'unknown')
    live.startProcess('counter-0')
    await waitUntil('the new home is offered', async () => (await live.listTokens(1)).some(({ home }) => home === 'counter-0'))
    for (const entry of [0, 1]) {
      const { status, outcome, kind } = await live.sendBooking(entry, key)
      t.deepEqual({ status, outcome, kind }, { status: 409, outcome: 'unknown', kind: 'home-lost' })
    }
    t.is(await live.countRuns(key), 1)
    const fresh = await live.createKey('counter-0', 'k')
    t.is((await live.sendBooking(0, fresh)).status, 201)
    t.is(await live.countRuns(fresh), 1)
  } finally {
    await live.kill()
  }
})

// Guards against a lost or duplicated booking when the entry that forwarded it is killed.
test.serial('a retry through another entry gets the response of a booking whose entry was killed', async t => {
  const live = await LiveDeployment.start({ serviceMs: 1_500 })
  try {
    const key = await live.createKey('counter-1', 'k')
    const first = live.sendBooking(0, key).then(() => 'answered', () => 'broken')
    await waitUntil('the booking runs', async () => await live.countRuns(key) === 1)
    live.signal('entry-0', 'SIGKILL')
    t.is(await first, 'broken')
    t.is((await live.sendBooking(1, key)).status, 201)
    t.is((await live.sendBooking(1, key)).status, 201)
    t.is(await live.countRuns(key), 1)
  } finally {
    await live.kill()
  }
})

// Guards against a booking that runs after its caller was told an outcome: a home suspended by SIGSTOP still has its queue when it resumes.
test.serial('a home suspended by SIGSTOP does not run its queued bookings when it resumes', async t => {
  const live = await LiveDeployment.start({ serviceMs: 1_000, warmCap: 1 })
  try {
    const running = await live.createKey('counter-0', 'running')
    const waiting = await live.createKey('counter-0', 'waiting')
    const answers = [live.sendBooking(0, running)]
    await waitUntil('the first booking runs', async () => await live.countRuns(running) === 1)
    answers.push(live.sendBooking(0, waiting))
    await wait(200)
    live.signal('counter-0', 'SIGSTOP')
    t.deepEqual((await Promise.all(answers)).map(({ outcome }) => outcome), ['unknown', 'unknown'])
    live.signal('counter-0', 'SIGCONT')
    await waitUntil('the home reports the outcome of the waiting booking', async () => await live.lookUpOutcome(1, waiting) === 'not-run')
    await wait(2_000)
    t.is(await live.countRuns(running), 1)
    t.is(await live.countRuns(waiting), 0)
    t.is((await live.sendBooking(1, waiting)).outcome, 'not-run')
    t.is(await live.countRuns(waiting), 0)
  } finally {
    await live.kill()
  }
})

// Guards against requests that are cut off by a planned stop of an endpoint process.
test.serial('every booking succeeds and runs once during a planned stop of a home', async t => {
  const live = await LiveDeployment.start({ serviceMs: 100 })
  try {
    const results: string[] = []
    let stopping = false
    const callers = Array.from({ length: 6 }, async (_, caller) => {
      for (let index = 0; index < 25; index += 1) {
        const tokens = await live.listTokens(caller % 2)
        const token = tokens[index % Math.max(1, tokens.length)]
        await wait(100)
        const key = `${token?.token ?? ''}.c${caller}-${index}`
        const { status, kind } = await live.sendBooking(caller % 2, key)
        results.push(`${status} ${kind} ${await live.countRuns(key)}`)
        if (results.length > 30 && !stopping) {
          stopping = true
          live.signal('counter-0', 'SIGTERM')
        }
      }
    })
    await Promise.all(callers)
    t.deepEqual([...new Set(results)], ['201  1'])
    t.is(results.length, 150)
    t.is(await live.waitForExit('counter-0'), 0)
  } finally {
    await live.kill()
  }
})

// Guards against bookings that depend on the platform, and against processes that cannot start without it.
test.serial('an entry starts and bookings run while the platform is down', async t => {
  const live = await LiveDeployment.start()
  try {
    live.signal('platform', 'SIGKILL')
    live.signal('entry-0', 'SIGKILL')
    live.startProcess('entry-0')
    await waitUntil('the new entry offers homes', async () => (await live.listTokens(0)).length === 2)
    for (const entry of [0, 1]) {
      const key = await live.createKey(`counter-${entry}`, `k${entry}`)
      t.is((await live.sendBooking(entry, key)).status, 201)
      t.is(await live.countRuns(key), 1)
    }
  } finally {
    await live.kill()
  }
})

// Guards against requests that hang on a connection which passes no more data but stays open.
test.serial('a connection that passes no data is replaced and the outcome of its request queried', async t => {
  const live = await LiveDeployment.start({ serviceMs: 1_000, usesRelay: true })
  try {
    const key = await live.createKey('counter-0', 'k')
    const startMs = performance.now()
    const first = live.sendBooking(0, key)
    await waitUntil('the booking runs', async () => await live.countRuns(key) === 1)
    live.silenceRelay()
    const { outcome } = await first
    t.true(['run', 'unknown'].includes(outcome), outcome)
    t.true(performance.now() - startMs < 8_000)
    await waitUntil('the response is available again', async () => (await live.sendBooking(0, key)).status === 201)
    t.is(await live.countRuns(key), 1)
  } finally {
    await live.kill()
  }
})

// Guards against missing or repeated chunks, or a missing end, when an engine crashes during a stream.
test.serial('a stream resumes on another engine after its engine crashes', async t => {
  const live = await LiveDeployment.start()
  try {
    const whole = (await live.sendCompletion(0, 'blend')).body
    const broken = live.sendCompletion(1, 'blend')
    let running = -1
    await waitUntil('an engine runs the request', async () => {
      for (const index of [0, 1]) {
        if ((await live.readCounters('guidance', index)).running > 0) running = index
      }
      return running >= 0
    })
    await wait(300)
    await live.applyFault('guidance', running, { crash: true })
    t.is((await broken).body, whole)
  } finally {
    const ended = await live.stop()
    t.deepEqual(ended.filter(({ code }) => code !== 0), [])
  }
})

// Guards against new work for a host that the platform lists as leaving when its own processes do not announce it.
test.serial('a host that the platform lists as leaving gets no new work', async t => {
  const live = await LiveDeployment.start()
  try {
    await live.updateHosts([{ name: 'counter-0-host', state: 'leaving' }])
    await waitUntil('no entry offers its home', async () => {
      const offered = [...await live.listTokens(0), ...await live.listTokens(1)].map(({ home }) => home)
      return offered.length > 0 && !offered.includes('counter-0')
    })
    const before = await live.readCounters('counter', 0)
    for (const entry of [0, 1, 0, 1]) t.is((await live.sendBooking(entry)).status, 201)
    t.deepEqual(await live.readCounters('counter', 0), before)
  } finally {
    await live.kill()
  }
})
