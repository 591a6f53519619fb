/**
 * HTTP adapter for the framework that sends heatherdoor's own error responses to
 * requests that reach no route: exceeded limits, malformed requests, unknown paths.
 */

import { randomUUID } from 'node:crypto'
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { FastifyAdapter } from '@nestjs/platform-fastify'
import { ERROR_RESPONSES } from '../../kernel/errors.js'
import type { ErrorKind } from '../../kernel/errors.js'
import { CallerExchange, formatRawError } from './exchange.js'

/** Options of the HTTP server, with or without TLS. */
export type AdapterOptions = ConstructorParameters<typeof FastifyAdapter<Server>>[0]

interface FrameworkRequest {
  readonly headers: Readonly<Record<string, unknown>>
}

interface FrameworkReply {
  readonly raw: unknown
  hijack (): unknown
}

/**
 * Keeps its own error handlers. The framework sets handlers while it starts, which
 * would replace these and respond in the framework's format, so those calls are ignored.
 */
export class EntryAdapter extends FastifyAdapter {
  private constructor (options: AdapterOptions) {
    super(options)
    super.setErrorHandler((error: unknown, request: FrameworkRequest, reply: FrameworkReply) => { handleFrameworkError(error, request, reply) })
    super.setNotFoundHandler((request: FrameworkRequest, reply: FrameworkReply) => { handleFrameworkError({ statusCode: ERROR_RESPONSES['unknown-path'].status }, request, reply) })
  }

  /**
   * @param options - options of the HTTP server, including those of `buildErrorHandlers`
   * @returns an adapter with the error handlers set
   */
  static create (options: AdapterOptions): EntryAdapter {
    return new EntryAdapter(options)
  }

  override setErrorHandler (): ReturnType<FastifyAdapter['setErrorHandler']> {
    return this.getInstance()
  }

  override setNotFoundHandler (): ReturnType<FastifyAdapter['setNotFoundHandler']> {
    return this.getInstance()
  }
}

/**
 * @param isHeldBack - tells whether a request is late only because the entry holds back what its caller sent
 * @returns server options with the handlers for requests that fail before routing
 */
export function buildErrorHandlers (isHeldBack: (socket: Socket) => boolean): { readonly frameworkErrors: typeof handleFrameworkError, readonly clientErrorHandler: typeof handleClientError } {
  return {
    frameworkErrors: handleFrameworkError,
    clientErrorHandler: (error, socket) => {
      const isTimeout = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
      if (!isTimeout || !isHeldBack(socket)) handleClientError(error, socket)
    }
  }
}

function handleFrameworkError (error: unknown, request: FrameworkRequest, reply: FrameworkReply): void {
  const hasKey = request.headers['idempotency-key'] !== undefined
  reply.hijack()
  const response = reply.raw as ServerResponse
  // The unread remainder of the body would otherwise be parsed as the next request.
  if (!response.req.complete) response.setHeader('connection', 'close')
  CallerExchange.create(randomUUID(), response).refuse(findErrorKind(error), hasKey)
}

/**
 * Responds to a request that could not be parsed. Whether it had an idempotency
 * key is unknown, so the outcome is `unknown`. Nothing is written while the
 * response to an earlier request on the connection is in progress, since the
 * caller could take it for a part of that response.
 */
function handleClientError (error: NodeJS.ErrnoException, socket: Socket): void {
  const pendingResponse = (socket as { readonly _httpMessage?: ServerResponse | null })._httpMessage
  if (error.code !== 'ECONNRESET' && socket.writable && pendingResponse?.headersSent !== true) {
    socket.write(formatRawError(randomUUID(), { error: 'bad-request', outcome: 'unknown', forwarded: false }))
  }
  socket.destroy()
}

function findErrorKind (error: unknown): ErrorKind {
  const status = (error as { readonly statusCode?: unknown }).statusCode
  if (status === ERROR_RESPONSES['body-too-large'].status) return 'body-too-large'
  if (status === ERROR_RESPONSES.overloaded.status) return 'overloaded'
  if (status === ERROR_RESPONSES['unknown-path'].status) return 'unknown-path'
  return typeof status === 'number' && status < 500 ? 'bad-request' : 'internal'
}
