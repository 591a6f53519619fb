/** Listener that answers small requests of operators and of callers that ask for addresses, within the bounds of the process. */

import { createServer } from 'node:http'
import type { IncomingHttpHeaders, Server } from 'node:http'
import type { ReceivedRequest } from './caller-connection.js'
import { CallerConnections } from './caller-connections.js'
import type { Bound, CallerBounds } from './caller-limits.js'
import type { Address } from './model.js'

/** Longest time in ms for a head, and for which a connection may be idle. */
const HEADER_TIMEOUT_MS = 3_000
const IDLE_TIMEOUT_MS = 5_000
const HEADER_BYTES_MAX = 16 * 1024

/** Longest time in ms for a whole request, and for which an answer may stay unread. */
const REQUEST_TIMEOUT_MS = 5_000
const UNREAD_MS = 5_000

/** Interval in ms at which connections are checked. */
const CHECK_INTERVAL_MS = 500

/** An answer. */
export interface StatusAnswer {
  readonly status: number
  readonly type?: string
  readonly body?: string
}

/** What a listener is created with. */
export interface StatusListenerOptions {
  readonly bounds: Pick<CallerBounds, 'listenerConnectionsMax' | 'heldBytesMax'>
  readonly answer: (path: string, headers: IncomingHttpHeaders) => StatusAnswer | Promise<StatusAnswer>
  readonly noteBound: (bound: Bound) => void
  /** Called when `answer` fails; the connection is closed. */
  readonly handleError: (reason: string) => void
}

/** Listener for small requests; each connection runs one at a time. */
export class StatusListener {
  readonly #options: StatusListenerOptions
  readonly #server: Server
  readonly #connections: CallerConnections

  private constructor (options: StatusListenerOptions) {
    this.#options = options
    this.#server = createServer({
      maxHeaderSize: HEADER_BYTES_MAX,
      headersTimeout: HEADER_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS
    })
    const { bounds: { listenerConnectionsMax, heldBytesMax }, noteBound } = options
    const bounds = { connectionsMax: listenerConnectionsMax, requestsAhead: 1, unreadMs: UNREAD_MS, heldBytesMax }
    this.#connections = CallerConnections.create(this.#server, {
      getNowMs: () => performance.now(),
      getBounds: () => bounds,
      mayRunAhead: () => false,
      start: request => { this.#answer(request) },
      noteBound
    })
  }

  /**
   * @param options - bounds, and what answers requests
   * @returns a listener that is not open
   */
  static create (options: StatusListenerOptions): StatusListener {
    return new StatusListener(options)
  }

  /** @throws Error when the address is already in use */
  async start ({ host, port }: Address): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => { resolve() })
    })
    setInterval(() => { this.#connections.check(false) }, CHECK_INTERVAL_MS).unref()
  }

  /** Closes the listener and every connection. */
  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #answer ({ message, response }: ReceivedRequest): void {
    message.resume()
    Promise.resolve(this.#options.answer(message.url ?? '', message.headers)).then(({ status, type, body = '' }) => {
      response.writeHead(status, { 'Content-Length': String(Buffer.byteLength(body)), ...(type === undefined ? {} : { 'Content-Type': type }) })
      response.end(body)
    }, (error: unknown) => {
      this.#options.handleError(String(error))
      response.destroy()
    })
  }
}
