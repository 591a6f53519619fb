/** Puts other code between a connection and the HTTP parser of Node.js. */

import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Takes the parser of a connection off its data, so that it only gets what it is passed.
 *
 * @param socket - connection that an HTTP server has just accepted
 * @returns passes data to the parser
 * @throws Error when the HTTP server does not read from the connection
 */
export function takeParser (socket: Socket): (piece: Buffer) => void {
  const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[]
  if (parse === undefined) throw new Error('the HTTP server does not read from the connection')
  socket.removeListener('data', parse)
  return piece => { parse.call(socket, piece) }
}

/** Closes the responses of a connection that is gone: Node.js tells only the one that was being sent. */
export function closeResponses (responses: Iterable<ServerResponse>): void {
  for (const response of [...responses]) response.destroy().emit('close')
}
