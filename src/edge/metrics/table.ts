/** Table of all metrics. Values for other metrics are only counted. */

import { ERROR_RESPONSES } from '../../kernel/errors.js'
import type { Role } from '../../protocol/messages.js'

/** Values that a label may have. Any other value is replaced by `other`. */
export type LabelValues =
  | { readonly kind: 'list', readonly values: readonly string[] }
  /** Names from the configuration; only the first `max` different ones are used. */
  | { readonly kind: 'first', readonly max: number }

/** Label of a metric. */
export interface LabelSpec {
  readonly name: string
  readonly values: LabelValues
}

/** One metric. Counters are updated with `count`, histograms and gauges with `observe`. */
export interface MetricSpec {
  readonly type: 'counter' | 'histogram' | 'gauge'
  readonly help: string
  readonly label?: LabelSpec
  /** Upper bounds of a histogram's buckets in the metric's unit. */
  readonly buckets?: readonly number[]
}

/** Maximum number of different service or group names in one metric. */
const NAMES_MAX = 64
const WAIT_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 380, 500, 1000, 2000, 5000, 10_000, 30_000, 120_000]
const SHORT_BUCKETS_MS = [0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50, 100]

const errorLabel: LabelSpec = { name: 'error', values: { kind: 'list', values: Object.keys(ERROR_RESPONSES) } }
const resultLabel: LabelSpec = { name: 'result', values: { kind: 'list', values: ['ok', ...Object.keys(ERROR_RESPONSES)] } }
const outcomeLabel: LabelSpec = { name: 'outcome', values: { kind: 'list', values: ['run', 'not-run', 'unknown'] } }
const priorityLabel: LabelSpec = { name: 'priority', values: { kind: 'list', values: ['urgent', 'normal', 'background'] } }
const serviceLabel: LabelSpec = { name: 'service', values: { kind: 'first', max: NAMES_MAX } }
const groupLabel: LabelSpec = { name: 'group', values: { kind: 'first', max: NAMES_MAX } }
const purposeLabel: LabelSpec = { name: 'purpose', values: { kind: 'list', values: ['heartbeat', 'announcement', 'ping', 'table', 'evidence', 'limits', 'share', 'watch'] } }
const decisionLabel: LabelSpec = { name: 'decision', values: { kind: 'list', values: ['commit', 'abort', 'declined'] } }

/** Metrics of entries. */
const ENTRY_METRICS = {
  requests_received: { type: 'counter', help: 'Requests from callers.', label: serviceLabel },
  requests: { type: 'counter', help: 'Requests answered, by `ok` or error kind.', label: resultLabel },
  outcomes: { type: 'counter', help: 'Outcomes told with error answers.', label: outcomeLabel },
  retries: { type: 'counter', help: 'Second and later attempts of requests.' },
  hedges: { type: 'counter', help: 'Second attempts sent while the first still ran.' },
  resumes: { type: 'counter', help: 'Model streams resumed on another endpoint.' },
  request_ms: { type: 'histogram', help: 'Time from receipt to the end of the answer in ms.', label: serviceLabel, buckets: WAIT_BUCKETS_MS },
  first_byte_ms: { type: 'histogram', help: 'Time from receipt to the first byte of the answer in ms.', label: serviceLabel, buckets: WAIT_BUCKETS_MS },
  chunk_gap_ms: { type: 'histogram', help: 'Time between chunks of a model stream in ms; one gap in 8 is measured.', label: serviceLabel, buckets: WAIT_BUCKETS_MS },
  requests_in_flight: { type: 'gauge', help: 'Requests of callers in flight at the entry.' },
  ejections: { type: 'counter', help: 'Endpoints ejected as outliers.' }
} as const satisfies Record<string, MetricSpec>

/** Metrics of endpoint processes. */
const ENDPOINT_METRICS = {
  work_accepted: { type: 'counter', help: 'Work accepted by the endpoint process.', label: priorityLabel },
  work_started: { type: 'counter', help: 'Work given to the endpoint.', label: priorityLabel },
  work_finished: { type: 'counter', help: 'Work that the endpoint answered.', label: priorityLabel },
  work_refused: { type: 'counter', help: 'Work refused by the endpoint process by error kind.', label: errorLabel },
  queue_wait_ms: { type: 'histogram', help: 'Time from acceptance to start in ms.', label: priorityLabel, buckets: WAIT_BUCKETS_MS },
  run_ms: { type: 'histogram', help: 'Time from start to the end of the run in ms.', label: priorityLabel, buckets: WAIT_BUCKETS_MS },
  work_running: { type: 'gauge', help: 'Work running at the endpoint.' },
  work_queued: { type: 'gauge', help: 'Work waiting at the endpoint process.' },
  cap: { type: 'gauge', help: 'Largest count of concurrent work at present.' },
  warmth: { type: 'gauge', help: 'Warmth of the endpoint from 0 (cold) to 1 (warm).' },
  records: { type: 'gauge', help: 'Idempotency records held.' },
  pauses: { type: 'counter', help: 'Pauses of the process found in its own event loop.' },
  crashes: { type: 'counter', help: 'Crashes of the endpoint.' },
  handovers: { type: 'counter', help: 'Record tables handed over at planned stops.', label: { name: 'side', values: { kind: 'list', values: ['sent', 'received'] } } }
} as const satisfies Record<string, MetricSpec>

