/** Fault controls of the plain service stand-in. */

import { z } from 'zod'

/** Body of `POST /faults`. */
export const serviceFaultsSchema = z.strictObject({
  /** Makes the service cold again without a restart. */
  cold: z.literal(true).optional(),
  /** Crashes the service immediately. */
  crash: z.literal(true).optional(),
  /** How long connections are refused after a crash, in ms. */
  down_ms: z.number().min(0).optional(),
  /** Duration of one request in ms. */
  service_ms: z.number().min(0).optional(),
  /** Sends nothing more on the connections open now, without closing them; new ones work. */
  silence: z.literal(true).optional(),
  /** Number of next requests that run but get no response. */
  lose_answers: z.number().int().min(0).optional(),
  /** Value of `healthy` in load reports. */
  healthy: z.boolean().optional()
})

/** Changes to the faults in force. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>
