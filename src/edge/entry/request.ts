/** Turns a caller's HTTP request into a kernel event. */

import { createHash } from 'node:crypto'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { ErrorKind } from '../../kernel/errors.js'
import type { RequestReceived } from '../../kernel/events.js'
import type { ConfigurationPort } from '../../kernel/ports.js'
import type { HeaderList } from '../../protocol/messages.js'

/** Number of characters at the start of the prompt that are hashed for prefix affinity. */
const PREFIX_MAX_CHARACTERS = 1024

/** Number of hexadecimal digits kept of a digest: 128 bits. */
const DIGEST_DIGITS = 32

/** Headers that are not forwarded to the endpoint: credentials, the idempotency key, and headers of the connection. */
const UNFORWARDED_HEADERS = new Set(['authorization', 'idempotency-key', 'connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host', 'content-length', 'expect', 'proxy-authorization'])

/** A caller's request after authentication. */
export interface CallerRequest {
  readonly requestId: string
  readonly team: string
  readonly method: string
  /** Path and query to send to the endpoint. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
  readonly body: Uint8Array
}

/**
 * @param request - request to a plain service
 * @param service - service name from the path
 * @returns the kernel event, or the error kind of a malformed request
 */
export function parseServiceRequest (request: CallerRequest, service: string): Either<ErrorKind, RequestReceived> {
  return buildEvent(request, service, undefined)
}

/**
 * @param request - chat completion request
 * @param configuration - looks up the service that offers the model
 * @returns the kernel event, or the error kind of a malformed request
 */
export function parseModelRequest (request: CallerRequest, configuration: ConfigurationPort): Either<ErrorKind, RequestReceived> {
  const parsed = parseJson(request.body)
  if (parsed === undefined || typeof parsed['model'] !== 'string') return Left('bad-request')
  const service = configuration.findServiceByModel(parsed['model'])
  if (service === undefined) return Left('unknown-service')
  const prefix = JSON.stringify(parsed['messages'] ?? parsed['prompt'] ?? '').slice(0, PREFIX_MAX_CHARACTERS)
  return buildEvent(request, service.name, hashParts([service.name, prefix]))
}

function buildEvent (request: CallerRequest, service: string, prefixHash: string | undefined): Either<ErrorKind, RequestReceived> {
  const { requestId, team, method, path, body } = request
  const keyText = getSingleHeader(request, 'idempotency-key')
  const deadlineText = getSingleHeader(request, 'heatherdoor-deadline-ms')
  const deadlineMs = deadlineText === undefined ? undefined : Number(deadlineText)
  if (deadlineMs !== undefined && !(Number.isInteger(deadlineMs) && deadlineMs > 0)) return Left('bad-request')
  return Right({
    kind: 'request-received',
    requestId,
    team,
    service,
    method,
    path,
    headers: listForwardedHeaders(request),
    body,
    bodyHash: hashParts([method, path, body]),
    fingerprint: hashParts([team, service, method, path, body]),
    ...(prefixHash === undefined ? {} : { prefixHash }),
    ...(keyText === undefined ? {} : { keyText }),
    ...(deadlineMs === undefined ? {} : { deadlineMs })
  })
}

function listForwardedHeaders (request: CallerRequest): HeaderList {
  return Object.entries(request.headers)
    .filter(([name]) => !UNFORWARDED_HEADERS.has(name) && !name.startsWith('heatherdoor-'))
    .flatMap(([name, value]) => [value ?? []].flat().map(item => [name, item] as const))
}

function getSingleHeader (request: CallerRequest, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

function parseJson (body: Uint8Array): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'))
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

/** Hashes parts with their lengths, so that shifting text between adjacent parts changes the hash. */
function hashParts (parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(`${part.length}:`).update(part)
  return hash.digest('hex').slice(0, DIGEST_DIGITS)
}