/** Metrics of both roles. */
const SHARED_METRICS = {
  strikes: { type: 'counter', help: 'Strikes given to requests that were in flight at a crash.' },
  quarantined: { type: 'counter', help: 'Requests refused because they crashed endpoints.' },
  members: { type: 'gauge', help: 'Live entries known.' },
  peers: { type: 'gauge', help: 'Connections to peers that work.' },
  limits_reached: { type: 'counter', help: 'Connections and requests refused or closed at a limit on callers or strangers.', label: { name: 'limit', values: { kind: 'list', values: ['connections', 'replaced', 'unread', 'overdue', 'requests', 'memory', 'handshakes', 'hello'] } } },
  peers_lost: { type: 'counter', help: 'Connections to peers that ended.' },
  configuration_version: { type: 'gauge', help: 'Version of the configuration in force.' },
  configurations: { type: 'counter', help: 'Configurations offered.', label: { name: 'result', values: { kind: 'list', values: ['accepted', 'ignored', 'rejected'] } } },
  platform_calls: {
    type: 'counter',
    help: 'Calls to the platform by result.',
    label: { name: 'result', values: { kind: 'list', values: ['found', 'missing', 'written', 'conflict', 'unavailable', 'unknown'] } }
  },
  platform_call_ms: { type: 'histogram', help: 'Time of calls to the platform in ms.', buckets: WAIT_BUCKETS_MS },

  map_changes: { type: 'counter', help: 'Decided changes of expert maps.', label: decisionLabel },
  map_change_ms: { type: 'histogram', help: 'Time from proposal to decision of a map change in ms.', label: decisionLabel, buckets: WAIT_BUCKETS_MS },
  map_stall_ms: { type: 'histogram', help: 'Time for which a rank was held before the first step of a map in ms.', buckets: WAIT_BUCKETS_MS },
  map_version: { type: 'gauge', help: 'Version of the expert map in use.', label: groupLabel },
  step_ms: { type: 'gauge', help: 'Last reported time of one decoding step in ms.', label: groupLabel },

  loop_delay_ms: { type: 'histogram', help: 'Delay of the event loop in ms.', buckets: SHORT_BUCKETS_MS }
} as const satisfies Record<string, MetricSpec>

