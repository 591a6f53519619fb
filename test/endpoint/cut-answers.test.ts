import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { OrderSender } from '../../src/edge/endpoint/order-sender.js'
import { ReportPoller } from '../../src/edge/endpoint/report-poller.js'
import { Runner } from '../../src/edge/endpoint/runner.js'
import { PlatformTransport } from '../../src/edge/platform/transport.js'
import type { KernelEvent } from '../../src/kernel/events.js'
import type { Submit } from '../../src/protocol/messages.js'

const ANSWER_BODY = '{"healthy":true,"start_id":"s","warmth":1,"fence":5}'
const HEADS: Readonly<Record<string, string>> = {
  length: `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${ANSWER_BODY.length}\r\n\r\n`,
  chunks: 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n',
  connection: 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n'
}
const CLOSES: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  end: (socket, part) => { socket.end(part) },
  reset: (socket, part) => { socket.write(part, () => { socket.resetAndDestroy() }) }
}

/** Server that answers each request with a part of an answer, and closes. */
class CuttingServer {
  head = ''
  cut = 0
  close: (socket: Socket, part: string) => void = () => {}
  readonly #server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { this.close(socket, `${this.head}${ANSWER_BODY}`.slice(0, this.cut)) })
  })

  async start (): Promise<string> {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  stop (): void {
    this.#server.close()
  }
}

/** Events of a request at the endpoint. */
const RUN_KINDS: ReadonlySet<string> = new Set(['endpoint-head', 'endpoint-chunk', 'endpoint-ended', 'endpoint-failed'])

/** Waits for the events that a client dispatches. */
class EventLog {
  readonly #events: KernelEvent[] = []
  #wake: () => void = () => {}

  readonly dispatch = (event: KernelEvent): void => {
    this.#events.push(event)
    this.#wake()
  }

  /** Takes all events up to the first that is one of `kinds`. */
  async take (kinds: readonly KernelEvent['kind'][]): Promise<readonly KernelEvent[]> {
    while (!this.#events.some(({ kind }) => kinds.includes(kind))) await new Promise<void>(resolve => { this.#wake = resolve })
    return this.#events.splice(0)
  }
}

// Guards against an operators' report on the side of the own interface: an answer cut inside its head counts as an empty or short one.
test('no client of the own interface takes an answer that is cut inside its head for one', async t => {
  const server = new CuttingServer()
  const url = await server.start()
  const log = new EventLog()
  const runner = Runner.create({ url, fence: 1, dispatch: log.dispatch })
  const orders = OrderSender.create({ url, dispatch: log.dispatch })
  const reports = ReportPoller.create({ url, dispatch: log.dispatch })
  const platform = PlatformTransport.create({ urls: [url], timeoutMs: 1_000 })
  const submit = { workId: 'w', requestId: 'r', method: 'POST', path: '/', headers: [], body: Buffer.from('x'), terms: { priority: 'normal' } } as unknown as Submit
  const faults: string[] = []
  for (const [framing, head] of Object.entries(HEADS)) {
    for (const [how, close] of Object.entries(CLOSES)) {
      for (let cut = 0; cut < head.length; cut += 1) {
        Object.assign(server, { head, cut, close })
        runner.run(submit)
        const ran = await log.take(['endpoint-ended', 'endpoint-failed'])
        orders.send('o', 1, { kind: 'load-map' } as never)
        const ordered = (await log.take(['order-answered'])).at(-1)
        const called = await platform.send({ method: 'PUT', path: '/v1/objects/a', body: '{}' })
        reports.pollNow()
        const isHealthy = ran.some(event => event.kind === 'endpoint-reported' && event.report.healthy)
        const got = JSON.stringify([ran.map(({ kind }) => kind).filter(kind => RUN_KINDS.has(kind)), ordered, called.kind, isHealthy])
        if (got !== JSON.stringify([['endpoint-failed'], { kind: 'order-answered', orderId: 'o', accepted: false, fence: 1 }, 'lost', false])) faults.push(`${framing}, ${how} after ${cut}: ${got}`)
      }
    }
  }
  await Promise.all([runner.stop(), orders.stop(), reports.stop(), platform.close()])
  server.stop()
  t.deepEqual(faults.slice(0, 5), [])
})

// Guards against the same report further on: a body cut by a reset, which may be read together with the data before it, counts as whole.
test('an endpoint process takes a body that is cut for a failure, and one that ends with its connection for an answer', async t => {
  const server = new CuttingServer()
  const url = await server.start()
  const log = new EventLog()
  const runner = Runner.create({ url, fence: 1, dispatch: log.dispatch })
  const submit = { workId: 'w', requestId: 'r', method: 'POST', path: '/', headers: [], body: Buffer.from('x'), terms: { priority: 'normal' } } as unknown as Submit
  const results: Record<string, string> = {}
  for (const framing of ['length', 'connection']) {
    for (const [how, close] of Object.entries(CLOSES)) {
      const counts: Record<string, number> = {}
      for (let part = 1; part < ANSWER_BODY.length; part += 1) {
        Object.assign(server, { head: HEADS[framing], cut: HEADS[framing]!.length + part, close })
        runner.run(submit)
        const kind = (await log.take(['endpoint-ended', 'endpoint-failed'])).at(-1)!.kind
        counts[kind] = (counts[kind] ?? 0) + 1
      }
      results[`${framing}, ${how}`] = JSON.stringify(counts)
    }
  }
  await runner.stop()
  server.stop()
  t.snapshot(results)
})
