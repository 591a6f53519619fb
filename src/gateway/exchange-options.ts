/** What an exchange is created with. */

import type { ServerResponse } from 'node:http'
import type { CallerRequest, Route, TeamRef } from './model.js'

/** A fully received request that a route allows. */
export interface ExchangeOptions {
  readonly request: CallerRequest
  readonly method: string
  readonly body: Buffer
  readonly route: Route
  readonly team: TeamRef | undefined
  readonly service: string
  readonly fingerprint: string
  readonly response: ServerResponse
  /** Monotonic time in ms at which the head of the request was read. */
  readonly receivedAtMs: number
}
