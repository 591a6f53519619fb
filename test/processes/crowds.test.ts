import test from 'ava'
import type { ExecutionContext } from 'ava'
import { readFileSync, readdirSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { CALLER_PORT, CONFIGURATION, TestCluster, waitFor } from './gateway-cluster.js'
import type { Gateway } from './gateway-cluster.js'

/** Limits of the gateway: small, so that a small crowd exceeds them. */
const LIMITS = { memoryMb: 160, heapMb: 64, descriptors: 600 }

const CALLERS = 40
const REQUESTS_AHEAD = 200
const ANSWER_BYTES = 2_048
const ENDPOINT_DELAY_MS = 300

/** Time in ms for which a crowd is watched. */
const WATCH_MS = 5_000

/** Interval in ms at which the open descriptors are counted. */
const SAMPLE_INTERVAL_MS = 20

const CROWDS = {
  ...CONFIGURATION,
  routes: [
    ...CONFIGURATION.routes.map(route => ({ ...route, timeout_ms: 10_000 })),
    { ...CONFIGURATION.routes[0]!, name: 'once', path_prefix: '/once/', route_kind: 'unsafe', timeout_ms: 10_000 }
  ],
  limits: { ...CONFIGURATION.limits, idle_timeout_ms: 20_000 }
}

interface Crowd {
  readonly cluster: TestCluster
  readonly gateway: Gateway
  /** Opens a connection that fails quietly. */
  open (options?: { readonly allowHalfOpen?: boolean }): Socket
}

/** Peak of the open descriptors of a process, counted while a crowd is watched. */
class DescriptorWatch {
  #peak = 0
  readonly #timer: NodeJS.Timeout

  private constructor (pid: number) {
    this.#timer = setInterval(() => {
      try {
        this.#peak = Math.max(this.#peak, readdirSync(`/proc/${pid}/fd`).length)
      } catch {
        // The process has ended, which the test checks by its exit code.
      }
    }, SAMPLE_INTERVAL_MS)
  }

  static create (pid: number): DescriptorWatch {
    return new DescriptorWatch(pid)
  }

  /** @returns the peak */
  stop (): number {
    clearInterval(this.#timer)
    return this.#peak
  }
}

function readPeakMb (pid: number): number {
  try {
    return Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1024
  } catch {
    return NaN
  }
}

let requests = 0

function formatRequest (body = '', path = '/a/b'): string {
  requests += 1
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nHeatherdoor-Deadline-Ms: 9000\r\nHeatherdoor-Request-Id: ahead${requests}\r\nX-Delay: ${ENDPOINT_DELAY_MS}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}

function formatRequests (count: number, body = '', path = '/a/b'): string {
  return Array.from({ length: count }, () => formatRequest(body, path)).join('')
}

/** Lets a crowd at a gateway, and checks that the process lives within its limits and answers an ordinary request. */
async function checkCrowd (t: ExecutionContext, run: (crowd: Crowd) => Promise<void>): Promise<void> {
  const cluster = await TestCluster.create(CROWDS, 4_000)
  const callers: Socket[] = []
  t.teardown(() => {
    for (const caller of callers) caller.destroy()
    cluster.stop()
  })
  cluster.answerBytes = ANSWER_BYTES
  const gateway = cluster.startGateway('g1', LIMITS)
  await waitFor(t, 'ready', 20_000, async () => await cluster.isReady(gateway))
  const pid = gateway.child.pid!
  const calmMb = readPeakMb(pid)
  const watch = DescriptorWatch.create(pid)
  let peakMb = calmMb
  const memoryTimer = setInterval(() => { peakMb = Math.max(peakMb, readPeakMb(pid) || 0) }, SAMPLE_INTERVAL_MS)
  const open = (options: { readonly allowHalfOpen?: boolean } = {}): Socket => {
    const socket = connect({ host: gateway.ip, port: CALLER_PORT, noDelay: true, ...options })
    socket.on('error', () => {})
    callers.push(socket)
    return socket
  }
  await run({ cluster, gateway, open })
  await wait(WATCH_MS)
  const { child: { exitCode, signalCode } } = gateway
  const status = await cluster.request(gateway, 10).then(answer => answer.status, () => 0)
  clearInterval(memoryTimer)
  const descriptors = watch.stop()
  t.log(`peak ${Math.round(peakMb)} MB, ${Math.round(calmMb)} MB calm; ${descriptors} descriptors; ordinary request ${status}`)
  t.deepEqual({ exitCode, signalCode }, { exitCode: null, signalCode: null })
  t.true(descriptors <= LIMITS.descriptors, `${descriptors} descriptors`)
  t.true(peakMb < LIMITS.memoryMb, `${peakMb} MB`)
  t.is(status, 200)
}

