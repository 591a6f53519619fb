/** Fault controls of the engine stand-in. */

import { z } from 'zod'

/** Body of `POST /faults`. */
export const engineFaultsSchema = z.strictObject({
  /** Makes the engine cold without a restart. */
  cold: z.literal(true).optional(),
  /** Crashes the engine at once. */
  crash: z.literal(true).optional(),
  /** Time for which connections are refused after a crash, in ms. */
  down_ms: z.number().min(0).optional(),
  /** Factor on the step time of this rank. */
  slow_factor: z.number().min(0.01).optional(),
  /** Time without any step from now, in ms. */
  stall_ms: z.number().min(0).optional(),
  /** Connections that are open now fall silent for good; new ones work. */
  silence: z.literal(true).optional(),
  /** Breaks the next streams after this count of chunks each. */
  break_streams: z.object({ count: z.number().int().min(0), after_chunks: z.number().int().min(0) }).optional(),
  /** Whether the load report says healthy. */
  healthy: z.boolean().optional()
})

/** Changes to the faults in force. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>
