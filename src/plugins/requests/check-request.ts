/** Validates a request and builds its initial state. */

import type { ErrorKind, Outcome } from '../../kernel/errors.js'
import type { RequestReceived } from '../../kernel/events.js'
import type { Idempotency } from '../../kernel/configuration.js'
import type { Context } from '../../kernel/plugin.js'
import type { RequestKey } from '../../protocol/messages.js'
import type { ActiveRequest } from './types.js'

/** Prefix of every key token. A key without it is never accepted, so its request cannot have run. */
const TOKEN_PREFIX = 'hdk1.'

const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD'])

/** Result of `checkRequest`. */
export type CheckResult =
  | { readonly kind: 'admitted', readonly active: ActiveRequest }
  | { readonly kind: 'refused', readonly error: ErrorKind, readonly outcome: Outcome }

/**
 * Checks a request against the configuration in force.
 *
 * @param received - the request
 * @param context - time and ports
 * @returns the initial state of the request, or the error with which it is refused
 */
export function checkRequest (received: RequestReceived, context: Context): CheckResult {
  const configuration = context.getPort('configuration')
  const service = configuration.findService(received.service)
  const profile = service === undefined ? undefined : configuration.findProfile(service.profile)
  const unsentOutcome: Outcome = received.keyText === undefined ? 'not-run' : 'unknown'
  if (service === undefined || profile === undefined) return { kind: 'refused', error: 'unknown-service', outcome: unsentOutcome }
  const key = parseKey(received, context)
  if (key.kind === 'refused') return key
  if (context.findPort('quarantine')?.isQuarantined(received.fingerprint) === true) return { kind: 'refused', error: 'quarantined', outcome: unsentOutcome }
  const idempotent = key.key === undefined && isIdempotent(profile.idempotency, received.method)
  const deadlineMs = Math.min(profile.deadlineMs, received.deadlineMs ?? Infinity)
  return {
    kind: 'admitted',
    active: {
      received,
      profile,
      serviceKind: service.kind,
      teamWeight: configuration.findTeam(received.team)?.weight ?? 1,
      idempotent,
      receivedAtMs: context.nowMs,
      deadlineAtMs: context.nowMs + deadlineMs,
      key: key.key,
      keyIsInternal: key.key === undefined,
      stage: { kind: 'open' },
      attempts: new Map(),
      triedEndpoints: new Set(),
      attemptsMade: 0,
      winner: undefined,
      headSent: false,
      status: 0,
      relayedChunks: 0,
      mayHaveRun: false,
      hasRun: false
    }
  }
}

type KeyResult =
  | { readonly kind: 'parsed', readonly key: RequestKey | undefined }
  | { readonly kind: 'refused', readonly error: ErrorKind, readonly outcome: Outcome }

/**
 * Parses the idempotency key of a request. A key that has the token prefix but
 * cannot be verified may have been accepted under another cluster secret, so its
 * outcome is unknown.
 */
function parseKey ({ service, keyText }: RequestReceived, context: Context): KeyResult {
  if (keyText === undefined) return { kind: 'parsed', key: undefined }
  const key = context.findPort('tokens')?.parseKey(service, keyText)
  if (key !== undefined) return { kind: 'parsed', key }
  if (!keyText.startsWith(TOKEN_PREFIX)) return { kind: 'refused', error: 'key-without-token', outcome: 'not-run' }
  return { kind: 'refused', error: 'key-malformed', outcome: 'unknown' }
}

function isIdempotent (idempotency: Idempotency, method: string): boolean {
  switch (idempotency) {
    case 'always': return true
    case 'never': return false
    case 'safe-methods': return SAFE_METHODS.has(method.toUpperCase())
  }
}
