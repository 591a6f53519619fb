/**
 * The framework's HTTP adapter with this project's answers to requests that no
 * route sees: limits, malformed requests and unknown paths.
 */

import { randomUUID } from 'node:crypto'
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { FastifyAdapter } from '@nestjs/platform-fastify'
import { ERROR_RESPONSES } from '../../kernel/errors.js'
import type { ErrorKind } from '../../kernel/errors.js'
import { CallerExchange, formatRawError } from './exchange.js'

/** Options of the HTTP server with or without TLS. */
export type AdapterOptions = ConstructorParameters<typeof FastifyAdapter<Server>>[0]

interface FrameworkRequest {
  readonly headers: Readonly<Record<string, unknown>>
}

interface FrameworkReply {
  readonly raw: unknown
  hijack (): unknown
}

/** Server options for requests that fail before a route is looked for. */
export const ERROR_HANDLERS = { frameworkErrors: handleFrameworkError, clientErrorHandler: handleClientError }

/**
 * The framework sets handlers of its own while it starts, which would replace
 * ours and answer in its own form, so its calls have no effect here.
 */
export class EntryAdapter extends FastifyAdapter {
  private constructor (options: AdapterOptions) {
    super(options)
    super.setErrorHandler((error: unknown, request: FrameworkRequest, reply: FrameworkReply) => { handleFrameworkError(error, request, reply) })
    super.setNotFoundHandler((request: FrameworkRequest, reply: FrameworkReply) => { handleFrameworkError({ statusCode: ERROR_RESPONSES['unknown-path'].status }, request, reply) })
  }

  /**
   * @param options - of the HTTP server, with `FAULT_HANDLERS` among them
   * @returns an adapter with our handlers in place
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

function handleFrameworkError (error: unknown, request: FrameworkRequest, reply: FrameworkReply): void {
  const hasKey = request.headers['idempotency-key'] !== undefined
  reply.hijack()
  const response = reply.raw as ServerResponse
  // The rest of a body that was not read would be taken for the next request.
  if (!response.req.complete) response.setHeader('connection', 'close')
  CallerExchange.create(randomUUID(), response).refuse(findErrorKind(error), hasKey)
}

/**
 * Whether the request bore a key is not known. Nothing is written into an answer
 * to an earlier request of the connection, which could pass for part of it.
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
  if (status === ERROR_RESPONSES['unknown-path'].status) return 'unknown-path'
  return typeof status === 'number' && status < 500 ? 'bad-request' : 'internal'
}
