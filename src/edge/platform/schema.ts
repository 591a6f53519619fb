/** Answers of the platform's object API. */

import { z } from 'zod'

const revision = z.number().int().min(0)

/** Answer to a read of one object. */
export const objectAnswerSchema = z.object({ key: z.string(), value: z.string(), revision })

/** Answer to a write or removal. */
export const revisionAnswerSchema = z.object({ revision })

/** Answer to a list. */
export const listAnswerSchema = z.object({ revision, objects: z.array(objectAnswerSchema) })

export type ListAnswer = z.infer<typeof listAnswerSchema>

/** Answer to a watch; a removal has no value. */
export const watchAnswerSchema = z.object({
  revision,
  events: z.array(z.object({ key: z.string(), revision, value: z.string().nullable() }))
})

export type WatchAnswer = z.infer<typeof watchAnswerSchema>
