/** Effects: actions that the kernel decides on and the edge, the I/O layer, carries out. */

import type { ErrorKind, Outcome } from './errors.js'
import type { LogEvent } from './log-events.js'
import type { HeaderList, KeyState, Message, Submit } from '../protocol/messages.js'

/** Orders to an endpoint; each is sent with a fencing number. */
export type EndpointOrder =
  | { readonly kind: 'hold-at-step', readonly step: number }
  | { readonly kind: 'load-map', readonly version: number, readonly layers: readonly (readonly number[])[] }
  | { readonly kind: 'use-map', readonly version: number, readonly step: number }
  | { readonly kind: 'release-hold' }

/** Calls to the platform's key-value store. */
export type PlatformOperation =
  | { readonly kind: 'read', readonly key: string }
  /** Conditional write at the given revision; revision 0 creates the key. */
  | { readonly kind: 'write', readonly key: string, readonly value: string, readonly revision: number }

/** Response to `/v1/address`: the entries that a caller may use, and key tokens for its services. */
export interface AddressResponse {
  readonly addresses: readonly { readonly url: string, readonly domain: string }[]
  /** Time for which the caller may cache the response, in ms. */
  readonly holdMs: number
  readonly tokens: readonly { readonly service: string, readonly token: string, readonly domain: string }[]
}

/** One effect of a dispatch. */
export type Effect =
  | { readonly kind: 'send', readonly peer: string, readonly message: Message }
  | { readonly kind: 'connect', readonly peer: string, readonly address: string }
  | { readonly kind: 'disconnect', readonly peer: string }
  | { readonly kind: 'platform-call', readonly callId: string, readonly operation: PlatformOperation }
  /* entry role */
  | { readonly kind: 'reply-head', readonly requestId: string, readonly status: number, readonly headers: HeaderList }
  | { readonly kind: 'reply-chunk', readonly requestId: string, readonly data: Uint8Array }
  | { readonly kind: 'reply-end', readonly requestId: string }
  | { readonly kind: 'reply-error', readonly requestId: string, readonly error: ErrorKind, readonly outcome: Outcome, readonly forwarded: boolean, readonly retryAfterMs?: number }
  | { readonly kind: 'reply-address', readonly lookupId: string, readonly response: AddressResponse }
  | { readonly kind: 'reply-outcome', readonly lookupId: string, readonly state: KeyState }
  /* endpoint role */
  | { readonly kind: 'run', readonly work: Submit }
  | { readonly kind: 'abort-run', readonly workId: string }
  | { readonly kind: 'order', readonly orderId: string, readonly fence: number, readonly order: EndpointOrder }
  /* both roles */
  | { readonly kind: 'log', readonly event: LogEvent, readonly fields: Readonly<Record<string, string | number | boolean>> }
  | { readonly kind: 'count', readonly metric: string, readonly label?: string }
  | { readonly kind: 'observe', readonly metric: string, readonly value: number, readonly label?: string }
  /** All accepted work is finished; the process may exit. */
  | { readonly kind: 'leave-finished' }

/** Discriminator of an effect. */
export type EffectKind = Effect['kind']
