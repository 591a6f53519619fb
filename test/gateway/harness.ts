/** Runs the caller server of a gateway with endpoints whose behaviour a test scripts. */

import { once } from 'node:events'
import { createServer, request as openRequest } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { platformDialect } from '../../platform/dialect.js'
import { Logger } from '../../src/edge/log/logger.js'
import { Metrics } from '../../src/edge/metrics/metrics.js'
import type { AskPermit } from '../../src/gateway/admission.js'
import { GatewayContext, processClock } from '../../src/gateway/context.js'
import type { EngineSpec, RepeatPolicy, Route } from '../../src/gateway/model.js'
import { CallerServer } from '../../src/gateway/server.js'
import { Kernel } from '../../src/kernel/kernel.js'
import '../../src/plugins/gateway/index.js'
import { startOnFreePort } from './ports.js'

/** What a scripted endpoint does with a request. */
export type Script = (request: IncomingMessage, response: ServerResponse, body: string) => void

/** Answer that a caller received. */
export interface CallerAnswer {
  readonly status: number
  readonly body: string
  readonly isComplete: boolean
  readonly retryAfter: string | undefined
}

/** Rate of cold endpoints, and how their agents grant permits. */
export interface ColdOptions {
  readonly coldPerS: number
  readonly askPermit: AskPermit
}

/** Gateway and endpoints of one test. */
export interface Harness {
  readonly context: GatewayContext
  readonly server: CallerServer
  readonly port: number
  /** Requests that each endpoint received, as `method path last-event-id`. */
  readonly received: Record<string, string[]>
  readonly lines: string[]
  call (options?: CallOptions): Promise<CallerAnswer>
  close (): void
}

/** A request of a caller. */
export interface CallOptions {
  readonly path?: string
  readonly key?: string
  readonly deadlineMs?: number
  readonly leaveAfterMs?: number
  /** Ids of the parts of the prompt; the last one is the request's own. */
  readonly parts?: readonly string[]
  readonly headers?: Readonly<Record<string, string>>
}

let nextRequest = 1

/** Lines of a head that show that an endpoint made the answer to this request, for scripts that write raw bytes. */
export function formatProof (request: IncomingMessage): string {
  return `Heatherdoor-Request-Id: ${String(request.headers['heatherdoor-request-id'])}\r\nHeatherdoor-Response-Signature: signed\r\n`
}

/**
 * @param repeat - whether requests of the route may run more than once
 * @param scripts - endpoints by id; `undefined` is one that accepts no connections
 * @param changes - fields of the route to override
 * @param engine - engine of the endpoints; undefined when they have none
 * @param cold - rate of cold endpoints and their agents; endpoints are never cold without it
 */
export async function startHarness (repeat: RepeatPolicy, scripts: Readonly<Record<string, Script | undefined>>, changes: Partial<Route> = {}, engine?: EngineSpec, cold?: ColdOptions): Promise<Harness> {
  const received: Record<string, string[]> = {}
  const lines: string[] = []
  const metrics = Metrics.create({ role: 'gateway' })
  const kernel = Kernel.create({ self: { id: 'g', role: 'gateway', domain: 'a', host: 'g', address: '', incarnation: 1 }, seed: 1, settings: { clusterSecret: '', seeds: [] } })
  const context = GatewayContext.create({ kernel, dialect: platformDialect, logger: Logger.create({ processId: 'g', write: line => { lines.push(line) } }), metrics, clock: { ...processClock, pickFloat: () => 0 }, askPermit: cold?.askPermit ?? (async () => undefined), askShare: async () => undefined })
  context.coldLimits.setBounds({ overshoot: 1.5, slack: 5 })
  context.retries.setBounds({ ratio: 10, windowMs: 10_000, extra: 0 })
  const servers: Server[] = []
  for (const [id, script] of Object.entries(scripts)) {
    received[id] = []
    const port = await startEndpoint(id, script, received, servers)
    context.endpoints.upsert({ id, bornMs: 1, service: 's', address: { host: '127.0.0.1', port }, domain: 'a', state: 'ready', slots: 4, coldRemainingMs: 0 }, 0)
  }
  const route: Route = {
    name: 'r', host: 'h', pathPrefix: '/a/', repeat, timeoutMs: 2_000, latencyTargetMs: 100, priority: 1, shares: [{ service: 's', weight: 1 }], attemptsMax: 2, isPublic: false, ...changes
  }
  context.routes.accept({
    version: 1,
    routes: new Map([['h', [route]]]),
    services: new Map([['s', { name: 's', coldPerS: cold?.coldPerS ?? 0, ...(engine === undefined ? {} : { engine }) }]]),
    teams: new Map([['k1', { name: 't1' }], ['k2', { name: 't2' }]]),
    limits: { headerBytesMax: 16_384, bodyBytesMax: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  })
  const server = CallerServer.create(context)
  const port = await startOnFreePort(async candidate => { await server.start({ host: '127.0.0.1', port: candidate }) })
  return {
    context,
    server,
    port,
    received,
    lines,
    call: async options => await callGateway(port, options ?? {}),
    close () {
      server.stop()
      for (const endpoint of servers) {
        endpoint.close()
        endpoint.closeAllConnections()
      }
    }
  }
}

async function startEndpoint (id: string, script: Script | undefined, received: Record<string, string[]>, servers: Server[]): Promise<number> {
  const server = createServer((request, response) => {
    let body = ''
    request.on('data', chunk => { body += String(chunk) })
    request.on('end', () => {
      received[id]!.push([request.method, request.url, request.headers['last-event-id']].filter(Boolean).join(' '))
      response.setHeader('Heatherdoor-Request-Id', String(request.headers['heatherdoor-request-id']))
      response.setHeader('Heatherdoor-Response-Signature', `signed by ${id}`)
      script?.(request, response, body)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  if (script !== undefined) {
    servers.push(server)
    return port
  }
  server.close()
  await once(server, 'close')
  return port
}

async function callGateway (port: number, { path = '/a/b', key = 'k1', deadlineMs = 1_500, leaveAfterMs, parts, headers: extra }: CallOptions): Promise<CallerAnswer> {
  return await new Promise((resolve, reject) => {
    const headers = { host: 'h', 'heatherdoor-request-id': `r${nextRequest++}`, authorization: `Bearer ${key}`, 'heatherdoor-deadline-ms': String(deadlineMs), ...(parts === undefined ? {} : { 'heatherdoor-prompt-prefix': parts.map(part => `${part}:40`).join(',') }), ...extra }
    const request = openRequest({ host: '127.0.0.1', port, method: 'POST', path, headers, agent: false })
    request.on('response', response => {
      let body = ''
      const finish = (): void => { resolve({ status: response.statusCode ?? 0, body, isComplete: response.complete, retryAfter: response.headers['retry-after'] }) }
      response.on('data', chunk => { body += String(chunk) })
      response.on('end', finish)
      response.on('error', finish)
    })
    request.on('error', error => {
      if (leaveAfterMs === undefined) reject(error)
      else resolve({ status: 0, body: '', isComplete: false, retryAfter: undefined })
    })
    request.end('body')
    if (leaveAfterMs !== undefined) setTimeout(() => { request.destroy() }, leaveAfterMs)
  })
}
