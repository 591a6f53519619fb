/** The part of a small site that the cases with model workers share: names, figures and the configuration. */

export const HOST = 'ficu95.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'
export const ZONES = ['kalamaria', 'evosmos', 'pylaia']
export const RANKS = 8

/** Part with which all prompts begin, and the one that crashes workers. */
export const FIRST_PART = '5c1e07a2'
export const BAD_PART = '91bd3f06'

/** Part that half of the sound prompts share. */
export const OTHER_PART = 'c0ffee11'

export const STABILITY_WINDOW_MS = 3_000

export const CONFIG = {
  version: 7,
  routes: [{ name: 'r-advice', host: HOST, path_prefix: '/lohu930/', route_kind: 'streaming', timeout_ms: 8_000, target_latency_ms: 401, priority: 1, service: 'elaio', max_attempts: 2, public: false, sticky: true, resumable: true, target_gap_ms: 120 }],
  services: [{
    name: 'elaio',
    health_path: '/healthz',
    max_connections: 418,
    protocol: 'h1',
    tls: false,
    cold_start_s: 3,
    cold_per_s: 36,
    engine: { slots: 8, kv_capacity_tokens: 248_000, kv_bytes: 144_384, link_mbps: 180_000, stride: 5, models: [{ name: 'm' }], step_ms: 5.85, per_seq_ms: 0.5325, context_per_k: 0.054, read_per_s: 61_200, pairs_per_m: 0.325, chunk: 512, report_lag_ms: 200, loads_per_s: 0, loads_at_once: 8, delays: [], usual: { prompt: 835, answer: 139 }, sets: 4, experts: 64, placements: 24, spare: 2, expert_mb: 880, expert_share: 0.85, form_ms: 600 }
  }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }]
}
