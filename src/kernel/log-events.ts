/** All log event names. */
export const LOG_EVENTS = [
  'process-started', 'address-in-use', 'process-leaving', 'process-stopped', 'work-cut',
  'peer-connected', 'peer-disconnected', 'peer-silent', 'peer-refused',
  'request-received', 'request-finished', 'request-refused', 'request-retried', 'stream-resumed', 'limit-reached',
  'work-started', 'work-refused', 'pause-detected',
  'handover-started', 'handover-finished', 'handover-received',
  'endpoint-cold', 'endpoint-crashed', 'endpoint-ejected', 'request-suspected', 'request-quarantined', 'suspect-cleared', 'part-evidence', 'part-evidence-dropped', 'part-tried', 'evidence-synced', 'group-lost', 'group-found', 'request-held', 'endpoint-limited', 'endpoint-announced',
  'member-joined', 'member-suspected', 'member-dead', 'member-leaving',
  'configuration-accepted', 'configuration-ignored', 'configuration-rejected', 'platform-lost', 'platform-found',
  'lease-acquired', 'lease-lost', 'map-proposed', 'map-prepared', 'map-decided', 'map-stalled', 'rebalance-declined',
  'tls-reloaded', 'settings-reloaded', 'internal-error',
  'attempt-ended', 'caller-gone', 'endpoint-changed', 'endpoint-silent', 'endpoint-heard', 'agent-silent', 'permit-denied', 'domains-evacuated', 'gateway-joined', 'gateway-lost', 'store-lost', 'store-found', 'store-entry-skipped', 'log-lines-dropped', 'room-wait-ended', 'domain-share', 'map-step', 'map-planned', 'group-changed', 'order-answered', 'demand-shifted', 'store-era-changed', 'watch-role', 'gateway-suspected', 'gateway-cleared', 'exchange-bounded', 'bound-met'
] as const

/** Name of a log event. */
export type LogEvent = typeof LOG_EVENTS[number]
