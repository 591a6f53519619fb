/** Schemas of the responses of the platform's object API. */

import { z } from 'zod'

const revision = z.number().int().min(0)

/** Response to a read of one object. */
export const objectResponseSchema = z.object({ key: z.string(), value: z.string(), revision })

/** Response to a write or removal. */
export const revisionResponseSchema = z.object({ revision })

/** Response to a list. */
export const listResponseSchema = z.object({ revision, objects: z.array(objectResponseSchema) })

export type ListResponse = z.infer<typeof listResponseSchema>

/** Response to a watch; the value of a removed object is null. */
export const watchResponseSchema = z.object({
  revision,
  events: z.array(z.object({ key: z.string(), revision, value: z.string().nullable() }))
})

export type WatchResponse = z.infer<typeof watchResponseSchema>

/** Response to a read of the host list. */
export const hostsResponseSchema = z.object({
  hosts: z.array(z.object({ name: z.string(), state: z.enum(['live', 'leaving']) }))
})