/** Opens a connection that reads nothing. */
function openUnread ({ open }: Crowd, text: string): Socket {
  const caller = open({ allowHalfOpen: true }).pause()
  caller.write(text)
  return caller
}

// Guards against requests that a connection sends ahead and that all run at once.
test.serial('requests that are sent ahead on connections that never read stay within the limits', async t => {
  await checkCrowd(t, async crowd => {
    for (let index = 0; index < CALLERS; index += 1) openUnread(crowd, formatRequests(REQUESTS_AHEAD))
  })
})

// Guards against bodies of requests that wait behind others of their connection.
test.serial('requests with bodies that are sent ahead stay within the limits', async t => {
  await checkCrowd(t, async crowd => {
    for (let index = 0; index < CALLERS; index += 1) openUnread(crowd, formatRequests(REQUESTS_AHEAD, 'x'.repeat(2_048)))
  })
})

// Guards against requests that may run only once, which go on after their caller has left.
test.serial('requests that are sent ahead before a connection is half closed stay within the limits', async t => {
  await checkCrowd(t, async crowd => {
    for (let index = 0; index < CALLERS; index += 1) openUnread(crowd, formatRequests(REQUESTS_AHEAD, '', '/once/b')).end()
  })
})

// Guards against answers that pile up behind callers that read a byte a second.
test.serial('callers that read a byte a second stay within the limits', async t => {
  await checkCrowd(t, async ({ cluster, gateway }) => {
    cluster.answerBytes = 64 * 1024
    const callers = Array.from({ length: CALLERS }, () => {
      const caller = connect({ host: gateway.ip, port: CALLER_PORT, onread: { buffer: Buffer.alloc(1), callback: () => false } })
      caller.on('error', () => {})
      caller.write(formatRequests(REQUESTS_AHEAD))
      return caller
    })
    const timer = setInterval(() => { for (const caller of callers) caller.resume() }, 1_000)
    t.teardown(() => {
      clearInterval(timer)
      for (const caller of callers) caller.destroy()
    })
  })
})

// Guards against what is kept for callers that have left.
test.serial('connections of which many leave in the middle of a head, a body or an answer stay within the limits', async t => {
  await checkCrowd(t, async crowd => {
    for (let wave = 0; wave < 10; wave += 1) {
      const leaving: Socket[] = []
      for (let index = 0; index < CALLERS; index += 1) {
        const head = formatRequest().slice(0, 60)
        const body = formatRequest('x'.repeat(9_000)).slice(0, -2_000)
        leaving.push(openUnread(crowd, head), openUnread(crowd, body), openUnread(crowd, formatRequests(20)))
        openUnread(crowd, index % 2 === 0 ? head : body)
      }
      await wait(ENDPOINT_DELAY_MS + 100)
      for (const caller of leaving) caller.destroy()
    }
  })
})

// Guards against connections that take the descriptors that endpoints and the store need.
test.serial('connections that are opened faster than they are accepted stay within the limits', async t => {
  await checkCrowd(t, async ({ open }) => {
    for (let wave = 0; wave < 15; wave += 1) {
      for (let index = 0; index < 100; index += 1) open()
      await wait(10)
    }
  })
})
