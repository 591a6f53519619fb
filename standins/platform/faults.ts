/** Fault controls of the platform stand-in. */

import { z } from 'zod'

/** Body of `POST /faults`; absent fields keep their value. */
export const platformFaultsSchema = z.strictObject({
  /** `status` answers with 503, `break` breaks connections, `hang` never answers. */
  outage: z.enum(['none', 'status', 'break', 'hang']).optional(),
  /** Refuses connections for this time from now, in ms. */
  refuse_ms: z.number().min(0).optional(),
  /** Sends nothing more on the connections open now, without closing them; new ones work. */
  silence: z.literal(true).optional(),
  /** Delay added to each call in ms. */
  slow_ms: z.number().min(0).optional(),
  /** Number of next writes that take effect but get no response. */
  lose_answers: z.number().int().min(0).optional(),
  /** Number of next writes that are lost before they take effect. */
  lose_writes: z.number().int().min(0).optional(),
  /** Number of changes by which reads of single objects are out of date. */
  stale_reads: z.number().int().min(0).optional(),
  /** Age of the list of hosts in ms. */
  hosts_lag_ms: z.number().min(0).optional()
})

/** Changes to the faults in force. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>

/** The faults in force. */
export type PlatformFaultState = Required<{ [K in Exclude<keyof PlatformFaults, 'refuse_ms' | 'silence'>]: Exclude<PlatformFaults[K], undefined> }>

/** Initial state: no faults, but the list of hosts lags as that of a real platform does. */
export const NO_PLATFORM_FAULTS: PlatformFaultState = {
  outage: 'none',
  slow_ms: 0,
  lose_answers: 0,
  lose_writes: 0,
  stale_reads: 0,
  hosts_lag_ms: 2000
}
