/**
 * Operations listener of an endpoint process. It uses node:http directly: the
 * process must stay within 64 MB of memory, which rules out a web framework.
 */

import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { Server as HttpsServer } from 'node:https'
import { ConnectionTable } from '../connections/table.js'
import type { LimitReason } from '../connections/limit-log.js'
import { OPERATIONS_CONNECTIONS_MAX } from '../operations.js'
import type { Operations } from '../operations.js'
import type { TlsSource } from '../security/tls.js'

/** Time limits of the operations listener in ms. */
const REQUEST_TIMEOUT_MS = 10_000
const UNREAD_TIMEOUT_MS = 120_000

/** Unanswered requests of one connection. */
const CONNECTION_REQUESTS_MAX = 4

/**
 * @param operations - handles the requests
 * @param noteLimit - called when a limit on connections was reached
 * @param tls - key material; plain TCP when absent
 * @returns a server that does not listen yet
 */
export function createOperationsServer (operations: Operations, noteLimit: (limit: LimitReason) => void, tls?: TlsSource): Server {
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const path = new URL(request.url ?? '/', 'http://endpoint').pathname
    operations.handleRequest(path, request.headers.authorization).then(operationsResponse => {
      response.writeHead(operationsResponse.status, { 'content-type': operationsResponse.contentType }).end(operationsResponse.body)
    })
  }
  const options = { headersTimeout: REQUEST_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, handshakeTimeout: REQUEST_TIMEOUT_MS }
  const server = tls === undefined ? createServer(options, handle) : createHttpsServer({ ...options, ...tls.getOptions() }, handle)
  if (tls !== undefined) tls.addServer(server as HttpsServer)
  const table = ConnectionTable.create(server, {
    connectionsMax: OPERATIONS_CONNECTIONS_MAX,
    connectionRequestsMax: CONNECTION_REQUESTS_MAX,
    unreadTimeoutMs: UNREAD_TIMEOUT_MS,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    isTls: tls !== undefined,
    noteLimit
  })
  server.on('clientError', (_error, socket) => { if (!table.isHeldBack(socket as Socket)) socket.destroy() })
  return server
}
