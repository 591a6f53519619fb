/** HTTP server of an entry; one instance serves callers, another one operators. */

import 'reflect-metadata'
import type { Server } from 'node:http'
import type { Server as HttpsServer } from 'node:https'
import { Module } from '@nestjs/common'
import type { DynamicModule, LoggerService, Provider, Type } from '@nestjs/common'
import { NestFactory } from '@nestjs/core'
import type { NestFastifyApplication } from '@nestjs/platform-fastify'
import type { FastifyInstance } from 'fastify'
import type { Logger } from '../log/logger.js'
import type { TlsSource } from '../security/tls.js'
import { ConnectionTable } from '../connections/table.js'
import type { ConnectionLimits } from '../connections/table.js'
import { EntryAdapter, buildErrorHandlers } from './adapter.js'
import type { AdapterOptions } from './adapter.js'
import { BodyReader } from './body-reader.js'
import type { HeldBytes } from './held-bytes.js'
import type { LimitSettings } from '../../settings/process.js'

/** What a server is created with. */
export interface ServerOptions {
  readonly ip: string
  readonly port: number
  readonly controller: Type
  readonly providers: readonly Provider[]
  readonly limits: LimitSettings
  readonly connections: Pick<ConnectionLimits, 'connectionsMax' | 'noteLimit'>
  /** Counts the bodies of requests. */
  readonly held: HeldBytes
  readonly logger: Logger
  /** Plain HTTP when absent. */
  readonly tls?: TlsSource
}

@Module({})
class ServerModule {}

/** Interval of the check for requests that exceed the time limits, in ms. */
const SLOW_SENDER_CHECK_INTERVAL_MS = 1_000

/** One HTTP server. */
export class EntryServer {
  readonly #app: NestFastifyApplication
  readonly #options: ServerOptions

  private constructor (app: NestFastifyApplication, options: ServerOptions) {
    this.#app = app
    this.#options = options
  }

  /**
   * @param options - listener, routes and limits
   * @returns a server that does not listen yet
   */
  static async create (options: ServerOptions): Promise<EntryServer> {
    const adapter = EntryAdapter.create({ ...buildServerOptions(options), ...buildErrorHandlers(socket => table.isHeldBack(socket)) } as AdapterOptions)
    const module: DynamicModule = { module: ServerModule, controllers: [options.controller], providers: [...options.providers] }
    const app = await NestFactory.create<NestFastifyApplication>(module, adapter, { bodyParser: false, logger: buildFrameworkLogger(options.logger) })
    const fastify = app.getHttpAdapter().getInstance() as unknown as FastifyInstance
    fastify.removeAllContentTypeParsers()
    const bodies = BodyReader.create(options.limits.bodyMaxBytes, options.held)
    fastify.addContentTypeParser('*', (request, _payload, done) => { bodies.read(request.raw, done) })
    fastify.addHook('onRequest', (request, reply, done) => {
      reply.raw.once('close', () => { bodies.release(request.raw) })
      done()
    })
    await app.init()
    options.tls?.addServer(app.getHttpServer() as HttpsServer)
    const table = ConnectionTable.create(app.getHttpServer() as Server, buildConnectionLimits(options))
    return new EntryServer(app, options)
  }

  /** The underlying Node.js server. */
  get server (): Server {
    return this.#app.getHttpServer() as Server
  }

  /** @throws Error when the port is taken */
  async start (): Promise<void> {
    await this.#app.listen(this.#options.port, this.#options.ip)
  }

  /** Stops listening, closes idle connections and waits for the others. */
  async stop (): Promise<void> {
    this.server.closeIdleConnections()
    await this.#app.close()
  }
}

/** Writes errors of the framework to the process's log and drops its other messages, which are of no use to operators. */
function buildFrameworkLogger (logger: Logger): LoggerService {
  const error = (message: unknown): void => { logger.write('internal-error', { reason: String(message) }) }
  return { log: () => undefined, warn: () => undefined, error, fatal: error }
}

function buildConnectionLimits ({ connections, limits, tls }: ServerOptions): ConnectionLimits {
  return {
    ...connections,
    connectionRequestsMax: limits.connectionRequestsMax,
    unreadTimeoutMs: limits.unreadTimeoutMs,
    requestTimeoutMs: limits.headersTimeoutMs,
    isTls: tls !== undefined
  }
}

function buildServerOptions (options: ServerOptions): AdapterOptions {
  const { limits, tls } = options
  const http = { maxHeaderSize: limits.headerMaxBytes, headersTimeout: limits.headersTimeoutMs, connectionsCheckingInterval: SLOW_SENDER_CHECK_INTERVAL_MS }
  const common = {
    bodyLimit: limits.bodyMaxBytes,
    keepAliveTimeout: limits.idleTimeoutMs,
    requestTimeout: limits.headersTimeoutMs,
    forceCloseConnections: 'idle' as const,
    exposeHeadRoutes: false
  }
  if (tls === undefined) return { ...common, http }
  return { ...common, https: { ...http, handshakeTimeout: limits.headersTimeoutMs, ...tls.getOptions() } }
}
