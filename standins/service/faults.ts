/** Fault controls of the plain service stand-in. */

import { z } from 'zod'

/** Body of `POST /faults`. */
export const serviceFaultsSchema = z.strictObject({
  /** Makes the service cold without a restart. */
  cold: z.literal(true).optional(),
  /** Crashes the service at once. */
  crash: z.literal(true).optional(),
  /** Time for which connections are refused after a crash, in ms. */
  down_ms: z.number().min(0).optional(),
  /** Time of one request in ms. */
  service_ms: z.number().min(0).optional(),
  /** Connections that are open now fall silent for good; new ones work. */
  silence: z.literal(true).optional(),
  /** Next requests that run and whose answer is lost. */
  lose_answers: z.number().int().min(0).optional(),
  /** Whether the load report says healthy. */
  healthy: z.boolean().optional()
})

/** Changes to the faults in force. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>
