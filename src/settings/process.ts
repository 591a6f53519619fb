/** Settings of processes and of the command line: schemas and types. */

import { dirname, resolve } from 'node:path'
import { z } from 'zod'
import { BASE_URL, buildDuration, buildInteger, buildList, buildTable, FILE_PATH, BOOLEAN, HOST, IP, IP_PORT, LISTENER_TLS_FILES, NAME, PORT, TLS_FILES } from './fields.js'

/** TLS files of a listener. */
export interface ListenerTlsFiles {
  readonly certFile: string
  readonly keyFile: string
  /** Certificate authorities of client certificates; when absent, clients need no certificate. */
  readonly caFile?: string
}

/** TLS files of outbound connections. */
export interface DiallerTlsFiles {
  readonly certFile?: string
  readonly keyFile?: string
  readonly caFile?: string
}

/** A listening socket. */
export interface ListenerSettings {
  readonly ip: string
  readonly port: number
  readonly tls?: ListenerTlsFiles
}

/** The listener for peers. */
export interface PeerListenerSettings extends ListenerSettings {
  /** Largest count of connections whose other side has not proved yet that it is a peer. */
  readonly handshakesMax: number
}

/** The listener for callers. */
export interface CallerListenerSettings extends ListenerSettings {
  /** URL that is announced to callers. */
  readonly publicUrl: string
}

/** The listener for operators. */
export interface OperationsListenerSettings extends ListenerSettings {
  /** File with salted hashes of the operators' credentials; without it only health and metrics are served. */
  readonly operatorKeysFile?: string
}

/** Access to the platform. */
export interface PlatformSettings {
  readonly urls: readonly string[]
  readonly credentialFile?: string
  /** Time limit of one call in ms. */
  readonly timeoutMs: number
  readonly tls?: DiallerTlsFiles
}

/** A peer process that is known at start. */
export interface SeedSettings {
  readonly id: string
  /** `ip:port` of the peer listener. */
  readonly peerAddress: string
}

/** Settings that entries and endpoint processes have in common. */
export interface ProcessSettings {
  readonly processId: string
  readonly host: string
  readonly failureDomain: string
  readonly clusterSecretFile: string
  /** Maximum duration of a planned stop in ms. */
  readonly leaveDeadlineMs: number
  readonly peerListener: PeerListenerSettings
  readonly operationsListener: OperationsListenerSettings
  readonly peerDialler?: { readonly tls?: DiallerTlsFiles }
  readonly platform: PlatformSettings
  readonly seeds: readonly SeedSettings[]
}

/** Limits on callers' requests. */
export interface LimitSettings {
  readonly bodyMaxBytes: number
  readonly headerMaxBytes: number
  readonly headersTimeoutMs: number
  readonly idleTimeoutMs: number
  readonly connectionsMax: number
  /** Unanswered requests of one connection at which the rest of what it sent stays unread. */
  readonly connectionRequestsMax: number
  /** Requests in flight. */
  readonly requestsMax: number
  /** Bytes of bodies and unsent answers in sum. */
  readonly heldBytesMax: number
  /** Time after which a connection that takes no byte of its answer is closed, in ms. */
  readonly unreadTimeoutMs: number
}

/** Settings of `heatherdoor-entry`. */
export interface EntrySettings extends ProcessSettings {
  readonly callerListener: CallerListenerSettings
  /** Time for which callers may cache a response of `/v1/address`, in ms. */
  readonly addressHoldMs: number
  readonly limits: LimitSettings
}

/** Settings of `heatherdoor-endpoint`. */
export interface EndpointSettings extends ProcessSettings {
  readonly service: string
  readonly endpoint: {
    readonly url: string
    /** Whether the endpoint refuses orders whose fencing number is lower than one that it has seen. */
    readonly checksFencing: boolean
    readonly tls?: DiallerTlsFiles
  }
  readonly warmCap: number
  readonly coldCap: number
  readonly group?: string
  readonly rank?: number
}

