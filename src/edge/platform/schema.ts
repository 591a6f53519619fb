/** Answers of the platform's object API. */

import { z } from 'zod'

const revision = z.number().int().min(0)

/** Answer to a read of one object. */
export const objectResponseSchema = z.object({ key: z.string(), value: z.string(), revision })

/** Answer to a write or removal. */
export const revisionResponseSchema = z.object({ revision })

/** Answer to a list. */
export const listResponseSchema = z.object({ revision, objects: z.array(objectResponseSchema) })

export type ListResponse = z.infer<typeof listResponseSchema>

/** Answer to a watch; a removal has no value. */
export const watchResponseSchema = z.object({
  revision,
  events: z.array(z.object({ key: z.string(), revision, value: z.string().nullable() }))
})

export type WatchResponse = z.infer<typeof watchResponseSchema>

/** Answer to a question for the list of hosts. */
export const hostsResponseSchema = z.object({
  hosts: z.array(z.object({ name: z.string(), state: z.enum(['live', 'leaving']) }))
})
