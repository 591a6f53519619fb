/** Fault controls of the platform stand-in. */

import { z } from 'zod'

/** Body of `POST /faults`; absent fields keep their value. */
export const platformFaultsSchema = z.strictObject({
  /** `status` answers 503, `break` breaks connections, `hang` never answers. */
  outage: z.enum(['none', 'status', 'break', 'hang']).optional(),
  /** Connections are refused for this time from now, in ms. */
  refuse_ms: z.number().min(0).optional(),
  /** Connections that are open now fall silent for good; new ones work. */
  silence: z.literal(true).optional(),
  /** Time added to each call in ms. */
  slow_ms: z.number().min(0).optional(),
  /** Next writes that take effect and whose answer is lost. */
  lose_answers: z.number().int().min(0).optional(),
  /** Next writes that are lost before they take effect. */
  lose_writes: z.number().int().min(0).optional(),
  /** Count of changes by which reads of single objects are stale. */
  stale_reads: z.number().int().min(0).optional(),
  /** Time by which the list of hosts lags, in ms. */
  hosts_lag_ms: z.number().min(0).optional()
})

/** Changes to the faults in force. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>

/** The faults in force. */
export type PlatformFaultState = Required<{ [K in Exclude<keyof PlatformFaults, 'refuse_ms' | 'silence'>]: Exclude<PlatformFaults[K], undefined> }>

/** State without any fault; the list of hosts still lags. */
export const NO_PLATFORM_FAULTS: PlatformFaultState = {
  outage: 'none',
  slow_ms: 0,
  lose_answers: 0,
  lose_writes: 0,
  stale_reads: 0,
  hosts_lag_ms: 2000
}