/** Settings of the command line. */
export interface CliSettings {
  readonly platform: PlatformSettings
  /** Base URLs of the operations listeners of entries. */
  readonly operationsUrls: readonly string[]
  readonly operatorCredentialFile?: string
  readonly tls?: DiallerTlsFiles
}

const LISTENER = { ip: IP, port: PORT, tls: LISTENER_TLS_FILES.exactOptional() }

const PLATFORM = buildTable({
  urls: buildList(BASE_URL, 'base URLs').min(1, { error: 'a list of at least 1 base URL' }),
  credential_file: FILE_PATH.exactOptional(),
  timeout_ms: buildDuration(10).default(2000),
  tls: TLS_FILES.exactOptional()
})

const PROCESS = {
  process_id: NAME,
  host: HOST,
  failure_domain: NAME,
  cluster_secret_file: FILE_PATH,
  leave_deadline_ms: buildDuration(1000).default(120_000),
  peer_listener: buildTable({ ...LISTENER, handshakes_max: buildInteger(1, 100_000).default(1024) }),
  operations_listener: buildTable({ ...LISTENER, operator_keys_file: FILE_PATH.exactOptional() }),
  peer_dialler: buildTable({ tls: TLS_FILES.exactOptional() }).exactOptional(),
  platform: PLATFORM,
  seeds: buildList(buildTable({ id: NAME, peer_address: IP_PORT }), 'tables with id and peer_address').default([])
}

/** Schema of the settings of `heatherdoor-entry`. */
export const ENTRY_SCHEMA = buildTable({
  ...PROCESS,
  address_hold_ms: buildDuration(1000).default(30_000),
  caller_listener: buildTable({ ...LISTENER, public_url: BASE_URL }),
  limits: buildTable({
    body_max_bytes: buildInteger(1024, 268_435_456).default(8_388_608),
    header_max_bytes: buildInteger(1024, 1_048_576).default(32_768),
    headers_timeout_ms: buildDuration(100).default(10_000),
    idle_timeout_ms: buildDuration(100).default(75_000),
    connections_max: buildInteger(1, 100_000).default(4096),
    connection_requests_max: buildInteger(2, 1000).default(16),
    requests_max: buildInteger(1, 1_000_000).default(4096),
    held_bytes_max: buildInteger(1024, 17_179_869_184).default(67_108_864),
    unread_timeout_ms: buildDuration(1000).default(120_000)
  }).prefault({})
})

/** Schema of the settings of `heatherdoor-endpoint`. */
export const ENDPOINT_SCHEMA = buildTable({
  ...PROCESS,
  service: NAME,
  endpoint: buildTable({ url: BASE_URL, checks_fencing: BOOLEAN, tls: TLS_FILES.exactOptional() }),
  warm_cap: buildInteger(1, 100_000),
  cold_cap: buildInteger(1, 100_000),
  group: NAME.exactOptional(),
  rank: buildInteger(0, 1023).exactOptional()
})

/** Schema of the settings of the command line. */
export const CLI_SCHEMA = buildTable({
  platform: PLATFORM,
  operations_urls: buildList(BASE_URL, 'base URLs').default([]),
  operator_credential_file: FILE_PATH.exactOptional(),
  tls: TLS_FILES.exactOptional()
})

/** Parsed settings of `heatherdoor-endpoint`, with keys in snake case. */
export type EndpointTable = z.output<typeof ENDPOINT_SCHEMA>

/**
 * Makes the paths in all keys that end in `_file` absolute.
 *
 * @param value - parsed settings
 * @param file - settings file; paths are relative to its directory
 * @returns a copy
 */
export function resolveFilePaths<T> (value: T, file: string): T {
  if (Array.isArray(value)) return value.map(element => resolveFilePaths<unknown>(element, file)) as T
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).map(([key, inner]) => [
    key,
    key.endsWith('_file') && typeof inner === 'string' ? resolve(dirname(file), inner) : resolveFilePaths<unknown>(inner, file)
  ])) as T
}
