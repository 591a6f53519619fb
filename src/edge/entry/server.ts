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
import { EntryAdapter, ERROR_HANDLERS } from './adapter.js'
import type { AdapterOptions } from './adapter.js'
import type { LimitSettings } from '../../settings/process.js'

/** What a server is created with. */
export interface ServerOptions {
  readonly ip: string
  readonly port: number
  readonly controller: Type
  readonly providers: readonly Provider[]
  readonly limits: LimitSettings
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
    const adapter = EntryAdapter.create(buildServerOptions(options))
    const module: DynamicModule = { module: ServerModule, controllers: [options.controller], providers: [...options.providers] }
    const app = await NestFactory.create<NestFastifyApplication>(module, adapter, { bodyParser: false, logger: buildFrameworkLogger(options.logger) })
    const fastify = app.getHttpAdapter().getInstance() as unknown as FastifyInstance
    fastify.removeAllContentTypeParsers()
    fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => { done(null, body) })
    await app.init()
    options.tls?.addServer(app.getHttpServer() as HttpsServer)
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

function buildServerOptions (options: ServerOptions): AdapterOptions {
  const { limits, tls } = options
  const http = { maxHeaderSize: limits.headerMaxBytes, headersTimeout: limits.headersTimeoutMs, connectionsCheckingInterval: SLOW_SENDER_CHECK_INTERVAL_MS }
  const common = {
    ...ERROR_HANDLERS,
    bodyLimit: limits.bodyMaxBytes,
    keepAliveTimeout: limits.idleTimeoutMs,
    requestTimeout: limits.headersTimeoutMs,
    forceCloseConnections: 'idle' as const,
    exposeHeadRoutes: false
  }
  if (tls === undefined) return { ...common, http }
  return { ...common, https: { ...http, ...tls.getOptions() } }
}
