/**
 * Operations listener of an endpoint process. It uses node:http directly: the
 * process must stay within 64 MB of memory, which rules out a web framework.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { Operations } from '../operations.js'
import type { TlsSource } from '../security/tls.js'

/**
 * @param operations - handles the requests
 * @param tls - key material; plain TCP when absent
 * @returns a server that does not listen yet
 */
export function createOperationsServer (operations: Operations, tls?: TlsSource): Server {
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const path = new URL(request.url ?? '/', 'http://endpoint').pathname
    operations.handleRequest(path, request.headers.authorization).then(operationsResponse => {
      response.writeHead(operationsResponse.status, { 'content-type': operationsResponse.contentType }).end(operationsResponse.body)
    })
  }
  if (tls === undefined) return createServer(handle)
  const server = createHttpsServer(tls.getOptions(), handle)
  tls.addServer(server)
  return server
}
