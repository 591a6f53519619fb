import test from 'ava'
import type { ExecutionContext } from 'ava'
import type { ChildProcess } from 'node:child_process'
import { readFileSync, readdirSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { LiveDeployment } from './live-deployment.js'

const IP = '127.0.0.1'

/** Limits of the processes, low enough for a small crowd to reach them. */
const LIMITS = { heapMb: 64, descriptors: 768 }

/** Memory that a crowd may add to that of the calm process, in MB. */
const MEMORY_ADDED_MAX_MB = 200

/** Descriptors that stay free for endpoints, peers, the platform and operators. */
const FREE_DESCRIPTORS_MIN = 96

const SAMPLE_INTERVAL_MS = 20

/** A crowd presses on until no connection was accepted for the first time, at most for the second, in ms. */
const SETTLED_MS = 4_000
const CROWD_MS_MAX = 30_000

/** More than the operating system buffers for a connection, and not so much that the entry gives one up. */
const ANSWER_BYTES = 6 * 1024 * 1024

const BOOKING = JSON.stringify({ board: 'b', slot: '1' })

/** Samples what a process takes. */
class Usage {
  readonly #child: ChildProcess
  readonly #calmMb: number
  readonly #timer: NodeJS.Timeout
  #memoryMb = 0
  #descriptors = 0

  private constructor (child: ChildProcess) {
    this.#child = child
    this.#calmMb = this.#readResidentMb()
    this.#timer = setInterval(() => { this.#sample() }, SAMPLE_INTERVAL_MS)
  }

  static create (child: ChildProcess): Usage {
    return new Usage(child)
  }

  /** Waits until the process has accepted what it accepts of a crowd, however slow the machine is. */
  async waitUntilSettled (): Promise<void> {
    const endMs = performance.now() + CROWD_MS_MAX
    let most = 0
    let sinceMs = performance.now()
    while (performance.now() < endMs && performance.now() - sinceMs < SETTLED_MS && this.#child.exitCode === null && this.#child.signalCode === null) {
      if (this.#descriptors > most) sinceMs = performance.now()
      most = this.#descriptors
      await wait(SAMPLE_INTERVAL_MS)
    }
  }

  /** Checks that the process lives and stayed within its bounds. */
  check (t: ExecutionContext): void {
    clearInterval(this.#timer)
    t.log(`peak ${Math.round(this.#memoryMb)} MB (${Math.round(this.#calmMb)} MB calm), ${this.#descriptors} descriptors of ${LIMITS.descriptors}`)
    t.deepEqual([this.#child.exitCode, this.#child.signalCode], [null, null], 'the process lives')
    t.true(this.#memoryMb - this.#calmMb <= MEMORY_ADDED_MAX_MB, `${Math.round(this.#memoryMb - this.#calmMb)} MB were added`)
    t.true(this.#descriptors <= LIMITS.descriptors - FREE_DESCRIPTORS_MIN, `${this.#descriptors} descriptors were open`)
  }

  #sample (): void {
    try {
      this.#memoryMb = Math.max(this.#memoryMb, this.#readResidentMb())
      this.#descriptors = Math.max(this.#descriptors, readdirSync(`/proc/${this.#child.pid!}/fd`).length)
    } catch {
      // The process has ended, which `check` reports.
    }
  }

  #readResidentMb (): number {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${this.#child.pid!}/status`, 'utf8'))?.[1]) / 1024
  }
}

function openSocket (port: number): Socket {
  return connect({ host: IP, port }).on('error', () => {})
}

/** Opens a connection whose answers are never read. */
function openUnread (port: number): Socket {
  return openSocket(port).pause()
}

function formatBooking (live: LiveDeployment, key: string, bodyBytes = BOOKING.length): string {
  return `POST /services/counter/bookings HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${live.files.teamKey}\r\nidempotency-key: ${key}\r\ncontent-length: ${bodyBytes}\r\n\r\n`
}

/** Presses for a while, leaves, and checks the process and one ordinary request. */
async function checkCrowd (t: ExecutionContext, live: LiveDeployment, name: string, press: () => Promise<readonly Socket[]>): Promise<void> {
  const usage = Usage.create(live.findChild(name))
  const sockets = await press()
  await usage.waitUntilSettled()
  for (const socket of sockets) socket.destroy()
  await wait(1_000)
  usage.check(t)
  t.is((await live.sendCompletion(0, 'ordinary')).status, 200, 'an ordinary request is answered')
}

/** Replaces the endpoints by ones whose answers are large. */
async function answerAtLength (t: ExecutionContext, live: LiveDeployment): Promise<void> {
  const answer = Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${ANSWER_BYTES}\r\n\r\n`), Buffer.alloc(ANSWER_BYTES, 'x')])
  for (const index of [0, 1]) {
    live.signal(`service-${index}`, 'SIGKILL')
    await live.waitForExit(`service-${index}`)
    const endpoint = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => { socket.write(String(data).startsWith('GET /v1/load') ? 'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n' : answer) })
    }).listen(live.findTargetPort('counter', index), IP)
    t.teardown(() => { endpoint.close() })
  }
  await wait(3_000)
}

function formatLargeRequest (live: LiveDeployment): string {
  return `GET /services/counter/large HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${live.files.teamKey}\r\n\r\n`
}

async function startDeployment (t: ExecutionContext, serviceMs: number): Promise<LiveDeployment> {
  const live = await LiveDeployment.start({ serviceMs, limits: LIMITS })
  t.teardown(async () => { await live.kill() })
  return live
}

// Guards against callers that end an entry by sending requests ahead: each one that runs takes memory, however few the connections.
test.serial('requests sent ahead to an endpoint that stands still, on connections that are not read, leave an entry within its memory', async t => {
  const connections = 20
  const ahead = 400
  const live = await startDeployment(t, 50)
  const { token = '', home = '' } = (await live.listTokens(0))[0] ?? {}
  live.signal(home, 'SIGSTOP')
  await checkCrowd(t, live, 'entry-0', async () => Array.from({ length: connections }, (_, connection) => {
    const socket = openUnread(live.files.findEntryPorts(0).callers)
    for (let request = 0; request < ahead; request += 1) socket.write(`${formatBooking(live, `${token}.ahead-${connection}-${request}`)}${BOOKING}`)
    return socket
  }))
})

// Guards against requests that are run for a caller that has ended its side and reads nothing.
test.serial('requests that are sent ahead before a connection is half closed leave an entry within its memory', async t => {
  const live = await startDeployment(t, 50)
  const { token = '', home = '' } = (await live.listTokens(0))[0] ?? {}
  live.signal(home, 'SIGSTOP')
  await checkCrowd(t, live, 'entry-0', async () => Array.from({ length: 40 }, (_, connection) => {
    const socket = openUnread(live.files.findEntryPorts(0).callers)
    const requests = Array.from({ length: 200 }, (_value, request) => `${formatBooking(live, `${token}.half-${connection}-${request}`)}${BOOKING}`)
    return socket.end(requests.join(''))
  }))
})

// Guards against answers that are each within the limit of one response, but take all memory together.
test.serial('large answers on connections that are not read leave an entry within its memory', async t => {
  const connections = 100
  const live = await startDeployment(t, 50)
  await answerAtLength(t, live)
  await checkCrowd(t, live, 'entry-0', async () => Array.from({ length: connections }, () => {
    const socket = openUnread(live.files.findEntryPorts(0).callers)
    socket.write(formatLargeRequest(live))
    return socket
  }))
})

// Guards against answers that pile up behind callers that read a byte a second, and so make some progress.
test.serial('large answers to callers that read a byte a second leave an entry within its memory', async t => {
  const connections = 100
  const live = await startDeployment(t, 50)
  await answerAtLength(t, live)
  const callers: Socket[] = []
  const timer = setInterval(() => { for (const caller of callers) caller.resume() }, 1_000)
  t.teardown(() => { clearInterval(timer) })
  await checkCrowd(t, live, 'entry-0', async () => {
    for (let index = 0; index < connections; index += 1) {
      const caller = connect({ host: IP, port: live.files.findEntryPorts(0).callers, onread: { buffer: Buffer.alloc(1), callback: () => false } }).on('error', () => {})
      caller.write(formatLargeRequest(live))
      callers.push(caller)
    }
    return callers
  })
})

// Guards against callers that take the descriptors and memory that an entry needs for endpoints, peers and the platform.
test.serial('many connections, of which part leave in the middle of head, body and answer, leave an entry within its descriptors', async t => {
  const connections = 800
  const live = await startDeployment(t, 100)
  const { token = '' } = (await live.listTokens(0))[0] ?? {}
  await checkCrowd(t, live, 'entry-0', async () => {
    const sockets: Socket[] = []
    for (let index = 0; index < connections; index += 1) {
      const socket = openSocket(live.files.findEntryPorts(0).callers)
      const head = formatBooking(live, `${token}.leaving-${index}`)
      // Whole request, part of the head, part of the body; the last kind is gone when its answer comes.
      const sent = [`${head}${BOOKING}`, head.slice(0, 60), `${head}${BOOKING.slice(0, 5)}`, `${head}${BOOKING}`][index % 4]!
      socket.write(sent, () => { if (index % 8 >= 4) setTimeout(() => { socket.destroy() }, index % 50) })
      sockets.push(socket)
      if (index % 20 === 0) await wait(10)
    }
    return sockets
  })
})

// Guards against callers that end an entry by bodies that are each within the limit.
test.serial('large bodies on many connections leave an entry within its memory', async t => {
  const connections = 100
  const bodyBytes = 4 * 1024 * 1024
  const live = await startDeployment(t, 1_000)
  const { token = '' } = (await live.listTokens(0))[0] ?? {}
  await checkCrowd(t, live, 'entry-0', async () => Array.from({ length: connections }, (_, index) => {
    const socket = openUnread(live.files.findEntryPorts(0).callers)
    socket.write(formatBooking(live, `${token}.body-${index}`, bodyBytes))
    // All but the last bytes, so that none is forwarded.
    socket.write(Buffer.alloc(bodyBytes - 10, 'x'))
    return socket
  }))
})

// Guards against strangers that end a process at its peer listener, by plain HTTP or by messages before the handshake.
for (const [name, port] of [['entry-0', (live: LiveDeployment) => live.files.findEntryPorts(0).peers], ['counter-0', (live: LiveDeployment) => live.files.findEndpointPorts(0).peers]] as const) {
  const upgrade = 'GET / HTTP/1.1\r\nhost: peer\r\nupgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-key: MDEyMzQ1Njc4OWFiY2RlZg==\r\nsec-websocket-version: 13\r\n\r\n'

  test.serial(`plain requests sent ahead to the peer listener leave ${name} within its memory`, async t => {
    const live = await startDeployment(t, 50)
    await checkCrowd(t, live, name, async () => Array.from({ length: 20 }, () => {
      const socket = openUnread(port(live))
      socket.write('GET / HTTP/1.1\r\nhost: peer\r\n\r\n'.repeat(5_000))
      return socket
    }))
  })

  // All that was sent waits when the process reads again, as on a machine that is busy for a moment: none of it has been answered before the next is read.
  test.serial(`plain requests sent ahead to the peer listener while ${name} stands still leave it within its memory`, async t => {
    const live = await startDeployment(t, 50)
    await checkCrowd(t, live, name, async () => {
      live.signal(name, 'SIGSTOP')
      const sockets = await Promise.all(Array.from({ length: 20 }, async () => {
        const socket = openUnread(port(live))
        await new Promise(resolve => { socket.write('GET / HTTP/1.1\r\nhost: peer\r\n\r\n'.repeat(5_000), resolve) })
        return socket
      }))
      live.signal(name, 'SIGCONT')
      return sockets
    })
  })

  test.serial(`strangers that open WebSockets and send large messages leave ${name} within its memory and descriptors`, async t => {
    const live = await startDeployment(t, 50)
    await checkCrowd(t, live, name, async () => Array.from({ length: 800 }, (_, index) => {
      const socket = openSocket(port(live))
      socket.write(upgrade)
      if (index % 20 !== 0) return socket
      // A masked binary frame of 12 MB whose last bytes never come.
      const frameHead = Buffer.from([0x82, 0xff, 0, 0, 0, 0, 0, 0xc0, 0, 0, 0, 0, 0, 0])
      socket.write(Buffer.concat([frameHead, Buffer.alloc(12 * 1024 * 1024 - 10)]))
      return socket
    }))
  })

  test.serial(`strangers that open connections and send nothing more leave ${name} within its descriptors`, async t => {
    const live = await startDeployment(t, 50)
    await checkCrowd(t, live, name, async () => Array.from({ length: 800 }, (_, index) => {
      const socket = openSocket(port(live))
      socket.write(index % 2 === 0 ? upgrade.slice(0, 40) : upgrade)
      return socket
    }))
  })
}
