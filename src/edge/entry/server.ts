/** HTTP servers of an entry: one for callers, one for operators. */

import 'reflect-metadata'
import { randomUUID } from 'node:crypto'
import type { Server } from 'node:http'
import type { Server as HttpsServer } from 'node:https'
import { Module } from '@nestjs/common'
import type { DynamicModule, Provider, Type } from '@nestjs/common'
import { NestFactory } from '@nestjs/core'
import { FastifyAdapter } from '@nestjs/platform-fastify'
import type { NestFastifyApplication } from '@nestjs/platform-fastify'
import type { FastifyInstance } from 'fastify'
import { ERROR_ANSWERS } from '../../kernel/errors.js'
import type { ErrorKind } from '../../kernel/errors.js'
import type { TlsSource } from '../security/tls.js'
import { CallerExchange } from './exchange.js'
import type { LimitSettings } from '../../settings/process.js'

/** What a server is started with. */
export interface ServerOptions {
  readonly ip: string
  readonly port: number
  readonly controller: Type
  readonly providers: readonly Provider[]
  readonly limits: LimitSettings
  /** Plain HTTP when absent. */
  readonly tls?: TlsSource
}

@Module({})
class ServerModule {}

/** Interval in which slow senders are looked for, in ms. */
const SLOW_SENDER_CHECK_MS = 1_000

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
    const adapter = new FastifyAdapter(buildServerOptions(options))
    const module: DynamicModule = { module: ServerModule, controllers: [options.controller], providers: [...options.providers] }
    const app = await NestFactory.create<NestFastifyApplication>(module, adapter, { bodyParser: false, logger: ['error'] })
    const fastify = app.getHttpAdapter().getInstance() as unknown as FastifyInstance
    fastify.removeAllContentTypeParsers()
    fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => { done(null, body) })
    fastify.setErrorHandler((error, request, reply) => {
      const hasKey = request.headers['idempotency-key'] !== undefined
      reply.hijack()
      CallerExchange.create(randomUUID(), reply.raw).writeError({ error: findKind(error), outcome: hasKey ? 'unknown' : 'not-run', forwarded: false })
    })
    // The framework would replace the handler in `init` with one that gives no outcome.
    adapter.setErrorHandler = () => adapter.getInstance()
    await app.init()
    options.tls?.addServer(app.getHttpServer() as HttpsServer)
    return new EntryServer(app, options)
  }

  /** Node's server, for reloads of its key material. */
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

function buildServerOptions (options: ServerOptions): ConstructorParameters<typeof FastifyAdapter>[0] {
  const { limits, tls } = options
  const http = { maxHeaderSize: limits.headerMaxBytes, headersTimeout: limits.headersTimeoutMs, connectionsCheckingInterval: SLOW_SENDER_CHECK_MS }
  const common = {
    bodyLimit: limits.bodyMaxBytes,
    keepAliveTimeout: limits.idleTimeoutMs,
    requestTimeout: limits.headersTimeoutMs,
    forceCloseConnections: 'idle' as const,
    exposeHeadRoutes: false
  }
  if (tls === undefined) return { ...common, http }
  return { ...common, https: { ...http, ...tls.getOptions() } }
}

function findKind (error: unknown): ErrorKind {
  const status = (error as { statusCode?: unknown }).statusCode
  if (status === ERROR_ANSWERS['body-too-large'].status) return 'body-too-large'
  if (status === ERROR_ANSWERS['unknown-path'].status) return 'unknown-path'
  return typeof status === 'number' && status < 500 ? 'bad-request' : 'internal'
}
