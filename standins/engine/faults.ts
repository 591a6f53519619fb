/** Fault controls of the engine stand-in. */

import { z } from 'zod'

/** Body of `POST /faults`. */
export const engineFaultsSchema = z.strictObject({
  /** Makes the engine cold again without a restart. */
  cold: z.literal(true).optional(),
  /** Crashes the engine immediately. */
  crash: z.literal(true).optional(),
  /** How long connections are refused after a crash, in ms. */
  down_ms: z.number().min(0).optional(),
  /** Multiplies the step duration of this rank. */
  slow_factor: z.number().min(0.01).optional(),
  /** Runs no step for this time from now, in ms. */
  stall_ms: z.number().min(0).optional(),
  /** Sends nothing more on the connections open now, without closing them; new ones work. */
  silence: z.literal(true).optional(),
  /** Breaks the connection of the next `count` requests after `after_chunks` chunks each. */
  break_streams: z.object({ count: z.number().int().min(0), after_chunks: z.number().int().min(0) }).optional(),
  /** Value of `healthy` in load reports. */
  healthy: z.boolean().optional()
})

/** Changes to the faults in force. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>