/** Metrics of gateways. */
const GATEWAY_METRICS = {
  requests_received: { type: 'counter', help: 'Requests from callers.', label: serviceLabel },
  requests: { type: 'counter', help: 'Requests answered, by `ok` or error kind.', label: resultLabel },
  attempts: { type: 'counter', help: 'Attempts at endpoints by how they ended.', label: { name: 'result', values: { kind: 'list', values: ['ok', 'failed', 'refused', 'unreachable', 'cancelled'] } } },
  permits: { type: 'counter', help: 'Permits that agents were asked for, by their answer.', label: { name: 'result', values: { kind: 'list', values: ['granted', 'denied', 'busy', 'silent'] } } },
  room_waits: { type: 'counter', help: 'Requests that waited for a free slot of any endpoint, by how the wait ended.', label: { name: 'result', values: { kind: 'list', values: ['started', 'refused'] } } },
  room_wait_ms: { type: 'histogram', help: 'Time for which requests waited for a free slot of any endpoint in ms.', label: serviceLabel, buckets: WAIT_BUCKETS_MS },
  borrowed_shares: { type: 'counter', help: 'Shares that other gateways were asked for, by their answer.', label: { name: 'result', values: { kind: 'list', values: ['granted', 'denied', 'silent'] } } },
  part_decisions: { type: 'counter', help: 'Requests with a part of a prompt that crashed endpoints: refused, or let through as a trial.', label: { name: 'result', values: { kind: 'list', values: ['blocked', 'trial'] } } },
  part_evidence_dropped: { type: 'counter', help: 'What was forgotten of crashes and of parts of prompts for lack of room: accused parts, whole crashes, parts known to be harmless.', label: { name: 'kind', values: { kind: 'list', values: ['accusations', 'crashes', 'harmless'] } } },
  retries: { type: 'counter', help: 'Second and later attempts of requests.' },
  resumes: { type: 'counter', help: 'Model streams resumed on another endpoint.' },
  request_ms: { type: 'histogram', help: 'Time from receipt to the end of the answer in ms.', label: serviceLabel, buckets: WAIT_BUCKETS_MS },
  first_byte_ms: { type: 'histogram', help: 'Time from receipt to the first byte of the answer in ms.', label: serviceLabel, buckets: WAIT_BUCKETS_MS },
  store_calls: { type: 'counter', help: 'Calls to the store by result.', label: { name: 'result', values: { kind: 'list', values: ['ok', 'not-found', 'conflict', 'history-gone', 'busy', 'unavailable', 'no-answer', 'malformed', 'abandoned', 'outdated'] } } },
  store_reads: { type: 'counter', help: 'Lists and watches of the store, by kind of entry.', label: { name: 'kind', values: { kind: 'list', values: ['endpoints', 'configuration', 'evacuations', 'gateways'] } } },
  watches_abandoned: { type: 'counter', help: 'Watches given up because another gateway had seen more, by kind of entry.', label: { name: 'kind', values: { kind: 'list', values: ['endpoints', 'configuration', 'evacuations'] } } },
  watch_roles: { type: 'counter', help: 'Times that the gateway took a role in following the store.', label: { name: 'role', values: { kind: 'list', values: ['starting', 'alone', 'watcher', 'listener', 'unheard'] } } },
  store_era_changes: { type: 'counter', help: 'Times that the store came back from an older copy.' },
  configuration_version: { type: 'gauge', help: 'Version of the configuration in force.' },
  requests_in_flight: { type: 'gauge', help: 'Requests in flight.' },
  link_datagrams: { type: 'counter', help: 'Datagrams sent to other gateways by purpose.', label: purposeLabel },
  link_bytes: { type: 'counter', help: 'Bytes of these datagrams without the headers of UDP and IP.', label: purposeLabel },
  domain_bytes: { type: 'counter', help: 'Bytes exchanged with other failure domains by purpose, without the headers of TCP, UDP and IP; messages of gateways count where they are sent.', label: { name: 'purpose', values: { kind: 'list', values: ['request', 'permit', 'reading', 'order', 'gateway'] } } },
  domain_share: { type: 'gauge', help: 'Part of the requests that is sent to other failure domains at once.', label: serviceLabel },
  gateways_alive: { type: 'gauge', help: 'Other gateways that are alive.' },
  gateways_lost: { type: 'counter', help: 'Times that another gateway was lost.' },
  gateways_suspected: { type: 'counter', help: 'Times that another gateway was suspected to be lost.' },
  counts_age_ms: { type: 'gauge', help: 'Mean age in ms of the known requests in flight of ready gateways.' },
  map_changes: { type: 'counter', help: 'Changes of expert maps by how they ended.', label: { name: 'result', values: { kind: 'list', values: ['committed', 'aborted'] } } },
  demand_shifts: { type: 'counter', help: 'Shifts of the demand for experts.' },
  internal_errors: { type: 'counter', help: 'Exceptions that ended one piece of work, by its kind.', label: { name: 'place', values: { kind: 'list', values: ['request', 'message', 'housekeeping', 'follower', 'discovery', 'maps'] } } },
  bounds_met: { type: 'counter', help: 'Connections closed and requests refused because of a bound on what callers may take together, by bound.', label: { name: 'bound', values: { kind: 'list', values: ['connections', 'requests', 'address', 'team', 'held', 'unread', 'body'] } } },
  log_lines_dropped: { type: 'counter', help: 'Log lines dropped because too many were written.' }
} as const satisfies Record<string, MetricSpec>

/**
 * Metrics of each role by the name that kernel effects use. The exported name has
 * the prefix `heatherdoor_`, and the suffix `_total` for a counter.
 */
export const METRICS = {
  gateway: GATEWAY_METRICS,
  entry: { ...ENTRY_METRICS, ...SHARED_METRICS },
  endpoint: { ...ENDPOINT_METRICS, ...SHARED_METRICS }
} as const satisfies Record<Role, Readonly<Record<string, MetricSpec>>>

/** Name of a metric as used in kernel effects. */
export type MetricName = keyof typeof METRICS[Role] | keyof typeof ENTRY_METRICS | keyof typeof ENDPOINT_METRICS
