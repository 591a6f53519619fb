/** Notices connections that the endpoint resets. */

import type { Connector } from '../security/tls.js'

/**
 * A body that ends with its connection looks complete to the HTTP client after a reset, too.
 *
 * @param connect - opens the connections
 * @param handleReset - called when one of them was reset, before the HTTP client ends the answer on it
 * @returns connector that watches the connections it opens
 */
export function watchResets (connect: Connector, handleReset: () => void): Connector {
  return (options, callback) => {
    connect(options, (...[error, socket]) => {
      if (error !== null) {
        callback(error, null)
        return
      }
      // The HTTP client destroys sockets with errors of its own.
      socket.prependListener('error', (cause: NodeJS.ErrnoException) => { if (cause.code === 'ECONNRESET') handleReset() })
      // Node.js reports a reset that arrives together with data as a normal end; only the missing peer address shows it.
      socket.prependOnceListener('end', () => { if (socket.remoteAddress === undefined) handleReset() })
      callback(null, socket)
    })
  }
}
