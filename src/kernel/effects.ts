/** Effects that the kernel asks the edge to carry out. */

import type { ErrorKind, Outcome } from './errors.js'
import type { LogEvent } from './log-events.js'
import type { HeaderList, KeyState, Message, Submit } from '../protocol/messages.js'

/** Orders to an endpoint; each bears the fencing number. */
export type EndpointOrder =
  | { readonly kind: 'hold-at-step', readonly step: number }
  | { readonly kind: 'load-map', readonly version: number, readonly layers: readonly (readonly number[])[] }
  | { readonly kind: 'use-map', readonly version: number, readonly step: number }
  | { readonly kind: 'release-hold' }

export type PlatformOperation =
  | { readonly kind: 'read', readonly key: string }
  /** Conditional update; revision 0 creates. */
  | { readonly kind: 'write', readonly key: string, readonly value: string, readonly revision: number }

/** Answer to a caller that asks which entry to use. */
export interface AddressResponse {
  readonly addresses: readonly { readonly url: string, readonly domain: string }[]
  /** How long the answer may be kept, in ms. */
  readonly holdMs: number
  readonly tokens: readonly { readonly service: string, readonly token: string, readonly domain: string }[]
}

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
  | { readonly kind: 'address-told', readonly lookupId: string, readonly response: AddressResponse }
  | { readonly kind: 'outcome-told', readonly lookupId: string, readonly state: KeyState }
  /* endpoint role */
  | { readonly kind: 'run', readonly work: Submit }
  | { readonly kind: 'abort-run', readonly workId: string }
  | { readonly kind: 'order', readonly orderId: string, readonly fence: number, readonly order: EndpointOrder }
  /* both */
  | { readonly kind: 'log', readonly event: LogEvent, readonly fields: Readonly<Record<string, string | number | boolean>> }
  | { readonly kind: 'count', readonly metric: string, readonly label?: string }
  | { readonly kind: 'observe', readonly metric: string, readonly value: number, readonly label?: string }
  /** Everything accepted is finished; the process may exit. */
  | { readonly kind: 'leave-finished' }

/** Discriminator of an effect. */
export type EffectKind = Effect['kind']
